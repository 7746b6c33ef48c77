// Package undelivered keeps the messages that were not delivered: what they were, what was tried, why they ended, and
// whether they may ever go again. Reasons and that last question are plain functions; the store stands round them.
package undelivered

import (
	"fmt"
	"time"
)

// Effect says what a repeat of a message does, as the settings have it.
type Effect string

// The effects.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// Outcome is how an attempt ended.
type Outcome string

// The outcomes. Unknown is that of an attempt of which the end was never written down: it may have run.
const (
	Unknown       Outcome = "unknown"
	Errored       Outcome = "errored"
	Refused       Outcome = "refused"
	TimedOut      Outcome = "timed out"
	ConnectFailed Outcome = "connect failed"
	Reset         Outcome = "reset"
	Cancelled     Outcome = "cancelled"
	NotSent       Outcome = "not sent"
)

// Ran is whether an attempt that ended so may have run. Refused, ConnectFailed and NotSent prove that it never did.
func (o Outcome) Ran() bool {
	switch o {
	case Refused, ConnectFailed, NotSent:
		return false
	}
	return true
}

// Attempt is one call of a message.
type Attempt struct {
	At       int64   `json:"at"` // Unix nanoseconds
	Endpoint string  `json:"endpoint"`
	Outcome  Outcome `json:"outcome"`
}

// How a message ended.
const (
	GivenUp    = "given_up"
	HandedBack = "handed_back"
	Delivered  = "delivered" // of one that went again
)

// Reason is why a message was not delivered. The list is closed.
type Reason string

// The reasons, in the order in which they are tried: the first that fits is the one.
const (
	NotComeAgain   Reason = "handed-back"     // handed back to its client, who has not come again
	NeverSent      Reason = "never-sent"      // failed at once, with no attempt: its client was told so
	OutOfTime      Reason = "out-of-time"     // its time was over before the first attempt
	RepeatUnlawful Reason = "repeat-unlawful" // it had time left, and an attempt that may have run forbade another
	RefusedAll     Reason = "refused"         // every attempt was turned away
	NoConnection   Reason = "connect-failed"  // no attempt ran, the last for want of a connection
	LastErrored    Reason = "errored"         // the last attempt that says anything was answered with an error
	LastTimedOut   Reason = "timed-out"       // or was not answered in time
	LastReset      Reason = "reset"           // or ended without an answer
	Undetermined   Reason = "unknown"         // or its end was never written down
)

// Reasons is all of them.
func Reasons() []Reason {
	return []Reason{NotComeAgain, NeverSent, OutOfTime, RepeatUnlawful, RefusedAll, NoConnection, LastErrored, LastTimedOut, LastReset, Undetermined}
}

// ParseReason reads a reason's name.
func ParseReason(text string) (Reason, error) {
	for _, r := range Reasons() {
		if string(r) == text {
			return r, nil
		}
	}
	return "", fmt.Errorf("there is no reason %q; there are %v", text, Reasons())
}

// History is what the reason and the question of another try go by.
type History struct {
	How      string // GivenUp or HandedBack
	Answered bool   // it ended in the answer to its hand-in
	Taken    int64  // Unix nanoseconds
	Ended    int64
	Deadline int64
	Effect   Effect
	Ordered  bool
	Key      string
	Attempts []Attempt
}

// ReasonOf finds why a message was not delivered, from what is known of its attempts.
func ReasonOf(h History) Reason {
	if h.How == HandedBack {
		return NotComeAgain
	}
	if len(h.Attempts) == 0 {
		if h.Ended >= h.Deadline {
			return OutOfTime
		}
		return NeverSent
	}
	ran, refused := false, true
	for _, a := range h.Attempts {
		ran = ran || a.Outcome.Ran()
		refused = refused && a.Outcome == Refused
	}
	if ran && h.Effect != Safe && h.Ended < h.Deadline {
		return RepeatUnlawful
	}
	if refused {
		return RefusedAll
	}
	for i := len(h.Attempts) - 1; i >= 0; i-- {
		switch h.Attempts[i].Outcome {
		case Errored:
			return LastErrored
		case TimedOut:
			return LastTimedOut
		case Reset:
			return LastReset
		case ConnectFailed:
			if !ran {
				return NoConnection
			}
		case Unknown:
			return Undetermined
		case Cancelled: // called off as it was overdue
			return LastTimedOut
		}
	}
	if ran {
		return Undetermined
	}
	return RefusedAll
}

// Verdict is whether a message may go again.
type Verdict uint8

// The verdicts.
const (
	Never Verdict = iota // by nothing; it can be looked at, exported and settled
	Now                  // it may go now
)

// KeyMargin is how long before its key is forgotten a repeat has to be on its way: it still has to be decided on,
// connected and written, as long as a call may take to begin.
const KeyMargin = 3 * time.Second

// MayGoAgain is whether a message may be sent again now, and why not. It is the only place that says so: rules choose
// among what it allows, and nobody else sends. window is how long a receiver remembers a key after the first attempt
// that may have run; now is Unix nanoseconds.
//
// A clock that was set back makes an attempt look younger than it is, never older: where the time since the first
// attempt is below nothing, or the end lies before it, the key counts as forgotten.
func MayGoAgain(h History, window time.Duration, now int64) (Verdict, string) {
	first := int64(0)
	ran := false
	for _, a := range h.Attempts {
		if a.Outcome.Ran() {
			if !ran || a.At < first {
				first = a.At
			}
			ran = true
		}
	}
	switch {
	case h.Ordered:
		return Never, "its class keeps an order, and what came after it may have gone"
	case !ran:
		return Now, ""
	case h.Effect == Safe:
		return Now, ""
	case h.Effect == Keyed && h.Key == "":
		return Never, "it may have run, and has no key by which the receiver would know it"
	case h.Effect == Keyed && window <= KeyMargin:
		return Never, "it may have run, and its key is remembered too shortly"
	case h.Effect == Keyed && (now < first || now < h.Ended):
		return Never, "it may have run, and the clock does not say for how long its key has been remembered"
	case h.Effect == Keyed && now-first < int64(window-KeyMargin):
		return Now, ""
	case h.Effect == Keyed:
		return Never, "it may have run, and the receiver may have forgotten its key"
	}
	return Never, "it may have run, and its class may not be repeated"
}
