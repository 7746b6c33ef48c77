package receiver

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/fault"
)

const sec = time.Second

// plain is a receiver that serves each call in 100 ms, ten at once.
func plain() Spec {
	return Spec{Slots: 10, Queue: 5, Service: 100 * time.Millisecond, Times: "fixed", Capacity: 100, LimitKind: "none",
		SlowStartCapacity: 0.2, SlowStart: 10 * sec, FallMultiple: 2, FallSpan: 3 * sec}
}

func only(t *testing.T, out []Outcome) Outcome {
	t.Helper()
	if len(out) != 1 {
		t.Fatalf("outcomes %+v, want one", out)
	}
	return out[0]
}

// observedOutcome returns the outcome of a call that arrives at a time: its answer within 1450 ms, or why there is none.
func observedOutcome(m *Model, now time.Duration, call int64) string {
	if c := m.Condition(); c.Shut && !c.Unreachable {
		return "shut"
	}
	out, _ := m.Arrive(now, 0, call)
	out = append(out, m.Advance(now+1450*time.Millisecond)...)
	for _, o := range out {
		if o.Call != call {
			continue
		}
		switch {
		case o.Status == 429:
			return "wait"
		case o.Status == 503:
			return "refuse"
		case o.Status == 500:
			return "fail"
		case o.Exit == fault.Broken:
			return "reset"
		case o.Exit == fault.Corrupt:
			return "spoil"
		}
		return "served"
	}
	if m.Condition().Unreachable {
		return "vanish"
	}
	return "hang"
}

// sample returns a fault of the given kind at full strength.
func sample(k fault.Kind) fault.Fault {
	return fault.Fault{Kind: k, Fraction: 1, Factor: 3, Wait: 100 * time.Millisecond}
}

// outcomeAlone is the outcome of a call under a single fault. With a slow receiver, a drain, a slow start or closed idle connections
// the model serves the call.
var outcomeAlone = map[fault.Kind]string{fault.Vanish: "vanish", fault.Shut: "shut", fault.Hang: "hang", fault.CloseIdle: "served",
	fault.Wait: "wait", fault.Refuse: "refuse", fault.Fail: "fail", fault.Slow: "served", fault.Reset: "reset",
	fault.Spoil: "spoil", fault.Drain: "served", fault.SlowStart: "served"}

// precedence is the order of the table in docs/design/rehearsal.md: the first active fault decides.
var precedence = []fault.Kind{fault.Vanish, fault.Shut, fault.Hang, fault.Wait, fault.Refuse, fault.Fail, fault.Reset, fault.Spoil}

func winningOutcome(a, b fault.Kind) string {
	for _, k := range precedence {
		if k == a || k == b {
			return outcomeAlone[k]
		}
	}
	return "served"
}

func outage(k fault.Kind) bool {
	switch k {
	case fault.Vanish, fault.Shut, fault.Hang, fault.Refuse, fault.Fail, fault.Reset, fault.Spoil:
		return true
	default: // the other faults are no outage
	}
	return false
}

// Tests every pair of faults in both orders: a runs from 1 to 5 s, b from 3 to 7 s. While both run, precedence decides; once a has
// ended, b acts as if alone. Both make a single outage, from the first begin to the last end, and a single slow start at its end.
func TestModel_EachPairOfFaults(t *testing.T) {
	for _, a := range fault.All() {
		for _, b := range fault.All() {
			t.Run(fmt.Sprintf("%v+%v", a, b), func(t *testing.T) {
				m := NewModel(plain(), 1, 7)
				began, ended := 0, 0
				count := func(_ []Outcome, c Change) {
					if c.OutageBegan {
						began++
					}
					if c.OutageEnded {
						ended++
					}
				}
				expect := func(at time.Duration, call int64, want string) {
					t.Helper()
					if got := observedOutcome(m, at, call); got != want {
						t.Errorf("at %v the outcome of a call is %s, want %s", at, got, want)
					}
				}
				expect(0, 1, "served")
				count(m.Begin(1*sec, 1, sample(a)))
				expect(1500*time.Millisecond, 2, outcomeAlone[a])
				count(m.Begin(3*sec, 2, sample(b)))
				expect(3500*time.Millisecond, 3, winningOutcome(a, b))
				count(m.End(5*sec, 1))
				expect(5500*time.Millisecond, 4, outcomeAlone[b])
				count(m.End(7*sec, 2))
				if len(m.active) != 0 || m.Condition() != fault.Combine(nil) {
					t.Errorf("after both faults ended the condition is %+v", m.Condition())
				}
				outages, from := 0, time.Duration(-1)
				switch {
				case outage(a) && outage(b):
					outages, from = 1, 7*sec
				case outage(a):
					outages, from = 1, 5*sec
				case outage(b):
					outages, from = 1, 7*sec
				}
				if a == fault.SlowStart && from < 0 {
					from = 1 * sec
				}
				if b == fault.SlowStart && !outage(a) {
					from = 3 * sec
				}
				if began != outages || ended != outages {
					t.Errorf("%d outages began and %d ended, want %d", began, ended, outages)
				}
				if m.slowStarted != (from >= 0) || (m.slowStarted && m.slowStartBegan != from) {
					t.Errorf("slow start %v since %v, want since %v", m.slowStarted, m.slowStartBegan, from)
				}
				// At 60 s the receiver serves normally again: calls that arrived in a hang have been served or dropped.
				m.Advance(30 * sec)
				expect(60*sec, 5, "served")
				if len(m.unanswered) != 0 {
					t.Errorf("%d calls are still unanswered", len(m.unanswered))
				}
			})
		}
	}
}

