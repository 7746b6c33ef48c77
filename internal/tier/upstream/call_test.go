package upstream

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

func TestRequest_WrittenAsReceived(t *testing.T) {
	got := make(chan string, 1)
	target := startEndpoint(t, func(_ int, l *serverConn) {
		var text strings.Builder
		for !strings.HasSuffix(text.String(), "the body") {
			b, err := l.r.ReadByte()
			if err != nil {
				return
			}
			text.WriteByte(b)
		}
		got <- text.String()
		l.writeText(validResponse("a1", "x"))
		l.drain()
	})
	p := newTestPool(t)
	q := &Request{Method: "PUT", Target: "/a//b/../%2f?x=1&&y=%20", Host: "H.example", AttemptID: "a1", Priority: 3,
		Header: http1.Header{{Name: "X-Model", Value: "m"}, {Name: "x-model", Value: "n"}, {Name: "X-Deadline-Ms", Value: "99999"}, {Name: "x-target-instance", Value: "other"}, {Name: "X-Attempt-Id", Value: "a1"},
			{Name: "Content-Length", Value: "8"}, {Name: "Host", Value: "H.example"}, {Name: "Priority", Value: "9"}, {Name: "Transfer-Encoding", Value: "chunked"}, {Name: "Expect-Version", Value: "4"}},
		Body: [][]byte{[]byte("the "), nil, []byte("body")}, Deadline: time.Now().Add(10 * time.Second)}
	r := p.Call(context.Background(), target, q, longWait)
	assert.Equal(t, r.Outcome, Complete, "%v", r.Err)
	lines := strings.Split(<-got, "\r\n")
	ms, err := strconv.Atoi(strings.TrimPrefix(lines[6], "X-Deadline-Ms: "))
	assert.NilError(t, err)
	assert.Assert(t, ms > 0 && ms <= 10000)
	lines[6] = "X-Deadline-Ms: N"
	assert.DeepEqual(t, lines, []string{"PUT /a//b/../%2f?x=1&&y=%20 HTTP/1.1", "Host: H.example", "X-Model: m", "x-model: n", "Expect-Version: 4",
		"X-Attempt-Id: a1", "X-Deadline-Ms: N", "X-Target-Instance: i-1", "Priority: 3", "Content-Length: 8", "", "the body"})
}

func TestCall_LargeBodies(t *testing.T) {
	requestBody := strings.Repeat("0123456789abcdef", 1<<16)
	responseBody := strings.Repeat("fedcba9876543210", 1<<17) // more than MaxBufferedBody
	target := startEndpoint(t, func(_ int, l *serverConn) {
		for q, body := l.readRequest(); q != nil; q, body = l.readRequest() {
			assert.Check(t, body == requestBody)
			l.writeText(validResponse(q.Header.Get("X-Attempt-Id"), responseBody))
		}
	})
	p := newTestPool(t)
	q := post("a", "")
	q.Body = [][]byte{[]byte(requestBody[:40000]), []byte(requestBody[40000:])}
	r := p.Call(context.Background(), target, q, longWait)
	assert.Equal(t, r.Outcome, Streaming)
	got, err := collectEvents(r.Stream)
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, strings.Join(got, "") == responseBody)
	assert.Equal(t, r.Disposition(true), Disposition{Execution: Executed, Reply: ForwardResponse, Reuse: KeepConnection})
	_, idle := p.Open(target)
	assert.Equal(t, idle, 1)
}

func TestRequest_SmugglingRejected(t *testing.T) {
	target := startEndpoint(t, func(_ int, l *serverConn) { t.Error("a connection was opened for an invalid request") })
	p := newTestPool(t)
	for _, corrupt := range []func(*Request){
		func(q *Request) { q.Target = "/a b" },
		func(q *Request) { q.Target = "/a\r\nX: y" },
		func(q *Request) { q.Target = "" },
		func(q *Request) { q.Method = "GET /x HTTP/1.1\r\n" },
		func(q *Request) { q.Host = "a\r\nb" },
		func(q *Request) { q.AttemptID = "a\nb" },
		func(q *Request) { q.Header = http1.Header{{Name: "A", Value: "b\r\n\r\nGET / HTTP/1.1"}} },
		func(q *Request) { q.Header = http1.Header{{Name: "A: b\r\nC", Value: "d"}} },
		func(q *Request) { q.Deadline = time.Now().Add(-time.Second) },
	} {
		q := post("a", "")
		corrupt(q)
		r := p.Call(context.Background(), target, q, longWait)
		assert.Assert(t, !r.Written && r.Response == nil && r.Err != nil && !r.NewConnection)
		assert.Equal(t, r.Disposition(false).Execution, NotExecuted)
	}
}

