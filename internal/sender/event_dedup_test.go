package sender

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/identity"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// A repeat of an event is answered like the first submission: with the same acceptance while the event is pending, with the same
// result once it has ended.
func TestEventDedup_Repeats(t *testing.T) {
	t.Parallel()
	statuses := make(chan int)
	e := st.NewEndpoint(t, gate(statuses))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, acceptEvents)
	first := submitEvent(t, addr, "1", "keyed", 202)
	e.Next(t)
	if again := submitEvent(t, addr, "1", "keyed", 202); again.Header.Get("X-Request-Id") != first.Header.Get("X-Request-Id") {
		t.Error("the repeat is another message")
	}
	// In another content mode and with another trace context, it is the same event.
	binary := []string{"Ce-Specversion", "1.0", "Ce-Id", "1", "Ce-Source", "/s", "Ce-Type", "keyed", "Ce-Subject", "0", "Ce-Traceparent", "2"}
	if resp, text := post(t, addr, "application/json", `{ "n" : 1 }`, binary...); resp.StatusCode != 202 {
		t.Errorf("%s %s", resp.Status, text)
	}
	if resp, text := post(t, addr, "application/json", `{"n":2}`, binary...); resp.StatusCode != 409 || !strings.Contains(text, "other content") {
		t.Errorf("with another body: %s %s", resp.Status, text)
	}
	// The same id from another source is another event.
	if resp, text := post(t, addr, oneEvent, strings.Replace(eventJSON("1", "keyed", ""), `"/s"`, `"/other"`, 1)); resp.StatusCode != 202 {
		t.Errorf("%s %s", resp.Status, text)
	}
	statuses <- 200
	if c := e.Next(t); c.Header.Get("Ce-Source") != "/other" {
		t.Errorf("%+v", c)
	}
	statuses <- 200
	until(t, func() bool {
		resp, _ := post(t, addr, oneEvent, eventJSON("1", "keyed", `,"data":{"n":1}`))
		return resp.StatusCode == 200
	})
	if resp, text := post(t, addr, "application/json", `{"n":2}`, binary...); resp.StatusCode != 409 {
		t.Errorf("after its end, with another body: %s %s", resp.Status, text)
	}
	if n := len(e.Calls); n != 0 {
		t.Errorf("%d further calls", n)
	}
}

// failingFile is a journal's file that can't be written.
type failingFile struct{ journalFile }

func (*failingFile) Write([]byte) (int, error) { return 0, errors.New("no space left") }

// A repeat of a failed event gets the same answer, and the event is not sent again.
func TestEventDedup_FailedEvent(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Reset)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, acceptEvents)
	id := submitEvent(t, addr, "1", "unsafe", 202).Header.Get("X-Request-Id")
	if n := st.Receive(t, p.Notices); n.Message != id || n.Outcome != outcomeGivenUp {
		t.Fatalf("%+v", n)
	}
	if resp, text := post(t, addr, oneEvent, eventJSON("1", "unsafe", `,"data":{"n":1}`)); resp.StatusCode != 500 || text != outcomeGivenUp+"\n" {
		t.Errorf("%s %q", resp.Status, text)
	}
	if len(e.Calls) != 1 {
		t.Errorf("%d calls", len(e.Calls))
	}
}

// newManualSender returns a sender whose loop turns the test runs itself, and a function that submits an event and returns its answer.
func newManualSender(t *testing.T, answer func(st.Call, net.Conn) bool, edit func(*Config)) (s *Sender, e *st.Endpoint, submit func(body string) response) {
	t.Helper()
	e = st.NewEndpoint(t, answer)
	s = newTestSender(t, st.NewPlatform(t, e.Addr), edit)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { s.shutdown(cancel) })
	s.step(ctx, s.initialListEvents())
	protocol := &eventIngress{s.config, s.clock, s.config.Events}
	return s, e, func(body string) response {
		t.Helper()
		h, err := protocol.readHead(mustRequest(t, oneEvent))
		if err != nil {
			t.Fatal(err)
		}
		subs, err := h.submissions([]byte(body), s.clock.now())
		if err != nil {
			t.Fatal(err)
		}
		s.turn(ctx, subs[0])
		return st.Receive(t, subs[0].answer)
	}
}

