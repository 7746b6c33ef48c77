package sender

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/identity"
	"saffronyard.example/saffronyard/internal/mapping"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// takesEvents turns events on: the type names the class, the subject the destination.
func takesEvents(c *Config) {
	c.Events = &Events{MaxBatchEvents: 10, MaxBatchBytes: 256 << 10, Retention: time.Minute, MaxRemembered: 1000,
		Rules: mapping.Rules{Deadline: 9 * time.Second, List: []mapping.Rule{
			{Name: "asks", Type: "ask.order", Subject: "{dest}", Class: "safe", Tenant: "acme", Destination: "{dest}", Order: "o"},
			{Name: "key", Type: "ask.key", Subject: "{dest}", Class: "unsafe", Tenant: "acme", Destination: "{dest}", Key: "{id}"},
			{Name: "short", Type: "short", Subject: "{dest}", Class: "safe", Tenant: "acme", Destination: "{dest}", Deadline: 300 * time.Millisecond},
			{Name: "class", Subject: "{dest}", Class: "{type}", Tenant: "acme", Destination: "{dest}"}}}}
}

// eventJSON is an event in the JSON format.
func eventJSON(id, kind string, more string) string {
	return fmt.Sprintf(`{"specversion":"1.0","id":%q,"source":"/s","type":%q,"subject":"0"%s}`, id, kind, more)
}

// post hands a body in at /events.
func post(t testing.TB, addr, contentType, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+addr+"/events", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header[header[i]] = append(r.Header[header[i]], header[i+1])
	}
	return st.Do(t, r)
}

const (
	oneEvent = "application/cloudevents+json"
	someJSON = "application/cloudevents-batch+json; charset=utf-8"
)

// handEvent hands an event in and wants a status.
func handEvent(t testing.TB, addr, id, kind string, want int) *http.Response {
	t.Helper()
	resp, text := post(t, addr, oneEvent, eventJSON(id, kind, `,"data":{"n":1}`))
	if resp.StatusCode != want {
		t.Fatalf("event %s of %s is answered %s: %s; want %d", id, kind, resp.Status, text, want)
	}
	return resp
}

// gate is an endpoint's script that answers each call once the test says how.
func gate(answers <-chan int) func(st.Call, net.Conn) bool {
	return func(c st.Call, nc net.Conn) bool {
		status, ok := <-answers
		return ok && st.Status(status)(c, nc)
	}
}

func TestEvents_OffByDefault(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), nil)
	if resp, text := post(t, addr, oneEvent, eventJSON("1", "safe", "")); resp.StatusCode != http.StatusNotFound || text != "there is nothing here\n" {
		t.Errorf("%s %q", resp.Status, text)
	}
	if resp, _ := post(t, addr, oneEvent, strings.Repeat("x", maxBodyBytes+1)); resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("%s", resp.Status)
	}
}

// In all three modes an event is taken on, and leaves with its attributes.
func TestEvents_ContentModes(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), takesEvents)
	wants := func(id, data, contentType string) {
		t.Helper()
		c := e.Next(t)
		if c.Header.Get("Ce-Id") != id || c.Header.Get("Ce-Source") != "/s" || c.Header.Get("Ce-Traceparent") != "00-x%20y" || c.Header.Get("Ce-Specversion") != "1.0" ||
			c.Body != data || c.Header.Get("Content-Type") != contentType || c.Key == "" || c.ID == "" {
			t.Errorf("%+v", c)
		}
	}
	resp, text := post(t, addr, "text/plain; charset=utf-8", "hello", "Ce-Specversion", "1.0", "Ce-Id", "b1", "Ce-Source", "/s", "Ce-Type", "keyed", "Ce-Subject", "0", "Ce-Traceparent", "00-x%20y")
	if resp.StatusCode != http.StatusAccepted || !strings.HasPrefix(resp.Header.Get("X-Request-Id"), "ce-") {
		t.Fatalf("%s %s %v", resp.Status, text, resp.Header)
	}
	wants("b1", "hello", "text/plain; charset=utf-8")
	if resp, text := post(t, addr, oneEvent+"; charset=UTF-8", eventJSON("s1", "keyed", `,"traceparent":"00-x y","data":{"a": 1}`), "X-Request-Id", "mine"); resp.StatusCode != http.StatusAccepted || resp.Header.Get("X-Request-Id") != "mine" {
		t.Fatalf("%s %s", resp.Status, text)
	}
	wants("s1", `{"a": 1}`, "application/json")
	if resp, text := post(t, addr, someJSON, `[`+eventJSON("a1", "keyed", `,"traceparent":"00-x y","data_base64":"AP8="`)+`]`, "X-Request-Id", "mine"); resp.StatusCode != http.StatusAccepted || !strings.Contains(text, `"message":"mine-0"`) {
		t.Fatalf("%s %s", resp.Status, text)
	}
	wants("a1", "\x00\xff", "")
}

