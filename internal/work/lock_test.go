package work

import (
	"slices"
	"testing"
)

// A job of low priority that holds a lock inherits the priority of a job that waits for the lock.
func TestScheduler_PriorityInheritance(t *testing.T) {
	r := newRig(t, singleWorker(Settings{}))
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Priority: Low, Lock: "l"}).wantRunning(1)
	r.submit(Job{ID: 2, Kind: "k", Owner: "b", Priority: Normal}, Job{ID: 3, Kind: "k", Owner: "c", Priority: Urgent, Lock: "l"})
	r.end(SliceEnded{More: true}) // 3 is next but its lock is held: 1 inherits its priority and runs before 2
	r.wantRunning(1).wantReason(3, "lock l")
	r.end(SliceEnded{More: true})
	r.wantRunning(1)
	r.end(SliceEnded{})
	r.wantRunning(3)
	r.end(SliceEnded{})
	r.wantRunning(2)
	r.end(SliceEnded{})
	if len(r.finished) != 3 || len(r.s.locks) != 0 {
		t.Error(r.finished, len(r.s.locks))
	}
}

// A ready job that holds a lock and inherits a priority is ordered among the jobs of that priority by when it became ready.
func TestScheduler_InheritingJobKeepsItsTurn(t *testing.T) {
	set := singleWorker(Settings{Kinds: map[string]Kind{"k": {}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Priority: Low, Lock: "l"}).wantRunning(1)
	r.submit(Job{ID: 2, Kind: "k", Owner: "b", Priority: Urgent})
	r.end(SliceEnded{More: true})
	r.wantRunning(2) // 1 is ready and holds its lock
	for id := ID(10); id < 16; id++ {
		r.submit(Job{ID: id, Kind: "k", Owner: "a", Priority: Normal})
	}
	r.submit(Job{ID: 3, Kind: "k", Owner: "c", Priority: Urgent, Lock: "l"})
	r.end(SliceEnded{}) // the lock of 3 is held: 1 inherits the priority of 3
	r.wantRunning(1)
}

func TestScheduler_LockPassesOnWhenHolderIsParkedOrDropped(t *testing.T) {
	for _, drop := range []bool{true, false} {
		r := newRig(t, singleWorker(Settings{}))
		r.submit(Job{ID: 1, Kind: "k", Owner: "a", Lock: "l"}, Job{ID: 2, Kind: "k", Owner: "a", Lock: "l", Priority: Normal}, Job{ID: 3, Kind: "k", Owner: "a", Lock: "l", Priority: Urgent})
		if drop {
			r.step(Command{Verb: Drop, ID: 1})
			if !slices.Equal(r.stopped, []ID{1}) {
				t.Fatal("the running slice is not cancelled")
			}
			r.end(SliceEnded{Failure: "cancelled"})
		} else {
			r.end(SliceEnded{Failure: "broken", Park: true})
		}
		r.wantRunning(3)
		r.end(SliceEnded{})
		r.wantRunning(2)
		if drop != slices.Equal(r.dropped, []ID{1}) || drop == (r.parked[1] == "broken") {
			t.Error(r.dropped, r.parked)
		}
	}
}
