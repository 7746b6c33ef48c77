package work

import (
	"slices"
	"testing"
)

// A low job that holds a lock is given the priority of one that waits for it.
func TestScheduler_PriorityInheritance(t *testing.T) {
	r := newRig(t, one(Settings{}))
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Priority: Low, Lock: "l"}).runs(1)
	r.submit(Job{ID: 2, Kind: "k", Owner: "b", Priority: Normal}, Job{ID: 3, Kind: "k", Owner: "c", Priority: Urgent, Lock: "l"})
	r.end(SliceEnded{More: true}) // 3 goes first, and finds the lock held: 1 goes on in its name, before 2
	r.runs(1).why(3, "lock l")
	r.end(SliceEnded{More: true})
	r.runs(1)
	r.end(SliceEnded{})
	r.runs(3)
	r.end(SliceEnded{})
	r.runs(2)
	r.end(SliceEnded{})
	if len(r.over) != 3 || len(r.s.locks) != 0 {
		t.Error(r.over, len(r.s.locks))
	}
}

// One that holds a lock and waits for its turn keeps its place when it is lent a priority, among those that have it.
func TestScheduler_InheritingJobKeepsItsTurn(t *testing.T) {
	set := one(Settings{Kinds: map[string]Kind{"k": {}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Priority: Low, Lock: "l"}).runs(1)
	r.submit(Job{ID: 2, Kind: "k", Owner: "b", Priority: Urgent})
	r.end(SliceEnded{More: true})
	r.runs(2) // 1 is ready, and holds its lock
	for id := ID(10); id < 16; id++ {
		r.submit(Job{ID: id, Kind: "k", Owner: "a", Priority: Normal})
	}
	r.submit(Job{ID: 3, Kind: "k", Owner: "c", Priority: Urgent, Lock: "l"})
	r.end(SliceEnded{}) // 3 finds the lock held, and lends its priority
	r.runs(1)
}

func TestScheduler_LockPassesOnWhenHolderIsParkedOrDropped(t *testing.T) {
	for _, drop := range []bool{true, false} {
		r := newRig(t, one(Settings{}))
		r.submit(Job{ID: 1, Kind: "k", Owner: "a", Lock: "l"}, Job{ID: 2, Kind: "k", Owner: "a", Lock: "l", Priority: Normal}, Job{ID: 3, Kind: "k", Owner: "a", Lock: "l", Priority: Urgent})
		if drop {
			r.step(Command{Verb: Drop, ID: 1})
			if !slices.Equal(r.stopped, []ID{1}) {
				t.Fatal("the slice that runs is not called off")
			}
			r.end(SliceEnded{Failure: "called off"})
		} else {
			r.end(SliceEnded{Failure: "broken", Park: true})
		}
		r.runs(3)
		r.end(SliceEnded{})
		r.runs(2)
		if drop != slices.Equal(r.dropped, []ID{1}) || drop == (r.parked[1] == "broken") {
			t.Error(r.dropped, r.parked)
		}
	}
}
