package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// testTimeout is how long a test waits for an expected event.
const testTimeout = 20 * time.Second

var testLimits = Limits{MaxHeader: testHeader, MaxBody: testBody, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}

// start starts a server on a new listener, which serves until the test ends.
func start(t testing.TB, s *Server) (addr string) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	if s.Limits == nil {
		s.Limits = func() Limits { return testLimits }
	}
	if s.Linger == 0 {
		s.Linger = testTimeout
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		assert.NilError(t, <-done)
	})
	return l.Addr().String()
}

type client struct {
	t testing.TB
	*net.TCPConn
	r *bufio.Reader
}

func dial(t testing.TB, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, c.(*net.TCPConn), bufio.NewReader(c)}
}

func (c *client) send(s string) {
	c.t.Helper()
	_, err := io.WriteString(c, s)
	assert.NilError(c.t, err)
}

// readResponse reads the next response and its body.
func (c *client) readResponse() (*http.Response, string) {
	c.t.Helper()
	a, err := http.ReadResponse(c.r, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(a.Body)
	assert.NilError(c.t, err)
	return a, string(body)
}

// expectClosed checks that the connection ends without a further byte, and not by a reset.
func (c *client) expectClosed() {
	c.t.Helper()
	rest, err := io.ReadAll(c.r)
	assert.NilError(c.t, err)
	assert.Equal(c.t, string(rest), "")
}

// echo responds with the request's method, target and body.
func echo(x *Exchange) {
	x.Respond(200, []http1.Field{{Name: "X-Attempt-Id", Value: x.Header.Get("X-Attempt-Id")}}, []byte(x.Method+" "+x.Target+" "+string(x.Body)))
}

const get = "GET /a HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: 7\r\n\r\n"

func TestServer_RejectsMalformed(t *testing.T) {
	var ran atomic.Int64
	addr := start(t, &Server{Handler: func(x *Exchange) { ran.Add(1); echo(x) }})
	for _, c := range rejectedRequests {
		t.Run(c.name, func(t *testing.T) {
			conn := dial(t, addr)
			conn.send(c.request)
			conn.CloseWrite()
			a, body := conn.readResponse()
			assert.Equal(t, a.StatusCode, c.status)
			assert.Equal(t, body, "")
			assert.Assert(t, a.Close)
			conn.expectClosed()
		})
	}
	assert.Equal(t, ran.Load(), int64(0))
}

func TestServer_PipelinedInOrder(t *testing.T) {
	addr := start(t, &Server{Handler: echo})
	conn := dial(t, addr)
	long := strings.Repeat("x", testBody)
	conn.send(get + "POST /b?c HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc" +
		"\r\nPOST /d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: Chunked\r\n\r\n1;ext=\"y\"\r\na\r\n0002\r\nbc\r\n0\r\nX-T: 1\r\n\r\n" +
		"POST /e HTTP/1.1\r\nHost: a\r\nContent-Length: 102400\r\n\r\n" + long +
		"POST /f HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n19000\r\n" + long + "\r\n0\r\n\r\n" + get)
	for _, want := range []string{"GET /a ", "POST /b?c abc", "POST /d abc", "POST /e " + long, "POST /f " + long, "GET /a "} {
		a, body := conn.readResponse()
		assert.Equal(t, a.StatusCode, 200)
		assert.Equal(t, body, want)
		assert.Equal(t, a.Header.Get("Keep-Alive"), "timeout=18")
	}
	conn.send(strings.Replace(get, "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1))
	a, _ := conn.readResponse()
	assert.Assert(t, a.Close)
	assert.Equal(t, a.Header.Get("X-Attempt-Id"), "7")
	conn.expectClosed()
}

// Trailers are not header fields: they must not change the attempt id, the framing or the connection handling of a request.
func TestServer_TrailersDiscarded(t *testing.T) {
	conn := dial(t, start(t, &Server{Handler: echo}))
	for range 2 {
		conn.send("POST /d HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" +
			"X-Attempt-Id: 8\r\nContent-Length: 5\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
		a, body := conn.readResponse()
		assert.Equal(t, a.Header.Get("X-Attempt-Id"), "7")
		assert.Equal(t, body, "POST /d abc")
		assert.Assert(t, !a.Close)
	}
}

func TestServer_RequestByteByByte(t *testing.T) {
	addr := start(t, &Server{Handler: echo})
	conn := dial(t, addr)
	conn.SetNoDelay(true)
	for range 2 {
		for _, b := range []byte("\r\nPOST /d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n") {
			conn.send(string(b))
		}
		_, body := conn.readResponse()
		assert.Equal(t, body, "POST /d abc")
	}
}

// A request truncated at any byte never reaches the handler, and the connection is closed without a response.
func TestServer_TruncatedRequest(t *testing.T) {
	var ran atomic.Int64
	addr := start(t, &Server{Handler: func(x *Exchange) { ran.Add(1); echo(x) }})
	for _, request := range []string{
		"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
	} {
		for n := range len(request) {
			conn := dial(t, addr)
			conn.send(request[:n])
			conn.CloseWrite()
			conn.expectClosed()
			conn.Close()
		}
	}
	assert.Equal(t, ran.Load(), int64(0))
}

// When one byte of a request is changed, the handler is called for at most the two requests that were sent, and the
// second one is either received unchanged or not at all.
func TestServer_OneByteChanged(t *testing.T) {
	const request = "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	var targets []string
	addr := start(t, &Server{Handler: func(x *Exchange) { targets = append(targets, x.Target); echo(x) }})
	for i := range request {
		for _, b := range []byte("\x00\r\n \t:;0" + "9aA/\x7f\xff") {
			targets = nil
			conn := dial(t, addr)
			changed := []byte(request)
			changed[i] = b
			conn.send(string(changed) + "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
			conn.CloseWrite()
			_, err := io.ReadAll(conn.r)
			assert.NilError(t, err)
			conn.Close()
			assert.Assert(t, len(targets) <= 2, "%q", changed)
			if len(targets) == 2 {
				assert.Equal(t, targets[1], "/last", "%q", changed)
			}
		}
	}
}

func TestServer_ExpectContinue(t *testing.T) {
	addr := start(t, &Server{Handler: echo})
	conn := dial(t, addr)
	conn.send("POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-Continue\r\nContent-Length: 3\r\n\r\n")
	line, err := conn.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = conn.r.ReadString('\n')
	assert.NilError(t, err)
	conn.send("abc")
	_, body := conn.readResponse()
	assert.Equal(t, body, "POST /b abc")
	conn.send("POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 102401\r\n\r\n")
	a, _ := conn.readResponse()
	assert.Equal(t, a.StatusCode, 413)
	conn.expectClosed()
}

// A client that writes all of an oversized body before it reads still receives the 413 response.
func TestServer_BodyTooLargeGetsResponse(t *testing.T) {
	addr := start(t, &Server{Handler: echo})
	conn := dial(t, addr)
	conn.send("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 800000\r\n\r\n")
	conn.send(strings.Repeat("x", 800000))
	a, _ := conn.readResponse()
	assert.Equal(t, a.StatusCode, 413)
	conn.expectClosed()
}

func TestServer_HTTP10(t *testing.T) {
	addr := start(t, &Server{Handler: func(x *Exchange) {
		if x.Path == "/stream" {
			assert.Check(t, !x.CanStream())
			assert.Check(t, is.Equal(x.Begin(200, nil), ErrStreamVersion))
			return
		}
		echo(x)
	}})
	for path, status := range map[string]int{"/a": 200, "/stream": 505} {
		conn := dial(t, addr)
		conn.send("GET " + path + " HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n")
		a, _ := conn.readResponse()
		assert.Equal(t, a.StatusCode, status)
		assert.Assert(t, a.Close)
		conn.expectClosed()
	}
}

func TestExchange_ResponsesWithoutBody(t *testing.T) {
	addr := start(t, &Server{Handler: func(x *Exchange) {
		switch x.Path {
		case "/204":
			x.Respond(204, []http1.Field{{Name: "Content-Length", Value: "3"}}, []byte("abc"))
		case "/304":
			x.Respond(304, nil, []byte("abc"))
		case "/length":
			x.Respond(200, []http1.Field{{Name: "Content-Length", Value: "9"}}, nil)
		case "/stream":
			x.Begin(200, nil)
			x.Write([]byte("abc"))
			x.End()
		default:
			echo(x)
		}
	}})
	conn := dial(t, addr)
	for _, c := range []struct{ method, path, length string }{{"GET", "/204", ""}, {"GET", "/304", ""}, {"HEAD", "/ab", "9"},
		{"HEAD", "/length", "9"}, {"HEAD", "/stream", ""}, {"GET", "/ab", "8"}} {
		conn.send(c.method + " " + c.path + " HTTP/1.1\r\nHost: a\r\n\r\n")
		a, err := http.ReadResponse(conn.r, &http.Request{Method: c.method})
		assert.NilError(t, err)
		body, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body) == "", c.path != "/ab" || c.method == "HEAD")
		assert.Equal(t, a.Header.Get("Content-Length"), c.length, c.path)
	}
}

func TestExchange_ResponseFields(t *testing.T) {
	addr := start(t, &Server{Handler: func(x *Exchange) {
		for _, f := range []http1.Field{{Name: "X", Value: "a\r\nY: b"}, {Name: "X\r\nY", Value: "b"}, {Name: "", Value: "b"}, {Name: "X Y", Value: "b"}} {
			assert.Check(t, is.Equal(x.Respond(200, []http1.Field{f}, nil), ErrInvalidHeader))
			assert.Check(t, is.Equal(x.Begin(200, []http1.Field{f}), ErrInvalidHeader))
		}
		assert.Check(t, is.Equal(x.Respond(100, nil, nil), ErrInvalidHeader))
		x.Respond(418, []http1.Field{{Name: "Transfer-Encoding", Value: "chunked"}, {Name: "content-length", Value: "77"}, {Name: "Connection", Value: "close"}, {Name: "X", Value: "1"}}, []byte("ab"))
		assert.Check(t, is.Equal(x.Respond(200, nil, nil), ErrAlreadyResponded))
		assert.Check(t, is.Equal(x.Begin(200, nil), ErrAlreadyResponded))
	}})
	conn := dial(t, addr)
	conn.send(get)
	all := make([]byte, 200)
	n, err := io.ReadAtLeast(conn.r, all, len("HTTP/1.1 418 I'm a teapot\r\nX: 1\r\nContent-Length: 2\r\nKeep-Alive: timeout=18\r\n\r\nab"))
	assert.NilError(t, err)
	assert.Equal(t, string(all[:n]), "HTTP/1.1 418 I'm a teapot\r\nX: 1\r\nContent-Length: 2\r\nKeep-Alive: timeout=18\r\n\r\nab")
}

func TestExchange_Stream(t *testing.T) {
	next := make(chan string)
	addr := start(t, &Server{Handler: func(x *Exchange) {
		assert.Check(t, x.Begin(200, []http1.Field{{Name: "Content-Type", Value: "text/event-stream"}}) == nil)
		for p := range next {
			assert.Check(t, x.Write([]byte(p)) == nil)
		}
		assert.Check(t, x.End() == nil)
		assert.Check(t, is.Equal(x.Write([]byte("x")), ErrAlreadyResponded))
	}})
	conn := dial(t, addr)
	conn.send(get + get)
	next <- "first"
	a, err := http.ReadResponse(conn.r, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, a.TransferEncoding, []string{"chunked"})
	for _, p := range []string{"first", "second", strings.Repeat("third", 50000), "last"} {
		if p != "first" {
			next <- p
		}
		got := make([]byte, len(p))
		_, err := io.ReadFull(a.Body, got)
		assert.NilError(t, err)
		assert.Equal(t, string(got), p)
	}
	close(next)
	rest, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
	_, body := conn.readResponse()
	assert.Equal(t, body, "")
}

// A stream that ends by Abort, by a panic or without End never looks complete to the client.
func TestExchange_UnfinishedIncomplete(t *testing.T) {
	addr := start(t, &Server{Handler: func(x *Exchange) {
		x.Begin(200, nil)
		if x.Path != "/none" {
			x.Write([]byte("abc"))
		}
		switch x.Path {
		case "/abort":
			x.Abort()
			assert.Check(t, x.End() != nil)
		case "/panic":
			panic("x")
		}
	}})
	for _, path := range []string{"/abort", "/panic", "/left"} {
		conn := dial(t, addr)
		conn.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n")
		a, err := http.ReadResponse(conn.r, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(a.Body)
		assert.Equal(t, string(body), "abc")
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
	}
	conn := dial(t, addr)
	conn.send("GET /none HTTP/1.1\r\nHost: a\r\n\r\n")
	conn.expectClosed()
}

func TestServer_NoResponseIs500(t *testing.T) {
	addr := start(t, &Server{Handler: func(*Exchange) {}})
	conn := dial(t, addr)
	conn.send(get)
	a, _ := conn.readResponse()
	assert.Equal(t, a.StatusCode, 500)
}

func TestServer_Timeouts(t *testing.T) {
	limits := testLimits
	limits.HeaderTimeout, limits.IdleTimeout = 30*time.Millisecond, 30*time.Millisecond
	addr := start(t, &Server{Handler: echo, Limits: func() Limits { return limits }})
	for _, part := range []string{"G", "GET / HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nab", chunkedHead + "3"} {
		conn := dial(t, addr)
		conn.send(part)
		a, _ := conn.readResponse()
		assert.Equal(t, a.StatusCode, 408, part)
		conn.expectClosed()
	}
	conn := dial(t, addr) // idle before the first request, and between requests
	conn.expectClosed()
	conn = dial(t, addr)
	conn.send(get)
	a, _ := conn.readResponse()
	assert.Equal(t, a.Header.Get("Keep-Alive"), "") // the time-out is below one second and is not announced
	conn.expectClosed()
}

// The time-out of a head does not run while the previous request is handled, even if a part of the head was received with that request.
func TestServer_HeaderTimeoutStartsAfterPreviousResponse(t *testing.T) {
	limits := testLimits
	limits.HeaderTimeout = 100 * time.Millisecond
	begun, release := make(chan struct{}), make(chan struct{})
	addr := start(t, &Server{Limits: func() Limits { return limits }, Handler: func(x *Exchange) {
		if x.Path == "/held" {
			close(begun)
			<-release
			until(t, "the time-out", func() bool { return time.Since(x.ArrivedAt) > limits.HeaderTimeout })
		}
		echo(x)
	}})
	conn := dial(t, addr)
	conn.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n" + get[:9])
	<-begun
	conn.send(get[9:])
	close(release)
	_, body := conn.readResponse()
	assert.Equal(t, body, "GET /held ")
	a, body := conn.readResponse()
	assert.Equal(t, a.StatusCode, 200)
	assert.Equal(t, body, "GET /a ")
}

func TestServer_LimitsReadPerRequest(t *testing.T) {
	var body atomic.Int64
	body.Store(3)
	addr := start(t, &Server{Handler: echo, Limits: func() Limits {
		l := testLimits
		l.MaxBody = int(body.Load())
		return l
	}})
	conn := dial(t, addr)
	const post = "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
	conn.send(post)
	a, _ := conn.readResponse()
	assert.Equal(t, a.StatusCode, 200)
	body.Store(2)
	conn.send(post)
	a, _ = conn.readResponse()
	assert.Equal(t, a.StatusCode, 413)
}

func TestExchange_ArrivedAt(t *testing.T) {
	var arrived time.Time
	addr := start(t, &Server{Handler: func(x *Exchange) { arrived = x.ArrivedAt; echo(x) }})
	before := time.Now()
	conn := dial(t, addr)
	conn.send(get)
	conn.readResponse()
	assert.Assert(t, arrived.After(before) && arrived.Before(time.Now()))
}

// A client that doesn't read its response has only its own connection closed.
func TestServer_SlowReader(t *testing.T) {
	failed := make(chan error, 1)
	addr := start(t, &Server{WriteTimeout: 50 * time.Millisecond, Handler: func(x *Exchange) {
		if x.Path == "/a" {
			echo(x)
			return
		}
		x.Begin(200, nil)
		piece := make([]byte, 1<<20)
		for {
			if err := x.Write(piece); err != nil {
				failed <- err
				return
			}
		}
	}})
	slow, other := dial(t, addr), dial(t, addr)
	slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	other.send(get)
	_, body := other.readResponse()
	assert.Equal(t, body, "GET /a ")
	assert.Assert(t, <-failed != nil)
}

func TestServe_AfterShutdown(t *testing.T) {
	s := &Server{Handler: echo}
	assert.NilError(t, s.Shutdown(context.Background()))
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	assert.Equal(t, s.Serve(l), ErrStopped)
}
