package sender

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/cloudevents"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/undelivered"
	"saffronyard.example/saffronyard/internal/work"
)

// Background is background work's access to a running sender, from any goroutine. Each method runs in a turn of the loop and fails
// with ErrBusy if the loop does not answer within backgroundTimeout.
type Background struct{ s *Sender }

// backgroundExtension answers Background's queries in the loop's turns.
type backgroundExtension struct {
	noopExtension
	s          *Sender
	queueDelay time.Duration // of the last query, from its post to its turn
	flushTime  time.Duration // duration of the last flush of the journal
	flushBegan time.Time
	resumed    bool // the journal's messages have been resumed
}

// backgroundQuery is a query posted to the loop, which answers it in the same turn. The events that run returns go to the module.
type backgroundQuery struct {
	asked  time.Time
	state  *atomic.Uint32 // set by the loop that takes the query or by the caller that abandons it, whichever is first
	run    func(p *backgroundExtension, now time.Duration) []brain.Event
	answer chan struct{}
}

func (backgroundQuery) isExtensionEvent() {}

// backgroundTimeout is how long a query may wait for the loop.
const backgroundTimeout = 2 * time.Second

// Background gives background work access to the sender; it needs Config.Background.
func (s *Sender) Background() *Background { return &Background{s} }

// runInLoop runs query in a turn of the loop. After runInLoop has returned, query is not called any more.
func (b *Background) runInLoop(ctx context.Context, query func(p *backgroundExtension, now time.Duration) []brain.Event) error {
	ctx, cancel := context.WithTimeout(ctx, backgroundTimeout)
	defer cancel()
	q := backgroundQuery{time.Now(), new(atomic.Uint32), query, make(chan struct{})}
	if b.s.post(ctx, extensionMessage{q}) {
		select {
		case <-q.answer:
			return nil
		case <-ctx.Done():
			if !q.state.CompareAndSwap(queryWaiting, queryAbandoned) { // the loop has taken it
				<-q.answer
				return nil
			}
		}
	}
	return ErrBusy // and query will not be called later
}

// The states of a query: the loop takes it or its caller abandons it, whichever is first.
const (
	queryWaiting uint32 = iota
	queryTaken
	queryAbandoned
)

// handle answers a query unless its caller has abandoned it.
func (p *backgroundExtension) handle(e extensionEvent, now time.Duration) []brain.Event {
	q, ok := e.(backgroundQuery)
	if !ok {
		return nil
	}
	if !q.state.CompareAndSwap(queryWaiting, queryTaken) {
		return nil
	}
	p.queueDelay = time.Since(q.asked)
	events := q.run(p, now)
	close(q.answer)
	return events
}

// onResume records that the journal's messages have been resumed: from now on messages may be resent.
func (p *backgroundExtension) onResume(time.Duration) []brain.Event {
	p.resumed = true
	return nil
}

// beforeFlush starts the measurement of the flush.
func (p *backgroundExtension) beforeFlush() error {
	p.flushBegan = time.Now()
	return nil
}

// afterTurn ends the measurement of the flush.
func (p *backgroundExtension) afterTurn(context.Context) {
	if !p.flushBegan.IsZero() {
		p.flushTime, p.flushBegan = time.Since(p.flushBegan), time.Time{}
	}
}

// LoadSignals reports the load that live messages cause on the sender.
func (b *Background) LoadSignals(ctx context.Context) (f work.LoadSignals, err error) {
	err = b.runInLoop(ctx, func(p *backgroundExtension, _ time.Duration) []brain.Event {
		s := p.s
		f.TurnLate, f.DiskLatency = p.queueDelay, p.flushTime
		if n := s.config.Settings.Slots; n > 0 {
			f.Calls = float64(s.inFlight) / float64(n)
		}
		if n := s.config.Settings.MaxPending; n > 0 {
			f.Pending = float64(s.pending) / float64(n)
		}
		if s.journal.budget > 0 {
			f.Journal = float64(s.journal.reserved) * 2 / float64(s.journal.budget)
		}
		return nil
	})
	return f, err
}

// InFlight lists the resent messages that the sender still has: in flight, waiting, or ended and not yet stored by the recorder.
func (b *Background) InFlight(ctx context.Context) (ids map[string]bool, err error) {
	ids = map[string]bool{}
	err = b.runInLoop(ctx, func(p *backgroundExtension, _ time.Duration) []brain.Event {
		for id, m := range p.s.journal.byID {
			if m.Incarnation > 0 {
				ids[id] = true
			}
		}
		return nil
	})
	return ids, err
}

// Receivers reports the state of each listed destination.
func (b *Background) Receivers(ctx context.Context) (all map[uint32]undelivered.Receiver, err error) {
	all = map[uint32]undelivered.Receiver{}
	err = b.runInLoop(ctx, func(p *backgroundExtension, now time.Duration) []brain.Event {
		s := p.s
		ready := map[uint32]bool{}
		for _, e := range s.endpoints.ByID {
			ready[uint32(e.Entry.Destination)] = ready[uint32(e.Entry.Destination)] || e.Entry.Ready
		}
		for dest, ok := range ready { // a destination with a ready endpoint counts as healthy unless an observation says otherwise
			all[dest] = undelivered.Receiver{Healthy: ok, HealthyFor: math.MaxInt64}
		}
		for _, f := range s.knownFacts(now) {
			r, ok := all[f.Destination]
			if !ok {
				continue
			}
			switch {
			case f.Kind == knowledge.RetryAfter && now < f.Until:
				r.Healthy, r.HealthyFor = false, 0
			case f.Kind == knowledge.Health && f.State == knowledge.Unhealthy:
				r.Healthy, r.HealthyFor = false, 0
			case f.Kind == knowledge.Health:
				r.HealthyFor = min(r.HealthyFor, max(0, now-f.Since))
				r.Rate += f.Rate
			}
			all[f.Destination] = r
		}
		s.knownFactsCache = nil
		for _, m := range s.messages {
			r, ok := all[m.Dest]
			if !ok || m.ended {
				continue
			}
			if m.Incarnation > 0 {
				r.InFlight++
			} else if len(m.calls) == 0 {
				r.Waiting++
			}
			all[m.Dest] = r
		}
		return nil
	})
	return all, err
}