// Each fault has its own answer, and nothing of the request is taken on.
func TestEvents_Faults(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), takesEvents)
	many := strings.Repeat(`{},`, 10) + `{}`
	for name, c := range map[string]struct {
		kind, body string
		status     int
		says       string
	}{
		"no event":         {"application/json", `{}`, 415, "ce-specversion"},
		"no type":          {"", `{}`, 415, "ce-specversion"},
		"XML":              {"application/cloudevents+xml", `<e/>`, 415, "application/cloudevents+xml"},
		"charset":          {oneEvent + "; charset=utf-16", `{}`, 415, "utf-16"},
		"torn":             {oneEvent, `{"specversion":"1.0"`, 400, "byte 20"},
		"empty":            {oneEvent, ``, 400, "byte 0"},
		"version":          {oneEvent, `{"specversion":"0.3","id":"1","source":"/s","type":"safe"}`, 400, `specversion is "0.3"`},
		"no source":        {oneEvent, `{"specversion":"1.0","id":"1","type":"safe"}`, 400, "source is missing"},
		"id twice":         {oneEvent, eventJSON("1", "safe", `,"id":"2"`), 400, "more than once"},
		"too long":         {oneEvent, eventJSON("1", "safe", `,"data":"`+strings.Repeat("x", maxBodyBytes)+`"`), 413, "65536 bytes"},
		"no rule":          {oneEvent, `{"specversion":"1.0","id":"1","source":"/s","type":"safe"}`, 422, "no rule fits"},
		"no class":         {oneEvent, eventJSON("1", "other", ""), 422, `class "other"`},
		"no destination":   {oneEvent, strings.Replace(eventJSON("1", "safe", ""), `"subject":"0"`, `"subject":"9"`, 1), 422, "destination 9 does not exist"},
		"no time":          {oneEvent, eventJSON("1", "safe", `,"expirytime":"soon"`), 422, "expirytime"},
		"no order there":   {oneEvent, eventJSON("1", "ask.order", ""), 422, "keeps none"},
		"no repeats there": {oneEvent, eventJSON("1", "ask.key", ""), 422, "may not be repeated"},
		"batch cut off":    {someJSON, `[` + eventJSON("1", "safe", "") + `,` + eventJSON("2", "safe", "")[:30], 400, "byte"},
		"no batch":         {someJSON, eventJSON("1", "safe", ""), 400, "array"},
		"batch of many":    {someJSON, `[` + many + `]`, 413, "10 events"},
		"batch too long":   {someJSON, `[` + strings.Repeat(" ", 256<<10) + `]`, 413, "262144 bytes"},
	} {
		resp, text := post(t, addr, c.kind, c.body)
		if resp.StatusCode != c.status || !strings.Contains(text, c.says) {
			t.Errorf("%s: %s %s; want %d with %q", name, resp.Status, text, c.status, c.says)
		}
	}
	for name, c := range map[string]struct {
		lines  []string
		status int
		says   string
	}{
		"header twice":  {[]string{"Ce-Id", "2"}, 400, "ce-id stands there more than once"},
		"bad name":      {[]string{"Ce-a_b", "2"}, 400, "a_b"},
		"id of another": {[]string{"X-Request-Id", strings.Repeat("x", 200)}, 400, "X-Request-Id"},
		"raw bytes":     {[]string{"Ce-Ext", "\xe2\x82"}, 400, "percent-encoded"},
	} {
		lines := append([]string{"Ce-Specversion", "1.0", "Ce-Id", "1", "Ce-Source", "/s", "Ce-Type", "safe", "Ce-Subject", "0"}, c.lines...)
		if resp, text := post(t, addr, "text/plain", "x", lines...); resp.StatusCode != c.status || !strings.Contains(text, c.says) {
			t.Errorf("%s: %s %s; want %d with %q", name, resp.Status, text, c.status, c.says)
		}
	}
	r, err := http.NewRequest("GET", "http://"+addr+"/events", nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp, _ := st.Do(t, r); resp.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("GET: %s", resp.Status)
	}
	handEvent(t, addr, "good", "safe", 202) // all that came before it left the sender serving, and took nothing on
	if c := e.Next(t); c.Header.Get("Ce-Id") != "good" {
		t.Errorf("%+v", c)
	}
}

