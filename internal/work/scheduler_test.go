package work

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// rig is a scheduler with its clock, and what it did.
type rig struct {
	t       testing.TB
	s       *Scheduler
	now     time.Duration
	wall    time.Time
	running []ID
	over    []ID
	dropped []ID
	parked  map[ID]string
	refused map[ID]string
	stopped []ID
}

var monday = time.Date(2026, 11, 30, 12, 0, 0, 0, time.UTC)

func newRig(t testing.TB, set Settings) *rig {
	return &rig{t: t, s: New(set, func() float64 { return 0.5 }), wall: monday, parked: map[ID]string{}, refused: map[ID]string{}}
}

func (r *rig) step(events ...Event) *rig {
	for _, a := range r.s.Step(r.now, r.wall, events...) {
		switch a := a.(type) {
		case Start:
			r.running = append(r.running, a.ID)
		case Finished:
			if a.Dropped {
				r.dropped = append(r.dropped, a.ID)
			} else {
				r.over = append(r.over, a.ID)
			}
		case Park:
			r.parked[a.ID] = a.Reason
		case Reject:
			r.refused[a.ID] = a.Reason
		case Stop:
			r.stopped = append(r.stopped, a.ID)
		}
	}
	return r
}

func (r *rig) at(now time.Duration) *rig {
	r.wall = r.wall.Add(now - r.now)
	r.now = now
	return r.step()
}

func (r *rig) submit(jobs ...Job) *rig {
	for _, j := range jobs {
		r.step(Submit{Job: j})
	}
	return r
}

// end ends the slice that runs for longest, and gives its job.
func (r *rig) end(e SliceEnded) ID {
	r.t.Helper()
	if len(r.running) == 0 {
		r.t.Fatal("nothing runs")
	}
	e.ID, r.running = r.running[0], r.running[1:]
	r.step(e)
	return e.ID
}

func (r *rig) runs(ids ...ID) *rig {
	r.t.Helper()
	if !slices.Equal(r.running, ids) {
		r.t.Fatalf("%v runs, want %v", r.running, ids)
	}
	return r
}

func (r *rig) why(id ID, want string) *rig {
	r.t.Helper()
	v := r.s.Views(Filter{ID: id})
	if len(v) != 1 || !strings.Contains(v[0].Reason, want) {
		r.t.Errorf("job %d: %+v, want %q", id, v, want)
	}
	return r
}

func one(set Settings) Settings { // a single worker
	set.Limits.Running = 1
	return set
}

func TestScheduler_Order(t *testing.T) {
	r := newRig(t, one(Settings{}))
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Priority: Low}, Job{ID: 2, Kind: "k", Owner: "a", Priority: Low},
		Job{ID: 3, Kind: "k", Owner: "a", Priority: Urgent}, Job{ID: 4, Kind: "k", Owner: "a", Priority: Normal, Deadline: 50 * sec},
		Job{ID: 5, Kind: "k", Owner: "a", Priority: Normal, Deadline: 60 * sec, Remaining: 20 * sec}, Job{ID: 6, Kind: "k", Owner: "a", Priority: Normal})
	var got []ID
	for len(r.running) > 0 {
		got = append(got, r.end(SliceEnded{}))
	}
	if want := []ID{1, 3, 5, 4, 6, 2}; !slices.Equal(got, want) { // 1 was alone; then priority, then time to spare, then who came first
		t.Errorf("%v, want %v", got, want)
	}
	if n, running := r.s.Len(); n != 0 || running != 0 || len(r.s.owners) != 0 {
		t.Error("something is left", n, running, len(r.s.owners))
	}
}

// A lowest job goes within eight starts for each that is before it, however many urgent ones there are.
func TestScheduler_LowestPriorityIsNotStarved(t *testing.T) {
	r := newRig(t, one(Settings{}))
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
		t.Errorf("they ended as numbers %d and %d", at[1], at[2])
	}
}

// A job that costs a hundred times what it said is paid for by waiting: of its kind, its owner, and all work.
func TestScheduler_BudgetDebt(t *testing.T) {
	rate := Rates{DiskWrite: {PerSecond: 100, Burst: 100}}
	for name, c := range map[string]struct {
		set Settings
		why string
	}{"kind": {Settings{Kinds: map[string]Kind{"k": {Rates: rate}}}, "budget of k"}, "owner": {Settings{Owners: rate}, "budget of a"}, "all": {Settings{Rates: rate}, "budget of all work"}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, one(c.set))
			r.submit(Job{ID: 1, Kind: "k", Owner: "a", SliceCost: Cost{DiskWrite: 10}}, Job{ID: 2, Kind: "k", Owner: "a"}).runs(1)
			r.end(SliceEnded{Used: Cost{DiskWrite: 1000}})
			r.runs().why(2, c.why)
			if next := r.s.Next(); next < 9*sec || next > 9*sec+10*time.Millisecond {
				t.Errorf("it looks again at %v", next)
			}
			r.at(9 * sec).runs()
			r.at(r.s.Next()).runs(2)
			r.end(SliceEnded{}) // and what was said and not used is given back
			if got := len(r.over); got != 2 {
				t.Error(got)
			}
		})
	}
}

