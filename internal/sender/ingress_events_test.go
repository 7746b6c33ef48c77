package sender

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/mapping"
	st "saffronyard.example/saffronyard/internal/sendertest"
)

// acceptEvents turns events on: the type names the class, the subject the destination.
func acceptEvents(c *Config) {
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

// post submits a body at /events.
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

// submitEvent submits an event and expects a status.
func submitEvent(t testing.TB, addr, id, kind string, want int) *http.Response {
	t.Helper()
	resp, text := post(t, addr, oneEvent, eventJSON(id, kind, `,"data":{"n":1}`))
	if resp.StatusCode != want {
		t.Fatalf("event %s of %s is answered %s: %s; want %d", id, kind, resp.Status, text, want)
	}
	return resp
}

// gate is an endpoint's handler that answers each call with the next status that the test sends.
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

// An event is accepted in all three content modes, and is sent with its attributes.
func TestEvents_ContentModes(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), acceptEvents)
	wantCall := func(id, data, contentType string) {
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
	wantCall("b1", "hello", "text/plain; charset=utf-8")
	if resp, text := post(t, addr, oneEvent+"; charset=UTF-8", eventJSON("s1", "keyed", `,"traceparent":"00-x y","data":{"a": 1}`), "X-Request-Id", "mine"); resp.StatusCode != http.StatusAccepted || resp.Header.Get("X-Request-Id") != "mine" {
		t.Fatalf("%s %s", resp.Status, text)
	}
	wantCall("s1", `{"a": 1}`, "application/json")
	if resp, text := post(t, addr, someJSON, `[`+eventJSON("a1", "keyed", `,"traceparent":"00-x y","data_base64":"AP8="`)+`]`, "X-Request-Id", "mine"); resp.StatusCode != http.StatusAccepted || !strings.Contains(text, `"message":"mine-0"`) {
		t.Fatalf("%s %s", resp.Status, text)
	}
	wantCall("a1", "\x00\xff", "")
}

// Each kind of invalid request has its own answer, and nothing of the request is accepted.
func TestEvents_Faults(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), acceptEvents)
	many := strings.Repeat(`{},`, 10) + `{}`
	for name, c := range map[string]struct {
		kind, body string
		status     int
		wantText   string
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
		if resp.StatusCode != c.status || !strings.Contains(text, c.wantText) {
			t.Errorf("%s: %s %s; want %d with %q", name, resp.Status, text, c.status, c.wantText)
		}
	}
	for name, c := range map[string]struct {
		lines    []string
		status   int
		wantText string
	}{
		"header twice":  {[]string{"Ce-Id", "2"}, 400, "ce-id stands there more than once"},
		"bad name":      {[]string{"Ce-a_b", "2"}, 400, "a_b"},
		"id of another": {[]string{"X-Request-Id", strings.Repeat("x", 200)}, 400, "X-Request-Id"},
		"raw bytes":     {[]string{"Ce-Ext", "\xe2\x82"}, 400, "percent-encoded"},
	} {
		lines := append([]string{"Ce-Specversion", "1.0", "Ce-Id", "1", "Ce-Source", "/s", "Ce-Type", "safe", "Ce-Subject", "0"}, c.lines...)
		if resp, text := post(t, addr, "text/plain", "x", lines...); resp.StatusCode != c.status || !strings.Contains(text, c.wantText) {
			t.Errorf("%s: %s %s; want %d with %q", name, resp.Status, text, c.status, c.wantText)
		}
	}
	r, err := http.NewRequest("GET", "http://"+addr+"/events", nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp, _ := st.Do(t, r); resp.StatusCode != http.StatusMethodNotAllowed {
		t.Errorf("GET: %s", resp.Status)
	}
	submitEvent(t, addr, "good", "safe", 202) // the sender still serves and has accepted nothing of the requests before
	if c := e.Next(t); c.Header.Get("Ce-Id") != "good" {
		t.Errorf("%+v", c)
	}
}

// No request leads to two messages for one event, or to a message made of what is in the body of another request or behind it.
func TestEvents_NoSmuggling(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, e.Addr), acceptEvents)
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
	// If the headers of a structured event describe another event, the event in the payload counts.
	resp, text := post(t, addr, oneEvent, eventJSON("inner", "safe", ""), "Ce-Id", "outer", "Ce-Source", "/o", "Ce-Specversion", "1.0", "Ce-Type", "safe")
	if resp.StatusCode != 202 {
		t.Fatalf("%s %s", resp.Status, text)
	}
	submitEvent(t, addr, "last", "safe", 202)
	for want := map[string]bool{"inner": true, "last": true}; len(want) > 0; { // in either order: they are separate calls
		c := e.Next(t)
		if id := c.Header.Get("Ce-Id"); want[id] {
			delete(want, id)
		} else if id != "m%20ce-id:%20n" || c.Body != "x" { // "folded" is read as one value
			t.Fatalf("%q with %q is sent, want %v", id, c.Body, want)
		}
	}
}

// An event's own expirytime shortens its deadline, and an event that has expired fails at once.
func TestEvents_ExpiryTime(t *testing.T) {
	t.Parallel()
	e := st.NewEndpoint(t, st.Unresponsive)
	p := st.NewPlatform(t, e.Addr)
	addr := run(t, p, acceptEvents)
	if resp, text := post(t, addr, oneEvent, eventJSON("1", "safe", `,"expirytime":"2020-01-01T00:00:00Z"`)); resp.StatusCode != 500 || text != outcomeGivenUp+"\n" {
		t.Errorf("%s %q", resp.Status, text)
	}
	submitEvent(t, addr, "long", "safe", 202)
	at := time.Now().Add(400 * time.Millisecond).Format(time.RFC3339Nano)
	resp, _ := post(t, addr, oneEvent, eventJSON("2", "safe", `,"expirytime":"`+at+`"`))
	if n := st.Receive(t, p.Notices); n.Message != resp.Header.Get("X-Request-Id") || n.Outcome != outcomeGivenUp || resp.StatusCode != 202 {
		t.Errorf("%s, %+v", resp.Status, n)
	}
}

// until polls until a condition holds.
func until(t testing.TB, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(st.Wait); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition does not hold within the time limit")
		}
	}
}

// BenchmarkIngresses measures the decoding of a request, from its bytes to a submission, for plain messages and two content modes.
func BenchmarkIngresses(b *testing.B) {
	c := &Config{Classes: []string{"safe", "keyed"}, Tenants: []string{"acme"}, Settings: brain.Settings{Classes: []brain.Class{{}, {Idempotency: brain.IdempotentByKey}}}}
	acceptEvents(c)
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