// TestCall_Responses sends one response, then ends the connection or keeps it open.
func TestCall_Responses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\n"
	for _, tc := range []struct {
		name, text string
		close      bool
		end        Outcome
		kept       int
	}{
		{"whole", head + "Content-Length: 2\r\n\r\nok", false, Complete, 1},
		{"whole by chunks", head + "Transfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n", false, Complete, 1},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Attempt-Id: z\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", false, Complete, 1},
		{"interim without end", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9), false, Malformed, 0},
		{"switch", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false, Malformed, 0},
		{"close announced", head + "Connection: Foo, Close\r\nContent-Length: 2\r\n\r\nok", false, Complete, 0},
		{"old protocol", strings.Replace(head, "1.1", "1.0", 1) + "Content-Length: 2\r\n\r\nok", false, Complete, 0},
		{"more behind it", head + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false, Complete, 0},
		{"unframed, close announced", head + "Connection: close\r\n\r\nok", true, Complete, 0},
		{"unframed, close not announced", head + "\r\nok", true, Malformed, 0},
		{"without signature", "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nContent-Length: 2\r\n\r\nok", false, Malformed, 0},
		{"success with X-Not-Executed", head + "X-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nok", false, Malformed, 0},
		{"encoded", head + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", false, Malformed, 0},
		{"short", head + "Content-Length: 3\r\n\r\nok", true, Broken, 0},
		{"cut before the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, Broken, 0},
		{"nothing", "", true, Broken, 0},
		{"half a line", "HTTP/1.1 200", true, Broken, 0},
		{"noise", "\x16\x03\x01", false, Malformed, 0},
		{"noise like a head", "HTTP/2 200 OK\r\n\r\n", false, Malformed, 0},
		{"status", "HTTP/1.1 2000 OK\r\n\r\n", false, Malformed, 0},
		{"two lengths", head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", false, Malformed, 0},
		{"length and chunks", head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok", false, Malformed, 0},
		{"no length", head + "Content-Length: +2\r\n\r\nok", false, Malformed, 0},
		{"two ids", "HTTP/1.1 200 OK\r\nX-Attempt-Id: b\r\n" + head[17:] + "Content-Length: 2\r\n\r\nok", false, Malformed, 0},
		{"no id", "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok", false, Malformed, 0},
		{"folded", head + " more\r\nContent-Length: 2\r\n\r\nok", false, Malformed, 0},
		{"bare line feeds", "HTTP/1.1 200 OK\nX-Attempt-Id: a\n\n", false, Malformed, 0},
		{"long line", head + "A: " + strings.Repeat("a", 5000) + "\r\n\r\n", false, Malformed, 0},
		{"long head", head + strings.Repeat("A: "+strings.Repeat("a", 2000)+"\r\n", 9), false, Malformed, 0},
		{"many fields", head + strings.Repeat("A: a\r\n", 101) + "\r\n", false, Malformed, 0},
		{"response to another attempt first", strings.Replace(head, "Id: a", "Id: b", 1) + "Content-Length: 2\r\n\r\nNO" + head + "Content-Length: 2\r\n\r\nok", false, Complete, 0},
		{"response to another attempt first, by chunks", strings.Replace(head, "Id: a", "Id: b", 1) + "Transfer-Encoding: chunked\r\n\r\n2\r\nNO\r\n0\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", false, Complete, 0},
		{"only a response to another attempt", strings.Replace(head, "Id: a", "Id: b", 1) + "Content-Length: 2\r\n\r\nNO", true, Broken, 0},
		{"many responses to other attempts", strings.Repeat(strings.Replace(head, "Id: a", "Id: b", 1)+"Content-Length: 2\r\n\r\nNO", 5), false, Malformed, 0},
		{"too long by chunks", head + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 1<<21) + "\r\n0\r\n\r\n", false, Malformed, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target := startEndpoint(t, respondWith(tc.text, tc.close))
			p := newTestPool(t)
			r := call(t, p, target, "a")
			assert.Equal(t, r.Outcome, tc.end, "%v", r.Err)
			assert.Assert(t, r.Written && r.NewConnection)
			if tc.end == Complete {
				assert.Equal(t, string(r.Body), "ok")
				assert.Equal(t, r.Disposition(false), Disposition{Execution: Executed, Reply: ForwardResponse, Reuse: Reuse(tc.kept)})
			} else {
				assert.Assert(t, r.Err != nil && r.Body == nil)
				assert.Equal(t, r.Disposition(false).Reply, BadGateway)
				assert.Equal(t, r.Disposition(false).RetryAny, false)
			}
			open, idle := p.Open(target)
			assert.Equal(t, idle, tc.kept)
			assert.Equal(t, open, tc.kept)
		})
	}
}