// Fractions of the same fault combine as independent events, factors multiply, and the longest wait is used.
func TestModel_SameFaultTwice(t *testing.T) {
	c := fault.Combine([]fault.Fault{{Kind: fault.Fail, Fraction: 0.5}, {Kind: fault.Fail, Fraction: 0.5}, {Kind: fault.Slow, Factor: 2},
		{Kind: fault.Slow, Factor: 3}, {Kind: fault.Wait, Wait: sec}, {Kind: fault.Wait, Wait: 3 * sec}})
	if c.Fails != 0.75 || c.Slow != 6 || c.Wait != 3*sec {
		t.Errorf("%+v", c)
	}
}

// Fail, reset and spoil are an outage if together they affect at least half of the calls.
func TestOutageByShares(t *testing.T) {
	for _, c := range []struct {
		fail, reset, spoil float64
		want               bool
	}{{0.49, 0, 0, false}, {0.5, 0, 0, true}, {0.3, 0.2, 0, false}, {0.3, 0.25, 0, false}, {0.3, 0.2, 0.2, true}} {
		on := []fault.Fault{{Kind: fault.Fail, Fraction: c.fail}, {Kind: fault.Reset, Fraction: c.reset}, {Kind: fault.Spoil, Fraction: c.spoil}}
		if got := fault.Combine(on).Outage(); got != c.want {
			t.Errorf("%+v is an outage: %v", c, got)
		}
	}
}

// A hang also stops calls that are in service; they continue when it ends, at the speed of a slow start.
func TestHangStopsWhatIsInService(t *testing.T) {
	m := NewModel(plain(), 1, 1)
	m.Arrive(0, 0, 1)
	m.Begin(50*time.Millisecond, 1, sample(fault.Hang))
	m.Arrive(100*time.Millisecond, 0, 2)
	if out := m.Advance(10 * sec); len(out) != 0 {
		t.Fatalf("calls answered during a hang: %+v", out)
	}
	m.End(10*sec, 1)
	// 50 and 100 ms of service are left at 20% speed, which rises slowly.
	if o := only(t, m.Advance(10*sec+260*time.Millisecond)); o.Call != 1 || o.Status != 200 {
		t.Errorf("%+v", o)
	}
	if out := m.Advance(10*sec + 400*time.Millisecond); len(out) != 0 {
		t.Errorf("served too fast for a slow start: %+v", out)
	}
	if o := only(t, m.Advance(10*sec+510*time.Millisecond)); o.Call != 2 {
		t.Errorf("%+v", o)
	}
}

// When a vanished receiver returns, earlier calls are dropped with their connections.
func TestVanishDropsOnReturn(t *testing.T) {
	m := NewModel(plain(), 1, 1)
	m.Arrive(0, 0, 1)
	m.Begin(10*time.Millisecond, 1, sample(fault.Vanish))
	m.Arrive(20*time.Millisecond, 0, 2)
	out, c := m.End(5*sec, 1)
	if len(out) != 2 || !out[0].Dropped || !out[1].Dropped || !c.Reset || !c.OutageEnded {
		t.Errorf("%+v %+v", out, c)
	}
}

