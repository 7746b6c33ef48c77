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

// Background is what work behind the messages asks of the sender, from any goroutine. It is there once the sender runs.
type Background struct{ s *Sender }

// backgroundPart answers it in the loop's turns.
type backgroundPart struct {
	noPart
	s        *Sender
	turnLate time.Duration // of the last question, from when it was asked
	took     time.Duration // the last writing of the journal
	writing  time.Time
	open     bool // what the journal held has been resumed
}

// backgroundAsk is put to the loop; it answers in the same turn, and what it gives the module is told.
type backgroundAsk struct {
	asked  time.Time
	state  *atomic.Uint32 // who is first: the loop, or the one who asked and waits no more
	ask    func(p *backgroundPart, now time.Duration) []brain.Event
	answer chan struct{}
}

func (backgroundAsk) partEvent() {}

const backgroundTime = 2 * time.Second

// ErrBusy says that the sender is leaving, or too busy to answer.
var ErrBusy = errors.New("the sender is leaving, or too busy")

// Background is for work behind the messages; it is there if the configuration has Background set.
func (s *Sender) Background() *Background { return &Background{s} }

func (b *Background) within(ctx context.Context, ask func(p *backgroundPart, now time.Duration) []brain.Event) error {
	ctx, cancel := context.WithTimeout(ctx, backgroundTime)
	defer cancel()
	q := backgroundAsk{time.Now(), new(atomic.Uint32), ask, make(chan struct{})}
	if b.s.post(ctx, q) {
		select {
		case <-q.answer:
			return nil
		case <-ctx.Done():
			if !q.state.CompareAndSwap(askWaits, askGivenUp) { // it is being answered
				<-q.answer
				return nil
			}
		}
	}
	return ErrBusy // and it will not be answered later
}

// The states of a question.
const (
	askWaits uint32 = iota
	askTaken
	askGivenUp
)

func (p *backgroundPart) take(e any, now time.Duration) []brain.Event {
	q, ok := e.(backgroundAsk)
	if !ok {
		return nil
	}
	if !q.state.CompareAndSwap(askWaits, askTaken) {
		return nil
	}
	p.turnLate = time.Since(q.asked)
	events := q.ask(p, now)
	close(q.answer)
	return events
}

func (p *backgroundPart) resumed(time.Duration) []brain.Event {
	p.open = true
	return nil
}

func (p *backgroundPart) beforeWrite() error {
	p.writing = time.Now()
	return nil
}

func (p *backgroundPart) afterWrite(context.Context) {
	if !p.writing.IsZero() {
		p.took, p.writing = time.Since(p.writing), time.Time{}
	}
}

// Facts is how busy live work is.
func (b *Background) Facts(ctx context.Context) (f work.LoadSignals, err error) {
	err = b.within(ctx, func(p *backgroundPart, _ time.Duration) []brain.Event {
		s := p.s
		f.TurnLate, f.DiskLatency = p.turnLate, p.took
		if n := s.c.Settings.Slots; n > 0 {
			f.Calls = float64(s.out) / float64(n)
		}
		if n := s.c.Settings.MaxPending; n > 0 {
			f.Pending = float64(s.held) / float64(n)
		}
		if s.journal.budget > 0 {
			f.Journal = float64(s.journal.live) * 2 / float64(s.journal.budget)
		}
		return nil
	})
	return f, err
}

// InFlight is the messages that went again and that the sender still has: out, waiting, or ended and not yet with the
// recorder.
func (b *Background) InFlight(ctx context.Context) (held map[string]bool, err error) {
	held = map[string]bool{}
	err = b.within(ctx, func(p *backgroundPart, _ time.Duration) []brain.Event {
		for id, m := range p.s.journal.byID {
			if m.Life > 0 {
				held[id] = true
			}
		}
		return nil
	})
	return held, err
}

