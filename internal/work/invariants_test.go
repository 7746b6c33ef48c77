package work

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Generated histories check the scheduler's invariants from its actions and views: every job submitted and not finished is listed, a lock
// has one holder, no more slices run than allowed, no job that may run waits while a worker is free, and every job is finished or parked
// in the end.
func TestScheduler_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 3).Draw(t, "workers")
		set := Settings{Limits: Limits{Running: workers}, Breaker: Breaker{FailureThreshold: 2, OpenTime: 5 * sec},
			Kinds: map[string]Kind{"k0": {Retry: Retry{InitialBackoff: sec, MaxBackoff: 4 * sec, MaxFailures: 3, Ratio: 0.5, Credit: 3}}, "k1": {Running: 1}}}
		if rapid.Bool().Draw(t, "budget") {
			set.Rates[CPU] = Rate{PerSecond: 10, Burst: 10}
		}
		s := New(set, func() float64 { return 0.25 })
		unfinished, running, parked := map[ID]Job{}, map[ID]bool{}, map[ID]bool{}
		now := time.Duration(0)
		id := ID(0)
		dropping := map[ID]bool{}
		check := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Start:
					if running[a.ID] || parked[a.ID] || unfinished[a.ID].ID == 0 {
						t.Fatalf("job %d is started, but is running, parked or unknown", a.ID)
					}
					running[a.ID] = true
				case Finished:
					if _, ok := unfinished[a.ID]; !ok || a.Dropped != dropping[a.ID] {
						t.Fatalf("job %d is finished (dropped: %v), but is unknown or was not to end so", a.ID, a.Dropped)
					}
					delete(unfinished, a.ID)
					delete(running, a.ID)
					delete(parked, a.ID)
				case Park:
					parked[a.ID] = true
					delete(running, a.ID)
				case Reject:
					t.Fatalf("%+v", a)
				case Stop: // the slice ends below, like any other
				}
			}
			if len(running) > workers {
				t.Fatalf("%d slices run", len(running))
			}
			locks, kinds := map[string]ID{}, map[string]int{}
			for x := range running {
				j := unfinished[x]
				if j.Lock != "" && locks[j.Lock] != 0 {
					t.Fatalf("jobs %d and %d both hold lock %s", x, locks[j.Lock], j.Lock)
				}
				locks[j.Lock] = x
				kinds[j.Kind]++
			}
			if kinds["k1"] > 1 {
				t.Fatal("two slices of a kind whose limit is one run")
			}
			views := s.Views(Filter{})
			if len(views) != len(unfinished) {
				t.Fatalf("%d jobs are listed, want %d", len(views), len(unfinished))
			}
			for _, v := range views {
				if (v.State == "running") != running[v.ID] || (v.State == "parked") != parked[v.ID] {
					t.Fatalf("%+v; running %v, parked %v", v, running[v.ID], parked[v.ID])
				}
				// A job may wait for its turn only if no worker is free.
				if v.Reason == "its turn" && len(running) < workers {
					t.Fatalf("job %d waits for its turn, although only %d of %d workers are busy", v.ID, len(running), workers)
				}
				if v.State == "waiting" && v.Reason == "" {
					t.Fatalf("%+v: a waiting job has no reason", v)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				id++
				j := Job{ID: id, Kind: fmt.Sprint("k", rapid.IntRange(0, 1).Draw(t, "kind")), Owner: fmt.Sprint("o", rapid.IntRange(0, 2).Draw(t, "owner")),
					Priority: Priority(rapid.IntRange(0, 3).Draw(t, "priority")), Lock: rapid.SampledFrom([]string{"", "", "l"}).Draw(t, "lock"),
					Resource: rapid.SampledFrom([]string{"", "r"}).Draw(t, "resource"), SliceCost: Cost{CPU: 1}}
				if rapid.Bool().Draw(t, "later") {
					j.Earliest = now + sec
				}
				unfinished[id] = j
				check(s.Step(now, monday, Submit{Job: j}))
			case 2, 3:
				for range running {
					x := slices.Min(keys(running))
					delete(running, x)
					e := SliceEnded{ID: x, Used: Cost{CPU: int64(rapid.IntRange(0, 8).Draw(t, "used"))}}
					switch rapid.IntRange(0, 2).Draw(t, "how") {
					case 0:
						e.Failure = "no"
					case 1:
						e.More = true
					}
					check(s.Step(now, monday, e))
					break
				}
			case 4:
				if id > 0 {
					x := ID(rapid.IntRange(1, int(id)).Draw(t, "id"))
					if _, ok := unfinished[x]; ok {
						if rapid.Bool().Draw(t, "drop") {
							dropping[x] = true
							check(s.Step(now, monday, Command{Verb: Drop, ID: x}))
						} else {
							delete(parked, x)
							check(s.Step(now, monday, Command{Verb: Run, ID: x}))
						}
					}
				}
			case 5:
				check(s.Step(now, monday, SetAllowance{rapid.SampledFrom([]float64{0.02, 0.5, 1}).Draw(t, "allow")}))
			}
		}
		// Without further commands, and with all slices successful, every job that is not parked is finished.
		check(s.Step(now, monday, SetAllowance{1}))
		for range 2000 {
			if len(running) > 0 {
				x := slices.Min(keys(running))
				delete(running, x)
				check(s.Step(now, monday, SliceEnded{ID: x}))
				continue
			}
			next := s.Next()
			if next == never {
				break
			}
			now = next
			check(s.Step(now, monday))
		}
		for x := range unfinished {
			if !parked[x] {
				t.Fatalf("job %d is never finished: %+v", x, s.Views(Filter{ID: x}))
			}
		}
	})
}