// TestCall_ResponseTruncatedAtEachByte closes or resets the connection at each byte of a response: no truncated response may look
// complete.
func TestCall_ResponseTruncatedAtEachByte(t *testing.T) {
	texts := []string{validResponse("a", "ok"), "HTTP/1.1 503 Full\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"}
	for _, text := range texts {
		for _, reset := range []bool{false, true} {
			target := startEndpoint(t, func(n int, l *serverConn) {
				l.readRequest()
				l.writeText(text[:n])
				if reset {
					l.reset()
				}
			})
			p := newTestPool(t)
			for n := range len(text) {
				r := call(t, p, target, "a")
				assert.Equal(t, r.Outcome, Broken, "%d: %v", n, r.Err)
				v := r.Disposition(false)
				assert.Assert(t, r.Written && v.Execution != NotExecuted && v.Reply == BadGateway && !v.RetryAny, "%d", n)
			}
			r := call(t, p, target, "a")
			assert.Assert(t, r.Outcome == Complete || reset && r.Outcome == Broken)
		}
	}
}

func TestStream(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		close      bool
		want       []string
		end        Outcome
	}{
		{"several at once", streamHead + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n") + "0\r\n\r\n", false,
			[]string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\n\n"}, Complete},
		{"none", streamHead + "0\r\n\r\n", false, nil, Complete},
		{"no last chunk", streamHead + chunk("id: 1\n\n") + chunk("id: 2\n\n"), true, []string{"id: 1\n\n", "id: 2\n\n"}, Broken},
		{"cut in an event", streamHead + chunk("id: 1\n\nid: 2\nda"), true, []string{"id: 1\n\n"}, Broken},
		{"event without end", streamHead + chunk("id: 1\n\nid: 2\nda") + "0\r\n\r\n", false, []string{"id: 1\n\n"}, Malformed},
		{"repeated", streamHead + chunk("id: 1\n\nid: 1\n\n") + "0\r\n\r\n", false, []string{"id: 1\n\n"}, Malformed},
		{"noise between", streamHead + chunk("id: 1\n\n") + "HTTP/1.1 200 OK\r\n", false, []string{"id: 1\n\n"}, Malformed},
		{"by close", strings.Replace(streamHead, "Transfer-Encoding: chunked", "Connection: close", 1) + "id: 1\n\n", true, []string{"id: 1\n\n"}, Broken},
		{"by length", strings.Replace(streamHead, "Transfer-Encoding: chunked", "Content-Length: 14", 1) + "id: 1\n\nid: 2\n\n", false,
			[]string{"id: 1\n\n", "id: 2\n\n"}, Complete},
	} {
		t.Run(tc.name, func(t *testing.T) {
			target := startEndpoint(t, respondWith(tc.text, tc.close))
			p := newTestPool(t)
			r := call(t, p, target, "a")
			assert.Equal(t, r.Outcome, Streaming, "%v", r.Err)
			assert.Equal(t, r.Disposition(false).Reply, ForwardResponse)
			got, err := collectEvents(r.Stream)
			assert.DeepEqual(t, got, tc.want)
			assert.Equal(t, r.Stream.Outcome(), tc.end)
			assert.Equal(t, r.Stream.BodyReceived(), tc.end == Complete)
			assert.Equal(t, errors.Is(err, io.EOF), tc.end == Complete)
			assert.Assert(t, r.Stream.Ready())
			if tc.end == Complete {
				assert.Equal(t, r.Disposition(true).Reply, ForwardResponse)
			} else {
				assert.Equal(t, r.Disposition(true), Disposition{Execution: Executed, Reply: AbortConnection})
			}
			open, idle := p.Open(target)
			assert.Equal(t, open, idle)
			assert.Equal(t, idle == 1, tc.end == Complete)
		})
	}
}