func TestScheduler_BudgetReducedWhileSliceRuns(t *testing.T) {
	set := one(Settings{Rates: Rates{CPU: {PerSecond: 10, Burst: 10}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"}, Job{ID: 2, Kind: "k", Owner: "a"}).runs(1)
	r.step(SetAllowance{0})
	r.end(SliceEnded{Used: Cost{CPU: 11}})
	r.runs().why(2, "pressure of live traffic")
	r.at(time.Hour).runs()
	r.step(SetAllowance{0.5}).at(time.Hour + 300*time.Millisecond).runs(2)
}

// What one kind does not use is lent to others, and given back at once under pressure.
func TestScheduler_PoolLendsUnusedBudget(t *testing.T) {
	half := Rates{CPU: {PerSecond: 50, Burst: 50}}
	set := Settings{Rates: Rates{CPU: {PerSecond: 100, Burst: 100}}, Kinds: map[string]Kind{"a": {Rates: half}, "b": {Rates: half}}, Limits: Limits{Running: 1}}
	use := func(pressed bool) (n int) {
		r := newRig(t, set)
		r.submit(Job{ID: 1, Kind: "a", Owner: "x"}, Job{ID: 9, Kind: "b", Owner: "y", Earliest: time.Hour})
		for now := 100 * time.Millisecond; now <= 20*sec; now += 100 * time.Millisecond {
			part := 1.0
			if pressed {
				part = 0.99
			}
			r.step(SetAllowance{part})
			for len(r.running) > 0 {
				r.end(SliceEnded{Used: Cost{CPU: 5}, More: true})
				n += 5
			}
			r.at(now)
		}
		return n
	}
	if alone, pressed := use(false), use(true); alone < 1800 || alone > 2200 || pressed < 900 || pressed > 1150 {
		t.Errorf("alone it had %d of 2000, with what was lent taken back %d", alone, pressed)
	}
}

// What was lent is back in the moment in which live traffic needs it, not when it is used up.
func TestScheduler_PressureEmptiesPool(t *testing.T) {
	half := Rates{CPU: {PerSecond: 50, Burst: 50}}
	set := one(Settings{Rates: Rates{CPU: {PerSecond: 100, Burst: 1000}}, Kinds: map[string]Kind{"a": {Rates: half}, "b": {Rates: half}}})
	for _, pressed := range []bool{false, true} {
		r := newRig(t, set)
		r.at(10 * sec) // b has not used anything: the pool is full
		if pressed {
			r.step(SetAllowance{0.5})
		}
		r.submit(Job{ID: 1, Kind: "a", Owner: "x"})
		n := 0
		for len(r.running) > 0 && n < 1000 {
			r.end(SliceEnded{Used: Cost{CPU: 10}, More: true})
			n += 10
		}
		if want := map[bool]int{false: 150, true: 50}[pressed]; n < want-10 || n > want+10 {
			t.Errorf("pressed %v: it had %d at once, want about %d", pressed, n, want)
		}
	}
}

// An owner whose jobs wait for their time has no claim to what it did not use meanwhile.
func TestScheduler_IdleOwnerHasNoClaim(t *testing.T) {
	r := newRig(t, one(Settings{Rates: Rates{CPU: {PerSecond: 100, Burst: 1e9}}}))
	r.submit(Job{ID: 1, Kind: "k", Owner: "idle", Earliest: 100 * sec}, Job{ID: 2, Kind: "k", Owner: "busy"})
	for r.now < 100*sec {
		r.end(SliceEnded{Used: Cost{CPU: 100}, More: true})
		r.at(r.now + sec)
	}
	got := map[ID]int{}
	for range 20 {
		got[r.end(SliceEnded{Used: Cost{CPU: 100}, More: true})]++
	}
	if got[1] < 8 || got[1] > 12 {
		t.Errorf("of 20 slices the one that was idle has %d", got[1])
	}
}

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

func TestScheduler_Retries(t *testing.T) {
	set := one(Settings{Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: sec, MaxBackoff: 10 * sec, MaxFailures: 4, Ratio: 0.1, Credit: 100}}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"})
	for _, pause := range []time.Duration{sec / 2, sec, 2 * sec} { // half of 1, 2, 4 s: the random number is a half
		r.end(SliceEnded{Failure: "no"})
		r.runs().why(1, "pause after a failure")
		if r.s.Next() != r.now+pause {
			t.Fatalf("again at %v, want after %v", r.s.Next()-r.now, pause)
		}
		r.at(r.now + pause).runs(1)
	}
	r.end(SliceEnded{Failure: "still no"})
	if r.parked[1] != "still no" || r.s.Next() != never {
		t.Error(r.parked, r.s.Next())
	}
	r.step(Command{Verb: Run, ID: 1}).runs(1)
	r.end(SliceEnded{Failure: "no"})
	r.at(r.s.Next()).runs(1) // its failures count anew
	r.end(SliceEnded{})
	if len(r.over) != 1 {
		t.Error(r.over)
	}
}

// Ten thousand jobs that all fail: what is tried again is bounded by the kind's budget, not by how many there are; and
// each goes on, at last, when the outage ends.
func TestScheduler_RetryBudgetPreventsStorm(t *testing.T) {
	set := Settings{Limits: Limits{Running: 10}, Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: 100 * time.Millisecond, MaxBackoff: sec, Ratio: 0.1, Credit: 20}}}}
	r := newRig(t, set)
	const jobs = 10_000
	for i := range jobs {
		r.submit(Job{ID: ID(i + 1), Kind: "k", Owner: "a"})
	}
	tries := 0
	until := func(end time.Duration, outage bool) {
		for r.now < end {
			for len(r.running) > 0 {
				e := SliceEnded{}
				if outage {
					e.Failure = "down"
				}
				r.end(e)
				tries++
			}
			r.at(min(end, max(r.s.Next(), r.now+time.Millisecond)))
		}
	}
	until(5*time.Minute, true)
	if most := jobs + 20 + 5*60/int(creditInterval/sec) + 2; tries > most {
		t.Errorf("%d tries of %d jobs in an outage, %d are allowed", tries, jobs, most)
	}
	until(3*time.Hour, false)
	if len(r.over) != jobs {
		t.Errorf("%d of %d are done", len(r.over), jobs)
	}
}

