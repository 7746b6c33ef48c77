package upstream

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// Trailers must not change the attempt that a response belongs to, its framing or whether the request was executed.
func TestBody_TrailersIgnored(t *testing.T) {
	const trailers = "0\r\nX-Not-Executed: 1\r\nX-Attempt-Id: b\r\nContent-Length: 9\r\n\r\n"
	for _, tc := range []struct {
		status string
		want   Disposition
	}{
		{"200 OK", Disposition{Execution: Executed, Reply: ForwardResponse, Reuse: KeepConnection}},
		{"503 Full", Disposition{Execution: ExecutionUnknown, Reply: BadGateway, RetryIdempotent: true, Reuse: KeepConnection}},
	} {
		target := startResponder(t, "HTTP/1.1 "+tc.status+"\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"+
			chunk("ok")+trailers)
		r := call(t, newTestPool(t), target, "a")
		assert.Equal(t, r.Outcome, Complete, "%v", r.Err)
		assert.Equal(t, string(r.Body), "ok")
		assert.Equal(t, r.Disposition(false), tc.want)
	}
}

// A response to HEAD has no body, whatever length it announces, and its connection is reused.
func TestCall_HEADHasNoBody(t *testing.T) {
	target := startEndpoint(t, func(_ int, l *serverConn) {
		for q, _ := l.readRequest(); q != nil; q, _ = l.readRequest() {
			text := validResponse(q.Header.Get("X-Attempt-Id"), "body")
			if q.Method == "HEAD" {
				text = strings.TrimSuffix(text, "body")
			}
			l.writeText(text)
		}
	})
	p := newTestPool(t)
	for i, method := range []string{"HEAD", "GET", "HEAD", "HEAD", "GET"} {
		q := &Request{Method: method, Target: "/a", Host: "h.example", AttemptID: fmt.Sprint(i), Priority: -1}
		r := p.Call(t.Context(), target, q, longWait)
		assert.Equal(t, r.Outcome, Complete, "%v", r.Err)
		assert.Equal(t, len(r.Body) > 0, method == "GET")
		assert.Equal(t, r.NewConnection, i == 0)
	}
}

// A late second response to HEAD announces a body that is not sent. Whatever the announced length, no part of that response is
// taken for the response to the next request, and the next request is never retried as not executed.
func TestCall_LateSecondResponseToHEAD(t *testing.T) {
	own := validResponse("b", "of b")
	for announced := range len(own) + 2 {
		target := startEndpoint(t, func(_ int, l *serverConn) {
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\nContent-Length: %d\r\n\r\n", announced)
			l.readRequest()
			l.writeText(head)
			l.readRequest()
			l.writeText(head + own)
		})
		p := newTestPool(t)
		head := &Request{Method: "HEAD", Target: "/a", Host: "h.example", AttemptID: "a", Priority: -1}
		assert.Equal(t, p.Call(t.Context(), target, head, longWait).Outcome, Complete)
		r := call(t, p, target, "b")
		assert.Assert(t, !r.NewConnection)
		if r.Outcome == Complete {
			assert.Equal(t, string(r.Body), "of b")
		} else {
			assert.Equal(t, r.Disposition(false).Reply, BadGateway)
			assert.Equal(t, r.Disposition(false).RetryAny, false)
		}
		_, idle := p.Open(target)
		assert.Equal(t, idle, 0)
	}
}

// An extra response to an earlier request arrives in two parts, before and after the next request was sent. It is detected by its
// attempt id, or by the unread bytes on its connection, and never taken for the response to the next request.
func TestCall_ExtraResponseSplitAtEachByte(t *testing.T) {
	extra := validResponse("a", "extra")
	for split := range len(extra) {
		release := make(chan struct{})
		target := startEndpoint(t, func(_ int, l *serverConn) {
			pending := false // the rest of the extra response is to be sent on the connection of the first request
			for q, _ := l.readRequest(); q != nil; q, _ = l.readRequest() {
				id := q.Header.Get("X-Attempt-Id")
				if pending {
					l.writeText(extra[split:])
					pending = false
				}
				l.writeText(validResponse(id, "of "+id))
				if id == "a" {
					<-release
					l.writeText(extra[:split])
					pending = true
				}
			}
		})
		p := newTestPool(t)
		assert.Equal(t, string(call(t, p, target, "a").Body), "of a")
		close(release)
		for _, id := range []string{"b", "c"} {
			r := call(t, p, target, id)
			assert.Equal(t, r.Outcome, Complete, "split at %d: %v", split, r.Err)
			assert.Equal(t, string(r.Body), "of "+id, "split at %d", split)
		}
	}
}

// X-Deadline-Ms is the time left when the head is written, never more.
func TestCall_DeadlineOfLaterSend(t *testing.T) {
	began := time.Now()
	q := post("a", "")
	q.Header = http1.Header{{Name: "X-Deadline-Ms", Value: "60000"}} // the client's own
	q.Deadline = began.Add(2 * time.Second)
	for after, want := range map[time.Duration]int{
		0:                          2000,
		500 * time.Millisecond:     1500,
		1999500 * time.Microsecond: 1, // for a fraction of a millisecond
		1234567 * time.Microsecond: 765,
		5 * time.Second:            1,
	} {
		head := string(q.appendHead(nil, Target{}, 0, began.Add(after)))
		assert.Equal(t, strings.Count(head, "X-Deadline-Ms: "), 1)
		assert.Assert(t, strings.Contains(head, "X-Deadline-Ms: "+strconv.Itoa(want)+"\r\n"), "after %v: %s", after, head)
	}
}
