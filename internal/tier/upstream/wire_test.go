package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// closeMode is what a test endpoint does after the last byte of its plan.
type closeMode int

const (
	closeByReset closeMode = iota
	closeByFIN
	unresponsive // the connection stays open, and the call times out or is cancelled
	noClose      // the connection stays open and serves further requests
)

func (e closeMode) String() string { return [...]string{"reset", "close", "silence", "goes on"}[e] }

// responseFormat is one format of an endpoint's response. In its text, _ID__ stands for the request's id, which has the same length.
type responseFormat struct {
	name        string
	text        string
	complete    func(sent int, how closeMode) bool // whether what was sent is a complete response to the request
	reusable    bool                               // after the complete text, the connection may carry another request
	success     bool
	notExecuted bool // the complete response states that the request was not executed
}

const (
	ownHead     = "HTTP/1.1 200 OK\r\nX-Attempt-Id: _ID__\r\nX-Response-Signature: s._ID__\r\n"
	foreignText = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Signature: s\r\nContent-Length: 7\r\n\r\n{other}"
	lengthText  = ownHead + "Content-Length: 7\r\n\r\n{_ID__}"
)

// framed returns a complete function for formats that are complete from their last byte on, whatever follows.
func framed(text string) func(int, closeMode) bool {
	return func(sent int, _ closeMode) bool { return sent >= len(text) }
}

// completeOnClose returns a complete function for formats whose body ends with the connection: by the protocol, a close anywhere in the
// body is its end, and a truncation can't be detected.
func completeOnClose(text string) func(int, closeMode) bool {
	return func(sent int, how closeMode) bool {
		return how == closeByFIN && sent >= strings.Index(text, "\r\n\r\n")+4
	}
}

func never(int, closeMode) bool { return false }

func responseFormats() []responseFormat {
	chunked := ownHead + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n5;x=y\r\n_ID__\r\n1\r\n}\r\n0\r\n\r\n"
	unframed := ownHead + "Connection: close\r\n\r\n{_ID__}"
	events := ownHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: {_ID__}\n\n") + chunk("id: 2\ndata: {_ID__}\n\n") + "0\r\n\r\n"
	unframedEvents := ownHead + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: {_ID__}\n\n"
	rejected := "HTTP/1.1 503 Full\r\nX-Attempt-Id: _ID__\r\nX-Not-Executed: 1\r\nContent-Length: 7\r\n\r\n{_ID__}"
	unframedRejected := "HTTP/1.1 503 Full\r\nX-Attempt-Id: _ID__\r\nX-Not-Executed: 1\r\nConnection: close\r\n\r\n{_ID__}"
	failed := "HTTP/1.1 500 Oops\r\nX-Attempt-Id: _ID__\r\nX-Response-Signature: s._ID__\r\nContent-Length: 7\r\n\r\n{_ID__}"
	interim := "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: _ID__\r\n\r\n" + lengthText
	return []responseFormat{
		{name: "length", text: lengthText, complete: framed(lengthText), reusable: true, success: true},
		{name: "chunked", text: chunked, complete: framed(chunked), reusable: true, success: true},
		{name: "unframed", text: unframed, complete: completeOnClose(unframed), success: true},
		{name: "unframed, end not announced", text: strings.Replace(unframed, "Connection: close\r\n", "", 1), complete: never, success: true},
		{name: "events", text: events, complete: framed(events), reusable: true, success: true},
		{name: "unframed events", text: unframedEvents, complete: never, success: true},
		{name: "rejected", text: rejected, complete: framed(rejected), reusable: true, notExecuted: true},
		{name: "unframed rejection", text: unframedRejected, notExecuted: true,
			complete: completeOnClose(unframedRejected)},
		{name: "failed", text: failed, complete: framed(failed), reusable: true},
		{name: "interim first", text: interim, complete: framed(interim), reusable: true, success: true},
		{name: "a second response at once", text: lengthText + lengthText, complete: framed(lengthText), success: true},
		{name: "garbage behind", text: lengthText + "\x00garbage", complete: framed(lengthText), success: true},
		{name: "response to another attempt first", text: foreignText + lengthText, complete: framed(foreignText + lengthText), success: true},
		{name: "only a response to another attempt", text: foreignText, complete: never, success: true},
		{name: "without an id", text: strings.Replace(lengthText, "X-Attempt-Id: _ID__\r\n", "", 1), complete: never, success: true},
		{name: "without a signature", text: strings.Replace(lengthText, "X-Response-Signature: s._ID__\r\n", "", 1), complete: never, success: true},
	}
}

