package sender

import (
	"net/http"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// A client comes again with a message that was handed back before the sender knows that its notice was taken. It is refused, so that
// it comes once more, and not told that the message, which is over here, is taken on.
func TestSubmit_HandedBackBeforeNoticeIsAcknowledged(t *testing.T) {
	t.Parallel()
	s := newTest(t, st.NewPlatform(t), nil)
	s.notices = make(chan []notice, 1) // nobody tells them yet
	s.step(t.Context(), s.initialListEvents())
	handIn := func() int {
		sub := submission{record: record{ID: "m", Op: opAccept, Tenant: "acme", Class: "unsafe", Deadline: s.clock.now() + time.Hour}, class: 2, answer: make(chan response, 1)}
		if event := s.handle(sub); event != nil {
			s.step(t.Context(), []brain.Event{event})
		}
		return (<-sub.answer).status
	}
	if got := handIn(); got != http.StatusAccepted {
		t.Fatalf("it is answered %d", got)
	}
	s.finish(s.lastID, outcomeHandedBack, http.StatusServiceUnavailable, s.config.Settings.MaxRetryAfter)
	s.flush()
	s.sendNotices()
	if got := handIn(); got != http.StatusServiceUnavailable || s.pending != 0 {
		t.Errorf("before its notice is known to be taken it is answered %d, and %d are held", got, s.pending)
	}
	s.handle(noticesDelivered{<-s.notices})
	s.flush()
	if got := handIn(); got != http.StatusAccepted || s.pending != 1 {
		t.Errorf("after it, it is answered %d, and %d are held", got, s.pending)
	}
}
