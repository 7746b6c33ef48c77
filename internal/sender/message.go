package sender

import (
	"slices"

	"dockshift.example/dockshift/brain"
)

// message is one that the Brain holds.
type message struct {
	*stored
	number brain.MessageID
	base   int               // attempts made by earlier processes
	sends  int               // and by this one
	answer chan answerLine   // its client still waits; nil once answered
	also   []chan answerLine // and others, that handed in the same event meanwhile
	calls  calls             // out
	ended  bool
}

// calls is those of a message that are out, by the Brain's number of the attempt: one as a rule.
type calls []outCall

type outCall struct {
	attempt int
	*permit
}

// cancel calls one off, if it is out.
func (c calls) cancel(attempt int) {
	for _, o := range c {
		if o.attempt == attempt {
			o.cancel()
		}
	}
}

// recall takes back the leave to write one, if it is out and nothing is written yet.
func (c calls) recall(attempt int) bool {
	for _, o := range c {
		if o.attempt == attempt {
			o.recalled = o.takeBack()
			return o.recalled
		}
	}
	return false
}

// recalled reports whether one that ended as not sent did so as it was recalled.
func (c calls) recalled(attempt int) bool {
	return slices.ContainsFunc(c, func(o outCall) bool { return o.attempt == attempt && o.recalled })
}

// against reports whether the fleet was against one as it was about to be written.
func (c calls) against(attempt int) bool {
	return slices.ContainsFunc(c, func(o outCall) bool { return o.attempt == attempt && o.permit.against.Load() })
}

// ended takes one out and lets go of what it holds.
func (c *calls) ended(attempt int) {
	c.cancel(attempt)
	*c = slices.DeleteFunc(*c, func(o outCall) bool { return o.attempt == attempt })
}
