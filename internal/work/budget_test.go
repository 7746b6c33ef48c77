package work

import (
	"testing"
	"time"
)

// A slice that uses a hundred times its estimate puts the budget of its kind, its owner or all work into debt. The next slice under that
// budget must wait until the debt is repaid.
func TestScheduler_BudgetDebt(t *testing.T) {
	rate := Rates{DiskWrite: {PerSecond: 100, Burst: 100}}
	for name, c := range map[string]struct {
		set Settings
		why string
	}{"kind": {Settings{Kinds: map[string]Kind{"k": {Rates: rate}}}, "budget of k"}, "owner": {Settings{Owners: rate}, "budget of a"}, "all": {Settings{Rates: rate}, "budget of all work"}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, singleWorker(c.set))
			r.submit(Job{ID: 1, Kind: "k", Owner: "a", SliceCost: Cost{DiskWrite: 10}}, Job{ID: 2, Kind: "k", Owner: "a"}).wantRunning(1)
			r.end(SliceEnded{Used: Cost{DiskWrite: 1000}})
			r.wantRunning().wantReason(2, c.why)
			if next := r.s.Next(); next < 9*sec || next > 9*sec+10*time.Millisecond {
				t.Errorf("Next is %v, want about 9s", next)
			}
			r.at(9 * sec).wantRunning()
			r.at(r.s.Next()).wantRunning(2)
			r.end(SliceEnded{}) // the estimate was not used and is refunded
			if got := len(r.finished); got != 2 {
				t.Error(got)
			}
		})
	}
}

func TestScheduler_BudgetReducedWhileSliceRuns(t *testing.T) {
	set := singleWorker(Settings{Rates: Rates{CPU: {PerSecond: 10, Burst: 10}}})
	r := newRig(t, set)
	r.submit(Job{ID: 1, Kind: "k", Owner: "a"}, Job{ID: 2, Kind: "k", Owner: "a"}).wantRunning(1)
	r.step(SetAllowance{0})
	r.end(SliceEnded{Used: Cost{CPU: 11}})
	r.wantRunning().wantReason(2, "pressure of live traffic")
	r.at(time.Hour).wantRunning()
	r.step(SetAllowance{0.5}).at(time.Hour + 300*time.Millisecond).wantRunning(2)
}

// Budget that one kind does not use is lent to other kinds through the pool, but not under pressure.
func TestScheduler_PoolLendsUnusedBudget(t *testing.T) {
	half := Rates{CPU: {PerSecond: 50, Burst: 50}}
	set := Settings{Rates: Rates{CPU: {PerSecond: 100, Burst: 100}}, Kinds: map[string]Kind{"a": {Rates: half}, "b": {Rates: half}}, Limits: Limits{Running: 1}}
	use := func(underPressure bool) (n int) {
		r := newRig(t, set)
		r.submit(Job{ID: 1, Kind: "a", Owner: "x"}, Job{ID: 9, Kind: "b", Owner: "y", Earliest: time.Hour})
		for now := 100 * time.Millisecond; now <= 20*sec; now += 100 * time.Millisecond {
			fraction := 1.0
			if underPressure {
				fraction = 0.99
			}
			r.step(SetAllowance{fraction})
			for len(r.running) > 0 {
				r.end(SliceEnded{Used: Cost{CPU: 5}, More: true})
				n += 5
			}
			r.at(now)
		}
		return n
	}
	if alone, pressed := use(false), use(true); alone < 1800 || alone > 2200 || pressed < 900 || pressed > 1150 {
		t.Errorf("kind a used %d of 2000 without pressure, and %d under pressure", alone, pressed)
	}
}

// The pool is emptied as soon as live traffic causes pressure, not only when its budget is used up.
func TestScheduler_PressureEmptiesPool(t *testing.T) {
	half := Rates{CPU: {PerSecond: 50, Burst: 50}}
	set := singleWorker(Settings{Rates: Rates{CPU: {PerSecond: 100, Burst: 1000}}, Kinds: map[string]Kind{"a": {Rates: half}, "b": {Rates: half}}})
	for _, underPressure := range []bool{false, true} {
		r := newRig(t, set)
		r.at(10 * sec) // b has not used anything: the pool is full
		if underPressure {
			r.step(SetAllowance{0.5})
		}
		r.submit(Job{ID: 1, Kind: "a", Owner: "x"})
		n := 0
		for len(r.running) > 0 && n < 1000 {
			r.end(SliceEnded{Used: Cost{CPU: 10}, More: true})
			n += 10
		}
		if want := map[bool]int{false: 150, true: 50}[underPressure]; n < want-10 || n > want+10 {
			t.Errorf("under pressure %v: kind a used %d at once, want about %d", underPressure, n, want)
		}
	}
}