// TestStream_TruncatedAtEachByte: the events received are the first ones and complete, and a truncated stream never looks complete.
func TestStream_TruncatedAtEachByte(t *testing.T) {
	all := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"}
	text := streamHead + chunk(all[0]+all[1][:5]) + chunk(all[1][5:]) + chunk(all[2]) + "0\r\n\r\n"
	target := startEndpoint(t, func(n int, l *serverConn) {
		l.readRequest()
		l.writeText(text[:len(streamHead)+n])
		if n%2 == 1 {
			l.reset()
		}
	})
	p := newTestPool(t)
	for n := range len(text) - len(streamHead) {
		r := call(t, p, target, "a")
		if n%2 == 1 && r.Outcome == Broken { // the reset discarded the head
			continue
		}
		assert.Equal(t, r.Outcome, Streaming)
		got, err := collectEvents(r.Stream)
		assert.Assert(t, err != nil && !errors.Is(err, io.EOF))
		assert.Equal(t, r.Stream.Outcome(), Broken)
		assert.Assert(t, len(got) <= 3)
		for i := range got {
			assert.Equal(t, got[i], all[i])
		}
	}
}

func TestStream_EventsAsReceived(t *testing.T) {
	step := make(chan string)
	target := startEndpoint(t, func(_ int, l *serverConn) {
		l.readRequest()
		for text := range step {
			l.writeText(text)
		}
		l.drain()
	})
	p := newTestPool(t)
	go func() { step <- streamHead }()
	q := post("a", "")
	q.LastEventID = "4"
	r := p.Call(context.Background(), target, q, longWait)
	s := r.Stream
	assert.Assert(t, !s.Ready() && !s.BodyReceived())
	go func() { step <- chunk("id: 5\ndata: x\n\nid: 6\n\nid: 7\n") }()
	event, err := s.Next()
	assert.NilError(t, err)
	assert.Equal(t, event.ID+string(event.Data), "5x")
	assert.Assert(t, s.Ready() && !s.BodyReceived())
	event, err = s.Next()
	assert.NilError(t, err)
	assert.Equal(t, event.ID, "6")
	assert.Assert(t, !s.Ready())
	go func() { step <- chunk("\n") + "0\r\n\r\n"; close(step) }()
	event, err = s.Next()
	assert.NilError(t, err)
	assert.Equal(t, event.ID, "7")
	_, err = s.Next()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, s.BodyReceived())
	s.Close() // without effect after the end
	assert.Equal(t, s.Outcome(), Complete)
}

func TestStream_ResumesAboveLastEventID(t *testing.T) {
	target := startResponder(t, streamHead+chunk("id: 4\n\n")+"0\r\n\r\n")
	q := post("a", "")
	q.LastEventID = "4"
	r := newTestPool(t).Call(context.Background(), target, q, longWait)
	_, err := r.Stream.Next()
	assert.Equal(t, err, errMalformed)
}

func TestCall_TimeoutAndCancel(t *testing.T) {
	for _, text := range []string{"", streamHead, validResponse("a", "whole")[:60]} {
		arrived, ended := make(chan bool, 1), make(chan bool, 1)
		target := startEndpoint(t, func(_ int, l *serverConn) {
			if q, _ := l.readRequest(); q == nil {
				return // the call timed out before the request was written
			}
			l.writeText(text)
			arrived <- true
			l.drain() // until the client closes the connection
			ended <- true
		})
		p := newTestPool(t)
		finish := func(want Outcome, call func(time.Duration) *Result) {
			t.Helper()
			for timeout := 20 * time.Millisecond; ; timeout *= 2 {
				r := call(timeout)
				if r.Stream != nil {
					_, err := r.Stream.Next()
					assert.Assert(t, err != nil)
				}
				o := r.Observation(false)
				assert.Equal(t, o.Outcome, want, "%v", r.Err)
				open, _ := p.Open(target)
				assert.Equal(t, open, 0)
				if !o.Written { // on a busy machine, the time-out may expire before a byte is written
					assert.Equal(t, r.Disposition(false).Execution, NotExecuted)
					continue
				}
				<-ended
				return
			}
		}
		finish(TimedOut, func(within time.Duration) *Result {
			return p.Call(context.Background(), target, post("a", ""), within)
		})
		<-arrived
		finish(TimedOut, func(within time.Duration) *Result {
			ctx, cancel := context.WithTimeout(context.Background(), within)
			t.Cleanup(cancel)
			return p.Call(ctx, target, post("a", ""), longWait)
		})
		<-arrived
		ctx, cancel := context.WithCancel(context.Background())
		finish(Canceled, func(time.Duration) *Result {
			go func() {
				<-arrived
				cancel()
			}()
			return p.Call(ctx, target, post("a", ""), longWait)
		})
		r := p.Call(ctx, target, post("a", ""), longWait)
		assert.Assert(t, r.Outcome == Canceled && !r.Written)
	}
}