// The client of an event that was handed back must wait before it may submit the event again, which then becomes a new message.
func TestEventDedup_HandedBackEvent(t *testing.T) {
	t.Parallel()
	s, _, submit := newManualSender(t, st.Unresponsive, acceptEvents)
	const wait = 300 * time.Millisecond
	body := eventJSON("1", "safe", "")
	first := submit(body)
	m := s.byID[first.messageID]
	if first.status != 202 || m == nil {
		t.Fatalf("%+v", first)
	}
	s.finish(m.number, outcomeHandedBack, 503, wait)
	s.flush()
	if a := submit(body); a.status != 503 || a.text != outcomeHandedBack || a.retryAfter <= 0 || a.retryAfter > wait {
		t.Errorf("%+v", a)
	}
	if a := submit(eventJSON("1", "safe", `,"data":1`)); a.status != 409 {
		t.Errorf("with another body: %+v", a)
	}
	var again response
	until(t, func() bool { again = submit(body); return again.status == 202 })
	if again.messageID == first.messageID {
		t.Error("the event was accepted under the id of the message that was handed back")
	}
	if a := submit(body); a.status != 202 || a.messageID != again.messageID {
		t.Errorf("the repeat of the new message: %+v", a)
	}
	s.finish(s.byID[again.messageID].number, outcomeGivenUp, 500, 0)
	s.flush()
	if a := submit(body); a.status != 500 || a.text != outcomeGivenUp {
		t.Errorf("the end of the new message is not the one that is answered: %+v", a)
	}
}

// A sender that is shutting down still answers the repeat of a pending event with its acceptance: if it rejected the repeat, the
// client would submit the event to another sender.
func TestEventDedup_RepeatDuringShutdown(t *testing.T) {
	t.Parallel()
	s, _, submit := newManualSender(t, st.Unresponsive, acceptEvents)
	first := submit(eventJSON("1", "unsafe", ""))
	s.stopping = true
	if a := submit(eventJSON("1", "unsafe", "")); a.status != 202 || a.messageID != first.messageID {
		t.Errorf("%+v", a)
	}
	if a := submit(eventJSON("2", "unsafe", "")); a.status != 503 {
		t.Errorf("%+v", a)
	}
}

// Two submissions of one event in one turn get the same answer, also if the message can't be written to the journal.
func TestEventDedup_RepeatInOneTurn(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]bool{"written": false, "not written": true} {
		e := st.NewEndpoint(t, st.Status(200))
		s := newTestSender(t, st.NewPlatform(t, e.Addr), acceptEvents)
		ctx, cancel := context.WithCancel(context.Background())
		s.step(ctx, s.initialListEvents())
		if fails {
			s.journal.file = &failingFile{s.journal.file}
		}
		protocol := &eventIngress{s.config, s.clock, s.config.Events}
		var all []submission
		for range 2 {
			h, err := protocol.readHead(mustRequest(t, oneEvent))
			if err != nil {
				t.Fatal(err)
			}
			subs, err := h.submissions([]byte(eventJSON("1", "safe", "")), s.clock.now())
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, subs...)
		}
		s.events <- all[1]
		s.turn(ctx, all[0])
		want := 202
		if fails {
			want = 503
		}
		for i, sub := range all {
			if a := st.Receive(t, sub.answer); a.status != want {
				t.Errorf("%s: submission %d is answered %+v", name, i, a)
			}
		}
		if pending, reserved := len(s.eventDedup.pending), s.eventDedup.table.Reserved(); fails && pending+reserved != 0 || !fails && pending+reserved != 2 {
			t.Errorf("%s: %d pending events, room reserved for %d", name, pending, reserved)
		}
		cancel()
		s.shutdown(cancel)
	}
}

func mustRequest(t *testing.T, contentType string) *http.Request {
	t.Helper()
	r, err := http.NewRequest("POST", "/events", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Content-Type", contentType)
	r.Header.Set("Content-Length", "1")
	return r
}

// When the table has no room left, new events are rejected with a Retry-After, and repeats are still recognized.
func TestEventDedup_TableFull(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) {
		acceptEvents(c)
		c.Events.MaxRemembered = 3
	})
	for i := range 3 {
		submitEvent(t, addr, strconv.Itoa(i), "safe", 202)
		e.Next(t)
	}
	until(t, func() bool {
		resp, _ := post(t, addr, oneEvent, eventJSON("2", "safe", `,"data":{"n":1}`))
		return resp.StatusCode == 200
	})
	for i := range 50 {
		resp, text := post(t, addr, oneEvent, eventJSON("new"+strconv.Itoa(i), "safe", ""))
		if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); resp.StatusCode != 503 || err != nil || after < 1 || after > 60 || !strings.Contains(text, "remembering") {
			t.Fatalf("%s %s, Retry-After %q", resp.Status, text, resp.Header.Get("Retry-After"))
		}
	}
	submitEvent(t, addr, "0", "safe", 200)
	st.Submit(t, addr, st.Submission{ID: "plain", Class: "safe", Destination: 0, Deadline: 5 * time.Second}) // plain messages need no room in the table
	if c := e.Next(t); c.ID != "plain" {
		t.Errorf("%+v", c)
	}
}