// plan is what the endpoint does with one request: it reads a number of its bytes (-1: all), writes a text and ends as how says.
type plan struct {
	read  int
	text  string
	sent  int  // bytes of the text
	early bool // the text is written before the body is read
	how   closeMode
	clean bool // the connection may carry another request afterwards
}

// recordingEndpoint is an endpoint that follows a plan for each attempt id, responds to others, and records what it receives.
type recordingEndpoint struct {
	target   Target
	timedOut chan string // ids of the requests whose plan ended without closing the connection

	mu       sync.Mutex
	plans    map[string]plan
	arrivals map[string]int // by attempt id: requests of which a byte was received
	faults   []string
	conns    []*net.TCPConn
}

func newRecordingEndpoint(t *testing.T) *recordingEndpoint {
	t.Helper()
	s := &recordingEndpoint{timedOut: make(chan string, 1), plans: map[string]plan{}, arrivals: map[string]int{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.target = Target{Address: listener.Addr().String(), Instance: "i-1"}
	var all sync.WaitGroup
	all.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c.(*net.TCPConn))
			s.mu.Unlock()
			all.Go(func() { s.serve(c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.mu.Lock()
		for _, c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		all.Wait()
	})
	return s
}

func (s *recordingEndpoint) fault(format string, args ...any) {
	s.mu.Lock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
	s.mu.Unlock()
}

// serve reads requests. The id is the first segment of the path, so that a partly received request can be identified, too.
func (s *recordingEndpoint) serve(c *net.TCPConn) {
	defer c.Close()
	r := bufio.NewReader(c)
	uncleanAfter := "" // id of the request after which nothing more may arrive on this connection
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		if uncleanAfter != "" {
			s.fault("a request on the connection that %s left unclean", uncleanAfter)
			return
		}
		id, seen, ok := s.readRequestHead(r)
		if id == "" {
			s.fault("bytes that are not a request: %q", seen)
			return
		}
		s.mu.Lock()
		s.arrivals[id]++
		p, planned := s.plans[id]
		s.mu.Unlock()
		if !ok { // the client closed the connection within the request
			return
		}
		if !planned {
			p = plan{read: -1, text: lengthText, sent: len(lengthText), how: noClose, clean: true}
		}
		response := strings.ReplaceAll(p.text, "_ID__", id)[:p.sent]
		if p.early {
			io.WriteString(c, response)
		}
		if p.read < 0 && !s.readBody(r, id, seen) {
			return
		}
		if !p.early {
			io.WriteString(c, response)
		}
		switch p.how {
		case closeByReset:
			c.SetLinger(0)
			return
		case closeByFIN:
			return
		case unresponsive:
			s.timedOut <- id
			if p.read >= 0 { // the rest of this request may arrive, and nothing else
				if rest, _ := io.ReadAll(r); strings.Contains(string(rest), "PUT /") {
					s.fault("a request on the connection where the rest of %s is expected", id)
				}
				return
			}
		case noClose:
		}
		if !p.clean {
			uncleanAfter = id
		}
	}
}

// readRequestHead reads as many bytes as the request's plan says, or up to the end of the head.
func (s *recordingEndpoint) readRequestHead(r *bufio.Reader) (id, seen string, ok bool) {
	var head strings.Builder
	for {
		b, err := r.ReadByte()
		if err != nil {
			return id, head.String(), false
		}
		head.WriteByte(b)
		seen = head.String()
		if id == "" && strings.HasSuffix(seen, "/") { // PUT /ID/
			if _, id, _ = strings.Cut(strings.TrimSuffix(seen, "/"), "/"); id == "" {
				continue
			}
		}
		if id != "" {
			s.mu.Lock()
			p, planned := s.plans[id]
			s.mu.Unlock()
			if planned && p.read >= 0 && len(seen) >= p.read {
				return id, seen, true
			}
		}
		if strings.HasSuffix(seen, "\r\n\r\n") {
			return id, seen, true
		}
		if len(seen) > 4096 || strings.Contains(seen, "\x00") {
			return "", seen, false
		}
	}
}

// readBody reads the body, which must consist of the first byte of the id only.
func (s *recordingEndpoint) readBody(r *bufio.Reader, id, head string) bool {
	_, length, _ := strings.Cut(head, "Content-Length: ")
	n := 0
	fmt.Sscanf(length, "%d", &n)
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return false
	}
	if strings.Trim(string(body), id[:1]) != "" {
		s.fault("%s: the body has bytes of another request", id)
	}
	return true
}

// causeContext is a context whose error is cause once the embedded context is cancelled, so that a test can trigger a deadline.
type causeContext struct {
	context.Context
	cause error
}

func (c *causeContext) Err() error {
	if c.Context.Err() != nil {
		return c.cause
	}
	return nil
}

