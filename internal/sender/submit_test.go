package sender

import (
	"net/http"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// A client may submit a message that was handed back before the notice of that is acknowledged. The sender must reject the message, so
// that the client retries, and must not answer that the message, which has ended here, is accepted.
func TestSubmit_HandedBackBeforeNoticeIsAcknowledged(t *testing.T) {
	t.Parallel()
	s := newTestSender(t, st.NewPlatform(t), nil)
	s.notices = make(chan []notice, 1) // notices are not sent yet
	s.step(t.Context(), s.initialListEvents())
	submit := func() int {
		sub := submission{record: record{ID: "m", Op: opAccept, Tenant: "acme", Class: "unsafe", Deadline: s.clock.now() + time.Hour}, class: 2, answer: make(chan response, 1)}
		if event := s.handle(sub); event != nil {
			s.step(t.Context(), []brain.Event{event})
		}
		return (<-sub.answer).status
	}
	if got := submit(); got != http.StatusAccepted {
		t.Fatalf("the message is answered %d", got)
	}
	s.finish(s.lastID, outcomeHandedBack, http.StatusServiceUnavailable, s.config.Settings.MaxRetryAfter)
	s.flush()
	s.sendNotices()
	if got := submit(); got != http.StatusServiceUnavailable || s.pending != 0 {
		t.Errorf("before its notice is acknowledged the message is answered %d, and %d messages are pending", got, s.pending)
	}
	s.handle(noticesDelivered{<-s.notices})
	s.flush()
	if got := submit(); got != http.StatusAccepted || s.pending != 1 {
		t.Errorf("after that the message is answered %d, and %d messages are pending", got, s.pending)
	}
}
