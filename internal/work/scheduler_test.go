package work

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestScheduler_Order(t *testing.T) {
	r := newRig(t, singleWorker(Settings{}))
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Priority: Low}, Job{ID: 2, Kind: "k", Owner: "a", Priority: Low},
		Job{ID: 3, Kind: "k", Owner: "a", Priority: Urgent}, Job{ID: 4, Kind: "k", Owner: "a", Priority: Normal, Deadline: 50 * sec},
		Job{ID: 5, Kind: "k", Owner: "a", Priority: Normal, Deadline: 60 * sec, Remaining: 20 * sec}, Job{ID: 6, Kind: "k", Owner: "a", Priority: Normal})
	var got []ID
	for len(r.running) > 0 {
		got = append(got, r.end(SliceEnded{}))
	}
	if want := []ID{1, 3, 5, 4, 6, 2}; !slices.Equal(got, want) { // 1 was the only job at first; then by priority, laxity and order of submission
		t.Errorf("%v, want %v", got, want)
	}
	if n, running := r.s.Len(); n != 0 || running != 0 || len(r.s.owners) != 0 {
		t.Error("the scheduler is not empty:", n, running, len(r.s.owners))
	}
}

// A job of the lowest priority starts within lowerPriorityInterval starts per job ahead of it in its queue, however many urgent jobs there
// are.
func TestScheduler_LowestPriorityIsNotStarved(t *testing.T) {
	r := newRig(t, singleWorker(Settings{}))
	next := ID(100)
	feed := func() {
		next++
		r.submit(Job{ID: next, Kind: "k", Owner: "a", Priority: Urgent})
	}
	feed()
	feed()
	r.submit(Job{ID: 1, Kind: "k", Owner: "b", Priority: Low}, Job{ID: 2, Kind: "k", Owner: "b", Priority: Low})
	at := map[ID]int{}
	for n := 1; n <= 60; n++ {
		feed()
		at[r.end(SliceEnded{})] = n
	}
	if at[1] == 0 || at[1] > lowerPriorityInterval+2 || at[2] == 0 || at[2] > 2*lowerPriorityInterval+2 {
		t.Errorf("the jobs of low priority ended at positions %d and %d", at[1], at[2])
	}
}

func TestScheduler_PauseResumeWindow(t *testing.T) {
	night := &Window{From: 22 * time.Hour, To: 5 * time.Hour, Zone: time.UTC}
	r := newRig(t, singleWorker(Settings{Kinds: map[string]Kind{"export": {Window: night}}}))
	r.step(Command{Verb: Pause, Kind: "k"}, Command{Verb: Pause, Owner: "o"})
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"}, Job{ID: 2, Kind: "x", Owner: "o"}, Job{ID: 3, Kind: "export", Owner: "a"}).wantRunning()
	r.wantReason(1, "paused").wantReason(2, "paused").wantReason(3, "window of export")
	if r.s.Next() != 10*time.Hour {
		t.Errorf("Next is %v, want the opening of the window", r.s.Next())
	}
	r.step(Command{Verb: Resume, Kind: "k"}).wantRunning(1)
	r.end(SliceEnded{})
	r.step(Command{Verb: Resume, Owner: "o"}).wantRunning(2)
	r.end(SliceEnded{})
	r.at(10 * time.Hour).wantRunning(3)
}

func TestScheduler_Capacity(t *testing.T) {
	r := newRig(t, singleWorker(Settings{Limits: Limits{Jobs: 5, OwnerJobs: 3, Bytes: 100, Depth: 1}}))
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"}, Job{ID: 2, Kind: "k", Owner: "a"}, Job{ID: 3, Kind: "k", Owner: "a"}, Job{ID: 4, Kind: "k", Owner: "a"},
		Job{ID: 5, Kind: "k", Owner: "b", Size: 101}, Job{ID: 6, Kind: "k", Owner: "b", Depth: 2}, Job{ID: 1, Kind: "k", Owner: "b"}, Job{ID: 7, Kind: "k", Owner: "b", Priority: 9},
		Job{ID: 8, Kind: "k", Owner: "c"}, Job{ID: 9, Kind: "k", Owner: "d"}, Job{ID: 10, Kind: "k", Owner: "e"})
	for id, want := range map[ID]string{4: "limit per owner is 3", 5: "bytes", 6: "2 deep", 1: "already in use", 7: "priority 9", 10: "limit of 5 jobs"} {
		if !strings.Contains(r.rejected[id], want) {
			t.Errorf("job %d: %q, want %q", id, r.rejected[id], want)
		}
	}
	if n, _ := r.s.Len(); n != 5 || len(r.rejected) != 6 {
		t.Error(n, r.rejected)
	}
	if err := r.s.CheckCapacity(Job{Owner: "x"}); err == nil {
		t.Error("a job beyond the limit is accepted")
	}
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New(Settings{Limits: Limits{Running: 1}, Rates: Rates{CPU: {PerSecond: 1e9, Burst: 1e9}}}, rand.Float64)
			var running ID
			recordStart := func(acts []Action) {
				for _, a := range acts {
					if a, ok := a.(Start); ok {
						running = a.ID
					}
				}
			}
			for i := range n {
				recordStart(s.Step(0, monday, Submit{Job: Job{ID: ID(i + 1), Kind: "k", Owner: fmt.Sprint(i % 1000), Priority: Priority(i % 4), SliceCost: Cost{CPU: 10}}}))
			}
			b.ResetTimer()
			now := time.Duration(0)
			for range b.N {
				now += time.Microsecond
				recordStart(s.Step(now, monday, SliceEnded{ID: running, Used: Cost{CPU: 12}, More: true}))
			}
		})
	}
}
