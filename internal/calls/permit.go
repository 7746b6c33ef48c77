package calls

import (
	"context"
	"sync/atomic"
	"time"
)

// Permit is the permission to write one message once. Between the decision to send a message and its first byte on the
// wire, connecting may take seconds, and the reasons for the decision may change meanwhile: the destination asks for a
// wait, the endpoint drains, an outage begins, the idempotency key expires. So the call uses the permit just before it
// writes, and the loop revokes it as soon as the Brain decides so. Whichever comes first takes effect; there is no lock, and
// neither waits for the other.
type Permit struct {
	// Until is when the permit expires by itself: a message may be repeated only while its idempotency key is valid.
	Until time.Time
	// Cancel ends the call.
	Cancel context.CancelFunc
	// Admit asks the fleet to admit the call just before it is written; nil without limits shared between senders. written
	// must be called when the message is written. ended, if it is not nil, must be called when the call has ended: with
	// false if the message was not written after all.
	Admit func() (written func(), ended func(written bool), ok bool)

	state  atomic.Uint32      // one of the constants below
	onEnd  func(written bool) // the function from Admit to call when the call of a written message ends; may be nil
	denied atomic.Bool        // the fleet did not admit it
}

// States of a permit. The last two are final.
const (
	permitGranted uint32 = iota
	permitUsed           // the message is written, or about to be
	permitRevoked        // it will not be written
)

// use uses the permit, just before the message is written. If ok the message counts as written, and written must be called
// once it is.
func (p *Permit) use(now time.Time) (written func(), ok bool) {
	written = func() {}
	if !now.Before(p.Until) {
		p.state.CompareAndSwap(permitGranted, permitRevoked)
		return nil, false
	}
	var ended func(bool)
	if p.Admit != nil {
		if written, ended, ok = p.Admit(); !ok {
			if p.state.CompareAndSwap(permitGranted, permitRevoked) {
				p.denied.Store(true)
			}
			return nil, false
		}
	}
	if !p.state.CompareAndSwap(permitGranted, permitUsed) {
		written()
		if ended != nil {
			ended(false)
		}
		return nil, false
	}
	p.onEnd = ended
	return written, true
}

// Revoke revokes the permit and cancels the call, so that the message is not written. It returns false and changes nothing
// unless the permit is still granted.
func (p *Permit) Revoke() bool {
	if !p.state.CompareAndSwap(permitGranted, permitRevoked) {
		return false
	}
	p.Cancel()
	return true
}

// Ended records that the call of the permit has ended. It must be called once.
func (p *Permit) Ended() {
	if p.onEnd != nil {
		p.onEnd(true)
	}
}

// Revoked reports whether the permit was revoked, denied, or had expired when it was to be used: nothing was written.
func (p *Permit) Revoked() bool { return p.state.Load() == permitRevoked }

// Denied reports whether the fleet denied admission of the call when the message was about to be written.
func (p *Permit) Denied() bool { return p.denied.Load() }

// Ticket is one message of a call with its permit.
type Ticket struct {
	Message
	*Permit
}

// usePermits uses the permits of all tickets and returns the messages that may be written now; written must be called
// once they are.
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

// allRevoked reports whether no permit is left, so that a connection is no longer needed.
func allRevoked(tickets []Ticket) bool {
	for _, t := range tickets {
		if !t.Revoked() {
			return false
		}
	}
	return true
}

// latestUntil returns the time at which the last permit expires.
func latestUntil(tickets []Ticket) time.Time {
	until := tickets[0].Until
	for _, t := range tickets[1:] {
		if t.Until.After(until) {
			until = t.Until
		}
	}
	return until
}
