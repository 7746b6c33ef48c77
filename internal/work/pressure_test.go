package work

import (
	"testing"
	"time"
)

// plant models live traffic and background work on one machine: a signal whose ratio to its target grows with both.
func plant(live, allow float64) LoadSignals {
	return LoadSignals{TurnLate: time.Duration((live + 0.6*allow) * float64(5*time.Millisecond))}
}

// response returns the allowance over time, sampled every 100 ms, for a live load.
func response(p *Pressure, from, to time.Duration, live func(time.Duration) float64) (allow []float64) {
	a := p.Allowance()
	for now := from; now < to; now += 100 * time.Millisecond {
		a = p.Step(now, plant(live(now), a))
		allow = append(allow, a)
	}
	return allow
}

// A step of the load reduces the allowance to its minimum within 600 ms; it has recovered within 5 s of the step's end.
func TestPressure_Step(t *testing.T) {
	p := &Pressure{Targets: DefaultTargets()}
	load := func(now time.Duration) float64 {
		if now >= 10*sec && now < 20*sec {
			return 2
		}
		return 0.1
	}
	got := response(p, 0, 40*sec, load)
	if got[99] != 1 {
		t.Errorf("allowance before the step: %v, want 1", got[99])
	}
	if got[106] != minAllowance || got[199] != minAllowance {
		t.Errorf("allowance 600 ms into the step: %v, at its end: %v", got[106], got[199])
	}
	if got[200+50] < 0.95 {
		t.Errorf("allowance 5 s after the step: %v", got[250])
	}
	if name, over := p.Worst(); name != "turns" || over > decreaseAbove {
		t.Error(name, over)
	}
}

// Under a load that leaves spare capacity for some background work, the allowance settles near that capacity. The signal exceeds its
// target for at most one sample in a row, and the mean allowance is at least nine tenths of what the dead band permits.
func TestPressure_FindsSpareCapacity(t *testing.T) {
	for _, live := range []float64{0.2, 0.5, 0.7, 0.9} {
		p := &Pressure{Targets: DefaultTargets()}
		got := response(p, 0, 120*sec, func(time.Duration) float64 { return live })
		sum, over, longest, swings := 0.0, 0, 0, 0
		settled := got[200:]
		for i, a := range settled {
			sum += a
			if live+0.6*a > 1 {
				over++
				longest = max(longest, over)
			} else {
				over = 0
			}
			if i > 0 && a < settled[i-1] {
				swings++
			}
		}
		spare := min(1, (1-live)/0.6)
		growthLimit := min(1, (increaseBelow-live)/0.6) // the allowance stops growing within the dead band
		if mean := sum / float64(len(settled)); mean < 0.9*max(growthLimit, minAllowance) || mean > spare+0.05 {
			t.Errorf("live %v: mean allowance %.3f, spare capacity %.3f", live, mean, spare)
		}
		if longest > 1 || swings > 5 {
			t.Errorf("live %v: over the target for %d samples in a row, %d decreases in 100 s", live, longest, swings)
		}
	}
}

// The allowance follows a ramp of the load. Under a square wave with half-periods of a second the signal is rarely over its target.
func TestPressure_RampAndWave(t *testing.T) {
	p := &Pressure{Targets: DefaultTargets()}
	got := response(p, 0, 60*sec, func(now time.Duration) float64 { return now.Seconds() / 60 * 1.5 })
	for i, a := range got {
		live := float64(i) / 600 * 1.5
		if live < 0.15 && a < 0.9 || live > 1.05 && i > 430 && a > minAllowance {
			t.Fatalf("live %.2f: %v", live, a)
		}
	}
	p = &Pressure{Targets: DefaultTargets()}
	wave := func(now time.Duration) float64 {
		if now/sec%2 == 0 {
			return 0.9
		}
		return 0.1
	}
	over := 0
	got = response(p, 0, 60*sec, wave)
	for i, a := range got[100:] {
		if wave(time.Duration(i+100)*100*time.Millisecond)+0.6*a > 1 {
			over++
		}
	}
	if over > len(got)/20 {
		t.Errorf("over the target in %d of %d samples", over, len(got))
	}
}
