package sender

import (
	"slices"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
)

// message is one that the module holds: accepted, or on its way to that.
type message struct {
	*storedMessage
	number          brain.MessageID
	class           int             // among the module's: its own, or the stricter one that it goes on by (see Config.classOf)
	earlierAttempts int             // those made by earlier processes
	attempts        int             // those made by this one
	reply           chan response   // its client waits there; nil once answered
	alsoWaiting     []chan response // others that submitted the same event meanwhile
	calls           inFlightCalls
	ended           bool
	waiting         bool // it counts in the fleet's backlog
}

// inFlightCalls is the calls of a message that are under way, by the module's number of the attempt: one as a rule, two with a
// hedged one.
type inFlightCalls []inFlightCall

// inFlightCall is a call under way and its permit to be written.
type inFlightCall struct {
	attempt int
	*calls.Permit
	recalled bool // the module has taken its permit back
}

// cancel calls an attempt off, if it is in flight.
func (c inFlightCalls) cancel(attempt int) {
	for _, o := range c {
		if o.attempt == attempt {
			o.Cancel()
		}
	}
}

// recall takes back the permit to write an attempt; false if it is written already, or not in flight.
func (c inFlightCalls) recall(attempt int) bool {
	for i := range c {
		if c[i].attempt == attempt {
			c[i].recalled = c[i].Revoke()
			return c[i].recalled
		}
	}
	return false
}

// recalled reports whether an attempt that ended as not sent did so as it was recalled.
func (c inFlightCalls) recalled(attempt int) bool {
	return slices.ContainsFunc(c, func(o inFlightCall) bool { return o.attempt == attempt && o.recalled })
}

// rejectedByPolicy reports whether the fleet's policy was against an attempt as it was about to be written.
func (c inFlightCalls) rejectedByPolicy(attempt int) bool {
	return slices.ContainsFunc(c, func(o inFlightCall) bool { return o.attempt == attempt && o.Denied() })
}

// finish takes an attempt out and releases what it holds.
func (c *inFlightCalls) finish(attempt int) {
	c.cancel(attempt)
	for _, o := range *c {
		if o.attempt == attempt {
			o.Ended()
		}
	}
	*c = slices.DeleteFunc(*c, func(o inFlightCall) bool { return o.attempt == attempt })
}

// callMessage is what a call carries of the message.
func (m *message) callMessage() calls.Message {
	return calls.Message{ID: m.ID, Key: m.Key, Class: m.Class, Tenant: m.Tenant, Body: m.Body, Event: m.Event}
}
