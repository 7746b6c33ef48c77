package sender

import (
	"context"
	"log/slog"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/calls"
)

// send starts one call, in a goroutine that posts its callResult. An attempt that could not be written to the journal is not
// made: after a kill there would be no record that the message may have run.
func (s *Sender) send(ctx context.Context, a brain.Send, written bool) {
	m, e := s.messages[a.Message], s.endpoints.ByNumber[a.Endpoint]
	if m == nil || e == nil {
		s.log.Error("the decision module named an unknown message or endpoint", "message", a.Message, "endpoint", a.Endpoint)
		return
	}
	attempt := m.attempts
	m.attempts++
	s.setWaiting(m, false)
	s.trace("call", m.ID, slog.Int("try", m.earlierAttempts+attempt), slog.Uint64("dest", uint64(m.Dest)), slog.String("endpoint", e.ID), slog.Duration("timeout", a.Timeout))
	call, cancel := context.WithTimeout(ctx, a.Timeout)
	permit := &calls.Permit{Until: time.Now().Add(s.writeTimeout(m, m.earlierAttempts+attempt, a.Timeout)), Cancel: cancel, Admit: s.admission(m, e.ID)}
	m.calls = append(m.calls, inFlightCall{attempt: attempt, Permit: permit})
	s.inFlight++
	item := batchedSend{m, attempt, call, a.Timeout, permit}
	if events, bytes, ok := e.Batches(); ok {
		s.addToBatch(e, item, events, bytes)
		return
	}
	began, tickets := time.Now(), []calls.Ticket{{Message: m.callMessage(), Permit: permit}} // a copy: the loop may drop the body meanwhile
	go func() {
		result, draining := brain.AttemptResult{Endpoint: e.Number, Outcome: brain.NotSent}, false
		if written {
			result, draining = s.pool.Call(call, e, tickets, a.Timeout)
		}
		result.Elapsed = time.Since(began)
		s.post(ctx, callResult{m, attempt, result, draining})
	}()
}

// keyWindowMargin is how long before the end of the key window a repeat must be written at the latest, so that it arrives within the
// window.
const keyWindowMargin = 50 * time.Millisecond

// writeTimeout returns the time within which the n-th attempt of a message must be written. The module allows a repeat as of now, but
// its connection may be established much later, when the receiver no longer remembers the key of an attempt that may have run.
func (s *Sender) writeTimeout(m *message, n int, timeout time.Duration) time.Duration {
	class := s.config.Settings.Classes[m.class]
	if class.Idempotency != brain.IdempotentByKey {
		return timeout
	}
	first, may := m.firstPossibleRunBefore(n)
	if !may {
		return timeout
	}
	return min(timeout, first.At+class.IdempotencyKeyTTL-keyWindowMargin-s.clock.now())
}
