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

// An event that comes again counts as the first try: held, its client gets the same promise; over, the same answer.
func TestEventDedup_Repeats(t *testing.T) {
	t.Parallel()
	how := make(chan int)
	e := st.NewEndpoint(t, gate(how))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, acceptEvents)
	first := handEvent(t, addr, "1", "keyed", 202)
	e.Next(t)
	if again := handEvent(t, addr, "1", "keyed", 202); again.Header.Get("X-Request-Id") != first.Header.Get("X-Request-Id") {
		t.Error("the repeat is another message")
	}
	// In another mode, with a trace of its own, it is the same event.
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
	how <- 200
	if c := e.Next(t); c.Header.Get("Ce-Source") != "/other" {
		t.Errorf("%+v", c)
	}
	how <- 200
	until(t, func() bool {
		resp, _ := post(t, addr, oneEvent, eventJSON("1", "keyed", `,"data":{"n":1}`))
		return resp.StatusCode == 200
	})
	if resp, text := post(t, addr, "application/json", `{"n":2}`, binary...); resp.StatusCode != 409 {
		t.Errorf("over, with another body: %s %s", resp.Status, text)
	}
	if n := len(e.Calls); n != 0 {
		t.Errorf("%d further calls", n)
	}
}

// failingFile is a journal's file that can't be written.
type failingFile struct{ journalFile }

func (*failingFile) Write([]byte) (int, error) { return 0, errors.New("no space left") }

// An event that failed is answered so again, and is not tried again.
func TestEventDedup_FailedEvent(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Reset)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, acceptEvents)
	id := handEvent(t, addr, "1", "unsafe", 202).Header.Get("X-Request-Id")
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

