package sender

import (
	"slices"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
)

// message is a message that the module manages: accepted, or being accepted.
type message struct {
	*storedMessage
	number          brain.MessageID
	class           int             // index among the module's classes: its own, or the stricter one that applies to it (see Config.classOf)
	earlierAttempts int             // attempts made by earlier processes
	attempts        int             // attempts made by this process
	reply           chan response   // to the client that submitted it; nil once answered
	alsoWaiting     []chan response // to other clients that submitted the same event meanwhile
	calls           inFlightCalls
	ended           bool
	waiting         bool // counted in the fleet's backlog
}

// inFlightCalls is a message's calls in flight, each with the module's number of the attempt: usually one, two while a call is
// hedged.
type inFlightCalls []inFlightCall

// inFlightCall is a call in flight and the permit to write its request.
type inFlightCall struct {
	attempt int
	*calls.Permit
	recalled bool // the module has revoked the permit
}

// cancel cancels an attempt if it is in flight.
func (c inFlightCalls) cancel(attempt int) {
	for _, o := range c {
		if o.attempt == attempt {
			o.Cancel()
		}
	}
}

// recall revokes the permit to write an attempt; false if the attempt is written already, or not in flight.
func (c inFlightCalls) recall(attempt int) bool {
	for i := range c {
		if c[i].attempt == attempt {
			c[i].recalled = c[i].Revoke()
			return c[i].recalled
		}
	}
	return false
}

// recalled reports whether an attempt ended as not sent because it was recalled.
func (c inFlightCalls) recalled(attempt int) bool {
	return slices.ContainsFunc(c, func(o inFlightCall) bool { return o.attempt == attempt && o.recalled })
}

// rejectedByPolicy reports whether the fleet's policy denied an attempt just before it was written.
func (c inFlightCalls) rejectedByPolicy(attempt int) bool {
	return slices.ContainsFunc(c, func(o inFlightCall) bool { return o.attempt == attempt && o.Denied() })
}

// finish removes an attempt and releases its resources.
func (c *inFlightCalls) finish(attempt int) {
	c.cancel(attempt)
	for _, o := range *c {
		if o.attempt == attempt {
			o.Ended()
		}
	}
	*c = slices.DeleteFunc(*c, func(o inFlightCall) bool { return o.attempt == attempt })
}

// callMessage returns the part of the message that a call sends.
func (m *message) callMessage() calls.Message {
	return calls.Message{ID: m.ID, Key: m.Key, Class: m.Class, Tenant: m.Tenant, Body: m.Body, Event: m.Event}
}
