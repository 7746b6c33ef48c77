package sender

import (
	"fmt"
	"log/slog"
	"net/http"

	"saffronyard.example/saffronyard/brain"
)

// submit puts a message into the journal's buffer before the module gets it; step writes it, with the decisions of the same turn,
// before its client is answered and before any call. A message that can't be accepted is answered here; it has not been sent, so its
// client may submit it again.
func (s *Sender) submit(sub submission) brain.Event {
	if sub.Identity != nil && s.answerKnownEvent(sub) { // also while stopping: an event that is accepted already must not be rejected
		return nil
	}
	if s.stopping {
		return s.rejectSubmission(sub, "shutting down")
	}
	if m := s.journal.byID[sub.ID]; m != nil {
		s.answerDuplicate(sub, m)
		return nil
	}
	if !s.destinationExists(sub.Dest) {
		answerUnknownDestination(sub)
		return nil
	}
	if why := s.applyPolicy(&sub.record); why != "" {
		return s.rejectSubmission(sub, why)
	}
	if limit := s.config.Settings.MaxPending; limit > 0 && s.pending >= limit {
		return s.rejectSubmission(sub, "all room for messages is taken")
	}
	if sub.Identity != nil {
		if ok, why, after := s.eventDedup.reserve(s.clock.now()); !ok {
			sub.answer <- response{status: http.StatusServiceUnavailable, retryAfter: after, text: why}
			return nil
		}
	}
	sub.setRepeatRule(s.config.Settings.Classes[sub.class])
	stored, err := s.journal.insert(sub.record)
	if err != nil {
		s.eventDedup.release(sub.Identity)
		return s.rejectSubmission(sub, "no room to keep the message")
	}
	s.recorder.recordSubmitted(sub.Tenant, sub.Key)
	s.trace("taken on", sub.ID, slog.Uint64("dest", uint64(sub.Dest)), slog.String("tenant", sub.Tenant), slog.Duration("left", sub.Deadline-s.clock.now()))
	return brain.Message{ID: s.register(stored, sub.answer, sub.class), Class: sub.class, Tenant: sub.tenant,
		Destination: brain.DestinationID(sub.Dest), OrderingKey: stored.orderKeyHash(), Deadline: sub.Deadline}
}

// rejectSubmission answers a submission that is not accepted with 503, the reason, and the time after which its client may retry.
func (s *Sender) rejectSubmission(sub submission, why string) brain.Event {
	sub.answer <- response{status: http.StatusServiceUnavailable, retryAfter: s.config.Settings.MaxRetryAfter, text: why}
	return nil
}

// answerDuplicate answers a submission with the id of a message in the journal. It is treated as the same message, unless it is an
// event: those are identified by their source and id, so this is another event, which would be lost if it were acknowledged.
func (s *Sender) answerDuplicate(sub submission, existing *storedMessage) {
	switch {
	case sub.Identity != nil:
		sub.answer <- response{status: http.StatusConflict, text: "X-Request-Id is another message's"}
	case existing.outcome == outcomeAnswered: // its client was answered that it failed; it only waits for the recorder
		sub.answer <- response{status: http.StatusInternalServerError, text: outcomeGivenUp}
	case existing.outcome == outcomeHandedBack: // its client may submit it again, but it can be accepted only once its notice is known to be acknowledged
		s.rejectSubmission(sub, "it was handed back just now")
	default:
		sub.answer <- response{status: http.StatusAccepted}
	}
}

// destinationExists reports whether a list has ever contained a destination. One that has no endpoints now may get some later; before
// there is any list, all destinations exist.
func (s *Sender) destinationExists(destination uint32) bool {
	_, known := s.endpoints.Destinations[destination]
	return known || len(s.endpoints.Destinations) == 0
}

// answerUnknownDestination answers a submission for a destination that does not exist: an event is valid and can't be routed (422),
// a message has a wrong header (400).
func answerUnknownDestination(sub submission) {
	if sub.Identity != nil {
		sub.answer <- response{status: http.StatusUnprocessableEntity, text: fmt.Sprintf("destination %d does not exist", sub.Dest)}
		return
	}
	sub.answer <- response{status: http.StatusBadRequest, text: "X-Addressing names a destination that does not exist"}
}

// acknowledge answers the client of m that the message is accepted; for an event the response contains the message's id.
func (s *Sender) acknowledge(m *message) {
	a := response{status: http.StatusAccepted}
	if m != nil && m.Identity != nil {
		a.messageID = m.ID
	}
	s.reply(m, a)
}

// reply answers the clients of m, if they still wait; false if none does.
func (s *Sender) reply(m *message, a response) bool {
	if m == nil || m.reply == nil {
		return false
	}
	m.reply <- a
	for _, also := range m.alsoWaiting {
		also <- a
	}
	m.reply, m.alsoWaiting = nil, nil
	return true
}

// rejectUnwritten rejects a message that could not be written to the journal. The module gets the withdrawal with the next turn; a
// call that it has decided on is not made either, and ends as not sent.
func (s *Sender) rejectUnwritten(m *message) {
	s.reply(m, response{status: http.StatusServiceUnavailable, retryAfter: s.config.Settings.MaxRetryAfter, text: "no room to keep the message"})
	s.eventDedup.forget(m)
	s.journal.unindex(m.storedMessage)
	m.ended = true
	s.pending--
	s.setWaiting(m, false)
	s.deferredEvents = append(s.deferredEvents, brain.Withdrawn{Message: m.number})
	s.forget(m)
}