// A restart with events that are pending, that were delivered, and that failed with their notice not yet acknowledged.
func TestEventDedup_SurvivesRestart(t *testing.T) {
	t.Parallel()
	var hang atomic.Bool
	e := st.NewEndpoint(t, func(c st.Call, nc net.Conn) bool {
		switch {
		case c.Header.Get("Ce-Type") == "unsafe":
			return st.Reset(c, nc)
		case hang.Load():
			return st.Unresponsive(c, nc)
		}
		return st.Status(200)(c, nc)
	})
	p := st.NewPlatform(t, e.Addr)
	state := t.TempDir()
	begin := func() (addr string, stop func()) {
		s := newTestSender(t, p, func(c *Config) {
			acceptEvents(c)
			c.StateDir = state
		})
		return serving(t, s)
	}
	addr, stop := begin()
	submitEvent(t, addr, "over", "keyed", 202)
	e.Next(t)
	until(t, func() bool {
		resp, _ := post(t, addr, oneEvent, eventJSON("over", "keyed", `,"data":{"n":1}`))
		return resp.StatusCode == 200
	})
	p.RejectNotices(true)
	submitEvent(t, addr, "failed", "unsafe", 202)
	e.Next(t)
	until(t, func() bool {
		resp, _ := post(t, addr, oneEvent, eventJSON("failed", "unsafe", `,"data":{"n":1}`))
		return resp.StatusCode == 500
	})
	hang.Store(true)
	pendingID := submitEvent(t, addr, "held", "keyed", 202).Header.Get("X-Request-Id")
	key := e.Next(t).Key
	stop()
	p.RejectNotices(false)
	hang.Store(false)

	addr, stop = begin()
	defer stop()
	submitEvent(t, addr, "over", "keyed", 200)
	submitEvent(t, addr, "failed", "unsafe", 500)
	resp, text := post(t, addr, oneEvent, eventJSON("held", "keyed", `,"data":{"n":1}`))
	if resp.StatusCode == 202 && resp.Header.Get("X-Request-Id") != pendingID || resp.StatusCode != 202 && resp.StatusCode != 200 {
		t.Errorf("%s %s", resp.Status, text)
	}
	if resp, _ := post(t, addr, oneEvent, eventJSON("held", "keyed", `,"data":2`)); resp.StatusCode != 409 {
		t.Errorf("with another body: %s", resp.Status)
	}
	if c := e.Next(t); c.Key != key || c.Header.Get("Ce-Id") != "held" || c.Body != `{"n":1}` || c.ID != pendingID {
		t.Errorf("%+v", c)
	}
	if n := st.Receive(t, p.Notices); n.Outcome != outcomeGivenUp {
		t.Errorf("%+v", n)
	}
	if len(e.Calls) != 0 {
		t.Errorf("%d further calls", len(e.Calls))
	}
}

// An event submitted under the id of a message that failed and still waits for the recorder is a different message: it must not get
// that message's answer.
func TestEventDedup_IDOfFailedMessage(t *testing.T) {
	s := newTestSender(t, st.NewPlatform(t), acceptEvents)
	m, err := s.journal.insert(record{ID: "m", Class: "keyed", Key: "k", Deadline: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	m.outcome = outcomeAnswered
	for want, id := range map[int]*eventIdentity{http.StatusConflict: {key: identity.Key{1}}, http.StatusInternalServerError: nil} {
		answer := make(chan response, 1)
		if e := s.submit(submission{record: record{ID: "m", Identity: id}, answer: answer}); e != nil {
			t.Errorf("the module gets %+v", e)
		}
		if got := st.Receive(t, answer); got.status != want {
			t.Errorf("answered %d, want %d", got.status, want)
		}
	}
}
