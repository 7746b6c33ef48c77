package undelivered

import (
	"time"
)

// Effect is the effect of a second delivery of a message at its receiver, as set for the message's class.
type Effect string

// Effects: idempotent, idempotent by the message's key, and not idempotent.
const (
	Safe   Effect = "safe"
	Keyed  Effect = "keyed"
	Unsafe Effect = "unsafe"
)

// Outcome is how an attempt ended.
type Outcome string

// Outcomes. Unknown is the outcome of an attempt whose end was never recorded: the attempt may have run.
const (
	Unknown       Outcome = "unknown"
	Errored       Outcome = "errored"
	Rejected      Outcome = "refused"
	TimedOut      Outcome = "timed out"
	ConnectFailed Outcome = "connect failed"
	Reset         Outcome = "reset"
	Cancelled     Outcome = "cancelled"
	NotSent       Outcome = "not sent"
)

// MayHaveRun reports whether an attempt with this outcome may have run at the receiver. Rejected, ConnectFailed and NotSent prove that
// it did not.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Rejected, ConnectFailed, NotSent:
		return false
	default:
		return true
	}
}

// Attempt is one attempt to deliver a message.
type Attempt struct {
	At       int64   `json:"at"` // Unix nanoseconds
	Endpoint string  `json:"endpoint"`
	Outcome  Outcome `json:"outcome"`
}

// Endings of a message.
const (
	GivenUp    = "given_up"
	HandedBack = "handed_back"
	Delivered  = "delivered" // only of a resent message
)

// Reason is why a message was not delivered. The list is closed.
type Reason string

// Reasons, in the order in which ReasonOf tries them: the first that applies is the reason.
const (
	ReasonHandedBack    Reason = "handed-back"     // handed back to its client, which has not submitted it again
	ReasonNeverSent     Reason = "never-sent"      // failed before any attempt, with an error response to its client
	ReasonExpired       Reason = "out-of-time"     // its deadline passed before the first attempt
	ReasonUnsafeRetry   Reason = "repeat-unlawful" // its deadline had not passed, but an attempt that may have run forbade another
	ReasonRejected      Reason = "refused"         // every attempt was rejected
	ReasonConnectFailed Reason = "connect-failed"  // no attempt ran, and the last conclusive one could not connect
	ReasonErrored       Reason = "errored"         // the last conclusive attempt was answered with an error
	ReasonTimedOut      Reason = "timed-out"       // the last conclusive attempt was not answered in time
	ReasonReset         Reason = "reset"           // the last conclusive attempt ended without a response
	ReasonUnknown       Reason = "unknown"         // the end of the last conclusive attempt was never recorded
)

// Reasons returns all reasons, in the order in which ReasonOf tries them.
func Reasons() []Reason {
	return []Reason{ReasonHandedBack, ReasonNeverSent, ReasonExpired, ReasonUnsafeRetry, ReasonRejected, ReasonConnectFailed, ReasonErrored, ReasonTimedOut, ReasonReset, ReasonUnknown}
}

// ParseReason reads a reason's name; any other text is a *ParseError that lists the names.
func ParseReason(text string) (Reason, error) {
	for _, r := range Reasons() {
		if string(r) == text {
			return r, nil
		}
	}
	return "", parseError("there is no reason %q; there are %v", text, Reasons())
}

// History is the input of ReasonOf and MayResend. Times are Unix nanoseconds.
type History struct {
	Ending          string // GivenUp or HandedBack
	EndedInResponse bool   // the response to its submission reported its end
	AcceptedAt      int64
	EndedAt         int64
	Deadline        int64
	Effect          Effect
	Ordered         bool
	Key             string
	Attempts        []Attempt
}

// ReasonOf returns why a message was not delivered, from what is known of its attempts.
func ReasonOf(h History) Reason {
	if h.Ending == HandedBack {
		return ReasonHandedBack
	}
	if len(h.Attempts) == 0 {
		if h.EndedAt >= h.Deadline {
			return ReasonExpired
		}
		return ReasonNeverSent
	}
	ran, rejected := false, true
	for _, a := range h.Attempts {
		ran = ran || a.Outcome.MayHaveRun()
		rejected = rejected && a.Outcome == Rejected
	}
	if ran && h.Effect != Safe && h.EndedAt < h.Deadline {
		return ReasonUnsafeRetry
	}
	if rejected {
		return ReasonRejected
	}
	for i := len(h.Attempts) - 1; i >= 0; i-- {
		switch h.Attempts[i].Outcome {
		case Errored:
			return ReasonErrored
		case TimedOut:
			return ReasonTimedOut
		case Reset:
			return ReasonReset
		case ConnectFailed:
			if !ran {
				return ReasonConnectFailed
			}
		case Unknown:
			return ReasonUnknown
		case Cancelled: // the attempt was overdue
			return ReasonTimedOut
		case Rejected, NotSent: // an earlier attempt decides
		}
	}
	if ran {
		return ReasonUnknown
	}
	return ReasonRejected
}

// Permission is whether a message may be resent.
type Permission uint8

// Permissions.
const (
	Forbidden Permission = iota // neither by a rule nor on request; it can be read, exported and resolved
	Allowed                     // it may be resent now
)

// KeyExpiryMargin is how long before the receiver forgets a message's key MayResend stops permitting a resend: the resend must still be
// decided on, connected and written, and the margin is the time that a call may take to begin.
const KeyExpiryMargin = 3 * time.Second

// MayResend decides whether a message may be resent now, and returns why not. No other code decides that: rules choose among the messages
// that it permits. window is how long a receiver remembers a key after the first attempt that may have run; now is Unix nanoseconds.
//
// A clock that was set back makes an attempt look younger than it is, never older. If now is before the first attempt that may have run, or
// before the end of the message, the key therefore counts as forgotten.
func MayResend(h History, window time.Duration, now int64) (Permission, string) {
	first := int64(0)
	ran := false
	for _, a := range h.Attempts {
		if a.Outcome.MayHaveRun() {
			if !ran || a.At < first {
				first = a.At
			}
			ran = true
		}
	}
	switch {
	case h.Ordered:
		return Forbidden, "its class keeps an order, and what came after it may have gone"
	case !ran:
		return Allowed, ""
	case h.Effect == Safe:
		return Allowed, ""
	case h.Effect == Keyed && h.Key == "":
		return Forbidden, "it may have run, and has no key by which the receiver would know it"
	case h.Effect == Keyed && window <= KeyExpiryMargin:
		return Forbidden, "it may have run, and its key is remembered too shortly"
	case h.Effect == Keyed && (now < first || now < h.EndedAt):
		return Forbidden, "it may have run, and the clock does not say for how long its key has been remembered"
	case h.Effect == Keyed && now-first < int64(window-KeyExpiryMargin):
		return Allowed, ""
	case h.Effect == Keyed:
		return Forbidden, "it may have run, and the receiver may have forgotten its key"
	}
	return Forbidden, "it may have run, and its class may not be repeated"
}