// A receiver in slow start collapses at one call over its load limit, and stays down whatever fault ends later.
func TestModel_CollapsesAboveLoadLimit(t *testing.T) {
	for _, over := range []int{0, 1} {
		m := NewModel(plain(), 1, 1)
		m.Begin(0, 1, sample(fault.Refuse))
		m.End(5*sec, 1)
		// Right after the outage the load limit is 2 x 0.2 x 100/s x 3 s = 120 calls plus a slack of 10.95.
		fell := false
		for i := range 130 + over {
			_, c := m.Arrive(5*sec, 0, int64(i))
			fell = fell || c.Collapsed
		}
		if fell != (over > 0) {
			t.Errorf("%d calls over the limit: collapsed %v", over, fell)
		}
		m.Begin(6*sec, 2, sample(fault.Refuse))
		m.End(7*sec, 2)
		if m.Condition().Shut != (over > 0) {
			t.Errorf("%d calls over the limit: shut %v", over, m.Condition().Shut)
		}
	}
}

// The same number of calls must not make a receiver collapse at full capacity or during an outage.
func TestModel_CollapsesOnlyDuringSlowStart(t *testing.T) {
	m := NewModel(plain(), 1, 1)
	for i := range 500 {
		m.Arrive(0, 0, int64(i))
	}
	m.Begin(sec, 1, sample(fault.Refuse))
	for i := range 500 {
		m.Arrive(2*sec, 0, int64(1000+i))
	}
	m.End(3*sec, 1)
	m.Advance(14 * sec)
	for i := range 500 {
		m.Arrive(14*sec, 0, int64(2000+i))
	}
	if m.collapsed {
		t.Error("the receiver collapsed")
	}
}

func TestModel_CapacityFractionInSlowStart(t *testing.T) {
	m := NewModel(plain(), 1, 1)
	if m.CapacityFraction(0) != 1 {
		t.Error("slow start without an outage")
	}
	m.Begin(0, 1, fault.Fault{Kind: fault.SlowStart})
	for at, want := range map[time.Duration]float64{0: 0.2, 5 * sec: 0.6, 10 * sec: 1, time.Hour: 1} {
		if got := m.CapacityFraction(at); got < want-1e-9 || got > want+1e-9 {
			t.Errorf("at %v %v, want %v", at, got, want)
		}
	}
}

func TestLimits(t *testing.T) {
	window := plain()
	window.LimitKind, window.Limit, window.Window = "window", 3, sec
	rate := plain()
	rate.LimitKind, rate.Limit = "rate", 10
	tells := window
	tells.TellsWait = 300 * time.Millisecond
	for name, c := range map[string]struct {
		spec   Spec
		at     []time.Duration
		status []int
		wait   time.Duration // of the first refusal
	}{
		"window":           {window, []time.Duration{0, 0, 0, 0, 999 * time.Millisecond, sec}, []int{0, 0, 0, 503, 503, 0}, 0},
		"window with wait": {tells, []time.Duration{0, 0, 0, 400 * time.Millisecond, sec}, []int{0, 0, 0, 429, 0}, 600 * time.Millisecond},
		"rate":             {rate, []time.Duration{0, 0, 0, 0, 0, 0, 100 * time.Millisecond, 150 * time.Millisecond}, []int{0, 0, 0, 0, 0, 503, 0, 503}, 0},
	} {
		m := NewModel(c.spec, 1, 1)
		first := true
		for i, at := range c.at {
			out, _ := m.Arrive(at, 0, int64(i))
			status, wait := 0, time.Duration(0)
			for _, o := range out {
				if o.Call == int64(i) {
					status, wait = o.Status, o.Wait
				}
			}
			if status != c.status[i] {
				t.Errorf("%s: call %d is answered %d, want %d", name, i, status, c.status[i])
			}
			if status != 0 && first {
				first = false
				if wait != c.wait {
					t.Errorf("%s: wait %v, want %v", name, wait, c.wait)
				}
			}
		}
	}
}

// Load reports are taken at intervals and shown with a delay.
func TestReportsAreLate(t *testing.T) {
	s := plain()
	s.LimitKind, s.Limit, s.Window, s.Reports = "window", 10, 10*sec, true
	s.ReportEach, s.ReportLate = 400*time.Millisecond, 100*time.Millisecond
	m := NewModel(s, 1, 1)
	left := func(at time.Duration) float64 {
		m.Advance(at)
		l, limit, ok := m.Report(at)
		if !ok || limit != 10 {
			t.Fatalf("%v %v", limit, ok)
		}
		return l
	}
	left(10 * time.Millisecond)
	for i := range 50 {
		m.Arrive(20*time.Millisecond, 0, int64(i))
	}
	if l := left(450 * time.Millisecond); l != 1 {
		t.Errorf("the report taken at 400 ms is shown before 500 ms: %v", l)
	}
	if l := left(510 * time.Millisecond); l != 0.5 {
		t.Errorf("at 510 ms %v is left, want 0.5", l)
	}
	if l := left(time.Hour); l != 1 {
		t.Errorf("an hour later %v is left", l)
	}
}

