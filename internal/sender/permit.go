package sender

import (
	"context"
	"sync/atomic"
	"time"
)

// permit is leave to write one message once. Between the decision to send it and its first byte on the wire lie the
// seconds in which its connection comes up, and what it was decided by may change meanwhile: its destination asks for
// a wait, its endpoint drains, an outage begins, its key is forgotten. So the call asks for its permit just before it
// writes, and the loop takes the permit back as soon as the module says so. Either the one or the other comes first;
// no lock is held, and neither waits.
type permit struct {
	state  atomic.Uint32
	until  time.Time          // it lapses by itself: a repeat is lawful only while its key is remembered
	cancel context.CancelFunc // ends the call

	recalled bool // by the module's word; the loop's

	// enter is what the fleet says of the call at this very moment; nil where senders agree on nothing. leave is to be called
	// when the message is written.
	enter   func() (leave func(), ok bool)
	against atomic.Bool // it said no
}

const (
	granted   uint32 = iota
	used             // the message is written, or about to be
	takenBack        // it will not be
)

// use asks for the leave, at the moment of writing. Once it is given the message counts as written, and written is to be
// called when it is.
func (p *permit) use(now time.Time) (written func(), ok bool) {
	written = func() {}
	if !now.Before(p.until) {
		p.state.CompareAndSwap(granted, takenBack)
		return nil, false
	}
	if p.enter != nil {
		if written, ok = p.enter(); !ok {
			if p.state.CompareAndSwap(granted, takenBack) {
				p.against.Store(true)
			}
			return nil, false
		}
	}
	if !p.state.CompareAndSwap(granted, used) {
		written()
		return nil, false
	}
	return written, true
}

// takeBack takes the leave back and ends the call, which is never made then. It reports false, and changes nothing, if
// the leave was used already.
func (p *permit) takeBack() bool {
	if !p.state.CompareAndSwap(granted, takenBack) {
		return false
	}
	p.cancel()
	return true
}

// gone reports whether the leave was taken back, or lapsed when it was asked for: nothing was written.
func (p *permit) gone() bool { return p.state.Load() == takenBack }

// ticket is one message of a call with its permit.
type ticket struct {
	record
	*permit
}

// use asks for the leave of each ticket and gives the messages that may be written now; written is to be called when they are.
func use(tickets []ticket, now time.Time) (may []record, written func()) {
	may = make([]record, 0, len(tickets))
	all := make([]func(), 0, len(tickets))
	for _, t := range tickets {
		if w, ok := t.permit.use(now); ok {
			may, all = append(may, t.record), append(all, w)
		}
	}
	return may, func() {
		for _, w := range all {
			w()
		}
	}
}

// unneeded reports whether no ticket's leave is left: there is nothing to connect for.
func unneeded(tickets []ticket) bool {
	for _, t := range tickets {
		if !t.gone() {
			return false
		}
	}
	return true
}
