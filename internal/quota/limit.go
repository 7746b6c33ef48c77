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

// Sort is what a unit stands for.
type Sort uint8

// The sorts.
const (
	Calls  Sort = iota // calls in any span
	Bytes              // bytes of messages in any span
	AtOnce             // calls that are out at once
	Daily              // calls in a period; used once, a unit is gone for the period
)

func (s Sort) String() string { return [...]string{"calls", "bytes", "at once", "a day"}[s] }

// Limit is one limit of the fleet.
type Limit struct {
	Key     string // of what, as operators read it; no two limits have the same
	Sort    Sort
	Units   int64
	Span    time.Duration // of Calls and Bytes
	Lasts   time.Duration // of AtOnce: no call lasts longer
	Transit time.Duration // what is written within a span comes within so much more
	Over    int64         // units that each sender that is cut off may use beyond what it holds, in a span
	Floor   int64         // units that each of the first FloorFor members has always, and lends to nobody
	// FloorFor is how many members have a floor.
	FloorFor int64
	Learns   bool // what the receiver tells counts where it is lower
	// RampTo is how many units it grows to within RampFor, counted by its authority from when that was told of the limit; 0: it stays.
	RampTo  int64
	RampFor time.Duration
}

// Lendable is what is lent: all but the floors.
func (l Limit) Lendable() int64 { return max(0, l.Units-l.Floor*l.FloorFor) }

// most is what may ever be lent of it.
func (l Limit) most() int64 { return max(l.Lendable(), l.RampTo) }

// slowest is how much longer a clock that is fast by the drift has to count than one that is slow by it.
func slowest(d time.Duration, drift float64) time.Duration {
	return time.Duration(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}

// Rest is how long a unit rests after a use, by the clock of who used it.
func (l Limit) Rest(drift float64) time.Duration {
	switch l.Sort {
	case AtOnce:
		return slowest(l.Transit, drift)
	case Daily:
		return 0
	}
	return slowest(l.Span+l.Transit, drift)
}

// Tail is how long a unit may be in use after its loan has lapsed, by the authority's clock: it was used at the last moment.
func (l Limit) Tail(drift float64) time.Duration {
	if l.Sort == AtOnce {
		return slowest(l.Lasts+l.Transit, drift)
	}
	return l.Rest(drift)
}

// Most is what a receiver sees at the most in a span while so many senders are cut off from the authority.
func (l Limit) Most(cutOff int) int64 { return l.Units + l.Over*int64(cutOff) }

// Terms are the figures of all loans of a fleet.
type Terms struct {
	Length time.Duration // at the holder
	Drift  float64       // a clock runs at most so much faster or slower than true time
}

// Wait is how long an authority counts a loan, before the units' tail.
func (t Terms) Wait() time.Duration { return slowest(t.Length, t.Drift) }

// Quiet is how long a new authority lends nothing but what holders say that they have: a limit's whole memory.
func (t Terms) Quiet(l Limit) time.Duration { return t.Wait() + l.Tail(t.Drift) }

// byKey orders limits.
func byKey(a, b Limit) int { return cmp.Compare(a.Key, b.Key) }
