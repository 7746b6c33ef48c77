package sender

import (
	"slices"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
)

// message is one that the Brain holds.
type message struct {
	*stored
	number brain.MessageID
	class  int               // among the module's: its own, or the stricter one that it goes on by
	base   int               // attempts made by earlier processes
	sends  int               // and by this one
	answer chan answerLine   // its client still waits; nil once answered
	also   []chan answerLine // and others, that handed in the same event meanwhile
	calls  outCalls          // out
	ended  bool
	waits  bool // the fleet's limits know that it waits
}

// outCalls is those of a message that are out, by the Brain's number of the attempt: one as a rule.
type outCalls []outCall

type outCall struct {
	attempt int
	*calls.Permit
	recalled bool // by the module's word
}

// cancel calls one off, if it is out.
func (c outCalls) cancel(attempt int) {
	for _, o := range c {
		if o.attempt == attempt {
			o.Cancel()
		}
	}
}

// recall takes back the leave to write one, if it is out and nothing is written yet.
func (c outCalls) recall(attempt int) bool {
	for i := range c {
		if c[i].attempt == attempt {
			c[i].recalled = c[i].TakeBack()
			return c[i].recalled
		}
	}
	return false
}

// recalled reports whether one that ended as not sent did so as it was recalled.
func (c outCalls) recalled(attempt int) bool {
	return slices.ContainsFunc(c, func(o outCall) bool { return o.attempt == attempt && o.recalled })
}

// against reports whether the fleet was against one as it was about to be written.
func (c outCalls) against(attempt int) bool {
	return slices.ContainsFunc(c, func(o outCall) bool { return o.attempt == attempt && o.Against() })
}

// ended takes one out and lets go of what it holds.
func (c *outCalls) ended(attempt int) {
	c.cancel(attempt)
	for _, o := range *c {
		if o.attempt == attempt {
			o.Ended()
		}
	}
	*c = slices.DeleteFunc(*c, func(o outCall) bool { return o.attempt == attempt })
}

// message is what a call carries of it.
func (m *message) message() calls.Message {
	return calls.Message{ID: m.ID, Key: m.Key, Class: m.Class, Tenant: m.Tenant, Body: m.Body, Event: m.Event}
}
