package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
)

// resume gives the module what an earlier process left, before any client is heard. The list in the configuration may be older
// than what that process was told, and an endpoint on it may have drained since: nothing is sent until discovery has answered
// once, or firstListTimeout is over.
func (s *Sender) resume(ctx context.Context) {
	s.step(ctx, s.initialListEvents())
	var events []brain.Event
	// Among many senders the module asks at a time of its own, which is not waited for.
	for first, over := !s.listRequested, time.After(firstListTimeout); !first; {
		select {
		case e := <-s.events:
			if ev := s.handle(e); ev != nil {
				events = append(events, ev)
			}
			switch e := e.(type) { // others count, and do not stand for it; the names' list was in before
			case listUpdate:
				first = e.from == membership.Discovery
			case listFailure:
				first = true
			default:
			}
		case <-over:
			first = true
		}
	}
	now := s.clock.now()
	for dest, rate := range s.journal.rates {
		events = append(events, brain.UsualRate{Destination: brain.DestinationID(dest), Rate: rate})
	}
	events = append(events, s.restoredOutages(now)...)
	for _, m := range s.journal.pending() {
		if m.outcome != "" {
			if !m.notified {
				s.pendingNotices = append(s.pendingNotices, m.notice())
			}
			if m.awaitsRecorder && s.recorder != nil {
				s.recorder.cost += m.cost
				s.recorder.waiting = append(s.recorder.waiting, m)
			} else if m.awaitsRecorder && m.Incarnation == 0 { // the recorder was turned off
				s.journal.update(m, record{Op: opRecorded})
			}
			continue
		}
		if s.eventDedup.wasDelivered(now, m) {
			s.journal.update(m, record{Op: opOver, Outcome: outcomeDelivered})
			continue
		}
		first, may := m.firstPossibleRun()
		class := s.config.classOf(m)
		events = append(events, brain.Message{ID: s.register(m, nil, class), Class: class,
			Tenant: indexOf(s.config.Tenants, m.Tenant, -1), Destination: brain.DestinationID(m.Dest), OrderingKey: m.orderKeyHash(), Deadline: m.Deadline,
			PriorAttempts: m.attemptsMade(), MayHaveRun: may, FirstRunAt: first.At, FirstRunZone: s.config.zoneOf(first), Resumed: true})
	}
	events, s.eventsOfExtensions = append(events, s.eventsOfExtensions...), s.eventsOfExtensions[:0]
	for _, p := range s.extensions {
		events = append(events, p.onResume(now)...)
	}
	s.step(ctx, events)
}

// register gives a message the number by which the module knows it.
func (s *Sender) register(st *storedMessage, answer chan response, class int) brain.MessageID {
	s.lastID++
	m := &message{storedMessage: st, number: s.lastID, class: class, earlierAttempts: len(st.Attempts), reply: answer}
	s.messages[m.number], s.byID[st.ID] = m, m
	s.eventDedup.register(m)
	s.pending++
	s.setWaiting(m, true)
	return m.number
}
