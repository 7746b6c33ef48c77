package sender

import (
	"log/slog"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/identity"
)

func (s *Sender) callEnded(e callEnd) brain.Event {
	m := e.message
	s.out--
	e.Message, e.Attempt = m.number, e.attempt
	e.Revoked = e.Outcome == brain.NotSent && (m.calls.recalled(e.attempt) || m.calls.against(e.attempt))
	s.lookAgain(m, e)
	m.calls.ended(e.attempt)
	if s.c.Fleet != nil && e.LimitReported && e.Limit > 0 {
		s.c.Fleet.Told(m.Dest, e.Limit)
	}
	s.traceEnd(m, e)
	if e.Outcome == brain.TimedOut {
		// Where a machine vanished or was cut off, the connections from before say nothing either, and are
		// reset when it is back: each would cost a further call its time-out. Those used since may stay.
		s.pool.CloseIdle(s.list.ByNumber[e.Endpoint], e.Elapsed)
	}
	if e.gone {
		at := s.list.ByNumber[e.Endpoint]
		if news, changed := s.list.Retire(at, s.pool); changed {
			s.log.Info("an endpoint wants no more calls", "endpoint", at.ID)
			s.withdrawn = append(s.withdrawn, news) // with this call's end, or the next would go there
		}
	}
	if !m.ended {
		switch {
		case e.Outcome == brain.Served:
			s.ends.end(m, s.clock.now(), identity.Delivered, 0)
			if s.atTheEnd(m) {
				s.end(m, record{How: givenUp})
				s.owed = append(s.owed, m.notice())
			} else {
				s.end(m, s.overAs(m, delivered))
			}
		case e.Final:
			s.ends.end(m, s.clock.now(), identity.Failed, 0)
			s.end(m, s.overAs(m, answered))
		default:
			never := e.Outcome == brain.Rejected || e.Outcome == brain.ConnectFailed || e.Outcome == brain.NotSent
			rec := record{Op: "end", Try: m.base + e.attempt, Never: never, Recalled: e.Revoked}
			if s.records != nil {
				rec.Out = string(outcomeOf(e.Outcome))
			}
			s.journal.note(m.stored, rec)
		}
	}
	s.waits(m, !m.ended && len(m.calls) == 0)
	s.forget(m)
	return e.AttemptResult
}

// endMargin is how much earlier a message's time may be up for others than it is here, where it counts from when its request had
// been read: the slack of the protocol's time limits.
const endMargin = 50 * time.Millisecond

// atTheEnd reports whether a message that is answered now may have been out of time before: then it counts as not delivered, and
// without a notice as lost. A notice of one that was delivered does no harm.
func (s *Sender) atTheEnd(m *message) bool {
	return m.answer == nil && m.Life == 0 && s.clock.now() >= m.Deadline-endMargin
}

// overAs is the end of a message that is not given up: of one that went again the recorder hears that, too.
func (s *Sender) overAs(m *message, how string) record {
	rec := record{How: how}
	if m.Life > 0 && s.wants(m, how) {
		rec.Keep, rec.At = true, s.clock.now()
	}
	return rec
}

// end writes down that a message is over. A client that still waits hears it from the caller.
func (s *Sender) end(m *message, rec record) {
	rec.Op = "over"
	s.journal.note(m.stored, rec)
	m.ended = true
	s.held--
	s.waits(m, false)
}

func (s *Sender) forget(m *message) {
	if m.ended && len(m.calls) == 0 {
		delete(s.messages, m.number)
		if s.byID[m.ID] == m {
			delete(s.byID, m.ID)
		}
	}
}

// close ends a message as the Brain has it: in the answer to its client, or where that has been told
// that the message is taken on, by a notice; either way at once.
func (s *Sender) close(id brain.MessageID, how string, status int, hold time.Duration) {
	m := s.messages[id]
	if m == nil || m.ended {
		return
	}
	taken := m.answer == nil
	s.trace(how, m.ID, slog.Int("tries", m.made()), slog.Duration("hold", hold))
	switch {
	case how == givenUp:
		s.ends.end(m, s.clock.now(), identity.Failed, 0)
	case taken:
		s.ends.end(m, s.clock.now(), identity.HandedBack, hold)
	default: // refused in its answer: it was never taken on
		s.ends.dropped(m)
	}
	if !taken { // it hears once this is written down
		for _, to := range append(m.also, m.answer) {
			s.answers = append(s.answers, owedAnswer{to, answerLine{status: status, retry: hold, text: how}})
		}
		m.answer, m.also = nil, nil
		rec := record{How: answered}
		if how == givenUp && s.wants(m, answered) { // refused in its answer it was never taken on, and is its client's
			rec.Keep, rec.At = true, s.clock.now()
		}
		s.end(m, rec)
	} else {
		rec := record{How: how, RetryMS: hold.Milliseconds(), Told: m.Life > 0} // of one that went again nobody waits to hear
		if s.wants(m, how) {
			rec.Keep, rec.At = true, s.clock.now()
		}
		s.end(m, rec)
		if m.Life == 0 {
			s.owed = append(s.owed, m.notice())
		}
	}
	s.forget(m)
}

func (m *stored) notice() notice {
	n := notice{Message: m.ID, Outcome: m.how}
	if m.how == handedBack && m.retry > 0 {
		n.RetryMS = &m.retry
	}
	return n
}

// tell passes on the notices owed, one batch at a time.
func (s *Sender) tell() {
	if !s.telling && len(s.owed) > 0 {
		s.telling = true
		s.notices <- s.owed[:min(len(s.owed), noticeMost)]
	}
}

// callEnd is how a call ended.
type callEnd struct {
	message *message
	attempt int
	brain.AttemptResult
	gone bool // the endpoint wants no more calls
}
