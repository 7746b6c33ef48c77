package sender

import (
	"slices"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
)

// message is one that the Brain holds.
type message struct {
	*storedMessage
	number          brain.MessageID
	class           int             // among the module's: its own, or the stricter one that it goes on by
	earlierAttempts int             // attempts made by earlier processes
	attempts        int             // and by this one
	reply           chan response   // its client still waits; nil once answered
	alsoWaiting     []chan response // and others, that handed in the same event meanwhile
	calls           inFlightCalls   // out
	ended           bool
	waiting         bool // the fleet's limits know that it waits
}

// inFlightCalls is those of a message that are out, by the Brain's number of the attempt: one as a rule.
type inFlightCalls []inFlightCall

type inFlightCall struct {
	attempt int
	*calls.Permit
	recalled bool // by the module's word
}

// cancel calls one off, if it is out.
func (c inFlightCalls) cancel(attempt int) {
	for _, o := range c {
		if o.attempt == attempt {
			o.Cancel()
		}
	}
}

// recall takes back the leave to write one, if it is out and nothing is written yet.
func (c inFlightCalls) recall(attempt int) bool {
	for i := range c {
		if c[i].attempt == attempt {
			c[i].recalled = c[i].TakeBack()
			return c[i].recalled
		}
	}
	return false
}

// recalled reports whether one that ended as not sent did so as it was recalled.
func (c inFlightCalls) recalled(attempt int) bool {
	return slices.ContainsFunc(c, func(o inFlightCall) bool { return o.attempt == attempt && o.recalled })
}

// rejectedByPolicy reports whether the fleet was against one as it was about to be written.
func (c inFlightCalls) rejectedByPolicy(attempt int) bool {
	return slices.ContainsFunc(c, func(o inFlightCall) bool { return o.attempt == attempt && o.Against() })
}

// finish takes one out and lets go of what it holds.
func (c *inFlightCalls) finish(attempt int) {
	c.cancel(attempt)
	for _, o := range *c {
		if o.attempt == attempt {
			o.Ended()
		}
	}
	*c = slices.DeleteFunc(*c, func(o inFlightCall) bool { return o.attempt == attempt })
}

// callMessage is what a call carries of it.
func (m *message) callMessage() calls.Message {
	return calls.Message{ID: m.ID, Key: m.Key, Class: m.Class, Tenant: m.Tenant, Body: m.Body, Event: m.Event}
}