// Receivers is what is known now of destinations that calls have gone to.
func (b *Background) Receivers(ctx context.Context) (all map[uint32]undelivered.Receiver, err error) {
	all = map[uint32]undelivered.Receiver{}
	err = b.within(ctx, func(p *backgroundPart, now time.Duration) []brain.Event {
		s := p.s
		ready := map[uint32]bool{}
		for _, e := range s.list.ByID {
			ready[uint32(e.Line.Destination)] = ready[uint32(e.Line.Destination)] || e.Line.Ready
		}
		for dest, ok := range ready { // one of which nothing is known is well, as far as anybody can say
			all[dest] = undelivered.Receiver{Healthy: ok, HealthyFor: math.MaxInt64}
		}
		for _, f := range s.knownNow(now) {
			r, ok := all[f.Destination]
			if !ok {
				continue
			}
			switch {
			case f.Sort == knowledge.Wait && now < f.Until:
				r.Healthy, r.HealthyFor = false, 0
			case f.Sort == knowledge.Health && f.State == knowledge.Out:
				r.Healthy, r.HealthyFor = false, 0
			case f.Sort == knowledge.Health:
				r.HealthyFor = min(r.HealthyFor, max(0, now-f.Since))
				r.Rate += f.Rate
			}
			all[f.Destination] = r
		}
		s.knownAll = nil
		for _, m := range s.messages {
			r, ok := all[m.Dest]
			if !ok || m.ended {
				continue
			}
			if m.Life > 0 {
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

// KeyWindow is how long receivers remember the keys of a class.
func (c *Config) KeyWindow(class string) time.Duration {
	if i := place(c.Classes, class, -1); i >= 0 {
		return c.Settings.Classes[i].IdempotencyKeyTTL
	}
	return 0
}

// Resend takes a kept message on once more, as its next life: it passes the journal and the module as any. An error says that it
// was not taken, and why; nothing of it is left then.
func (b *Background) Resend(ctx context.Context, e undelivered.Entry, deadline time.Duration) error {
	var refused error
	err := b.within(ctx, func(p *backgroundPart, now time.Duration) []brain.Event {
		var ev brain.Event
		ev, refused = p.again(&e, now, deadline)
		if refused != nil {
			return nil
		}
		return []brain.Event{ev}
	})
	return errors.Join(err, refused)
}

func (p *backgroundPart) again(e *undelivered.Entry, now, deadline time.Duration) (brain.Event, error) {
	s := p.s
	class, tenant := place(s.c.Classes, e.Class, -1), place(s.c.Tenants, e.Member, -1)
	switch {
	case !p.open: // what goes into the journal now would be resumed from it as well
		return nil, ErrBusy
	case s.quitting || s.server.closing.Load():
		return nil, ErrBusy
	case class < 0:
		return nil, fmt.Errorf("there is no class %q any more", e.Class)
	case tenant < 0:
		return nil, fmt.Errorf("there is no member %q any more", e.Member)
	case s.journal.byID[e.Message] != nil:
		return nil, errors.New("it is held")
	}
	if _, known := s.list.Cells[e.Destination]; !known {
		return nil, fmt.Errorf("destination %d does not exist any more", e.Destination)
	}
	// Asked again at the moment of taking it on: between the choice and this lie a write to the store and the loop's queue.
	if v, why := undelivered.MayResend(e.History(), s.c.Settings.Classes[class].IdempotencyKeyTTL, int64(now)); v == undelivered.Forbidden {
		return nil, errors.New(why)
	}
	if e.Key != "" {
		for _, m := range s.messages {
			if !m.ended && m.Key == e.Key && m.Tenant == e.Member && m.Dest == e.Destination {
				return nil, errors.New("its client has handed it in anew")
			}
		}
	}
	if most := s.c.Settings.MaxPending; most > 0 && s.held >= most/2 { // the rest is for live ones
		return nil, errors.New("the room for messages is half taken")
	}
	rec := record{ID: e.Message, Key: e.Key, Class: e.Class, Tenant: e.Member, Dest: e.Destination, Deadline: now + deadline, Body: e.Body,
		Life: e.Resends + 1, Before: len(e.Attempts)}
	if len(e.Event) > 0 {
		ev, err := cloudevents.ReadHead(e.Event)
		if err != nil {
			return nil, fmt.Errorf("its event can't be read: %w", err)
		}
		rec.Event = ev
	}
	for _, a := range e.Attempts {
		rec.Tries = append(rec.Tries, try{At: time.Duration(a.At), Endpoint: a.Endpoint, Never: !a.Outcome.MayHaveRun(), Out: string(a.Outcome)})
	}
	rec.ruled(s.c.Settings.Classes[class])
	st, err := s.journal.put(rec)
	if err != nil {
		return nil, err
	}
	first, may := st.firstRun()
	id := s.hold(st, nil, class)
	return brain.Message{ID: id, Class: class, Tenant: tenant, Destination: brain.DestinationID(e.Destination), Deadline: rec.Deadline,
		MayHaveRun: may, FirstRunAt: first.At, FirstRunZone: s.c.zoneOf(first)}, nil
}
