package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
)

// resume passes the state that an earlier process left to the module, before any client is served. The list in the configuration may
// be older than the one that process had, and an endpoint on it may have drained since: nothing is sent until discovery has answered
// once, or firstListTimeout has passed.
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

// awaitFirstList waits for discovery's first answer or failure, at most for firstListTimeout, and returns the events for the module that
// have arrived meanwhile. It does not wait if the module has not requested the list yet: with many senders each delays its request.
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
			switch e := e.(type) { // other events are handled too, but don't end the wait; the names' list has been applied before
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

// resumeEnded resumes a message that has ended, but whose notice is not acknowledged or which the recorder has not stored.
func (s *Sender) resumeEnded(m *storedMessage) {
	if !m.notified {
		s.pendingNotices = append(s.pendingNotices, m.notice())
	}
	switch {
	case !m.awaitsRecorder:
	case s.recorder != nil:
		s.recorder.cost += m.cost
		s.recorder.waiting = append(s.recorder.waiting, m)
	case m.Incarnation == 0: // the recorder has been turned off since
		s.journal.update(m, record{Op: opRecorded})
	}
}

// resumeMessage resumes a message that has not ended and returns the module's event for it.
func (s *Sender) resumeMessage(m *storedMessage) brain.Event {
	first, mayHaveRun := m.firstPossibleRun()
	class := s.config.classOf(m)
	return brain.Message{ID: s.register(m, nil, class), Class: class, Tenant: indexOf(s.config.Tenants, m.Tenant, -1),
		Destination: brain.DestinationID(m.Dest), OrderingKey: m.orderKeyHash(), Deadline: m.Deadline, PriorAttempts: m.attemptsMade(),
		MayHaveRun: mayHaveRun, FirstRunAt: first.At, FirstRunZone: s.config.zoneOf(first), Resumed: true}
}

// register adds a message to those that the sender manages and returns its number in the module.
func (s *Sender) register(st *storedMessage, answer chan response, class int) brain.MessageID {
	s.lastID++
	m := &message{storedMessage: st, number: s.lastID, class: class, earlierAttempts: len(st.Attempts), reply: answer}
	s.messages[m.number], s.byID[st.ID] = m, m
	s.eventDedup.register(m)
	s.pending++
	s.setWaiting(m, true)
	return m.number
}