// A full queue refuses calls; each endpoint has a queue of its own.
func TestQueue(t *testing.T) {
	m := NewModel(plain(), 2, 1)
	for i := range 15 {
		if out, _ := m.Arrive(0, 0, int64(i)); len(out) != 0 {
			t.Fatalf("call %d: %+v", i, out)
		}
	}
	if o := func() Outcome { out, _ := m.Arrive(0, 0, 15); return only(t, out) }(); o.Status != 503 {
		t.Errorf("%+v", o)
	}
	if out, _ := m.Arrive(0, 1, 16); len(out) != 0 {
		t.Errorf("the other endpoint: %+v", out)
	}
	if out := m.Advance(sec); len(out) != 16 {
		t.Errorf("%d served", len(out))
	}
}

// Under random faults each call ends exactly once, nothing panics, time never goes back, and the same seed gives the same outcomes.
func TestModel_EachCallFinishesOnce(t *testing.T) {
	for seed := range uint64(400) {
		play := func() (ends map[int64]Outcome, calls int64) {
			rng := rand.New(rand.NewPCG(seed, 3))
			spec := plain()
			spec.Times = []string{"fixed", "exp", "lognormal"}[rng.IntN(3)]
			spec.Spread = 0.8
			if rng.IntN(2) == 0 {
				spec.LimitKind, spec.Limit, spec.Window = []string{"rate", "window"}[rng.IntN(2)], 20, sec
			}
			m := NewModel(spec, 1+rng.IntN(3), seed)
			ends = map[int64]Outcome{}
			note := func(out []Outcome) {
				for _, o := range out {
					if _, twice := ends[o.Call]; twice {
						t.Fatalf("seed %d: call %d ends twice", seed, o.Call)
					}
					ends[o.Call] = o
				}
			}
			now, on := time.Duration(0), map[int]bool{}
			gone := map[int]bool{}
			for range 300 {
				now += time.Duration(rng.ExpFloat64() * float64(80*time.Millisecond))
				switch x := rng.IntN(20); {
				case x == 0:
					n := rng.IntN(5)
					if !on[n] {
						k := fault.Kind(rng.IntN(12))
						out, _ := m.Begin(now, n, fault.Fault{Kind: k, Fraction: 0.3 + 0.7*rng.Float64(), Factor: 4, Wait: sec})
						note(out)
						on[n] = true
					}
				case x == 1:
					n := rng.IntN(5)
					out, _ := m.End(now, n)
					note(out)
					delete(on, n)
				case x == 2 && len(m.endpoints) > 1 && rng.IntN(10) == 0:
					e := rng.IntN(len(m.endpoints))
					if !gone[e] {
						gone[e] = true
						note(m.Remove(now, e))
					}
				case x == 3:
					if at, ok := m.Next(); ok {
						now = max(now, at)
					}
					note(m.Advance(now))
				default:
					calls++
					out, _ := m.Arrive(now, rng.IntN(len(m.endpoints)), calls)
					note(out)
				}
			}
			for n := range 5 {
				out, _ := m.End(now, n)
				note(out)
			}
			note(m.Advance(now + time.Hour))
			return ends, calls
		}
		ends, calls := play()
		if int64(len(ends)) != calls {
			t.Fatalf("seed %d: %d of %d calls ended", seed, len(ends), calls)
		}
		again, _ := play()
		for c, o := range ends {
			if again[c] != o {
				t.Fatalf("seed %d: call %d ended %+v, then %+v", seed, c, o, again[c])
			}
		}
	}
}

// Advancing to the times that Next returns must reach the end of the call: each step must make progress.
func TestNextMakesProgress(t *testing.T) {
	m := NewModel(plain(), 1, 1)
	m.Begin(0, 1, fault.Fault{Kind: fault.SlowStart})
	m.Arrive(0, 0, 1)
	for i := 0; ; i++ {
		at, ok := m.Next()
		if !ok {
			break
		}
		if len(m.Advance(at)) > 0 {
			return
		}
		if i > 1000 {
			t.Fatal("the call has not ended after a thousand steps")
		}
	}
	t.Error("Next reports nothing due, but the call has not ended")
}

func BenchmarkModel(b *testing.B) {
	m := NewModel(plain(), 2, 1)
	now := time.Duration(0)
	for i := range b.N {
		now += 10 * time.Millisecond
		m.Arrive(now, i%2, int64(i))
		m.Advance(now + 5*time.Millisecond)
	}
}