func TestScheduler_CircuitBreaker(t *testing.T) {
	set := one(Settings{Breaker: Breaker{FailureThreshold: 2, OpenTime: 10 * sec}, Kinds: map[string]Kind{"k": {Retry: Retry{InitialBackoff: 1, MaxBackoff: 1, Credit: 100}}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a", Resource: "disk"}, Job{ID: 2, Kind: "k", Owner: "a", Resource: "disk"}, Job{ID: 3, Kind: "k", Owner: "b"})
	r.end(SliceEnded{Failure: "EIO"})
	r.runs(3)
	r.end(SliceEnded{})
	r.at(sec).runs(2)
	r.end(SliceEnded{Failure: "EIO"}) // the second in a row
	r.at(2*sec).runs().why(1, "breaker of disk").why(2, "breaker of disk")
	if r.s.Next() != 11*sec {
		t.Errorf("looks again at %v", r.s.Next())
	}
	r.at(11 * sec).runs(1) // one tries
	r.end(SliceEnded{Failure: "EIO"})
	r.at(12 * sec).runs()
	r.at(21 * sec)
	if len(r.running) != 1 {
		t.Fatal(r.running)
	}
	r.end(SliceEnded{More: true}) // well again: both go on
	r.at(22 * sec)
	for len(r.running) > 0 {
		r.end(SliceEnded{})
	}
	if len(r.over) != 3 || len(r.s.breakers) != 0 {
		t.Error(r.over, len(r.s.breakers))
	}
}

func TestScheduler_PauseResumeWindow(t *testing.T) {
	night := &Window{From: 22 * time.Hour, To: 5 * time.Hour, Zone: time.UTC}
	r := newRig(t, one(Settings{Kinds: map[string]Kind{"export": {Window: night}}}))
	r.step(Command{Verb: Pause, Kind: "k"}, Command{Verb: Pause, Owner: "o"})
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"}, Job{ID: 2, Kind: "x", Owner: "o"}, Job{ID: 3, Kind: "export", Owner: "a"}).runs()
	r.why(1, "paused").why(2, "paused").why(3, "window of export")
	if r.s.Next() != 10*time.Hour {
		t.Errorf("the window opens in %v", r.s.Next())
	}
	r.step(Command{Verb: Resume, Kind: "k"}).runs(1)
	r.end(SliceEnded{})
	r.step(Command{Verb: Resume, Owner: "o"}).runs(2)
	r.end(SliceEnded{})
	r.at(10 * time.Hour).runs(3)
}

func TestScheduler_Capacity(t *testing.T) {
	r := newRig(t, one(Settings{Limits: Limits{Jobs: 5, OwnerJobs: 3, Bytes: 100, Depth: 1}}))
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"}, Job{ID: 2, Kind: "k", Owner: "a"}, Job{ID: 3, Kind: "k", Owner: "a"}, Job{ID: 4, Kind: "k", Owner: "a"},
		Job{ID: 5, Kind: "k", Owner: "b", Size: 101}, Job{ID: 6, Kind: "k", Owner: "b", Depth: 2}, Job{ID: 1, Kind: "k", Owner: "b"}, Job{ID: 7, Kind: "k", Owner: "b", Priority: 9},
		Job{ID: 8, Kind: "k", Owner: "c"}, Job{ID: 9, Kind: "k", Owner: "d"}, Job{ID: 10, Kind: "k", Owner: "e"})
	for id, want := range map[ID]string{4: "one owner may have 3", 5: "bytes", 6: "2 deep", 1: "number is taken", 7: "priority 9", 10: "5 jobs are held"} {
		if !strings.Contains(r.refused[id], want) {
			t.Errorf("job %d: %q, want %q", id, r.refused[id], want)
		}
	}
	if n, _ := r.s.Len(); n != 5 || len(r.refused) != 6 {
		t.Error(n, r.refused)
	}
	if err := r.s.CheckCapacity(Job{Owner: "x"}); err == nil {
		t.Error("there is room")
	}
}

// jain is Jain's index of fairness: 1 if all have the same.
func jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	return sum * sum / (float64(len(x)) * squares)
}

// Owners with a million jobs beside one, with slices that cost alike, otherwise, or not what they said: as long as two of
// them have work, what they got over their weights differs by no more than the sum of each one's largest slice over its
// weight, and a little for slices that cost nothing.
func TestScheduler_Fairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners := []string{"a", "b", "c", "d"}
		weights := map[string]float64{}
		for _, o := range owners {
			weights[o] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
		}
		workers := rapid.IntRange(1, 3).Draw(t, "workers")
		set := Settings{Rates: Rates{CPU: {PerSecond: 1000, Burst: 1e12}, Net: {PerSecond: 500, Burst: 1e12}}, Weights: weights, Limits: Limits{Running: workers}}
		s := New(set, func() float64 { return 0 })
		rnd := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		owner := map[ID]string{}
		var running []ID
		id := ID(0)
		book := func(acts []Action) {
			for _, a := range acts {
				if a, ok := a.(Start); ok {
					running = append(running, a.ID)
				}
			}
		}
		for _, o := range owners {
			for range workers + rapid.IntRange(0, 3).Draw(t, "jobs") { // always one that waits, or runs
				id++
				owner[id] = o
				book(s.Step(0, monday, Submit{Job: Job{ID: id, Kind: "k", Owner: o, Priority: Normal, SliceCost: Cost{CPU: int64(rnd.IntN(50))}}}))
			}
		}
		got, largest := map[string]float64{}, map[string]float64{}
		for n := range 600 {
			i := rnd.IntN(len(running))
			x := running[i]
			running = slices.Delete(running, i, i+1)
			used := Cost{CPU: int64(rnd.IntN(100)), Net: int64(rnd.IntN(20))}
			o := owner[x]
			share := set.Rates.dominantShare(used)
			got[o] += share
			largest[o] = max(largest[o], share, 0.05)
			book(s.Step(time.Duration(n)*time.Millisecond, monday, SliceEnded{ID: x, Used: used, More: true}))
		}
		for _, a := range owners {
			for _, b := range owners {
				lag := math.Abs(got[a]/weights[a] - got[b]/weights[b])
				// With several workers as many slices of each may be under way.
				bound := float64(2*workers) * (largest[a]/weights[a] + largest[b]/weights[b])
				if lag > bound {
					t.Fatalf("%s got %.3f and %s %.3f over their weights: a lag of %.3f, %.3f is the bound", a, got[a]/weights[a], b, got[b]/weights[b], lag, bound)
				}
			}
		}
	})
	// A member with very many jobs beside one with one, which comes later: it goes at once.
	r := newRig(t, one(Settings{}))
	for i := range 20_000 {
		r.submit(Job{ID: ID(i + 1), Kind: "k", Owner: "many", Priority: Normal})
	}
	for range 100 {
		r.end(SliceEnded{Used: Cost{CPU: 1}})
	}
	r.submit(Job{ID: 50_000, Kind: "k", Owner: "single", Priority: Normal})
	r.end(SliceEnded{})
	if r.running[0] != 50_000 {
		t.Errorf("job %d goes first", r.running[0])
	}
	if got := jain([]float64{1, 1, 1, 1}); got != 1 {
		t.Error(got)
	}
}

