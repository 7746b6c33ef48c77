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

// loopEvent is what the loop takes in: all that other goroutines have for it passes Sender.post as one of these.
//
//sumtype:decl
type loopEvent interface{ isEvent() }

type (
	// timerFired is that the module's timer has run out.
	timerFired struct{}
	// listUpdate is an update of the endpoint list by one of its sources.
	listUpdate struct {
		from membership.Source
		Targets
	}
	// listFailure is that discovery could not be asked.
	listFailure struct{ err error }
	// noticesDelivered is that the platform has acknowledged a batch of notices.
	noticesDelivered struct{ notices []notice }
	// extensionMessage is an event of an extension's own, which only extensions read.
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

// pendingAnswer is an answer that its client gets once what it says is in the journal.
type pendingAnswer struct {
	client chan response
	answer response
}

// post hands an event to the loop; false if ctx has ended before there was room for it. Any goroutine but the loop's may call it.
func (s *Sender) post(ctx context.Context, e loopEvent) bool {
	select {
	case s.events <- e: // there is room as a rule, and looking for that alone costs little
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

// turn takes in an event and all others that wait, maxEventsPerTurn at most, and has the module decide once. Once the sender is
// stopping nothing is decided any more: what comes in is only written down.
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

// handle applies one event to the sender's state and translates it for the module; nil if the module need not know. What
// extensions have for the module is left in s.eventsOfExtensions.
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

// flush writes the journal and reports whether it could. What fails here fails again at the next message, which is refused.
func (s *Sender) flush() bool {
	// How an event ended is written before the journal forgets it: between the two it is held, and known as over.
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

// step has the module decide, writes its decisions down, and only then acts on them. The order is the contract with clients: a
// message stands in the journal before it is answered 202, and an attempt before its call begins.
func (s *Sender) step(ctx context.Context, events []brain.Event) {
	now := s.clock.now()
	if len(s.deferredEvents) > 0 {
		events, s.deferredEvents = append(s.deferredEvents, events...), nil
	}
	actions := s.brain.Step(now, events)
	s.recall(actions) // before the disk, which may be slow: these do not wait
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

// recall takes back the permit of calls that the module would not make now.
func (s *Sender) recall(actions []brain.Action) {
	for _, a := range actions {
		if r, ok := a.(brain.Revoke); ok {
			if m := s.messages[r.Message]; m != nil && m.calls.recall(r.Attempt) {
				s.log.Debug("a call is recalled", "message", m.ID, "why", r.Reason.String())
			}
		}
	}
}

// recordDecisions puts into the journal's buffer what the module has decided: attempts that begin and messages that end.
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

// recordAttempt puts an attempt at an endpoint into the journal's buffer.
func (s *Sender) recordAttempt(now time.Duration, m *message, e *calls.Endpoint) {
	sent := &attemptRecord{At: now, Endpoint: e.ID[:min(len(e.ID), maxNameBytes)], Zone: e.Zone}
	if s.config.Settings.Classes[m.class].IdempotencyKeyZonal && e.Zone < len(s.config.Zones) {
		sent.ZoneName = s.config.Zones[e.Zone]
	}
	s.journal.update(m.storedMessage, record{Op: opSend, Sent: sent})
}

// answerClients gives the answers that waited for the journal.
func (s *Sender) answerClients() {
	for _, a := range s.pendingAnswers {
		a.client <- a.answer
	}
	s.pendingAnswers = s.pendingAnswers[:0]
}

// acknowledgeSubmitted answers the clients of messages that are in the journal now; it gives the messages that could not be
// written, which are not taken on.
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

// perform acts on the module's decisions. Calls that are not written down are not begun.
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
		case brain.SetTimer: // each is earlier than the one set before
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

// endTurn lets the extensions know that a turn is over.
func (s *Sender) endTurn(ctx context.Context) {
	s.changedObservations = s.brain.ChangedObservations()
	for _, x := range s.extensions {
		x.afterTurn(ctx)
	}
}
