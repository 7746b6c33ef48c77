package work

import (
	"testing"
	"time"
)

// plant is live traffic and background work on one machine: a signal, over its target, that grows with both.
func plant(live, allow float64) LoadSignals {
	return LoadSignals{TurnLate: time.Duration((live + 0.6*allow) * float64(5*time.Millisecond))}
}

// response is what the controller gives over time, every 100 ms, to a live load.
func response(p *Pressure, from, to time.Duration, live func(time.Duration) float64) (allow []float64) {
	a := p.Allowance()
	for now := from; now < to; now += 100 * time.Millisecond {
		a = p.Step(now, plant(live(now), a))
		allow = append(allow, a)
	}
	return allow
}

// A step: down to the floor within 600 ms, all of it back within 5 s of its end.
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
		t.Errorf("before it %v", got[99])
	}
	if got[106] != minAllowance || got[199] != minAllowance {
		t.Errorf("600 ms into it %v, at its end %v", got[106], got[199])
	}
	if got[200+50] < 0.95 {
		t.Errorf("5 s after it %v", got[250])
	}
	if name, over := p.Worst(); name != "turns" || over > decreaseAbove {
		t.Error(name, over)
	}
}

// Under a load that leaves room for a part of it, it finds that part and stays near: it goes over the target for at most one
// look at a time, and the work that is done is at least nine tenths of what there is room for.
func TestPressure_FindsSpareCapacity(t *testing.T) {
	for _, live := range []float64{0.2, 0.5, 0.7, 0.9} {
		p := &Pressure{Targets: DefaultTargets()}
		got := response(p, 0, 120*sec, func(time.Duration) float64 { return live })
		sum, over, most, swings := 0.0, 0, 0, 0
		settled := got[200:]
		for i, a := range settled {
			sum += a
			if live+0.6*a > 1 {
				over++
				most = max(most, over)
			} else {
				over = 0
			}
			if i > 0 && a < settled[i-1] {
				swings++
			}
		}
		room := min(1, (1-live)/0.6)
		calm := min(1, (increaseBelow-live)/0.6) // it stops growing within the dead band
		if mean := sum / float64(len(settled)); mean < 0.9*max(calm, minAllowance) || mean > room+0.05 {
			t.Errorf("live %v: it gives %.3f, there is room for %.3f", live, mean, room)
		}
		if most > 1 || swings > 5 {
			t.Errorf("live %v: over its target for %d looks in a row, %d swings in 100 s", live, most, swings)
		}
	}
}

// A ramp is followed, and a square wave of a second neither drives it to nothing between nor lets it stand over the target.
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
		t.Errorf("over its target in %d of %d looks", over, len(got))
	}
}
