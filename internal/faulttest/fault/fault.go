// Package fault says what befalls a receiver when several troubles run at once. It does no I/O and knows
// no clock; the table in docs/design/rehearsal.md states each pair.
package fault

import (
	"fmt"
	"strings"
	"time"
)

// Kind is a trouble.
type Kind uint8

// The troubles, in the order in which a call meets those that can stop it.
const (
	Vanish    Kind = iota // the machine is gone: connections stay open and silent, new ones never come up
	Shut                  // connections are refused
	Hang                  // calls are taken and none is answered
	CloseIdle             // an idle connection is closed as a request begins on it
	Wait                  // calls are answered 429 with a wait
	Refuse                // calls are answered 503
	Fail                  // a share of the calls is answered 500 at once
	Slow                  // service takes a factor longer
	Reset                 // a share of the served calls ends by a reset in place of the answer
	Spoil                 // a share of the answers can't be read
	Drain                 // the list says that endpoints drain
	SlowStart             // the receiver is cold, as after an outage
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

// UnmarshalText reads a trouble's name.
func (k *Kind) UnmarshalText(text []byte) error {
	for i, n := range names {
		if n == string(text) {
			*k = Kind(i)
			return nil
		}
	}
	return &UnknownKindError{Name: string(text)}
}

// UnknownKindError names a kind of fault that there is not.
type UnknownKindError struct{ Name string }

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("no trouble is called %q; there are %s", e.Name, strings.Join(names[:], ", "))
}

// All lists the kinds.
func All() []Kind {
	var all []Kind
	for k := range kinds {
		all = append(all, k)
	}
	return all
}

// Fault is one of them with its figures.
type Fault struct {
	Kind     Kind
	Fraction float64       // of calls, for Fail, Reset, Spoil and CloseIdle: over 0, at most 1
	Factor   float64       // for Slow: over 1
	Wait     time.Duration // for Wait
}

// Condition is what several troubles at once come to.
type Condition struct {
	Unreachable, Shut, Hung, Refuses, Draining bool

	Wait                          time.Duration // over 0: calls are answered 429 with it
	Fails, Resets, Spoils, Closes float64       // shares
	Slow                          float64       // service takes so many times as long; 1 if usual
}

// Combine is the meaning of troubles that run at the same time, in any order.
func Combine(on []Fault) Condition {
	c := Condition{Slow: 1}
	join := func(a *float64, b float64) { *a = 1 - (1-*a)*(1-b) }
	for _, t := range on {
		switch t.Kind {
		case Vanish:
			c.Unreachable = true
		case Shut:
			c.Shut = true
		case Hang:
			c.Hung = true
		case CloseIdle:
			join(&c.Closes, t.Fraction)
		case Wait:
			c.Wait = max(c.Wait, t.Wait)
		case Refuse:
			c.Refuses = true
		case Fail:
			join(&c.Fails, t.Fraction)
		case Slow:
			c.Slow *= t.Factor
		case Reset:
			join(&c.Resets, t.Fraction)
		case Spoil:
			join(&c.Spoils, t.Fraction)
		case Drain:
			c.Draining = true
		case SlowStart, kinds: // slow start is the receiver's own, after an outage
		}
	}
	return c
}

// Outage is whether the receiver is out: it returns cold when that ends.
func (c Condition) Outage() bool {
	return c.Unreachable || c.Shut || c.Hung || c.Refuses || c.FailedFraction() >= 0.5
}

// FailedFraction is the share of calls that fail where calls are answered at all.
func (c Condition) FailedFraction() float64 { return 1 - (1-c.Fails)*(1-c.Resets)*(1-c.Spoils) }

// Entry is what a call meets as it comes, before any service.
type Entry uint8

// What a call meets, from the outside in.
const (
	Serve        Entry = iota // it is served, or queues
	Unresponsive              // it is taken and nothing is said
	RateLimited               // 429 with a wait
	Refused                   // 503
	Failed                    // 500
)

// Enter decides what a call meets. Draw is uniform in [0,1) and decides where only a share is struck.
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

// Exit is how a served call's answer goes out.
type Exit uint8

// How an answer goes out.
const (
	Sound Exit = iota
	Broken
	Corrupt
)

// Leave decides how the answer of a served call goes out; the draws are uniform in [0,1).
func (c Condition) Leave(reset, spoil float64) Exit {
	switch {
	case reset < c.Resets:
		return Broken
	case spoil < c.Spoils:
		return Corrupt
	}
	return Sound
}
