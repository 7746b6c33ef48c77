package consensus

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// mutant injects a fault into a replica from outside, by changes to its events, its actions or its state between two steps. The zero
// mutant changes nothing.
type mutant struct {
	name   string
	before func(s *subject, e event) (event, *outcome) // a nil event is dropped
	after  func(s *subject, out *actions)
}

// subject is a replica with its mutant.
type subject struct {
	replica  *replica
	mutant   mutant
	requests map[uint64]proto.Message // calls in flight, by ID
	// The prepared epoch and its proposer before the step, for the mutant forgetsPreparedAtOnce.
	preparedEpoch uint64
	preparedFor   string
}

func (s *subject) step(now time.Duration, events ...event) *actions {
	s.preparedEpoch, s.preparedFor = s.replica.preparedEpoch, s.replica.preparedFor
	var passed []event
	var ended []outcome
	for _, e := range events {
		if s.mutant.before != nil {
			var o *outcome
			if e, o = s.mutant.before(s, e); o != nil {
				ended = append(ended, *o)
			}
		}
		if e != nil {
			passed = append(passed, e)
		}
	}
	out := s.replica.Step(now, passed...)
	if s.mutant.after != nil {
		s.mutant.after(s, out)
	}
	for _, e := range events {
		if a, ok := e.(callResult); ok {
			delete(s.requests, a.id)
		}
	}
	for _, list := range [][]outgoingCall{out.unsyncedCalls, out.calls} {
		for _, c := range list {
			s.requests[c.id] = c.body
		}
	}
	out.outcomes = append(ended, out.outcomes...)
	return out
}

var (
	forgetsPreparedAtOnce = mutant{name: "forgets its prepared epoch at once",
		before: func(s *subject, e event) (event, *outcome) {
			q, ok := e.(incomingCall)
			if !ok {
				return e, nil
			}
			var epoch uint64
			var from string
			switch b := q.body.(type) {
			case *tierv1.AcceptRequest:
				epoch, from = b.View.GetEpoch(), b.From.GetFolder()
			case *tierv1.WriteRequest:
				epoch, from = b.Epoch, b.From
			}
			if epoch > 0 && epoch >= s.replica.preparedEpoch {
				s.replica.preparedEpoch, s.replica.preparedFor = epoch, from
				s.preparedEpoch, s.preparedFor = epoch, from
			}
			return e, nil
		},
		after: func(s *subject, _ *actions) {
			if s.replica.preparedFor != s.replica.Folder {
				s.replica.preparedEpoch, s.replica.preparedFor = s.preparedEpoch, s.preparedFor
			}
		}}
	forgetsPreparedAtRestart = mutant{name: "forgets its prepared epoch at a restart",
		after: func(_ *subject, out *actions) {
			var others [][]byte
			for _, r := range out.records {
				if r[0] != kindPrepared {
					others = append(others, r)
				}
			}
			out.records = others
		}}
	acknowledgesEarly = mutant{name: "acknowledges before the backup's sync",
		after: func(s *subject, _ *actions) {
			if s.replica.primary != nil && s.replica.primary.batch != nil {
				s.replica.commit()
			}
		}}
	skipsBackup = mutant{name: "skips a dead backup",
		before: func(s *subject, e event) (event, *outcome) {
			if a, ok := e.(callResult); ok && a.body == nil {
				if _, write := s.requests[a.id].(*tierv1.WriteRequest); write {
					return callResult{a.id, &tierv1.WriteReply{Acknowledged: true}}, nil
				}
			}
			return e, nil
		}}
	countsEmptyFolder = mutant{name: "counts an empty folder for a member",
		before: func(s *subject, e event) (event, *outcome) {
			a, ok := e.(callResult)
			if !ok {
				return e, nil
			}
			r, ok := a.body.(*tierv1.PrepareReply)
			if !ok || r.Self == nil {
				return e, nil
			}
			p := s.replica.proposal
			if p == nil || p.phase > preparing {
				return e, nil
			}
			base := proto.CloneOf(newestOf(newestOf(newestOf(p.predecessor, s.replica.newestChosenView()), r.Accepted), r.Chosen))
			for _, set := range quorumSets(base) {
				for _, v := range set {
					if v.Address == r.Self.Address && v.Folder != r.Self.Folder {
						v.Folder = r.Self.Folder
					}
				}
			}
			p.predecessor = base
			return e, nil
		}}
	dropsFormer = mutant{name: "drops former too early",
		after: func(s *subject, _ *actions) {
			if p := s.replica.proposal; p != nil && p.phase == transferring {
				p.target.Former = nil
			}
		}}
	confirmsWithoutRoundTrip = mutant{name: "confirms without a round trip",
		before: func(s *subject, e event) (event, *outcome) {
			if c, ok := e.(confirmRequest); ok && s.replica.primary != nil {
				return nil, &outcome{c.token, 0, nil}
			}
			return e, nil
		}}
)

// Random faults find the common mutants; the rarer ones are found by the exploration.
func TestMutants_FoundByRandomFaults(t *testing.T) {
	for _, p := range []mutant{forgetsPreparedAtOnce, acknowledgesEarly, skipsBackup, countsEmptyFolder, confirmsWithoutRoundTrip} {
		t.Run(p.name, func(t *testing.T) {
			for seed := range uint64(max(3000, seedCount(0))) {
				if w := playRandomFaults(seed, 3+int(seed%2), 1, p); len(w.violations) > 0 {
					t.Logf("seed %d: %v", seed, w.violations[0])
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