// No request makes two messages of one event, nor a message of what stands in another's body or behind it.
func TestEvents_NoSmuggling(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), takesEvents)
	binary := func(id, lines string) string {
		return "POST /events HTTP/1.1\r\nHost: b\r\nContent-Type: text/plain\r\nce-specversion: 1.0\r\nce-source: /s\r\nce-type: safe\r\nce-subject: 0\r\nce-id: " + id + "\r\n" + lines + "\r\n"
	}
	hidden := binary("hidden", "Content-Length: 1\r\n") + "x"
	chunks := "0\r\n\r\n" + hidden
	length := "Content-Length: " + strconv.Itoa(len(chunks)) + "\r\n"
	for name, c := range map[string]struct {
		text string
		want int
	}{
		"chunked":           {binary("m", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n\r\n", 400},
		"hidden":            {binary("m", "Transfer-Encoding: chunked\r\n"+length) + chunks, 400},
		"hidden, blank":     {binary("m", "Transfer-Encoding : chunked\r\n"+length) + chunks, 400},
		"two lengths":       {binary("m", "Content-Length: 5\r\n"+length) + chunks, 400},
		"length too short":  {binary("m", "Content-Length: 0\r\n") + hidden, 400},
		"no length":         {binary("m", "") + hidden, 411},
		"id twice":          {binary("m", "ce-id: n\r\nContent-Length: 1\r\n") + "x", 400},
		"id in two cases":   {binary("m", "CE-ID: n\r\nContent-Length: 1\r\n") + "x", 400},
		"id, blank in name": {binary("m", "ce-id : n\r\nContent-Length: 1\r\n") + "x", 400},
		"folded":            {binary("m", " ce-id: n\r\nConnection: close\r\nContent-Length: 1\r\n") + "x", 0},
		"two content types": {binary("m", "Content-Type: application/cloudevents+json\r\nContent-Length: 1\r\n") + "x", 415},
	} {
		conn := dial(t, addr)
		io.WriteString(conn, c.text)
		codes := answers(t, conn)
		if len(codes) != 1 || c.want != 0 && codes[0] != c.want {
			t.Errorf("%s: %v, want %d", name, codes, c.want)
		}
	}
	// A structured event whose headers name another one: the payload is the event.
	resp, text := post(t, addr, oneEvent, eventJSON("inner", "safe", ""), "Ce-Id", "outer", "Ce-Source", "/o", "Ce-Specversion", "1.0", "Ce-Type", "safe")
	if resp.StatusCode != 202 {
		t.Fatalf("%s %s", resp.Status, text)
	}
	handEvent(t, addr, "last", "safe", 202)
	for want := map[string]bool{"inner": true, "last": true}; len(want) > 0; { // in either order: their calls are two
		c := e.Next(t)
		if id := c.Header.Get("Ce-Id"); want[id] {
			delete(want, id)
		} else if id != "m%20ce-id:%20n" || c.Body != "x" { // "folded" is read as one value
			t.Fatalf("%q with %q is sent, want %v", id, c.Body, want)
		}
	}
}

// An event that comes again counts as the first try: held, its client gets the same promise; over, the same answer.
func TestEventDedup_Repeats(t *testing.T) {
	t.Parallel()
	how := make(chan int)
	e := st.NewEndpoint(t, gate(how))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, takesEvents)
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

// An event's own expirytime shortens its deadline, and one that is over fails at once.
func TestEvents_ExpiryTime(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Unresponsive)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, takesEvents)
	if resp, text := post(t, addr, oneEvent, eventJSON("1", "safe", `,"expirytime":"2020-01-01T00:00:00Z"`)); resp.StatusCode != 500 || text != outcomeGivenUp+"\n" {
		t.Errorf("%s %q", resp.Status, text)
	}
	handEvent(t, addr, "long", "safe", 202)
	at := time.Now().Add(400 * time.Millisecond).Format(time.RFC3339Nano)
	resp, _ := post(t, addr, oneEvent, eventJSON("2", "safe", `,"expirytime":"`+at+`"`))
	if n := st.Receive(t, p.Notices); n.Message != resp.Header.Get("X-Request-Id") || n.Outcome != outcomeGivenUp || resp.StatusCode != 202 {
		t.Errorf("%s, %+v", resp.Status, n)
	}
}

