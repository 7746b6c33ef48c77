// Package quota is how the senders of a fleet keep limits together that no one of them can see whole. It is free of I/O and of
// clocks.
//
// A limit is a number of units. They are things that somebody has: its authority, one sender at a time, lends them out, and a
// sender uses a unit once and then lets it rest for the limit's span before it may be used again, by whomever. So in any span
// there are no more uses than units, however they are spread, and nobody has to see what the others do.
//
// What is lent lapses. A holder counts its loan from before it asked; the authority counts it from when it lent, longer by how much two
// clocks may drift apart, and then lets the units rest, as they may have been used at the last moment. So at no moment
// do those that are held and those that rest exceed the limit. With each question a holder promises how many units it goes on with at
// the most; what it lets go of comes back at once.
//
// A new authority knows nothing of what the old one lent. It lends nothing until all of that has lapsed, but goes on with what holders
// say that they have: together that is no more than was lent.
package quota

import (
	"cmp"
	"math"
	"time"
)

// Kind is what a unit stands for.
type Kind uint8

// The sorts.
const (
	Calls      Kind = iota // calls in any span
	Bytes                  // bytes of messages in any span
	Concurrent             // calls that are out at once
	Daily                  // calls in a period; used once, a unit is gone for the period
)

func (s Kind) String() string { return [...]string{"calls", "bytes", "at once", "a day"}[s] }

// Limit is one limit of the fleet.
type Limit struct {
	Key           string // of what, as operators read it; no two limits have the same
	Kind          Kind
	Units         int64
	Span          time.Duration // of Calls and Bytes
	MaxCallTime   time.Duration // of AtOnce: no call lasts longer
	TransitJitter time.Duration // what is written within a span comes within so much more
	CutOffExtra   int64         // units that each sender that is cut off may use beyond what it holds, in a span
	Reserve       int64         // units that each of the first FloorFor members has always, and lends to nobody
	// ReserveCount is how many members have a floor.
	ReserveCount int64
	Adaptive     bool // what the receiver tells counts where it is lower
	// SlowStartUnits is how many units it grows to within RampFor, counted by its authority from when that was told of the limit; 0: it stays.
	SlowStartUnits int64
	SlowStartTime  time.Duration
}

// Grantable is what is lent: all but the floors.
func (l Limit) Grantable() int64 { return max(0, l.Units-l.Reserve*l.ReserveCount) }

// maxGrantable is what may ever be lent of it.
func (l Limit) maxGrantable() int64 { return max(l.Grantable(), l.SlowStartUnits) }

// driftBound is how much longer a clock that is fast by the drift has to count than one that is slow by it.
func driftBound(d time.Duration, drift float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}

// CoolDown is how long a unit rests after a use, by the clock of who used it.
func (l Limit) CoolDown(drift float64) time.Duration {
	switch l.Kind {
	case Concurrent:
		return driftBound(l.TransitJitter, drift)
	case Daily:
		return 0
	}
	return driftBound(l.Span+l.TransitJitter, drift)
}

// ReclaimDelay is how long a unit may be in use after its loan has lapsed, by the authority's clock: it was used at the last moment.
func (l Limit) ReclaimDelay(drift float64) time.Duration {
	if l.Kind == Concurrent {
		return driftBound(l.MaxCallTime+l.TransitJitter, drift)
	}
	return l.CoolDown(drift)
}

// WorstCase is what a receiver sees at the most in a span while so many senders are cut off from the authority.
func (l Limit) WorstCase(cutOff int) int64 { return l.Units + l.CutOffExtra*int64(cutOff) }

// Terms are the figures of all loans of a fleet.
type Terms struct {
	Duration time.Duration // at the holder
	MaxDrift float64       // a clock runs at most so much faster or slower than true time
}

// ServerDuration is how long an authority counts a loan, before the units' tail.
func (t Terms) ServerDuration() time.Duration { return driftBound(t.Duration, t.MaxDrift) }

// GracePeriod is how long a new authority lends nothing but what holders say that they have: a limit's whole memory.
func (t Terms) GracePeriod(l Limit) time.Duration {
	return t.ServerDuration() + l.ReclaimDelay(t.MaxDrift)
}

// byKey orders limits.
func byKey(a, b Limit) int { return cmp.Compare(a.Key, b.Key) }
