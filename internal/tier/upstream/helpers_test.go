package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/calls"
)

// serverConn is one connection of a test endpoint.
type serverConn struct {
	*net.TCPConn
	t *testing.T
	r *bufio.Reader
}

// readRequest reads one complete request. It returns nil if the connection ended.
func (l *serverConn) readRequest() (*http.Request, string) {
	q, err := http.ReadRequest(l.r)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, ""
	}
	return q, string(body)
}

func (l *serverConn) writeText(text string) { io.WriteString(l, text) }

func (l *serverConn) reset() {
	l.SetLinger(0)
	l.Close()
}

// drain reads and discards bytes until the client has closed the connection.
func (l *serverConn) drain() { io.Copy(io.Discard, l.r) }

// respondWith returns a script that responds to a request with a text, and then closes the connection or waits for the client to close it.
func respondWith(text string, closes bool) func(n int, l *serverConn) {
	return func(_ int, l *serverConn) {
		l.readRequest()
		l.writeText(text)
		if !closes {
			l.drain()
		}
	}
}

// startEndpoint starts an endpoint that runs the script on each connection; n counts these from 0.
func startEndpoint(t *testing.T, script func(n int, l *serverConn)) Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				script(n, &serverConn{TCPConn: c.(*net.TCPConn), t: t, r: bufio.NewReader(c)})
			}()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return Target{Address: listener.Addr().String(), Instance: "i-1"}
}

// startResponder starts an endpoint that gives every request the same response until the client closes the connection.
func startResponder(t *testing.T, text string) Target {
	t.Helper()
	return startEndpoint(t, func(_ int, l *serverConn) {
		for q, _ := l.readRequest(); q != nil; q, _ = l.readRequest() {
			l.writeText(text)
		}
	})
}

func newTestPool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(Config{})
	t.Cleanup(func() {
		p.Close()
		counts := p.Counts()
		assert.Equal(t, counts.Open, 0)
		assert.Equal(t, counts.Idle, 0)
	})
	return p
}

const longWait = 20 * time.Second // a time-out that no test reaches

func post(id, body string) *Request {
	return &Request{Method: "POST", Target: "/a/b?c=%20d", Host: "h.example", AttemptID: id, Priority: -1, Body: [][]byte{[]byte(body)}}
}

func call(t *testing.T, p *Pool, target Target, id string) *Result {
	t.Helper()
	return p.Call(context.Background(), target, post(id, "body"), longWait)
}

// validResponse returns a complete response to the attempt id.
func validResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// collectEvents reads a stream to its end.
func collectEvents(s *Stream) (raw []string, err error) {
	for {
		p, err := s.Next()
		if err != nil {
			return raw, err
		}
		raw = append(raw, string(p.Raw))
	}
}

// waitUntilStale waits until bytes or a close were received on the idle connection to a target.
func waitUntilStale(p *Pool, target Target) {
	p.mu.Lock()
	c := p.hosts[hostKey{target.Address, target.Instance}].idle[0]
	p.mu.Unlock()
	for calls.IdleConnUsable(c.TCPConn) {
		runtime.Gosched()
	}
}