// until asks again until something holds that is about to.
func until(t testing.TB, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(st.Wait); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("it does not come to hold")
		}
	}
}

// An event that failed is answered so again, and is not tried again.
func TestEventDedup_FailedEvent(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Reset)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, takesEvents)
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

// byHand is a sender whose loop the test turns itself, and a way to hand in an event, with its answer.
func byHand(t *testing.T, answer func(st.Call, net.Conn) bool, edit func(*Config)) (s *Sender, e *st.Endpoint, hand func(body string) response) {
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
	s, _, hand := byHand(t, st.Unresponsive, takesEvents)
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
	s, _, hand := byHand(t, st.Unresponsive, takesEvents)
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
		s := newTest(t, st.NewPlatform(t, e.Addr), takesEvents)
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

// Each event of a batch is taken on or not by itself, and the answer tells of each in order.
func TestEventBatch_Results(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), takesEvents)
	handEvent(t, addr, "before", "keyed", 202)
	batch := `[` + strings.Join([]string{eventJSON("a", "keyed", ""), `{"id":"b"}`, eventJSON("before", "keyed", `,"data":{"n":1}`),
		eventJSON("c", "ask.order", ""), eventJSON("a", "keyed", ""), eventJSON("a", "keyed", `,"data":1`), `7`, eventJSON("d", "safe", "")}, ",") + `]`
	resp, text := post(t, addr, someJSON, batch)
	var got []eventResult
	if err := json.Unmarshal([]byte(text), &got); err != nil || resp.Header.Get("Content-Type") != "application/json" {
		t.Fatalf("%s %s: %v", resp.Status, text, err)
	}
	want := []struct {
		id     string
		status []int
	}{{"a", []int{202}}, {"", []int{400}}, {"before", []int{202, 200}}, {"c", []int{422}}, {"a", []int{202, 200}}, {"a", []int{409}}, {"", []int{400}}, {"d", []int{202}}}
	if len(got) != len(want) {
		t.Fatalf("%s", text)
	}
	for i, w := range want {
		ok := false
		for _, s := range w.status {
			ok = ok || got[i].Status == s
		}
		if !ok || got[i].ID != w.id {
			t.Errorf("event %d: %+v, want %+v", i, got[i], w)
		}
	}
	if resp.StatusCode != 422 {
		t.Errorf("the whole is answered %s", resp.Status)
	}
	seen := map[string]int{}
	for range 3 {
		seen[e.Next(t).Header.Get("Ce-Id")]++
	}
	if seen["before"] != 1 || seen["a"] != 1 || seen["d"] != 1 {
		t.Errorf("sent: %v", seen)
	}
	if resp, text := post(t, addr, someJSON, "[]"); resp.StatusCode != 200 || text != "[]\n" {
		t.Errorf("an empty batch: %s %s", resp.Status, text)
	}
}