// newManualSender is a sender whose loop the test turns itself, and a way to hand in an event, with its answer.
func newManualSender(t *testing.T, answer func(st.Call, net.Conn) bool, edit func(*Config)) (s *Sender, e *st.Endpoint, hand func(body string) response) {
	t.Helper()
	e = st.NewEndpoint(t, answer)
	s = newTest(t, st.NewPlatform(t, e.Addr), edit)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { s.shutdown(cancel) })
	s.step(ctx, s.initialListEvents())
	front := &eventIngress{s.config, s.clock, s.config.Events}
	return s, e, func(body string) response {
		t.Helper()
		h, err := front.readHead(mustRequest(t, oneEvent))
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

// One that was handed back is asked to wait until it may come again, and then is a new try.
func TestEventDedup_HandedBackEvent(t *testing.T) {
	t.Parallel()
	s, _, hand := newManualSender(t, st.Unresponsive, acceptEvents)
	const hold = 300 * time.Millisecond
	body := eventJSON("1", "safe", "")
	first := hand(body)
	m := s.byID[first.messageID]
	if first.status != 202 || m == nil {
		t.Fatalf("%+v", first)
	}
	s.finish(m.number, outcomeHandedBack, 503, hold)
	s.flush()
	if a := hand(body); a.status != 503 || a.text != outcomeHandedBack || a.retryAfter <= 0 || a.retryAfter > hold {
		t.Errorf("%+v", a)
	}
	if a := hand(eventJSON("1", "safe", `,"data":1`)); a.status != 409 {
		t.Errorf("with another body: %+v", a)
	}
	var again response
	until(t, func() bool { again = hand(body); return again.status == 202 })
	if again.messageID == first.messageID {
		t.Error("the message that was handed back lives on")
	}
	if a := hand(body); a.status != 202 || a.messageID != again.messageID {
		t.Errorf("the new try's repeat: %+v", a)
	}
	s.finish(s.byID[again.messageID].number, outcomeGivenUp, 500, 0)
	s.flush()
	if a := hand(body); a.status != 500 || a.text != outcomeGivenUp {
		t.Errorf("the end of the new try is not the one that counts: %+v", a)
	}
}

// A sender that is about to leave says of an event that it holds that it does: its client would hand it in elsewhere.
func TestEventDedup_RepeatDuringShutdown(t *testing.T) {
	t.Parallel()
	s, _, hand := newManualSender(t, st.Unresponsive, acceptEvents)
	first := hand(eventJSON("1", "unsafe", ""))
	s.stopping = true
	if a := hand(eventJSON("1", "unsafe", "")); a.status != 202 || a.messageID != first.messageID {
		t.Errorf("%+v", a)
	}
	if a := hand(eventJSON("2", "unsafe", "")); a.status != 503 {
		t.Errorf("%+v", a)
	}
}

// Two hand-ins of one event in one turn: both hear what became of the one message, also if it can't be written down.
func TestEventDedup_RepeatInOneTurn(t *testing.T) {
	t.Parallel()
	for name, fails := range map[string]bool{"written": false, "not written": true} {
		e := st.NewEndpoint(t, st.Status(200))
		s := newTest(t, st.NewPlatform(t, e.Addr), acceptEvents)
		ctx, cancel := context.WithCancel(context.Background())
		s.step(ctx, s.initialListEvents())
		if fails {
			s.journal.file = &failingFile{s.journal.file}
		}
		front := &eventIngress{s.config, s.clock, s.config.Events}
		var all []submission
		for range 2 {
			h, err := front.readHead(mustRequest(t, oneEvent))
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
				t.Errorf("%s: hand-in %d is answered %+v", name, i, a)
			}
		}
		if held, ends := len(s.eventDedup.pending), s.eventDedup.table.Reserved(); fails && held+ends != 0 || !fails && held+ends != 2 {
			t.Errorf("%s: %d held, room for %d", name, held, ends)
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

// With all room for remembering taken, new events are refused with a time, and those that came before are known.
func TestEventDedup_TableFull(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) {
		acceptEvents(c)
		c.Events.MaxRemembered = 3
	})
	for i := range 3 {
		handEvent(t, addr, strconv.Itoa(i), "safe", 202)
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
	handEvent(t, addr, "0", "safe", 200)
	st.Submit(t, addr, st.Submission{ID: "plain", Class: "safe", Destination: 0, Deadline: 5 * time.Second}) // plain messages are not concerned
	if c := e.Next(t); c.ID != "plain" {
		t.Errorf("%+v", c)
	}
}

// A restart, with events held, over, and over with their notice owed.
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
		s := newTest(t, p, func(c *Config) {
			acceptEvents(c)
			c.StateDir = state
		})
		return serving(t, s)
	}
	addr, stop := begin()
	handEvent(t, addr, "over", "keyed", 202)
	e.Next(t)
	until(t, func() bool {
		resp, _ := post(t, addr, oneEvent, eventJSON("over", "keyed", `,"data":{"n":1}`))
		return resp.StatusCode == 200
	})
	p.RejectNotices(true)
	handEvent(t, addr, "failed", "unsafe", 202)
	e.Next(t)
	until(t, func() bool {
		resp, _ := post(t, addr, oneEvent, eventJSON("failed", "unsafe", `,"data":{"n":1}`))
		return resp.StatusCode == 500
	})
	hang.Store(true)
	held := handEvent(t, addr, "held", "keyed", 202).Header.Get("X-Request-Id")
	key := e.Next(t).Key
	stop()
	p.RejectNotices(false)
	hang.Store(false)

	addr, stop = begin()
	defer stop()
	handEvent(t, addr, "over", "keyed", 200)
	handEvent(t, addr, "failed", "unsafe", 500)
	resp, text := post(t, addr, oneEvent, eventJSON("held", "keyed", `,"data":{"n":1}`))
	if resp.StatusCode == 202 && resp.Header.Get("X-Request-Id") != held || resp.StatusCode != 202 && resp.StatusCode != 200 {
		t.Errorf("%s %s", resp.Status, text)
	}
	if resp, _ := post(t, addr, oneEvent, eventJSON("held", "keyed", `,"data":2`)); resp.StatusCode != 409 {
		t.Errorf("with another body: %s", resp.Status)
	}
	if c := e.Next(t); c.Key != key || c.Header.Get("Ce-Id") != "held" || c.Body != `{"n":1}` || c.ID != held {
		t.Errorf("%+v", c)
	}
	if n := st.Receive(t, p.Notices); n.Outcome != outcomeGivenUp {
		t.Errorf("%+v", n)
	}
	if len(e.Calls) != 0 {
		t.Errorf("%d further calls", len(e.Calls))
	}
}

// An event under the id of another message that has failed, and waits to be kept, is another message: it is not answered
// as that was.
func TestEventDedup_IDOfFailedMessage(t *testing.T) {
	s := newTest(t, st.NewPlatform(t), acceptEvents)
	m, err := s.journal.insert(record{ID: "m", Class: "keyed", Key: "k", Deadline: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	m.outcome = outcomeAnswered
	for want, id := range map[int]*eventIdentity{http.StatusConflict: {key: identity.Key{1}}, http.StatusInternalServerError: nil} {
		answer := make(chan response, 1)
		if e := s.submit(submission{record: record{ID: "m", Identity: id}, answer: answer}); e != nil {
			t.Errorf("the module is told %+v", e)
		}
		if got := st.Receive(t, answer); got.status != want {
			t.Errorf("answered %d, want %d", got.status, want)
		}
	}
}
