package calls

import (
	"context"
	"sync/atomic"
	"time"
)

// Permit is the permission to write one message once. Between the decision to send a message and its first byte on the
// wire lie the seconds in which its connection comes up, and the reasons for the decision may change meanwhile: its
// destination asks for a wait, its endpoint drains, an outage begins, its idempotency key is forgotten. So the call uses
// the permit just before it writes, and the loop revokes it as soon as the Brain says so. Whichever comes first holds; no
// lock is held, and neither waits.
type Permit struct {
	// Until is when the permit expires by itself: a repeat is allowed only while its key is remembered.
	Until time.Time
	// Cancel ends the call.
	Cancel context.CancelFunc
	// Admit asks the fleet for admission of the call at this very moment; nil where senders agree on nothing. left is to
	// be called when the message is written. over, if it is not nil, is to be called when the call has ended: with false
	// if it was not written after all.
	Admit func() (left func(), over func(written bool), ok bool)

	state  atomic.Uint32      // one of the constants below
	onEnd  func(written bool) // over of a message that is written
	denied atomic.Bool        // the fleet did not admit it
}

// States of a permit. The last two are final.
const (
	permitGranted uint32 = iota
	permitUsed           // the message is written, or about to be
	permitRevoked        // it will not be written
)

// use uses the permit, at the moment of writing. If ok the message counts as written, and written is to be called when it
// is.
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

// Revoke revokes the permit and ends the call, which is never made then. It returns false, and changes nothing, if the
// permit was used already.
func (p *Permit) Revoke() bool {
	if !p.state.CompareAndSwap(permitGranted, permitRevoked) {
		return false
	}
	p.Cancel()
	return true
}

// Ended records that the call of the permit has ended. It is to be called once.
func (p *Permit) Ended() {
	if p.onEnd != nil {
		p.onEnd(true)
	}
}

// Revoked reports whether the permit was revoked, or had expired when it was to be used: nothing was written.
func (p *Permit) Revoked() bool { return p.state.Load() == permitRevoked }

// Denied reports whether the fleet did not admit the call as the message was about to be written.
func (p *Permit) Denied() bool { return p.denied.Load() }

// Ticket is one message of a call with its permit.
type Ticket struct {
	Message
	*Permit
}

// usePermits uses the permits of all tickets and returns the messages that may be written now; written is to be called
// when they are.
func usePermits(tickets []Ticket, now time.Time) (permitted []Message, written func()) {
	permitted = make([]Message, 0, len(tickets))
	callbacks := make([]func(), 0, len(tickets))
	for _, t := range tickets {
		if w, ok := t.Permit.use(now); ok {
			permitted, callbacks = append(permitted, t.Message), append(callbacks, w)
		}
	}
	return permitted, func() {
		for _, w := range callbacks {
			w()
		}
	}
}

// allRevoked reports whether no permit is left: there is nothing to connect for.
func allRevoked(tickets []Ticket) bool {
	for _, t := range tickets {
		if !t.Revoked() {
			return false
		}
	}
	return true
}

// latestUntil is the time at which the last permit expires.
func latestUntil(tickets []Ticket) time.Time {
	until := tickets[0].Until
	for _, t := range tickets[1:] {
		if t.Until.After(until) {
			until = t.Until
		}
	}
	return until
}
