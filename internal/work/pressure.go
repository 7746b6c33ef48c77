package work

import "time"

// LoadSignals is the load of live traffic. Each signal is divided by its target, and the worst counts.
type LoadSignals struct {
	TurnLate    time.Duration // how late the loop's turns are
	Calls       float64       // calls in flight, as a fraction of the slots
	Pending     float64       // messages, as a fraction of their capacity
	Journal     float64       // as a fraction of its capacity
	DiskLatency time.Duration // from the begin of a write to the journal to the end of the loop's turn
}

// Targets are the signals above which background work steps back; 0 is no target.
type Targets struct {
	TurnLate    time.Duration
	Calls       float64
	Pending     float64
	Journal     float64
	DiskLatency time.Duration
}

// DefaultTargets returns targets that leave live traffic what it needs.
func DefaultTargets() Targets {
	return Targets{TurnLate: 5 * time.Millisecond, Calls: 0.8, Pending: 0.5, Journal: 0.7, DiskLatency: 50 * time.Millisecond}
}

// Constants of the controller; docs/design/work.md gives the reasons.
const (
	minAllowance     = 0.02
	decreaseInterval = 100 * time.Millisecond // between two steps down
	increaseInterval = 500 * time.Millisecond // and two up
	increaseStep     = 0.1
	decreaseFactor   = 0.5
	increaseBelow    = 0.8 // of a target: below, it goes up
	decreaseAbove    = 1.0
)

// Pressure controls which fraction of its budget background work may use: AIMD on the worst signal, with a dead band. With zero Targets
// it is always 1.
type Pressure struct {
	Targets Targets

	allowance   float64
	started     bool
	changedAt   time.Duration
	worst       float64
	worstSignal string
}

// Step takes in the load and returns the fraction, from minAllowance to 1. now does not go back.
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

// Worst returns the signal that counted in the last Step, and its ratio to its target.
func (p *Pressure) Worst() (name string, over float64) { return p.worstSignal, p.worst }

// Allowance returns the fraction that the last Step returned; 1 before the first.
func (p *Pressure) Allowance() float64 {
	if !p.started {
		return 1
	}
	return p.allowance
}
