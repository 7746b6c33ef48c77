package work

import "time"

// LoadSignals is how busy live work is. Each is taken over its target, and the worst counts.
type LoadSignals struct {
	TurnLate    time.Duration // how late the loop's turns are
	Calls       float64       // calls out, of the slots there are
	Pending     float64       // messages held, of the room for them
	Journal     float64       // of its room
	DiskLatency time.Duration // of a sync
}

// Targets are what is wanted: above, background work steps back.
type Targets struct {
	TurnLate    time.Duration
	Calls       float64
	Pending     float64
	Journal     float64
	DiskLatency time.Duration
}

// DefaultTargets leave live traffic what it needs.
func DefaultTargets() Targets {
	return Targets{TurnLate: 5 * time.Millisecond, Calls: 0.8, Pending: 0.5, Journal: 0.7, DiskLatency: 50 * time.Millisecond}
}

// The controller's figures; the design note says why.
const (
	minAllowance     = 0.02
	decreaseInterval = 100 * time.Millisecond // between two steps down
	increaseInterval = 500 * time.Millisecond // and two up
	increaseStep     = 0.1
	decreaseFactor   = 0.5
	increaseBelow    = 0.8 // of a target: below, it goes up
	decreaseAbove    = 1.0
)

// Pressure says which part of its budget background work may use now: AIMD on the worst signal, with a dead band. A zero
// one allows all.
type Pressure struct {
	Targets Targets

	allowance   float64
	started     bool
	changedAt   time.Duration
	worst       float64
	worstSignal string
}

// Step takes in facts and gives the part, from the floor to 1.
func (p *Pressure) Step(now time.Duration, f LoadSignals) float64 {
	if !p.started {
		p.started, p.allowance, p.changedAt = true, 1, now-increaseInterval
	}
	p.worst, p.worstSignal = 0, ""
	see := func(name string, is, target float64) {
		if target > 0 && is/target > p.worst {
			p.worst, p.worstSignal = is/target, name
		}
	}
	see("turns", float64(f.TurnLate), float64(p.Targets.TurnLate))
	see("calls", f.Calls, p.Targets.Calls)
	see("held", f.Pending, p.Targets.Pending)
	see("journal", f.Journal, p.Targets.Journal)
	see("disk", float64(f.DiskLatency), float64(p.Targets.DiskLatency))
	switch {
	case p.worst > decreaseAbove && now-p.changedAt >= decreaseInterval:
		p.allowance, p.changedAt = max(p.allowance*decreaseFactor, minAllowance), now
	case p.worst < increaseBelow && now-p.changedAt >= increaseInterval:
		p.allowance, p.changedAt = min(p.allowance+increaseStep, 1), now
	}
	return p.allowance
}

// Worst is the signal that counted last, over its target.
func (p *Pressure) Worst() (name string, over float64) { return p.worstSignal, p.worst }

// Allowance is the part that was given last.
func (p *Pressure) Allowance() float64 {
	if !p.started {
		return 1
	}
	return p.allowance
}
