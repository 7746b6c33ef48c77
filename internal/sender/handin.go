package sender

import (
	"fmt"
	"log/slog"
	"net/http"

	"saffronyard.example/saffronyard/brain"
)

// submitted puts a message into the journal before the Brain hears of it; step writes it, with what is decided
// in the same turn, before its client is answered and before any call. What cannot be held is refused here; it
// has not been sent, so its client may come again.
func (s *Sender) submitted(sub submission) brain.Event {
	refuse := func(why string) brain.Event {
		sub.answer <- answerLine{status: http.StatusServiceUnavailable, retry: s.c.Settings.MaxRetryAfter, text: why}
		return nil
	}
	if sub.Ident != nil && s.known(sub) { // also while it is quitting: a refusal of what is held would be false
		return nil
	}
	if s.quitting {
		return refuse("shutting down")
	}
	if m := s.journal.byID[sub.ID]; m != nil { // handed in twice: it is ours already
		if m.how == answered && sub.Ident == nil { // it failed, and so it was answered; it only waits to be kept
			sub.answer <- answerLine{status: http.StatusInternalServerError, text: givenUp}
			return nil
		}
		if m.how == handedBack && sub.Ident == nil { // it is its client's; it is ours again only once its notice is known to be told
			return refuse("it was handed back just now")
		}
		if sub.Ident != nil { // it is not: its event would be lost
			sub.answer <- answerLine{status: http.StatusConflict, text: "X-Request-Id is another message's"}
			return nil
		}
		sub.answer <- answerLine{status: http.StatusAccepted}
		return nil
	}
	// A destination without endpoints just now may get some; one that no list has ever named does not exist.
	if _, known := s.list.Cells[sub.Dest]; !known && len(s.list.Cells) > 0 {
		if sub.Ident != nil {
			sub.answer <- answerLine{status: http.StatusUnprocessableEntity, text: fmt.Sprintf("destination %d does not exist", sub.Dest)}
		} else {
			sub.answer <- answerLine{status: http.StatusBadRequest, text: "X-Addressing names a destination that does not exist"}
		}
		return nil
	}
	if why := s.byPolicy(&sub.record); why != "" {
		return refuse(why)
	}
	if most := s.c.Settings.MaxPending; most > 0 && s.held >= most {
		return refuse("all room for messages is taken")
	}
	if sub.Ident != nil {
		if ok, why, after := s.ends.reserve(s.clock.now()); !ok {
			sub.answer <- answerLine{status: http.StatusServiceUnavailable, retry: after, text: why}
			return nil
		}
	}
	sub.ruled(s.c.Settings.Classes[sub.class])
	st, err := s.journal.put(sub.record)
	if err != nil {
		s.ends.release(sub.Ident)
		return refuse("no room to keep the message")
	}
	s.records.handedIn(sub.Tenant, sub.Key)
	s.trace("taken on", sub.ID, slog.Uint64("dest", uint64(sub.Dest)), slog.String("tenant", sub.Tenant), slog.Duration("left", sub.Deadline-s.clock.now()))
	return brain.Message{ID: s.hold(st, sub.answer, sub.class), Class: sub.class, Tenant: sub.tenant,
		Destination: brain.DestinationID(sub.Dest), OrderingKey: st.orderKey(), Deadline: sub.Deadline}
}

// accept tells the client of m that it is taken on; one that handed in an event hears under which id.
func (s *Sender) accept(m *message) {
	a := answerLine{status: http.StatusAccepted}
	if m != nil && m.Ident != nil {
		a.id = m.ID
	}
	s.reply(m, a)
}

// reply answers the client of m, if it still waits.
func (s *Sender) reply(m *message, a answerLine) bool {
	if m == nil || m.answer == nil {
		return false
	}
	m.answer <- a
	for _, also := range m.also {
		also <- a
	}
	m.answer, m.also = nil, nil
	return true
}

// drop refuses a message that could not be written down. The Brain hears so with the next batch; a call that
// it has decided on is not made either, and ends as not sent.
func (s *Sender) drop(m *message) {
	s.reply(m, answerLine{status: http.StatusServiceUnavailable, retry: s.c.Settings.MaxRetryAfter, text: "no room to keep the message"})
	s.ends.dropped(m)
	s.journal.remove(m.stored)
	m.ended = true
	s.held--
	s.waits(m, false)
	s.withdrawn = append(s.withdrawn, brain.Withdrawn{Message: m.number})
	s.forget(m)
}