func TestEventBatch_Status(t *testing.T) {
	for _, c := range []struct {
		all  []int
		want int
	}{{nil, 200}, {[]int{200, 200}, 200}, {[]int{200, 202}, 202}, {[]int{202, 200}, 202}, {[]int{202, 400, 200}, 400}, {[]int{400, 503, 500}, 503},
		{[]int{500, 202, 409}, 500}, {[]int{422, 400}, 422}, {[]int{202, 503}, 503}} {
		var all []eventResult
		for _, s := range c.all {
			all = append(all, eventResult{Status: s})
		}
		if got := batchStatus(all); got != c.want {
			t.Errorf("%v: %d, want %d", c.all, got, c.want)
		}
	}
}

// A batch larger than the room in the journal: what fits is taken on, the rest refused for now, and the whole with it;
// handed in again, the first ones count as repeats.
func TestEventBatch_LargerThanJournal(t *testing.T) {
	t.Parallel()
	how := make(chan int)
	e := st.NewEndpoint(t, gate(how))
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) {
		takesEvents(c)
		c.Limits.DiskMB = 0.8
		c.Settings.MaxPending = 100
	})
	data := strings.Repeat("x", 50_000)
	var all []string
	for i := range 5 {
		all = append(all, eventJSON(strconv.Itoa(i), "keyed", `,"data":"`+data+`"`))
	}
	answer := func() (int, []eventResult) {
		resp, text := post(t, addr, someJSON, `[`+strings.Join(all, ",")+`]`)
		var got []eventResult
		if err := json.Unmarshal([]byte(text), &got); err != nil || len(got) != len(all) {
			t.Fatalf("%s %s: %v", resp.Status, text, err)
		}
		return resp.StatusCode, got
	}
	whole, first := answer()
	taken := map[string]string{}
	for i, a := range first {
		switch {
		case a.Status == 202:
			taken[strconv.Itoa(i)] = a.MessageID
		case a.Status != 503 || a.RetryAfterMS <= 0 || !strings.Contains(a.Text, "room"):
			t.Errorf("event %d: %+v", i, a)
		}
	}
	if whole != 503 || len(taken) == 0 || len(taken) == len(all) {
		t.Fatalf("%d, %d of %d are taken on", whole, len(taken), len(all))
	}
	_, again := answer()
	for i, a := range again {
		if id := taken[strconv.Itoa(i)]; id != "" && (a.Status != 202 || a.MessageID != id) {
			t.Errorf("event %d again: %+v, was %s", i, a, id)
		}
	}
	close(how)
}

// With all room for remembering taken, new events are refused with a time, and those that came before are known.
func TestEventDedup_TableFull(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), func(c *Config) {
		takesEvents(c)
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
			takesEvents(c)
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

// diskLog is every write of a run, in order, to both files.
type diskLog struct {
	mu  sync.Mutex
	ops []diskOp
}

func (l *diskLog) add(op diskOp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ops = append(l.ops, op)
}

func (l *diskLog) all() []diskOp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ops
}

type diskOp struct {
	file string
	at   int64
	data []byte
}

type loggedJournal struct {
	journalFile
	log  *diskLog
	size int64
}

func (f *loggedJournal) Write(b []byte) (int, error) {
	f.log.add(diskOp{journalFileName, f.size, append([]byte(nil), b...)})
	f.size += int64(len(b))
	return f.journalFile.Write(b)
}

type loggedDisk struct {
	identity.Disk
	log *diskLog
}

func (d *loggedDisk) WriteAt(b []byte, at int64) (int, error) {
	d.log.add(diskOp{eventsFileName, at, append([]byte(nil), b...)})
	return d.Disk.WriteAt(b, at)
}