// Generated histories against what the rules say, looked at from outside: no job is lost, no lock has two, no more run than
// may, nothing waits that may run, and among those that may run the next one is of the best priority (but for every eighth).
func TestScheduler_Invariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 3).Draw(t, "workers")
		set := Settings{Limits: Limits{Running: workers}, Breaker: Breaker{FailureThreshold: 2, OpenTime: 5 * sec},
			Kinds: map[string]Kind{"k0": {Retry: Retry{InitialBackoff: sec, MaxBackoff: 4 * sec, MaxFailures: 3, Ratio: 0.5, Credit: 3}}, "k1": {Running: 1}}}
		if rapid.Bool().Draw(t, "budget") {
			set.Rates[CPU] = Rate{PerSecond: 10, Burst: 10}
		}
		s := New(set, func() float64 { return 0.25 })
		held, running, parked := map[ID]Job{}, map[ID]bool{}, map[ID]bool{}
		now := time.Duration(0)
		id := ID(0)
		dropping := map[ID]bool{}
		check := func(acts []Action) {
			for _, a := range acts {
				switch a := a.(type) {
				case Start:
					if running[a.ID] || parked[a.ID] || held[a.ID].ID == 0 {
						t.Fatalf("job %d is started, and can't be", a.ID)
					}
					running[a.ID] = true
				case Finished:
					if _, ok := held[a.ID]; !ok || a.Dropped != dropping[a.ID] {
						t.Fatalf("job %d is over (%v)", a.ID, a.Dropped)
					}
					delete(held, a.ID)
					delete(running, a.ID)
					delete(parked, a.ID)
				case Park:
					parked[a.ID] = true
					delete(running, a.ID)
				case Reject:
					t.Fatalf("%+v", a)
				case Stop: // the slice is ended below, as any
				}
			}
			if len(running) > workers {
				t.Fatalf("%d run", len(running))
			}
			locks, kinds := map[string]ID{}, map[string]int{}
			for x := range running {
				j := held[x]
				if j.Lock != "" && locks[j.Lock] != 0 {
					t.Fatalf("jobs %d and %d have lock %s", x, locks[j.Lock], j.Lock)
				}
				locks[j.Lock] = x
				kinds[j.Kind]++
			}
			if kinds["k1"] > 1 {
				t.Fatal("two of a kind that runs one")
			}
			views := s.Views(Filter{})
			if len(views) != len(held) {
				t.Fatalf("%d jobs are held, %d should be", len(views), len(held))
			}
			for _, v := range views {
				if (v.State == "running") != running[v.ID] || (v.State == "parked") != parked[v.ID] {
					t.Fatalf("%+v; running %v, parked %v", v, running[v.ID], parked[v.ID])
				}
				// A job that has nothing to wait for but its turn waits only for a worker.
				if v.Reason == "its turn" && len(running) < workers {
					t.Fatalf("job %d waits for nothing, and %d of %d run", v.ID, len(running), workers)
				}
				if v.State == "waiting" && v.Reason == "" {
					t.Fatalf("%+v: nobody says why", v)
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
				held[id] = j
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
					if _, ok := held[x]; ok {
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
		// Left alone, with all slices ending well, all that is not parked is done.
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
		for x := range held {
			if !parked[x] {
				t.Fatalf("job %d is never done: %+v", x, s.Views(Filter{ID: x}))
			}
		}
	})
}

func keys(m map[ID]bool) []ID {
	var out []ID
	for k := range m {
		out = append(out, k)
	}
	return out
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{10, 10_000, 1_000_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := New(Settings{Limits: Limits{Running: 1}, Rates: Rates{CPU: {PerSecond: 1e9, Burst: 1e9}}}, rand.Float64)
			var running ID
			book := func(acts []Action) {
				for _, a := range acts {
					if a, ok := a.(Start); ok {
						running = a.ID
					}
				}
			}
			for i := range n {
				book(s.Step(0, monday, Submit{Job: Job{ID: ID(i + 1), Kind: "k", Owner: fmt.Sprint(i % 1000), Priority: Priority(i % 4), SliceCost: Cost{CPU: 10}}}))
			}
			b.ResetTimer()
			now := time.Duration(0)
			for range b.N {
				now += time.Microsecond
				book(s.Step(now, monday, SliceEnded{ID: running, Used: Cost{CPU: 12}, More: true}))
			}
		})
	}
}
