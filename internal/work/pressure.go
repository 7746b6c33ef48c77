package work

import "time"

// LoadSignals is the load of live traffic. Each signal is divided by its target; the controller uses the largest ratio.
type LoadSignals struct {
	TurnLate    time.Duration // how late the turns of the event loop are
	Calls       float64       // calls in flight, as a fraction of the slots
	Pending     float64       // pending messages, as a fraction of their capacity
	Journal     float64       // size of the journal, as a fraction of its capacity
	DiskLatency time.Duration // from the start of a write to the journal to the end of the event loop's turn
}

// Targets are the values of the signals above which background work is reduced; 0 is no target.
type Targets struct {
	TurnLate    time.Duration
	Calls       float64
	Pending     float64
	Journal     float64
	DiskLatency time.Duration
}

// DefaultTargets returns targets that leave live traffic the capacity that it needs.
func DefaultTargets() Targets {
	return Targets{TurnLate: 5 * time.Millisecond, Calls: 0.8, Pending: 0.5, Journal: 0.7, DiskLatency: 50 * time.Millisecond}
}

// Constants of the controller; docs/design/work.md gives the reasons.
const (
	minAllowance     = 0.02
	decreaseInterval = 100 * time.Millisecond // minimum between two decreases
	increaseInterval = 500 * time.Millisecond // minimum between two increases
	increaseStep     = 0.1
	decreaseFactor   = 0.5
	increaseBelow    = 0.8 // ratio to the target below which the allowance grows
	decreaseAbove    = 1.0 // ratio to the target above which the allowance shrinks
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

// Step processes a sample of the load and returns the fraction, from minAllowance to 1. now must not go back.
func (p *Pressure) Step(now time.Duration, load LoadSignals) float64 {
	if !p.started {
		p.started, p.allowance, p.changedAt = true, 1, now-increaseInterval
	}
	p.worst, p.worstSignal = 0, ""
	observe := func(name string, is, target float64) {
		if target > 0 && is/target > p.worst {
			p.worst, p.worstSignal = is/target, name
		}
	}
	observe("turns", float64(load.TurnLate), float64(p.Targets.TurnLate))
	observe("calls", load.Calls, p.Targets.Calls)
	observe("held", load.Pending, p.Targets.Pending)
	observe("journal", load.Journal, p.Targets.Journal)
	observe("disk", float64(load.DiskLatency), float64(p.Targets.DiskLatency))
	switch {
	case p.worst > decreaseAbove && now-p.changedAt >= decreaseInterval:
		p.allowance, p.changedAt = max(p.allowance*decreaseFactor, minAllowance), now
	case p.worst < increaseBelow && now-p.changedAt >= increaseInterval:
		p.allowance, p.changedAt = min(p.allowance+increaseStep, 1), now
	}
	return p.allowance
}

// Worst returns the signal with the largest ratio to its target in the last Step, and that ratio.
func (p *Pressure) Worst() (name string, over float64) { return p.worstSignal, p.worst }

// Allowance returns the fraction that the last Step returned; 1 before the first.
func (p *Pressure) Allowance() float64 {
	if !p.started {
		return 1
	}
	return p.allowance
}
