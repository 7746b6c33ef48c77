// Package fault defines the faults of a receiver and what several faults do at the same time. It does no I/O and uses no clock.
// The table in docs/design/rehearsal.md defines each pair of faults.
package fault

import (
	"fmt"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind uint8

// The kinds of fault. Those that can stop a call are in the order in which they apply to it.
const (
	Vanish    Kind = iota // the machine is gone: connections stay open without any traffic, and new ones are never established
	Shut                  // connections are refused
	Hang                  // calls are accepted and never answered
	CloseIdle             // an idle connection is closed as a request begins on it
	Wait                  // calls are answered 429 with a wait
	Refuse                // calls are answered 503
	Fail                  // a share of the calls is answered 500 at once
	Slow                  // service takes a factor longer
	Reset                 // a share of the served calls ends with a reset of the connection instead of an answer
	Spoil                 // a share of the answers can't be read
	Drain                 // discovery lists endpoints as draining
	SlowStart             // the receiver is in slow start, as after an outage
	kinds
)

var names = [kinds]string{"vanish", "shut", "hang", "close_idle", "wait", "refuse", "fail", "slow", "reset", "spoil", "drain", "cold"}

// String returns the name that scripts use.
func (k Kind) String() string {
	if k < kinds {
		return names[k]
	}
	return fmt.Sprintf("trouble %d", uint8(k))
}

// UnmarshalText parses the name of a kind of fault.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, n := range names {
		if n == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return &UnknownKindError{Name: string(text)}
}

// UnknownKindError reports an unknown kind of fault.
type UnknownKindError struct{ Name string }

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown trouble %q; want one of %s", e.Name, strings.Join(names[:], ", "))
}

// All returns all kinds of fault.
func All() []Kind {
	var all []Kind
	for k := range kinds {
		all = append(all, k)
	}
	return all
}

// Fault is a kind of fault with its parameters.
type Fault struct {
	Kind     Kind
	Fraction float64       // of the calls that Fail, Reset, Spoil and CloseIdle affect; over 0 and at most 1
	Factor   float64       // for Slow: over 1
	Wait     time.Duration // for Wait
}

// Condition is the combined effect of the faults of a receiver.
type Condition struct {
	Unreachable, Shut, Hung, Refuses, Draining bool

	Wait                          time.Duration // over 0: calls are answered 429 with it
	Fails, Resets, Spoils, Closes float64       // fractions of the calls
	Slow                          float64       // factor on the service time; 1 without a fault
}

// Combine returns the combined effect of faults that run at the same time. The result does not depend on their order.
func Combine(on []Fault) Condition {
	c := Condition{Slow: 1}
	combine := func(a *float64, b float64) { *a = 1 - (1-*a)*(1-b) }
	for _, t := range on {
		switch t.Kind {
		case Vanish:
			c.Unreachable = true
		case Shut:
			c.Shut = true
		case Hang:
			c.Hung = true
		case CloseIdle:
			combine(&c.Closes, t.Fraction)
		case Wait:
			c.Wait = max(c.Wait, t.Wait)
		case Refuse:
			c.Refuses = true
		case Fail:
			combine(&c.Fails, t.Fraction)
		case Slow:
			c.Slow *= t.Factor
		case Reset:
			combine(&c.Resets, t.Fraction)
		case Spoil:
			combine(&c.Spoils, t.Fraction)
		case Drain:
			c.Draining = true
		case SlowStart, kinds: // the receiver itself handles slow start
		}
	}
	return c
}

// Outage reports whether the receiver is out. When the outage ends, the receiver starts in slow start.
func (c Condition) Outage() bool {
	return c.Unreachable || c.Shut || c.Hung || c.Refuses || c.FailedFraction() >= 0.5
}

// FailedFraction returns the fraction of calls that fail if the receiver answers calls at all.
func (c Condition) FailedFraction() float64 { return 1 - (1-c.Fails)*(1-c.Resets)*(1-c.Spoils) }

// Entry is what happens to a call on arrival, before it is served.
type Entry uint8

// What can happen to a call on arrival.
const (
	Serve        Entry = iota // it is served or queued
	Unresponsive              // it is accepted and never answered
	RateLimited               // it is answered 429 with a wait
	Refused                   // it is answered 503
	Failed                    // it is answered 500
)

// Enter decides what happens to a call on arrival. The draw is uniform in [0,1) and decides whether a fault that affects only a share
// of the calls affects this one.
func (c Condition) Enter(draw float64) Entry {
	switch {
	case c.Unreachable || c.Hung:
		return Unresponsive
	case c.Wait > 0:
		return RateLimited
	case c.Refuses:
		return Refused
	case draw < c.Fails:
		return Failed
	}
	return Serve
}

// Exit is how the answer to a served call is sent.
type Exit uint8

// How an answer can be sent.
const (
	Sound Exit = iota
	Broken
	Corrupt
)

// Leave decides how the answer to a served call is sent. The draws are uniform in [0,1).
func (c Condition) Leave(reset, spoil float64) Exit {
	switch {
	case reset < c.Resets:
		return Broken
	case spoil < c.Spoils:
		return Corrupt
	}
	return Sound
}
