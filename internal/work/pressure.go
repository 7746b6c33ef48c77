package work

import "time"

// Facts is how busy live work is. Each is taken over its target, and the worst counts.
type Facts struct {
	TurnLate    time.Duration // how late the loop's turns are
	Calls       float64       // calls out, of the slots there are
	Held        float64       // messages held, of the room for them
	Journal     float64       // of its room
	DiskLatency time.Duration // of a sync
}

// Targets are what is wanted: above, background work steps back.
type Targets struct {
	TurnLate    time.Duration
	Calls       float64
	Held        float64
	Journal     float64
	DiskLatency time.Duration
}

// DefaultTargets leave live traffic what it needs.
func DefaultTargets() Targets {
	return Targets{TurnLate: 5 * time.Millisecond, Calls: 0.8, Held: 0.5, Journal: 0.7, DiskLatency: 50 * time.Millisecond}
}

// The controller's figures; the design note says why.
const (
	pressureFloor  = 0.02
	pressureEvery  = 100 * time.Millisecond // between two steps down
	pressureUp     = 500 * time.Millisecond // and two up
	pressureStep   = 0.1
	pressureHalf   = 0.5
	pressureCalm   = 0.8 // of a target: below, it goes up
	pressureUrgent = 1.0
)

// Pressure says which part of its budget background work may use now: AIMD on the worst signal, with a dead band. A zero
// one allows all.
type Pressure struct {
	Targets Targets

	allow   float64
	begun   bool
	changed time.Duration
	worst   float64
	of      string
}

// Step takes in facts and gives the part, from the floor to 1.
func (p *Pressure) Step(now time.Duration, f Facts) float64 {
	if !p.begun {
		p.begun, p.allow, p.changed = true, 1, now-pressureUp
	}
	p.worst, p.of = 0, ""
	see := func(name string, is, target float64) {
		if target > 0 && is/target > p.worst {
			p.worst, p.of = is/target, name
		}
	}
	see("turns", float64(f.TurnLate), float64(p.Targets.TurnLate))
	see("calls", f.Calls, p.Targets.Calls)
	see("held", f.Held, p.Targets.Held)
	see("journal", f.Journal, p.Targets.Journal)
	see("disk", float64(f.DiskLatency), float64(p.Targets.DiskLatency))
	switch {
	case p.worst > pressureUrgent && now-p.changed >= pressureEvery:
		p.allow, p.changed = max(p.allow*pressureHalf, pressureFloor), now
	case p.worst < pressureCalm && now-p.changed >= pressureUp:
		p.allow, p.changed = min(p.allow+pressureStep, 1), now
	}
	return p.allow
}

// Worst is the signal that counted last, over its target.
func (p *Pressure) Worst() (name string, over float64) { return p.of, p.worst }

// Allow is the part that was given last.
func (p *Pressure) Allow() float64 {
	if !p.begun {
		return 1
	}
	return p.allow
}