// Killed at each step that writes, between the first byte and the final answer of an event and of a batch, with the
// write done, not done, or half done; then its client hands the same in again. The receiver counts one effect for
// each event, whether or not a call that stood in the journal had reached it.
func TestEventDedup_KilledAtEachStep(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"keyed", "unsafe"} {
		for _, n := range []int{1, 3} {
			body, contentType := eventJSON("0", kind, `,"data":{"n":1}`), oneEvent
			if n > 1 {
				var all []string
				for i := range n {
					all = append(all, eventJSON(strconv.Itoa(i), kind, `,"data":{"n":1}`))
				}
				body, contentType = `[`+strings.Join(all, ",")+`]`, someJSON
			}
			log := firstAttempt(t, contentType, body, n)
			for cut := range len(log.ops) + 1 {
				for _, torn := range []bool{false, true} {
					if torn && cut == len(log.ops) {
						continue
					}
					for _, ran := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s %d, %d writes, torn %v, ran %v", kind, n, cut, torn, ran), func(t *testing.T) {
							t.Parallel()
							secondAttempt(t, log, cut, torn, ran, kind, contentType, body, n)
						})
					}
				}
			}
		}
	}
}

// longLived is takesEvents with keys and deadlines that outlast the test, however long its turn takes to come.
func longLived(c *Config) {
	takesEvents(c)
	c.Events.Rules.Deadline = 10 * time.Minute
	for i := range c.Settings.Classes {
		c.Settings.Classes[i].IdempotencyKeyTTL, c.Settings.Classes[i].Deadline = 10*time.Minute, 10*time.Minute
	}
}

// firstAttempt is an undisturbed run; it gives all that was written.
func firstAttempt(t *testing.T, contentType, body string, n int) *diskLog {
	t.Helper()
	log := &diskLog{}
	e := st.NewEndpoint(t, st.Status(200))
	s := newTest(t, st.NewPlatform(t, e.Addr), longLived)
	s.journal.file = &loggedJournal{s.journal.file, log, s.journal.size}
	s.eventDedup.file.WrapDisk(func(d identity.Disk) identity.Disk { return &loggedDisk{d, log} })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.step(ctx, s.initialListEvents())
	front := &eventIngress{s.config, s.clock, s.config.Events}
	h, err := front.readHead(mustRequest(t, contentType))
	if err != nil {
		t.Fatal(err)
	}
	subs, err := h.submissions([]byte(body), s.clock.now())
	if err != nil || len(subs) != n {
		t.Fatalf("%d submissions, %v", len(subs), err)
	}
	for _, sub := range subs {
		s.turn(ctx, sub)
		if a := st.Receive(t, sub.answer); a.status != 202 {
			t.Fatalf("%+v", a)
		}
	}
	for s.pending > 0 {
		s.turn(ctx, st.Receive(t, s.events))
	}
	if len(e.Calls) != n || len(log.ops) < n+2 { // what ends in one turn is written in one
		t.Fatalf("%d calls, %d writes", len(e.Calls), len(log.ops))
	}
	s.shutdown(cancel)
	return log
}

