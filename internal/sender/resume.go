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
	events := s.awaitFirstList()
	now := s.clock.now()
	for destination, rate := range s.journal.rates {
		events = append(events, brain.UsualRate{Destination: brain.DestinationID(destination), Rate: rate})
	}
	events = append(events, s.restoredOutages(now)...)
	for _, m := range s.journal.pending() {
		switch {
		case m.outcome != "":
			s.resumeEnded(m)
		case s.eventDedup.wasDelivered(now, m):
			s.journal.update(m, record{Op: opOver, Outcome: outcomeDelivered})
		default:
			events = append(events, s.resumeMessage(m))
		}
	}
	events, s.eventsOfExtensions = append(events, s.eventsOfExtensions...), s.eventsOfExtensions[:0]
	for _, x := range s.extensions {
		events = append(events, x.onResume(now)...)
	}
	s.step(ctx, events)
}

// awaitFirstList waits for discovery's first answer, or failure, for firstListTimeout at most, and gives what has come for the module
// meanwhile. Among many senders the module asks for the list at a time of its own, which is not waited for.
func (s *Sender) awaitFirstList() []brain.Event {
	if !s.listRequested {
		return nil
	}
	var events []brain.Event
	timeout := time.After(firstListTimeout)
	for {
		select {
		case e := <-s.events:
			if ev := s.handle(e); ev != nil {
				events = append(events, ev)
			}
			switch e := e.(type) { // other events count, and do not stand for it; the names' list was in before
			case listUpdate:
				if e.from == membership.Discovery {
					return events
				}
			case listFailure:
				return events
			default:
			}
		case <-timeout:
			return events
		}
	}
}

// resumeEnded takes up a message that is over and on which somebody is owed something: the platform its notice, or the recorder.
func (s *Sender) resumeEnded(m *storedMessage) {
	if !m.notified {
		s.pendingNotices = append(s.pendingNotices, m.notice())
	}
	switch {
	case !m.awaitsRecorder:
	case s.recorder != nil:
		s.recorder.cost += m.cost
		s.recorder.waiting = append(s.recorder.waiting, m)
	case m.Incarnation == 0: // the recorder was turned off
		s.journal.update(m, record{Op: opRecorded})
	}
}

// resumeMessage takes up a message that has not ended and gives the module's event.
func (s *Sender) resumeMessage(m *storedMessage) brain.Event {
	first, mayHaveRun := m.firstPossibleRun()
	class := s.config.classOf(m)
	return brain.Message{ID: s.register(m, nil, class), Class: class, Tenant: indexOf(s.config.Tenants, m.Tenant, -1),
		Destination: brain.DestinationID(m.Dest), OrderingKey: m.orderKeyHash(), Deadline: m.Deadline, PriorAttempts: m.attemptsMade(),
		MayHaveRun: mayHaveRun, FirstRunAt: first.At, FirstRunZone: s.config.zoneOf(first), Resumed: true}
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
