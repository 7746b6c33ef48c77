package sender

import (
	"net/http"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// Events that are queued when the process shuts down are still handled: a message that was answered in that moment must not be resumed
// by the next process, and a client whose message is queued is answered that it is not accepted.
func TestShutdown_LateEventsCount(t *testing.T) {
	p := st.NewPlatform(t, st.NewEndpoint(t, st.Unresponsive).Addr)
	s := newTestSender(t, p, nil)
	deadline := s.clock.now() + time.Minute
	for _, id := range []string{"answered", "open"} {
		m, err := s.journal.insertAndFlush(record{ID: id, Class: "unsafe", Tenant: "acme", Deadline: deadline})
		if err != nil {
			t.Fatal(err)
		}
		number := s.register(m, nil, 2)
		s.journal.update(m, record{Op: opSend, Sent: &attemptRecord{At: s.clock.now(), Endpoint: "s-0"}})
		s.inFlight++
		if id == "answered" {
			s.events <- callResult{s.messages[number], 0, brain.AttemptResult{Outcome: brain.Served, Final: true}, false}
		}
	}
	late := submission{record: record{ID: "late", Class: "unsafe", Tenant: "acme", Deadline: deadline}, class: 2, answer: make(chan response, 1)}
	s.events <- late
	if err := s.shutdown(func() {}); err != nil {
		t.Fatal(err)
	}
	if a := st.Receive(t, late.answer); a.status != http.StatusServiceUnavailable {
		t.Errorf("a message that arrives during the shutdown is answered %+v", a)
	}
	j := openTestJournal(t, s.config.StateDir, 1<<20)
	if pending := j.pending(); len(pending) != 1 || pending[0].ID != "open" || len(pending[0].Attempts) != 1 {
		t.Errorf("the next process finds messages %v", pending)
	}
}

// A 200 that arrives at a message's deadline may be too late, and the message then counts as lost if there is no notice: seen on three
// of 96 test days (fen-readings, roll+term+brink, seeds 1030, 1056, 1075), each with a response within half a millisecond of the deadline.
func TestShutdown_AnswerAtDeadlineIsNotified(t *testing.T) {
	p := st.NewPlatform(t, st.NewEndpoint(t, st.Unresponsive).Addr)
	for name, tt := range map[string]struct {
		left     time.Duration
		notified bool
	}{"long before": {time.Minute, false}, "as it is up": {0, true}, "after it": {-time.Second, true}} {
		t.Run(name, func(t *testing.T) {
			s := newTestSender(t, p, nil)
			m, err := s.journal.insertAndFlush(record{ID: "m", Class: "safe", Tenant: "acme", Deadline: s.clock.now() + tt.left})
			if err != nil {
				t.Fatal(err)
			}
			number := s.register(m, nil, 0)
			s.journal.update(m, record{Op: opSend, Sent: &attemptRecord{At: s.clock.now(), Endpoint: "s-0"}})
			s.inFlight++
			s.handle(callResult{s.messages[number], 0, brain.AttemptResult{Outcome: brain.Served, Final: true}, false})
			if notified := len(s.pendingNotices) == 1 && s.pendingNotices[0] == (notice{Message: "m", Outcome: outcomeGivenUp}); notified != tt.notified {
				t.Errorf("notices %+v", s.pendingNotices)
			}
			s.flush() // the process is killed after that
			next := newResumedSender(t, p, func(c *Config) { c.StateDir = s.config.StateDir })
			if notified := len(next.pendingNotices) == 1; notified != tt.notified || next.pending != 0 {
				t.Errorf("the next process has notices %+v to send and %d messages", next.pendingNotices, next.pending)
			}
		})
	}
}