func secondAttempt(t *testing.T, log *diskLog, cut int, torn, ran bool, kind, contentType, body string, n int) {
	// The folder as the kill leaves it, and which calls the journal knows of.
	state := t.TempDir()
	files := map[string][]byte{}
	for i, op := range log.ops[:min(len(log.ops), cut+1)] {
		data := op.data
		if i == cut {
			if !torn {
				break
			}
			data = data[:len(data)/2]
		}
		f := files[op.file]
		if need := int(op.at) + len(data); need > len(f) {
			f = append(f, make([]byte, need-len(f))...)
		}
		copy(f[op.at:], data)
		files[op.file] = f
	}
	for name, raw := range files {
		if err := os.WriteFile(filepath.Join(state, name), raw, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	effects := map[string]int{} // by event
	seen := map[string]bool{}   // keys that the receiver remembers
	if ran {                    // what may have reached it before the kill did
		held := map[string]record{}
		for line := range strings.SplitSeq(string(files[journalFileName]), "\n") {
			var rec record
			switch {
			case !decodeLine([]byte(line+"\n"), &rec): // torn: its call was not made yet
			case rec.Op == opAccept:
				held[rec.ID] = rec
			case rec.Op == opSend:
				effects[held[rec.ID].Event.Get("id")]++
				seen[held[rec.ID].Key] = true
			}
		}
	}
	before := len(effects)
	if !ran && (len(files[eventsFileName]) > 0 || strings.Contains(string(files[journalFileName]), `"op":"over"`)) {
		return // something came to its end, so its call had run
	}
	e := st.NewEndpoint(t, st.Status(200))
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, func(c *Config) {
		longLived(c)
		c.StateDir = state
	})
	// The client hands in again until it knows how each event ended.
	status := make([]int, n)
	until(t, func() bool {
		resp, text := post(t, addr, contentType, body)
		if n == 1 {
			status[0] = resp.StatusCode
		} else {
			var all []eventResult
			if err := json.Unmarshal([]byte(text), &all); err != nil || len(all) != n {
				t.Fatalf("%s %s: %v", resp.Status, text, err)
			}
			for i, a := range all {
				status[i] = a.Status
			}
		}
		for _, s := range status {
			switch s {
			case 200, 500:
			case 202, 503:
				return false
			default:
				t.Fatalf("%s %s", resp.Status, text)
			}
		}
		return true
	})
	for len(e.Calls) > 0 {
		c := <-e.Calls
		if c.Key == "" || !seen[c.Key] {
			effects[c.Header.Get("Ce-Id")]++
		}
		seen[c.Key] = true
	}
	for i, s := range status {
		id := strconv.Itoa(i)
		switch {
		case kind == "keyed" && (s != 200 || effects[id] != 1):
			t.Errorf("event %s: answered %d with %d effects", id, s, effects[id])
		case effects[id] > 1, s == 200 && effects[id] != 1 && ran:
			t.Errorf("event %s: answered %d with %d effects", id, s, effects[id])
		case kind == "unsafe" && s == 500 && effects[id] == 0 && ran && before > 0:
			t.Errorf("event %s: failed with no call that may have run", id)
		}
	}
}

// brainEvent is what the module is told.
type brainEvent = brain.Event

// BenchmarkIngresses is what a front makes of a request, from its bytes to a submission: plain against the modes.
func BenchmarkIngresses(b *testing.B) {
	c := &Config{Classes: []string{"safe", "keyed"}, Tenants: []string{"acme"}, Settings: brain.Settings{Classes: []brain.Class{{}, {Idempotency: brain.IdempotentByKey}}}}
	takesEvents(c)
	c.Events.Rules.List = c.Events.Rules.List[3:]
	s := &server{config: c, clock: newClock()}
	s.ingressByPath = s.ingresses()
	data := strings.Repeat("x", 400)
	for name, text := range map[string]string{
		"plain": head("id", "Content-Length: 400\r\n") + data,
		"binary": "POST /events HTTP/1.1\r\nHost: b\r\nContent-Type: text/plain\r\nContent-Length: 400\r\nce-specversion: 1.0\r\nce-source: /s\r\nce-type: keyed\r\nce-subject: 0\r\nce-id: 1\r\n" +
			"ce-member: acme\r\nce-expirytime: 2126-12-01T10:00:00.123456Z\r\nce-sum: 0011223344556677\r\n\r\n" + data,
		"structured": func() string {
			body := eventJSON("1", "keyed", `,"datacontenttype":"text/plain","data":"`+data+`"`)
			return fmt.Sprintf("POST /events HTTP/1.1\r\nHost: b\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", oneEvent, len(body), body)
		}(),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
				if err != nil {
					b.Fatal(err)
				}
				h, err := s.ingressByPath[r.URL.Path].readHead(r)
				if err != nil {
					b.Fatal(err)
				}
				body, err := readBody(r)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := h.submissions(body, s.clock.now()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// An event under the id of another message that has failed, and waits to be kept, is another message: it is not answered
// as that was.
func TestEventDedup_IDOfFailedMessage(t *testing.T) {
	s := newTest(t, st.NewPlatform(t), takesEvents)
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
