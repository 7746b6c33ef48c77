package sender

import (
	"context"
	"errors"
	"net/http"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/membership"
)

// loopEvent is an event that another goroutine passes to the loop through Sender.post.
//
//sumtype:decl
type loopEvent interface{ isEvent() }

type (
	// timerFired reports that the module's timer has expired.
	timerFired struct{}
	// listUpdate is an update of the endpoint list by one of its sources.
	listUpdate struct {
		from membership.Source
		Targets
	}
	// listFailure reports that the endpoint list could not be fetched from discovery.
	listFailure struct{ err error }
	// noticesDelivered reports that the platform has acknowledged a batch of notices.
	noticesDelivered struct{ notices []notice }
	// extensionMessage is an event from an extension, which is passed only to extensions.
	extensionMessage struct{ extensionEvent }
)

// extensionEvent is what an extension posts to itself.
type extensionEvent interface{ isExtensionEvent() }

func (timerFired) isEvent()       {}
func (submission) isEvent()       {}
func (callResult) isEvent()       {}
func (listUpdate) isEvent()       {}
func (listFailure) isEvent()      {}
func (noticesDelivered) isEvent() {}
func (recorderDone) isEvent()     {}
func (extensionMessage) isEvent() {}

// pendingAnswer is a response that is sent to its client only after the journal has been written.
type pendingAnswer struct {
	client chan response
	answer response
}

// post hands an event to the loop; false if ctx has ended before there was room for it. Any goroutine but the loop's may call it.
func (s *Sender) post(ctx context.Context, e loopEvent) bool {
	select {
	case s.events <- e: // usually there is room, and this select is cheaper than the one with ctx
		return true
	default:
	}
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// turn handles an event and all others that are queued, at most maxEventsPerTurn, and lets the module decide once. Once the sender
// is stopping nothing is decided any more: events are only recorded in the journal.
func (s *Sender) turn(ctx context.Context, first loopEvent) {
	var events []brain.Event
	for e, n := first, 0; e != nil && n < maxEventsPerTurn; n++ {
		if ev := s.handle(e); ev != nil {
			events = append(events, ev)
		}
		events, s.eventsOfExtensions = append(events, s.eventsOfExtensions...), s.eventsOfExtensions[:0]
		select {
		case e = <-s.events:
		default:
			e = nil
		}
	}
	if s.stopping {
		s.flush()
		s.sendNotices()
		s.endTurn(ctx)
		return
	}
	s.step(ctx, events)
}

// handle applies one event to the sender's state and returns the module's event for it; nil if there is none. The events that
// extensions have for the module are appended to s.eventsOfExtensions.
func (s *Sender) handle(e loopEvent) brain.Event {
	switch e := e.(type) {
	case timerFired:
		return brain.TimerFired{}
	case submission:
		return s.submit(e)
	case callResult:
		return s.handleCallResult(e)
	case listUpdate:
		s.log.Debug("list", "version", e.Version, "full", e.Full, "lines", len(e.Servers))
		update := s.applyListUpdate(e)
		for _, x := range s.extensions {
			s.eventsOfExtensions = append(s.eventsOfExtensions, x.onListUpdate(s.clock.now())...)
		}
		return update
	case listFailure:
		s.log.Warn("discovery failed", "err", e.err)
		return brain.EndpointUpdate{Failed: true, Overloaded: errors.Is(e.err, errOverloaded)}
	case extensionMessage:
		for _, x := range s.extensions {
			s.eventsOfExtensions = append(s.eventsOfExtensions, x.handle(e.extensionEvent, s.clock.now())...)
		}
	case recorderDone:
		s.recorderFinished()
	case noticesDelivered:
		s.recordNotified(e.notices)
	}
	return nil
}

// flush writes the journal and reports whether that succeeded. A failure is only logged: if it persists, the next message fails too
// and is rejected.
func (s *Sender) flush() bool {
	// The end of an event is written to the deduplication file before the journal drops the event: after a kill in between, the
	// journal still has the event and its end is on record.
	for _, x := range s.extensions {
		if err := x.beforeFlush(); err != nil {
			s.log.Warn("an extension failed before the journal was written", "err", err)
		}
	}
	err := s.journal.flush()
	if err != nil {
		s.log.Warn("the journal could not be written", "err", err)
	}
	return err == nil
}

// step lets the module decide, writes its decisions to the journal, and only then acts on them. The order is the contract with
// clients: a message must be in the journal before it is answered 202, and an attempt before its call begins.
func (s *Sender) step(ctx context.Context, events []brain.Event) {
	now := s.clock.now()
	if len(s.deferredEvents) > 0 {
		events, s.deferredEvents = append(s.deferredEvents, events...), nil
	}
	actions := s.brain.Step(now, events)
	s.recall(actions) // before the write to the disk, which may be slow: recalls must not wait for it
	s.recordDecisions(now, actions)
	written := s.flush()
	s.answerClients()
	unwritten := s.acknowledgeSubmitted(events, written)
	s.perform(ctx, actions, written)
	s.sendBatches(ctx, written)
	for _, m := range unwritten {
		s.rejectUnwritten(m)
	}
	s.sendNotices()
	s.endTurn(ctx)
}

// recall revokes the permits of calls that the module would not make any more.
func (s *Sender) recall(actions []brain.Action) {
	for _, a := range actions {
		if r, ok := a.(brain.Revoke); ok {
			if m := s.messages[r.Message]; m != nil && m.calls.recall(r.Attempt) {
				s.log.Debug("call recalled", "message", m.ID, "why", r.Reason.String())
			}
		}
	}
}

// recordDecisions buffers the module's decisions for the journal: attempts that begin and messages that end.
func (s *Sender) recordDecisions(now time.Duration, actions []brain.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			if m, e := s.messages[a.Message], s.endpoints.ByNumber[a.Endpoint]; m != nil && e != nil {
				s.recordAttempt(now, m, e)
			}
		case brain.Reject:
			s.finish(a.Message, outcomeHandedBack, http.StatusServiceUnavailable, a.RetryAfter)
		case brain.Fail:
			s.finish(a.Message, outcomeGivenUp, http.StatusInternalServerError, 0)
		}
	}
}

