package work

import (
	"testing"
	"time"
)

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
