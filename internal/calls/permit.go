// Package calls is calls to endpoints: the messages as they are written, leave to write them, the connections that they go
// on, the answers, and the list of endpoints as the loop knows it. What is called when is decided by package brain.
package calls

import (
	"context"
	"sync/atomic"
	"time"
)

// Permit is leave to write one message once. Between the decision to send it and its first byte on the wire lie the
// seconds in which its connection comes up, and what it was decided by may change meanwhile: its destination asks for
// a wait, its endpoint drains, an outage begins, its key is forgotten. So the call asks for its permit just before it
// writes, and the loop takes the permit back as soon as the module says so. Either the one or the other comes first;
// no lock is held, and neither waits.
type Permit struct {
	state  atomic.Uint32
	Until  time.Time          // it lapses by itself: a repeat is lawful only while its key is remembered
	Cancel context.CancelFunc // ends the call

	// Admit is what the fleet says of the call at this very moment; nil where senders agree on nothing. left is to be called when the
	// message is written; over, where it is not nil, when the call has ended, or with false if it was not
	// written after all.
	Admit  func() (left func(), over func(written bool), ok bool)
	onEnd  func(written bool) // of a message that is written
	denied atomic.Bool        // the fleet said no
}

const (
	permitGranted uint32 = iota
	permitUsed           // the message is written, or about to be
	permitRevoked        // it will not be
)

// use asks for the leave, at the moment of writing. Once it is given the message counts as written, and written is to be
// called when it is.
func (p *Permit) use(now time.Time) (written func(), ok bool) {
	written = func() {}
	if !now.Before(p.Until) {
		p.state.CompareAndSwap(permitGranted, permitRevoked)
		return nil, false
	}
	var over func(bool)
	if p.Admit != nil {
		if written, over, ok = p.Admit(); !ok {
			if p.state.CompareAndSwap(permitGranted, permitRevoked) {
				p.denied.Store(true)
			}
			return nil, false
		}
	}
	if !p.state.CompareAndSwap(permitGranted, permitUsed) {
		written()
		if over != nil {
			over(false)
		}
		return nil, false
	}
	p.onEnd = over
	return written, true
}

// Revoke takes the leave back and ends the call, which is never made then. It reports false, and changes nothing, if
// the leave was used already.
func (p *Permit) Revoke() bool {
	if !p.state.CompareAndSwap(permitGranted, permitRevoked) {
		return false
	}
	p.Cancel()
	return true
}

// Ended is that the call of the permit has ended; it is called once, by who was told so.
func (p *Permit) Ended() {
	if p.onEnd != nil {
		p.onEnd(true)
	}
}

// Revoked reports whether the leave was taken back, or lapsed when it was asked for: nothing was written.
func (p *Permit) Revoked() bool { return p.state.Load() == permitRevoked }

// Denied reports whether the fleet said no as the message was about to be written.
func (p *Permit) Denied() bool { return p.denied.Load() }

// Ticket is one message of a call with its permit.
type Ticket struct {
	Message
	*Permit
}

// usePermits asks for the leave of each ticket and gives the messages that may be written now; written is to be called when they are.
func usePermits(tickets []Ticket, now time.Time) (may []Message, written func()) {
	may = make([]Message, 0, len(tickets))
	all := make([]func(), 0, len(tickets))
	for _, t := range tickets {
		if w, ok := t.Permit.use(now); ok {
			may, all = append(may, t.Message), append(all, w)
		}
	}
	return may, func() {
		for _, w := range all {
			w()
		}
	}
}

// allRevoked reports whether no ticket's leave is left: there is nothing to connect for.
func allRevoked(tickets []Ticket) bool {
	for _, t := range tickets {
		if !t.Revoked() {
			return false
		}
	}
	return true
}
