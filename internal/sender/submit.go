package sender

import (
	"fmt"
	"log/slog"
	"net/http"

	"saffronyard.example/saffronyard/brain"
)

// submit puts a message into the journal's buffer before the module hears of it; step writes it, with what is decided in the
// same turn, before its client is answered and before any call. What can't be accepted is answered here; it has not been sent,
// so its client may submit it again.
func (s *Sender) submit(sub submission) brain.Event {
	refuse := func(why string) brain.Event {
		sub.answer <- response{status: http.StatusServiceUnavailable, retryAfter: s.config.Settings.MaxRetryAfter, text: why}
		return nil
	}
	if sub.Identity != nil && s.answerKnownEvent(sub) { // also while it is quitting: a refusal of what is held would be false
		return nil
	}
	if s.stopping {
		return refuse("shutting down")
	}
	if m := s.journal.byID[sub.ID]; m != nil { // handed in twice: it is ours already
		if m.outcome == outcomeAnswered && sub.Identity == nil { // it failed, and so it was answered; it only waits to be kept
			sub.answer <- response{status: http.StatusInternalServerError, text: outcomeGivenUp}
			return nil
		}
		if m.outcome == outcomeHandedBack && sub.Identity == nil { // it is its client's; it is ours again only once its notice is known to be told
			return refuse("it was handed back just now")
		}
		if sub.Identity != nil { // it is not: its event would be lost
			sub.answer <- response{status: http.StatusConflict, text: "X-Request-Id is another message's"}
			return nil
		}
		sub.answer <- response{status: http.StatusAccepted}
		return nil
	}
	// A destination without endpoints just now may get some; one that no list has ever named does not exist.
	if _, known := s.endpoints.Destinations[sub.Dest]; !known && len(s.endpoints.Destinations) > 0 {
		if sub.Identity != nil {
			sub.answer <- response{status: http.StatusUnprocessableEntity, text: fmt.Sprintf("destination %d does not exist", sub.Dest)}
		} else {
			sub.answer <- response{status: http.StatusBadRequest, text: "X-Addressing names a destination that does not exist"}
		}
		return nil
	}
	if why := s.applyPolicy(&sub.record); why != "" {
		return refuse(why)
	}
	if most := s.config.Settings.MaxPending; most > 0 && s.pending >= most {
		return refuse("all room for messages is taken")
	}
	if sub.Identity != nil {
		if ok, why, after := s.eventDedup.reserve(s.clock.now()); !ok {
			sub.answer <- response{status: http.StatusServiceUnavailable, retryAfter: after, text: why}
			return nil
		}
	}
	sub.setRepeatRule(s.config.Settings.Classes[sub.class])
	st, err := s.journal.insert(sub.record)
	if err != nil {
		s.eventDedup.release(sub.Identity)
		return refuse("no room to keep the message")
	}
	s.recorder.recordSubmitted(sub.Tenant, sub.Key)
	s.trace("taken on", sub.ID, slog.Uint64("dest", uint64(sub.Dest)), slog.String("tenant", sub.Tenant), slog.Duration("left", sub.Deadline-s.clock.now()))
	return brain.Message{ID: s.register(st, sub.answer, sub.class), Class: sub.class, Tenant: sub.tenant,
		Destination: brain.DestinationID(sub.Dest), OrderingKey: st.orderKeyHash(), Deadline: sub.Deadline}
}

// acknowledge answers the client of m that it is accepted; one that submitted an event hears under which id.
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

// rejectUnwritten rejects a message that could not be written to the journal. The module hears so with the next turn; a call
// that it has decided on is not made either, and ends as not sent.
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
