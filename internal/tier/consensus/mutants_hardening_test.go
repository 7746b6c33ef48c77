package consensus

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// mutantSeeds is the number of seeds within which each mutant must be found. The mutants violate rules that the pages under
// docs/design/hardening state.
const mutantSeeds = 200

var (
	endlessLease = mutant{name: "a lease never ends",
		after: func(s *subject, _ *actions) {
			if r := s.replica.primary; r != nil {
				for _, b := range r.view.Backups {
					r.confirmedAt[b] = s.replica.now + time.Hour
				}
			}
		}}
	joinerWithoutState = mutant{name: "a backup is counted that acknowledged no snapshot",
		before: func(s *subject, e event) (event, *outcome) {
			if q, ok := e.(incomingCall); ok {
				if a, ok := q.body.(*tierv1.AcceptRequest); ok && isNamedIn(a.View, s.replica.Folder) && s.replica.preparedExactly(a.View.Epoch, a.From.GetFolder()) {
					s.replica.stateEpoch = a.View.Epoch
				}
			}
			return e, nil
		},
		after: func(s *subject, out *actions) {
			p := s.replica.proposal
			if p == nil || p.phase != transferring {
				return
			}
			var others []outgoingCall
			for _, c := range out.unsyncedCalls {
				if q, ok := c.body.(*tierv1.WriteRequest); !ok || !q.Snapshot {
					others = append(others, c)
				}
			}
			out.unsyncedCalls = others
			for folder := range p.transfers {
				p.confirmedAt[folder] = s.replica.now
			}
		}}
	oldSnapshotReplaces = mutant{name: "a snapshot of an old epoch replaces a newer state",
		before: func(s *subject, e event) (event, *outcome) {
			if q, ok := e.(incomingCall); ok {
				if body, ok := q.body.(*tierv1.WriteRequest); ok && body.Snapshot && body.From != s.replica.Folder && body.Epoch < s.replica.stateEpoch {
					s.replica.apply(body)
					s.replica.stateEpoch = s.replica.preparedEpoch
				}
			}
			return e, nil
		}}
	leadsWithOldState = mutant{name: "leads from a state that is behind",
		before: func(s *subject, e event) (event, *outcome) {
			a, ok := e.(callResult)
			if !ok {
				return e, nil
			}
			r, ok := a.body.(*tierv1.PrepareReply)
			p := s.replica.proposal
			if !ok || p == nil || p.phase > preparing || s.replica.primary != nil {
				return e, nil
			}
			base := proto.CloneOf(newestOf(newestOf(newestOf(p.predecessor, s.replica.newestChosenView()), r.Accepted), r.Chosen))
			base.Backups = append(base.Backups, s.replica.Folder)
			p.predecessor, s.replica.stateEpoch = base, max(s.replica.stateEpoch, base.Epoch)
			return e, nil
		}}
)

// requireMutantFound plays seeds until one finds the mutant, and logs the seed and the violation; the unchanged replica must pass the same
// seed.
func requireMutantFound(t *testing.T, p mutant, play func(seed uint64, p mutant) *simulation) {
	t.Helper()
	for seed := range uint64(mutantSeeds) {
		if w := play(seed, p); len(w.violations) > 0 {
			t.Logf("%s: seed %d: %v", p.name, seed, w.violations[0])
			if right := play(seed, mutant{}); len(right.violations) > 0 {
				t.Fatalf("the unchanged replica fails, too: %v\n%s", right.violations, right.lastTrace())
			}
			return
		}
	}
	t.Fatalf("%s: not found within %d seeds", p.name, mutantSeeds)
}

func TestMutants_FoundByPartitions(t *testing.T) {
	for _, c := range isolations {
		if c.deposed {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			requireMutantFound(t, endlessLease, func(seed uint64, p mutant) *simulation {
				w, _, _ := isolate(t, c, seed, p)
				return w
			})
		})
	}
}

func TestMutants_FoundBySecondLosses(t *testing.T) {
	for _, p := range []mutant{joinerWithoutState, countsEmptyFolder} {
		t.Run(p.name, func(t *testing.T) {
			requireMutantFound(t, p, func(seed uint64, p mutant) *simulation { return playRandomFaults(seed, 3+int(seed%2), 1, p) })
		})
	}
	t.Run(dropsFormer.name, func(t *testing.T) {
		x, w := fromSwap(t, dropsFormer)
		w.left = budget{takeovers: 1, writes: 1}
		if r := x.explore(w, 150_000); r.violation == nil {
			t.Fatalf("not found in %v", r)
		} else {
			t.Logf("%v; found: %v\n%s", r, r.violation, strings.Join(r.path, "\n"))
		}
	})
}

func TestMutants_FoundByStateTransfer(t *testing.T) {
	for _, p := range []mutant{oldSnapshotReplaces, leadsWithOldState} {
		t.Run(p.name, func(t *testing.T) {
			requireMutantFound(t, p, func(seed uint64, p mutant) *simulation { return playRandomFaults(seed, 3+int(seed%2), 1, p) })
		})
	}
}
