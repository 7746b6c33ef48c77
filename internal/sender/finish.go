package sender

import (
	"log/slog"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/identity"
)

// handleCallResult records the end of an attempt, and the end of its message if the attempt decides it, and gives the module the
// result.
func (s *Sender) handleCallResult(e callResult) brain.Event {
	m := e.message
	s.inFlight--
	e.Message, e.Attempt = m.number, e.attempt
	e.Revoked = e.Outcome == brain.NotSent && (m.calls.recalled(e.attempt) || m.calls.rejectedByPolicy(e.attempt))
	s.recheckPolicy(m, e)
	m.calls.finish(e.attempt)
	if s.config.Fleet != nil && e.LimitReported && e.Limit > 0 {
		s.config.Fleet.ObserveLimit(m.Dest, e.Limit)
	}
	s.traceEnd(m, e)
	if e.Outcome == brain.TimedOut {
		// If the machine vanished or was cut off, the connections from before are dead too and are reset when it is back: each would
		// cost a further call its time-out. Those used since the call began may stay.
		s.pool.CloseIdle(s.endpoints.ByNumber[e.Endpoint], e.Elapsed)
	}
	if e.draining {
		s.retireEndpoint(s.endpoints.ByNumber[e.Endpoint])
	}
	if !m.ended {
		s.recordCallResult(m, e)
	}
	s.setWaiting(m, !m.ended && len(m.calls) == 0)
	s.forget(m)
	return e.AttemptResult
}

// retireEndpoint takes an endpoint that has asked for no further calls out of service.
func (s *Sender) retireEndpoint(endpoint *calls.Endpoint) {
	update, changed := s.endpoints.Retire(endpoint, s.pool)
	if !changed {
		return
	}
	s.log.Info("an endpoint wants no more calls", "endpoint", endpoint.ID)
	s.deferredEvents = append(s.deferredEvents, update) // in the same step as the call's result, or the next call would go there
}

// recordCallResult records the end of the message if the attempt decides it, or else the end of the attempt alone.
func (s *Sender) recordCallResult(m *message, e callResult) {
	switch {
	case e.Outcome == brain.Served:
		s.eventDedup.recordEnd(m, s.clock.now(), identity.Delivered, 0)
		if s.mayHaveExpired(m) {
			s.recordEnd(m, record{Outcome: outcomeGivenUp})
			s.pendingNotices = append(s.pendingNotices, m.notice())
		} else {
			s.recordEnd(m, s.endRecord(m, outcomeDelivered))
		}
	case e.Final:
		s.eventDedup.recordEnd(m, s.clock.now(), identity.Failed, 0)
		s.recordEnd(m, s.endRecord(m, outcomeAnswered))
	default:
		neverRan := e.Outcome == brain.Rejected || e.Outcome == brain.ConnectFailed || e.Outcome == brain.NotSent
		rec := record{Op: opEnd, Attempt: m.earlierAttempts + e.attempt, NeverRan: neverRan, Recalled: e.Revoked}
		if s.recorder != nil {
			rec.AttemptOutcome = string(outcomeOf(e.Outcome))
		}
		s.journal.update(m.storedMessage, rec)
	}
}

// deadlineMargin is how much earlier other parties may place a message's deadline than the sender, which counts from the time when the
// complete request has been read. It is the tolerance of the protocol's time limits.
const deadlineMargin = 50 * time.Millisecond

// mayHaveExpired reports whether the deadline of a message that is served now may have passed before. Such a message counts as not
// delivered, and as lost if there is no notice of it. A notice of a delivered message does no harm.
func (s *Sender) mayHaveExpired(m *message) bool {
	return m.reply == nil && m.Incarnation == 0 && s.clock.now() >= m.Deadline-deadlineMargin
}

// endRecord is the record of a message that ends without being given up. The end of a resent message goes to the recorder, too.
func (s *Sender) endRecord(m *message, outcome string) record {
	rec := record{Outcome: outcome}
	if m.Incarnation > 0 && s.shouldRecord(m, outcome) {
		rec.AwaitsRecorder, rec.At = true, s.clock.now()
	}
	return rec
}

// recordEnd records that a message has ended. The caller answers a client that still waits.
func (s *Sender) recordEnd(m *message, rec record) {
	rec.Op = opOver
	s.journal.update(m.storedMessage, rec)
	m.ended = true
	s.pending--
	s.setWaiting(m, false)
}

// forget drops a message that has ended once none of its calls is in flight.
func (s *Sender) forget(m *message) {
	if m.ended && len(m.calls) == 0 {
		delete(s.messages, m.number)
		if s.byID[m.ID] == m {
			delete(s.byID, m.ID)
		}
	}
}

// finish ends a message as the module has decided: in the answer to its client, or, if the client was already answered that the message
// is accepted, by a notice to the platform. outcome is outcomeGivenUp or outcomeHandedBack, status is the answer's, and after retryAfter
// the client may submit the message again.
func (s *Sender) finish(id brain.MessageID, outcome string, status int, retryAfter time.Duration) {
	m := s.messages[id]
	if m == nil || m.ended {
		return
	}
	accepted := m.reply == nil
	s.trace(outcome, m.ID, slog.Int("tries", m.attemptsMade()), slog.Duration("hold", retryAfter))
	switch {
	case outcome == outcomeGivenUp:
		s.eventDedup.recordEnd(m, s.clock.now(), identity.Failed, 0)
	case accepted:
		s.eventDedup.recordEnd(m, s.clock.now(), identity.HandedBack, retryAfter)
	default: // rejected in the answer to its client: it was never accepted
		s.eventDedup.forget(m)
	}
	if !accepted { // its client is answered once the end is in the journal
		for _, to := range append(m.alsoWaiting, m.reply) {
			s.pendingAnswers = append(s.pendingAnswers, pendingAnswer{to, response{status: status, retryAfter: retryAfter, text: outcome}})
		}
		m.reply, m.alsoWaiting = nil, nil
		rec := record{Outcome: outcomeAnswered}
		if outcome == outcomeGivenUp && s.shouldRecord(m, outcomeAnswered) { // a message rejected in its answer was never accepted
			rec.AwaitsRecorder, rec.At = true, s.clock.now()
		}
		s.recordEnd(m, rec)
	} else {
		rec := record{Outcome: outcome, RetryAfterMS: retryAfter.Milliseconds(), Notified: m.Incarnation > 0} // a resent message needs no notice
		if s.shouldRecord(m, outcome) {
			rec.AwaitsRecorder, rec.At = true, s.clock.now()
		}
		s.recordEnd(m, rec)
		if m.Incarnation == 0 {
			s.pendingNotices = append(s.pendingNotices, m.notice())
		}
	}
	s.forget(m)
}

// callResult is how a call ended, for one message.
type callResult struct {
	message *message
	attempt int
	brain.AttemptResult
	draining bool // the endpoint has asked for no further calls
}