// recordAttempt buffers the record of an attempt at an endpoint.
func (s *Sender) recordAttempt(now time.Duration, m *message, e *calls.Endpoint) {
	sent := &attemptRecord{At: now, Endpoint: e.ID[:min(len(e.ID), maxNameBytes)], Zone: e.Zone}
	if s.config.Settings.Classes[m.class].IdempotencyKeyZonal && e.Zone < len(s.config.Zones) {
		sent.ZoneName = s.config.Zones[e.Zone]
	}
	s.journal.update(m.storedMessage, record{Op: opSend, Sent: sent})
}

// answerClients sends the responses that had to wait for the write to the journal.
func (s *Sender) answerClients() {
	for _, a := range s.pendingAnswers {
		a.client <- a.answer
	}
	s.pendingAnswers = s.pendingAnswers[:0]
}

// acknowledgeSubmitted answers the clients of messages that are in the journal now; it returns the messages that could not be
// written and are therefore not accepted.
func (s *Sender) acknowledgeSubmitted(events []brain.Event, written bool) (unwritten []*message) {
	for _, e := range events {
		submitted, ok := e.(brain.Message)
		if !ok {
			continue
		}
		switch m := s.messages[submitted.ID]; {
		case written:
			s.acknowledge(m)
		case m != nil && m.reply != nil:
			unwritten = append(unwritten, m)
		}
	}
	return unwritten
}

// perform acts on the module's decisions. No call is made if its attempt could not be written to the journal.
func (s *Sender) perform(ctx context.Context, actions []brain.Action, written bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case brain.Send:
			s.send(ctx, a, written)
		case brain.Cancel:
			if m := s.messages[a.Message]; m != nil {
				m.calls.cancel(a.Attempt)
			}
		case brain.CloseIdleConns:
			s.pool.CloseIdle(s.endpoints.ByNumber[a.Endpoint], 0)
		case brain.SetTimer: // always earlier than the timer that it replaces
			s.timer.Reset(max(0, a.At-s.clock.now()))
		case brain.WatchEndpoints:
			select {
			case s.watchRequests <- struct{}{}:
			default:
			}
			s.listRequested = true
		case brain.Log:
			s.log.Info(a.Line)
		}
	}
}

// endTurn calls the extensions at the end of a turn.
func (s *Sender) endTurn(ctx context.Context) {
	s.changedObservations = s.brain.ChangedObservations()
	for _, x := range s.extensions {
		x.afterTurn(ctx)
	}
}