// observed is what a client would receive of a call.
type observed struct {
	reply    ClientReply
	body     string
	complete bool
}

// wireClient sends requests as the gateway does: it retries only if Classify allows it.
type wireClient struct {
	t        *testing.T
	pool     *Pool
	endpoint *recordingEndpoint
	retry    func(r *Result) bool // whether a request that is not idempotent is retried
	call     func(context.Context, Target, *Request) *Result
}

// bodyPart is a part of a long body.
var bodyPart = bytes.Repeat([]byte("v"), 64<<10)

// wireRequest returns a request whose body repeats the first byte of its id; a long body consists of parts.
func wireRequest(id string, size int) *Request {
	q := &Request{Method: "PUT", Target: "/" + id + "/x", Host: "h", AttemptID: id, Priority: -1}
	for ; id[0] == bodyPart[0] && size >= len(bodyPart); size -= len(bodyPart) {
		q.Body = append(q.Body, bodyPart)
	}
	q.Body = append(q.Body, bytes.Repeat([]byte(id[:1]), size))
	return q
}

func (w *wireClient) send(id string, size int, cause error) (observed, *Result) {
	for tries := 1; ; tries++ {
		got, r := w.sendOnce(id, size, cause)
		if !w.retry(r) || got.body != "" || tries == 3 {
			return got, r
		}
	}
}

func (w *wireClient) sendOnce(id string, size int, cause error) (observed, *Result) {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	if cause != nil {
		go func() {
			select {
			case <-w.endpoint.timedOut:
				cancel()
			case <-done:
			}
		}()
	}
	r := w.call(&causeContext{inner, cause}, w.endpoint.target, wireRequest(id, size))
	got := observed{body: string(r.Body), complete: r.Outcome == Complete}
	if r.Stream != nil {
		pieces, err := collectEvents(r.Stream)
		got.body, got.complete = strings.Join(pieces, ""), errors.Is(err, io.EOF)
	}
	got.reply = r.Disposition(r.Stream != nil && got.body != "").Reply
	if got.reply != ForwardResponse {
		got.complete = false
		if r.Stream == nil {
			got.body = ""
		}
	}
	return got, r
}

// check returns what is wrong with what the client of one request received, or "".
func (got observed) check(id string, f *responseFormat, sent int, how closeMode, arrivals int) string {
	own := "{" + id + "}"
	if strings.Contains(f.text, "id: 1") {
		own = "id: 1\ndata: " + own + "\n\nid: 2\ndata: " + own + "\n\n"
	}
	switch {
	case !strings.HasPrefix(own, got.body):
		return fmt.Sprintf("bytes that are not of its own response: %q", got.body)
	case got.complete && !f.complete(sent, how):
		return "an incomplete response looks complete"
	case got.reply == ServiceUnavailable && !(f.notExecuted && f.complete(sent, how)) && arrivals > 0:
		return "a 503 promises that the request was not executed"
	case arrivals > 1 && !(f.notExecuted && f.complete(sent, how)):
		return fmt.Sprintf("reached endpoints %d times", arrivals)
	case got.reply == ForwardResponse && !got.complete:
		return "forwarded although incomplete"
	}
	return ""
}

// attempt makes one request to its end and then a next one, and returns what is wrong, or "".
func (w *wireClient) attempt(name string, reused bool, f *responseFormat, p plan, sent, size int, cause error) string {
	victim, next := "v"+name, "n"+name
	w.endpoint.mu.Lock()
	w.endpoint.plans = map[string]plan{victim: p}
	w.endpoint.faults = nil
	w.endpoint.mu.Unlock()
	if reused {
		if got, _ := w.send("w"+name, 4, nil); got.body != "{w"+name+"}" {
			return "the previous request was not served"
		}
	} else {
		w.pool.Forget(w.endpoint.target.Address, w.endpoint.target.Instance)
	}
	got, _ := w.send(victim, size, cause)
	after, r := w.send(next, 4, nil)
	// The endpoint may have closed a connection just as the next request was sent. The client can't tell whether that request was
	// executed and doesn't retry it. Further requests use up such connections.
	for n := 0; r.Written && !r.NewConnection && r.Outcome == Broken && n < 10; n++ {
		next = fmt.Sprintf("%c%s", 'a'+n, name)
		after, r = w.send(next, 4, nil)
	}
	w.endpoint.mu.Lock()
	defer w.endpoint.mu.Unlock()
	if len(w.endpoint.faults) > 0 {
		return w.endpoint.faults[0]
	}
	if after.body != "{"+next+"}" {
		return fmt.Sprintf("the next request got %+v", after)
	}
	return got.check(victim, f, sent, p.how, w.endpoint.arrivals[victim])
}

