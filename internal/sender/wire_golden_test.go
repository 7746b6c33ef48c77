package sender

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	st "saffronyard.example/saffronyard/internal/sendertest"
)

// wireAnswers has the responses of the program as of commit eea23b3, before many identifiers were renamed, byte for byte except for
// the date: clients read statuses, headers and texts.
const wireAnswers = "testdata/wire/answers.golden"

// wireRequest is a client's request as sent on the wire.
type wireRequest struct {
	name, text string
	how        wireSending
}

// wireSending is what a client does besides sending its request once.
type wireSending int

const (
	sentOnce       wireSending = iota
	closesWrite                // closes its sending side after the request
	untilDelivered             // sends the request again until the answer is not 202 any more
)

// wireMessage returns a request that submits a message; edits are pairs of texts, the first of which is replaced by the second.
func wireMessage(id string, edits ...string) string {
	return strings.NewReplacer(edits...).Replace(head(id, "Content-Length: 1\r\nConnection: close\r\n") + "x")
}

// wireEvent returns a request that submits events.
func wireEvent(id, contentType, body string, lines ...string) string {
	more := strings.Join(lines, "")
	if contentType != "" {
		more += "Content-Type: " + contentType + "\r\n"
	}
	return fmt.Sprintf("POST /events HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s", id, more, len(body), body)
}

func wireGet(path string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
}

// wireRequests returns valid and invalid requests. Their order matters: later ones depend on the state after earlier ones.
func wireRequests() []wireRequest {
	const binary = "Ce-Specversion: 1.0\r\nCe-Id: b1\r\nCe-Source: /s\r\nCe-Type: keyed\r\nCe-Subject: 0\r\n"
	return []wireRequest{
		{name: "ready", text: wireGet("/-/ready")},
		{name: "healthy", text: wireGet("/-/healthy")},
		{name: "accepted", text: wireMessage("m1")},
		{name: "accepted, held already", text: wireMessage("m1")},
		{name: "accepted, connection stays", text: head("m2", "Content-Length: 0\r\n"), how: closesWrite},
		{name: "asked before the body", text: head("m3", "Content-Length: 0\r\nExpect: 100-continue\r\nConnection: close\r\n")},
		{name: "no id", text: wireMessage("m", "X-Request-Id: m\r\n", "")},
		{name: "long id", text: wireMessage(strings.Repeat("i", 129))},
		{name: "id not ASCII", text: wireMessage("\xff")},
		{name: "two ids", text: wireMessage("m", "X-Class: keyed\r\n", "X-Class: keyed\r\nX-Request-Id: other\r\n")},
		{name: "no class", text: wireMessage("m", "X-Class: keyed\r\n", "")},
		{name: "unknown class", text: wireMessage("m", "X-Class: keyed", "X-Class: other")},
		{name: "unknown tenant", text: wireMessage("m", "X-Tenant: acme", "X-Tenant: other")},
		{name: "no key", text: wireMessage("m", "Idempotency-Key: k\r\n", "")},
		{name: "no deadline", text: wireMessage("m", "X-Deadline-Ms: 9000\r\n", "")},
		{name: "deadline a word", text: wireMessage("m", "X-Deadline-Ms: 9000", "X-Deadline-Ms: soon")},
		{name: "deadline negative", text: wireMessage("m", "X-Deadline-Ms: 9000", "X-Deadline-Ms: -5")},
		{name: "deadline over a day", text: wireMessage("m", "X-Deadline-Ms: 9000", "X-Deadline-Ms: 86400001")},
		{name: "deadline over", text: wireMessage("m-late", "X-Deadline-Ms: 9000", "X-Deadline-Ms: 0")},
		{name: "no destination", text: wireMessage("m", "X-Addressing: dest=0\r\n", "")},
		{name: "destination a word", text: wireMessage("m", "dest=0", "dest=here")},
		{name: "destination too high", text: wireMessage("m", "dest=0", "dest=70000")},
		{name: "destination not listed", text: wireMessage("m", "dest=0", "dest=77")},
		{name: "no length", text: wireMessage("m", "Content-Length: 1\r\n", "")},
		{name: "HTTP/1.0", text: wireMessage("m", "HTTP/1.1", "HTTP/1.0")},
		{name: "no host", text: wireMessage("m", "Host:", "Guest:")},
		{name: "transfer encoding", text: wireMessage("m", "Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n")},
		{name: "header name", text: wireMessage("m", "Idempotency-Key: k\r\n", "Idempotency-Key: k\r\nOther : v\r\n")},
		{name: "body too long", text: wireMessage("m", "Content-Length: 1\r\n", "Content-Length: 65537\r\n")},
		{name: "more than its length", text: wireMessage("m") + "xx"},
		{name: "head too long", text: head("m", "X-More: "+strings.Repeat("m", maxHeaderBytes))},
		{name: "path", text: wireMessage("m", "/api", "/other")},
		{name: "method", text: wireMessage("m", "POST", "PUT")},
		{name: "method of ready", text: wireMessage("m", "/api", "/-/ready")},
		{name: "half a request", text: "POST /api HTTP/1.1\r\nHost: x"},

		{name: "event, structured", text: wireEvent("e1", oneEvent, eventJSON("1", "keyed", `,"data":{"n":1}`))},
		{name: "event, binary", text: wireEvent("e2", "text/plain", "hello", binary)},
		{name: "event, delivered before", text: wireEvent("e2", "text/plain", "hello", binary), how: untilDelivered},
		{name: "event, other content", text: wireEvent("e3", "text/plain", "other", binary)},
		{name: "event, its id is another's", text: wireEvent("m-held", oneEvent, eventJSON("2", "keyed", ""))},
		{name: "event, media type", text: wireEvent("e", "application/json", "{}")},
		{name: "event, no media type", text: wireEvent("e", "", "{}")},
		{name: "event, XML", text: wireEvent("e", "application/cloudevents+xml", "<e/>")},
		{name: "event, torn", text: wireEvent("e", oneEvent, `{"specversion":"1.0"`)},
		{name: "event, no source", text: wireEvent("e", oneEvent, `{"specversion":"1.0","id":"1","type":"safe"}`)},
		{name: "event, version", text: wireEvent("e", oneEvent, `{"specversion":"0.3","id":"1","source":"/s","type":"safe"}`)},
		{name: "event, binary, no id", text: wireEvent("e", "text/plain", "x", "Ce-Specversion: 1.0\r\nCe-Source: /s\r\nCe-Type: keyed\r\n")},
		{name: "event, class", text: wireEvent("e", oneEvent, eventJSON("3", "other", ""))},
		{name: "event, order in a class without", text: wireEvent("e", oneEvent, eventJSON("4", "ask.order", ""))},
		{name: "event, key in a class without", text: wireEvent("e", oneEvent, eventJSON("5", "ask.key", ""))},
		{name: "event, expiry", text: wireEvent("e", oneEvent, eventJSON("6", "safe", `,"expirytime":"soon"`))},
		{name: "event, expired", text: wireEvent("e7", oneEvent, eventJSON("7", "safe", `,"expirytime":"2001-01-01T00:00:00Z"`))},
		{name: "event, destination not listed", text: wireEvent("e", oneEvent, `{"specversion":"1.0","id":"8","source":"/s","type":"safe","subject":"77"}`)},
		{name: "event, too long", text: wireEvent("e", oneEvent, strings.Repeat("x", maxBodyBytes+1))},
		{name: "event, method", text: wireGet("/events")},
		{name: "batch", text: wireEvent("b", someJSON, "["+eventJSON("9", "keyed", "")+","+eventJSON("9", "other", "")+`,{"specversion":"1.0"},`+eventJSON("9", "keyed", `,"data":2`)+"]")},
		{name: "batch, empty", text: wireEvent("b", someJSON, "[]")},
		{name: "batch, none", text: wireEvent("b", someJSON, "{}")},
		{name: "batch, too many", text: wireEvent("b", someJSON, "["+strings.Repeat("{},", 10)+"{}]")},
		{name: "batch, long id", text: wireEvent(strings.Repeat("b", 125), someJSON, "[]")},
	}
}

