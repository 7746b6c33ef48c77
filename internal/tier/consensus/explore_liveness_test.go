package consensus

import (
	"fmt"
	"slices"
	"testing"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The exploration checks some of the states that it reaches for liveness: once all faults have ended, a primary that can acknowledge must
// be reached again, both if all messages in flight arrive and if all of them are lost. The bound on liveness is in steps, not in time:
// recoveryRounds rounds, in each of which each replica proposes itself up to twice (the second time it has learned the highest epoch) and
// all messages arrive. That no other replica disturbs a proposal depends on time, and is checked by the tests in virtual time.
const recoveryRounds = 2

// drainSteps bounds the messages that drain delivers. The messages need not end: a primary whose proposal is refused by another replica
// that still considers itself primary retries until the lease of that replica expires, which requires clocks to advance.
const drainSteps = 500

// drain delivers all messages in flight, and what follows them, oldest first.
func (x *explorer) drain(w *systemState) (*systemState, error) {
	var err error
	for range drainSteps {
		if len(w.net) == 0 {
			return w, nil
		}
		if w, err = x.deliver(w, w.net[0], false, false); err != nil {
			return w, err
		}
	}
	return w, nil
}

// loseAll drops all messages in flight: no request arrives any more, and each call fails.
func (x *explorer) loseAll(w *systemState) (*systemState, error) {
	var err error
	for _, i := range slices.Clone(w.net) {
		if !slices.Contains(w.net, i) {
			continue
		}
		w = w.with(pathStep{action: "failure of the ", item: i})
		w.remove(i)
		if i.stage == orphaned {
			continue
		}
		if err = x.move(w, x.answer(w, i, nil)); err != nil {
			return w, err
		}
	}
	return w, nil
}

// canAcknowledge reports whether a replica is primary and could acknowledge a write now: its epoch is the last one that it and all its
// backups have prepared.
func (w *systemState) canAcknowledge(l *replicaState) bool {
	if l == nil || l.leadership == 0 || l.preparedEpoch != l.leadership {
		return false
	}
	for _, folder := range l.backups {
		if !slices.ContainsFunc(w.replicas[:], func(o *replicaState) bool { return o != nil && o.folder == folder && o.preparedEpoch == l.leadership }) {
			return false
		}
	}
	return true
}

// recovers returns an error if no primary is reached from a state without further faults.
func (x *explorer) recovers(w *systemState, loss bool) (*systemState, error) {
	partitions := x.partitions
	x.partitions = nil
	defer func() { x.partitions = partitions }()
	var err error
	if loss {
		if w, err = x.loseAll(w); err != nil {
			return w, err
		}
	}
	if w, err = x.drain(w); err != nil {
		return w, err
	}
	for range recoveryRounds {
		for site := range w.replicas {
			for range 2 {
				if slices.ContainsFunc(w.replicas[:], w.canAcknowledge) {
					return w, nil
				}
				l := w.replicas[site]
				if l == nil {
					continue
				}
				name, e := "take-over", explorerEvent(takeover{})
				if l.leadership > 0 {
					name, e = "late tick", lateTick{}
				}
				if w, err = x.event(w, site, name, e); err != nil {
					return w, err
				}
				if w, err = x.drain(w); err != nil {
					return w, err
				}
			}
		}
	}
	return w, fmt.Errorf("no primary is reached again, loss %v", loss)
}

// checkLiveness checks recovers for a state, with and without a loss of the messages in flight.
func (x *explorer) checkLiveness(w *systemState) (*systemState, error) {
	for _, loss := range []bool{false, true} {
		if c, err := x.recovers(w, loss); err != nil {
			return c, err
		}
	}
	x.livenessChecks++
	return w, nil
}

// preparesOnlyOnce prepares a single epoch.
var preparesOnlyOnce = mutant{name: "prepares once", before: func(s *subject, e event) (event, *outcome) {
	if q, ok := e.(incomingCall); ok {
		if _, ok := q.body.(*tierv1.PrepareRequest); ok && s.replica.preparedEpoch > 0 {
			return nil, nil
		}
	}
	return e, nil
}}

// The liveness check finds a mutant from which no primary is reached again.
func TestExplore_FindsDeadEnd(t *testing.T) {
	x, w := fromStable(t, preparesOnlyOnce)
	w.left = budget{takeovers: 1, writes: 1}
	x.liveness = 1
	r := x.explore(w, 1000)
	if r.violation == nil {
		t.Fatalf("not found in %v", r)
	}
	t.Logf("%v; found: %v", r, r.violation)
}