func TestStream_OwnDeadline(t *testing.T) {
	ended := make(chan bool, 1)
	target := startEndpoint(t, func(_ int, l *serverConn) {
		l.readRequest()
		l.writeText(streamHead + chunk("id: 1\n\n"))
		l.drain()
		ended <- true
	})
	p := newTestPool(t)
	r := call(t, p, target, "a")
	_, err := r.Stream.Next()
	assert.NilError(t, err)
	r.Stream.SetDeadline(time.Now().Add(20 * time.Millisecond))
	_, err = r.Stream.Next()
	assert.Assert(t, err != nil)
	assert.Equal(t, r.Stream.Outcome(), TimedOut)
	<-ended
	r = call(t, p, target, "a")
	r.Stream.Close()
	assert.Equal(t, r.Stream.Outcome(), Canceled)
	<-ended
	_, err = r.Stream.Next()
	assert.Assert(t, errors.Is(err, context.Canceled))
}

func TestCall_RejectedBeforeBodyRead(t *testing.T) {
	target := startEndpoint(t, func(_ int, l *serverConn) {
		l.writeText("HTTP/1.1 503 Full\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nRetry-After: 0.25\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		l.CloseWrite()
		l.drain()
	})
	q := post("a", strings.Repeat("x", 8<<20))
	r := newTestPool(t).Call(context.Background(), target, q, longWait)
	// The call may have detected the close before it wrote a byte.
	v := r.Disposition(false)
	assert.Equal(t, v.Execution, NotExecuted, "%v %v", r.Outcome, r.Err)
	if r.Response != nil {
		assert.Equal(t, r.Response.RetryAfter, 250*time.Millisecond)
	}
}

func TestResponse_ParsedFields(t *testing.T) {
	target := startResponder(t, "HTTP/1.1 503 Too Full\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nX-Instance-Load: 3, 0,8\r\nVersions: 7\r\nRetry-After: 1.5\r\n"+
		"Keep-Alive: timeout=7\r\nConnection: X-Private\r\nX-Private: p\r\nx-other: o\r\nContent-Length: 0\r\n\r\n")
	r := call(t, newTestPool(t), target, "a")
	assert.Equal(t, r.Outcome, Complete)
	a := r.Response
	assert.Equal(t, a.Load, Load{3, 0, 8})
	assert.Assert(t, a.HasLoad && a.NotExecuted)
	assert.Equal(t, a.Versions+a.Reason, "7Too Full")
	assert.Equal(t, a.RetryAfter, 1500*time.Millisecond)
	assert.Equal(t, a.keepAlive, 7*time.Second)
	assert.Equal(t, a.Header.Get("X-Other")+a.Header.Get("x-private"), "o")
	for _, text := range []string{"", "1,2", "1,2,3,4", "1,2,", "-1,0,8", "a,b,c"} {
		_, ok := parseLoad(text)
		assert.Assert(t, !ok, text)
	}
	for text, want := range map[string]time.Duration{"5": 5, "timeout=4, max=9": 4, "max=9,Timeout = 3": 3, "max=9": 0, "timeout=0": 0, "x": 0, "timeout=99999999": 0} {
		assert.Equal(t, parseKeepAlive(text), want*time.Second, text)
	}
}

func TestCall_HealthCheck(t *testing.T) {
	target := startResponder(t, "HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n")
	q := &Request{Method: "GET", Target: "/health", Host: "h", AllowUnsigned: true, Priority: -1}
	r := newTestPool(t).Call(context.Background(), target, q, longWait)
	assert.Equal(t, r.Outcome, Complete, "%v", r.Err)
	assert.Equal(t, r.Response.Header.Get("X-Instance-Id"), "i-1")
}

// TestCall_PartlyWritten: a request of which the endpoint received a part may have been executed.
func TestCall_PartlyWritten(t *testing.T) {
	q := post("a", strings.Repeat("x", 16<<20))
	target := startEndpoint(t, func(_ int, l *serverConn) {
		l.r.ReadByte()
		l.reset()
	})
	r := newTestPool(t).Call(context.Background(), target, q, longWait)
	assert.Assert(t, r.Outcome == Broken && r.Written, "%v %v", r.Outcome, r.Err)
	assert.Equal(t, r.Disposition(false), Disposition{Execution: ExecutionUnknown, Reply: BadGateway, RetryIdempotent: true})

	release := make(chan bool)
	target = startEndpoint(t, func(_ int, l *serverConn) { <-release }) // reads nothing
	r = newTestPool(t).Call(context.Background(), target, q, time.Second)
	close(release)
	assert.Assert(t, r.Outcome == TimedOut && r.Written, "%v %v", r.Outcome, r.Err)
	assert.Equal(t, r.Disposition(false), Disposition{Execution: ExecutionUnknown, Reply: GatewayTimeout, RetryIdempotent: true})
}