// KeyWindow is how long receivers remember the idempotency keys of a class.
func (c *Config) KeyWindow(class string) time.Duration {
	if i := indexOf(c.Classes, class, -1); i >= 0 {
		return c.Settings.Classes[i].IdempotencyKeyTTL
	}
	return 0
}

// Resend accepts an undelivered message again as its next incarnation, which goes through the journal and the module like any message.
// An error, which is ErrBusy, a *ResendError or an error of the journal, says why the message was not accepted; the sender has
// then stored nothing of it.
func (b *Background) Resend(ctx context.Context, e undelivered.Entry, deadline time.Duration) error {
	var rejected error
	err := b.runInLoop(ctx, func(p *backgroundExtension, now time.Duration) []brain.Event {
		var ev brain.Event
		ev, rejected = p.resend(&e, now, deadline)
		if rejected != nil {
			return nil
		}
		return []brain.Event{ev}
	})
	return errors.Join(err, rejected)
}

// resend is Resend in the loop's turn.
func (p *backgroundExtension) resend(e *undelivered.Entry, now, deadline time.Duration) (brain.Event, error) {
	s := p.s
	class, tenant := indexOf(s.config.Classes, e.Class, -1), indexOf(s.config.Tenants, e.Member, -1)
	if err := p.checkResend(e, class, tenant, now); err != nil {
		return nil, err
	}
	rec, err := nextIncarnation(e, now+deadline)
	if err != nil {
		return nil, err
	}
	rec.setRepeatRule(s.config.Settings.Classes[class])
	stored, err := s.journal.insert(rec)
	if err != nil {
		return nil, err
	}
	first, mayHaveRun := stored.firstPossibleRun()
	id := s.register(stored, nil, class)
	return brain.Message{ID: id, Class: class, Tenant: tenant, Destination: brain.DestinationID(e.Destination), Deadline: rec.Deadline,
		MayHaveRun: mayHaveRun, FirstRunAt: first.At, FirstRunZone: s.config.zoneOf(first)}, nil
}

// checkResend says why a message can't be resent now. It is called when the message is about to be accepted: since the message was
// chosen, the store was written and the query waited in the loop's queue, so that the answer may have changed. class and tenant are
// the indexes of its names in the settings, negative if they are gone.
func (p *backgroundExtension) checkResend(e *undelivered.Entry, class, tenant int, now time.Duration) error {
	s := p.s
	switch {
	case !p.resumed: // a message that is inserted now would be resumed from the journal as well
		return ErrBusy
	case s.stopping || s.server.closing.Load():
		return ErrBusy
	case class < 0:
		return resendError("class %q is no longer configured", e.Class)
	case tenant < 0:
		return resendError("member %q is no longer configured", e.Member)
	case s.journal.byID[e.Message] != nil:
		return resendError("the sender still holds the message")
	}
	if _, known := s.endpoints.Destinations[e.Destination]; !known {
		return resendError("destination %d no longer exists", e.Destination)
	}
	if v, why := undelivered.MayResend(e.History(), s.config.Settings.Classes[class].IdempotencyKeyTTL, int64(now)); v == undelivered.Forbidden {
		return &ResendError{why}
	}
	if e.Key != "" {
		for _, m := range s.messages {
			if !m.ended && m.Key == e.Key && m.Tenant == e.Member && m.Dest == e.Destination {
				return resendError("its client has submitted it again")
			}
		}
	}
	if limit := s.config.Settings.MaxPending; limit > 0 && s.pending >= limit/2 { // the rest is for live messages
		return resendError("half of the room for pending messages is taken")
	}
	return nil
}

// nextIncarnation is the record of an undelivered message that is resent, with the attempts of its earlier incarnations.
func nextIncarnation(e *undelivered.Entry, deadline time.Duration) (record, error) {
	rec := record{ID: e.Message, Key: e.Key, Class: e.Class, Tenant: e.Member, Dest: e.Destination, Deadline: deadline, Body: e.Body,
		Incarnation: e.Resends + 1, EarlierAttempts: len(e.Attempts)}
	if len(e.Event) > 0 {
		event, err := cloudevents.ReadHead(e.Event)
		if err != nil {
			return record{}, fmt.Errorf("decode the message's event: %w", err)
		}
		rec.Event = event
	}
	for _, a := range e.Attempts {
		rec.Attempts = append(rec.Attempts, attemptRecord{At: time.Duration(a.At), Endpoint: a.Endpoint, NeverRan: !a.Outcome.MayHaveRun(), Outcome: string(a.Outcome)})
	}
	return rec, nil
}