var wireDate = regexp.MustCompile(`Date: [^\r]*GMT`)

// wireAnswer sends one request on its own connection and returns everything that is received there.
func wireAnswer(t *testing.T, addr string, r wireRequest) string {
	t.Helper()
	for over := time.Now().Add(st.Wait); ; {
		c := dial(t, addr)
		go func() { // the server may close the connection before all is written
			io.WriteString(c, r.text)
			if r.how == closesWrite {
				c.(*net.TCPConn).CloseWrite()
			}
		}()
		raw, _ := io.ReadAll(c) // a reset ends the response too
		answer := wireDate.ReplaceAllString(string(raw), "Date: D")
		if r.how != untilDelivered || !strings.HasPrefix(answer, "HTTP/1.1 202") || time.Now().After(over) {
			return answer
		}
	}
}

// listAnswers returns the responses to all requests, with each line quoted.
func listAnswers(t *testing.T, addr string, requests []wireRequest) string {
	t.Helper()
	var b strings.Builder
	for _, r := range requests {
		fmt.Fprintf(&b, "%s\n", r.name)
		for _, line := range strings.SplitAfter(wireAnswer(t, addr, r), "\n") {
			if line != "" {
				fmt.Fprintf(&b, "\t%q\n", line)
			}
		}
	}
	return b.String()
}

func TestServer_AnswersAreUnchanged(t *testing.T) {
	t.Parallel()
	served := st.NewEndpoint(t, st.Status(200))
	addr := run(t, st.NewPlatform(t, served.Addr), acceptEvents)
	silent := st.NewEndpoint(t, st.Unresponsive) // its messages stay pending
	fullAddr := run(t, st.NewPlatform(t, silent.Addr), func(c *Config) {
		acceptEvents(c)
		c.Settings.MaxPending = 3
	})
	full := []wireRequest{
		{name: "full: accepted", text: wireMessage("f1")},
		{name: "full: accepted too", text: wireMessage("f2")},
		{name: "full: refused", text: wireMessage("f3")},
		{name: "full: held already", text: wireMessage("f1")},
		{name: "full: event, its id is another's", text: wireEvent("f1", oneEvent, eventJSON("1", "keyed", ""))},
		{name: "full: event refused", text: wireEvent("f4", oneEvent, eventJSON("2", "keyed", ""))},
		{name: "full: batch refused", text: wireEvent("f5", someJSON, "["+eventJSON("3", "keyed", "")+"]")},
	}
	got := listAnswers(t, addr, wireRequests()) + listAnswers(t, fullAddr, full)
	if want := string(readTestdata(t, wireAnswers)); got != want {
		t.Errorf("answers are\n%s\nwant\n%s", got, want)
	}
}