func newWireClient(t *testing.T) *wireClient {
	t.Helper()
	p := newTestPool(t)
	return &wireClient{t: t, pool: p, endpoint: newRecordingEndpoint(t), retry: func(r *Result) bool { return r.Disposition(false).MayRetry(false) },
		call: func(ctx context.Context, target Target, q *Request) *Result { return p.Call(ctx, target, q, longWait) }}
}

func unresponsiveCauses(how closeMode) []error {
	if how == unresponsive {
		return []error{context.Canceled, context.DeadlineExceeded}
	}
	return []error{nil}
}

// TestWire_ResponsesTruncatedAtEachByte: each format of response ends by a reset, a close or without closing at each of its bytes, on a
// new and on a reused connection, and a next request follows.
func TestWire_ResponsesTruncatedAtEachByte(t *testing.T) {
	for _, f := range responseFormats() {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			w := newWireClient(t)
			n := 0
			for _, how := range []closeMode{closeByReset, closeByFIN, unresponsive} {
				for sent := 0; sent <= len(f.text); sent++ {
					if how == unresponsive && f.complete(sent, how) {
						continue // the call doesn't wait for more
					}
					for _, cause := range unresponsiveCauses(how) {
						for _, reused := range []bool{false, true} {
							n++
							p := plan{read: -1, text: f.text, sent: sent, how: how}
							if wrong := w.attempt(fmt.Sprintf("%04d", n), reused, &f, p, sent, 4, cause); wrong != "" {
								t.Fatalf("%v at byte %d of %d, reused %v, %v: %s", how, sent, len(f.text), reused, cause, wrong)
							}
						}
					}
				}
			}
		})
	}
}

// TestWire_CompleteResponses: each format is complete and its connection stays open. A connection carries the next request only if it is
// clean.
func TestWire_CompleteResponses(t *testing.T) {
	for _, f := range responseFormats() {
		if f.complete(len(f.text), noClose) {
			w := newWireClient(t)
			for n := range 8 {
				p := plan{read: -1, text: f.text, sent: len(f.text), how: noClose, clean: f.reusable}
				wrong := w.attempt(fmt.Sprintf("%04d", n), n%2 == 1, &f, p, len(f.text), 4, nil)
				assert.Equal(t, wrong, "", f.name)
			}
			if f.reusable && !f.notExecuted {
				assert.Assert(t, w.pool.Counts().Reused > 8, "%s: %+v", f.name, w.pool.Counts())
			}
		}
	}
}

// TestWire_RequestsTruncatedAtEachByte: the endpoint ends the connection after each byte of a request, without a response.
func TestWire_RequestsTruncatedAtEachByte(t *testing.T) {
	form := responseFormat{name: "nothing", complete: never}
	w := newWireClient(t)
	size := len(wireRequest("v0000", 4).appendHead(nil, w.endpoint.target, 4, time.Now()))
	n := 0
	for _, how := range []closeMode{closeByReset, closeByFIN, unresponsive} {
		for read := len("PUT /v0000/"); read <= size; read++ {
			for _, cause := range unresponsiveCauses(how) {
				for _, reused := range []bool{false, true} {
					n++
					if wrong := w.attempt(fmt.Sprintf("%04d", n), reused, &form, plan{read: read, how: how}, 0, 4, cause); wrong != "" {
						t.Fatalf("%v after byte %d of %d, reused %v: %s", how, read, size, reused, wrong)
					}
				}
			}
		}
	}
}

// TestWire_EarlyResponsesTruncatedAtEachByte: the endpoint responds when it has read only the head of a long request, then resets or
// closes the connection before the rest of the body was sent.
func TestWire_EarlyResponsesTruncatedAtEachByte(t *testing.T) {
	const large = 6 << 20 // more than socket buffers take
	for _, f := range responseFormats() {
		if f.name == "rejected" || f.name == "unframed rejection" || f.name == "failed" || f.name == "length" || f.name == "unframed" {
			w := newWireClient(t)
			n := 0
			for _, how := range []closeMode{closeByReset, closeByFIN} {
				for sent := 0; sent <= len(f.text); sent += 1 + sent%3 {
					n++
					p := plan{read: len("PUT /v0000/") + 40, text: f.text, sent: sent, how: how}
					if wrong := w.attempt(fmt.Sprintf("%04d", n), n%2 == 1, &f, p, sent, large, nil); wrong != "" {
						t.Fatalf("%s: %v at byte %d of %d: %s", f.name, how, sent, len(f.text), wrong)
					}
				}
			}
		}
	}
}
