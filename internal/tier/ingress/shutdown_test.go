package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// until waits until ok returns true, and fails the test if it doesn't within testTimeout.
func until(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); runtime.Gosched() {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

func TestShutdown_ClosesIdleFinishesActive(t *testing.T) {
	begun, finish := make(chan bool), make(chan bool)
	s := &Server{Linger: 50 * time.Millisecond, Handler: func(x *Exchange) {
		if x.Path == "/held" {
			begun <- true
			<-finish
		}
		echo(x)
	}}
	addr := start(t, s)
	idle, fresh, blocked, pipelined := dial(t, addr), dial(t, addr), dial(t, addr), dial(t, addr)
	idle.send(get)
	idle.readResponse()
	blocked.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n")
	<-begun
	pipelined.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n" + get) // the second request is read together with the first
	<-begun
	until(t, "idle connections", func() bool { _, n := s.Conns(); return n == 2 })
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	idle.expectClosed()
	fresh.expectClosed()
	finish <- true
	finish <- true
	a, body := blocked.readResponse()
	assert.Equal(t, body, "GET /held ")
	assert.Assert(t, a.Close)
	blocked.expectClosed()
	_, body = pipelined.readResponse()
	assert.Equal(t, body, "GET /held ")
	a, body = pipelined.readResponse()
	assert.Equal(t, body, "GET /a ")
	assert.Assert(t, a.Close)
	pipelined.expectClosed()
	assert.NilError(t, <-done)
	n, _ := s.Conns()
	assert.Equal(t, n, 0)
}

// gatedListener is a listener whose Accept waits until open is closed.
type gatedListener struct {
	*net.TCPListener
	open chan struct{}
}

func (g gatedListener) Accept() (net.Conn, error) {
	<-g.open
	return g.TCPListener.Accept()
}

// Connections in the accept queue when the shutdown begins are accepted and served, even by a process that stalls before Accept.
func TestShutdown_ServesAcceptQueue(t *testing.T) {
	s := &Server{Handler: echo, Linger: testTimeout}
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	var conns []*client
	for range 20 {
		c := dial(t, l.Addr().String())
		c.send(get)
		conns = append(conns, c)
	}
	g := gatedListener{l.(*net.TCPListener), make(chan struct{})}
	served, done := make(chan error, 1), make(chan error, 1)
	go func() { served <- s.Serve(g) }()
	until(t, "listener", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.listeners) == 1 })
	go func() { done <- s.Shutdown(context.Background()) }()
	until(t, "shutdown", func() bool { return s.stopping.Load() })
	close(g.open)
	for _, c := range conns {
		a, body := c.readResponse()
		assert.Equal(t, body, "GET /a ")
		assert.Assert(t, a.Close)
		c.Close()
	}
	assert.NilError(t, <-done)
	assert.NilError(t, <-served)
}

// onlyConn returns the only connection of a server.
func onlyConn(t testing.TB, s *Server) *conn {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.conns), 1)
	for c := range s.conns {
		return c
	}
	return nil
}

// A request pipelined after one whose response has Connection: close stays unread. Closing with unread bytes resets the
// connection; the client must still receive the complete response.
func TestConn_UnreadRequestAfterLastResponse(t *testing.T) {
	begun, finish := make(chan bool), make(chan bool)
	s := &Server{Handler: func(x *Exchange) { begun <- true; <-finish; echo(x) }}
	conn := dial(t, start(t, s))
	conn.send(get)
	<-begun
	conn.send(get)
	until(t, "request", func() bool { return peek(onlyConn(t, s).raw) == dataPending })
	s.Drain()
	finish <- true
	a, body := conn.readResponse()
	assert.Equal(t, body, "GET /a ")
	assert.Assert(t, a.Close)
	conn.expectClosed()
}

// An idle connection is not closed once a byte of its next request was received, even if that byte is still unread.
func TestConn_NotClosedOnceRequestArrived(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	peer := dial(t, l.Addr().String())
	nc, err := l.Accept()
	assert.NilError(t, err)
	defer nc.Close()
	c, err := newConn(&Server{}, nc)
	assert.NilError(t, err)
	c.state = idle
	peer.send("G")
	until(t, "byte", func() bool { return peek(c.raw) == dataPending })
	assert.Assert(t, !c.closeIfIdle())
	assert.NilError(t, c.raw.Read(c.readFirstBytes))
	assert.Assert(t, c.state == active && c.buffered == 1)
	assert.Assert(t, !c.closeIfIdle())
	c.state = idle
	assert.Assert(t, c.closeIfIdle())
	peer.send("G")
	until(t, "byte", func() bool { return peek(c.raw) == dataPending })
	c.releaseBuffer()
	assert.NilError(t, c.raw.Read(c.readFirstBytes)) // closed first: bytes received afterwards stay unread
	assert.Assert(t, c.state == closed && c.buffered == 0 && peek(c.raw) == dataPending)
}

func TestShutdown_ContextDone(t *testing.T) {
	begun, finish := make(chan bool), make(chan bool)
	s := &Server{Handler: func(x *Exchange) { begun <- true; <-finish; echo(x) }}
	addr := start(t, s)
	conn := dial(t, addr)
	conn.send(get)
	<-begun
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, s.Shutdown(ctx), context.Canceled)
	finish <- true
	conn.readResponse()
	conn.expectClosed()
}

func TestDrain(t *testing.T) {
	s := &Server{Handler: echo, Linger: 30 * time.Millisecond}
	addr := start(t, s)
	idle := dial(t, addr)
	idle.send(get)
	a, _ := idle.readResponse()
	assert.Assert(t, !a.Close)
	s.Drain()
	idle.expectClosed()
	late := dial(t, addr)
	late.send(get)
	a, _ = late.readResponse()
	assert.Assert(t, a.Close)
	late.expectClosed()
}

// A shutdown closes a connection between requests only while no byte of a request was received: the server has read no
// request of a client that gets no response, and each request that was read is answered.
func TestShutdown_ConcurrentRequests(t *testing.T) {
	for range 30 {
		read := make(chan bool, 16)
		s := &Server{Linger: 50 * time.Millisecond, Handler: func(x *Exchange) { read <- true; echo(x) }}
		addr := start(t, s)
		conns := make([]*client, 8)
		for i := range conns {
			conns[i] = dial(t, addr)
			conns[i].send(get)
			conns[i].readResponse()
			<-read
		}
		done := make(chan error, 1)
		go func() { done <- s.Shutdown(context.Background()) }()
		answered := 0
		for _, c := range conns {
			stopping := s.stopping.Load()
			io.WriteString(c, get)
			if a, err := http.ReadResponse(c.r, nil); err == nil {
				assert.Assert(t, a.Close || !stopping)
				_, err = io.ReadAll(a.Body)
				assert.NilError(t, err)
				answered++
			}
		}
		assert.NilError(t, <-done)
		assert.Equal(t, len(read), answered)
	}
}

func TestExchange_ClientGone(t *testing.T) {
	check, result, notified := make(chan bool), make(chan bool), make(chan bool, 1)
	addr := start(t, &Server{Handler: func(x *Exchange) {
		if x.Path == "/a" {
			echo(x)
			return
		}
		if x.Path == "/watch" {
			x.OnClientGone(0, func() { notified <- true })
		}
		for <-check {
			result <- x.ClientGone()
		}
		echo(x)
	}})
	conn := dial(t, addr)
	conn.send("GET /check HTTP/1.1\r\nHost: a\r\n\r\n")
	check <- true
	assert.Assert(t, !<-result)
	conn.send(get) // unread bytes of a next request hide the close
	conn.CloseWrite()
	check <- true
	assert.Assert(t, !<-result)
	check <- false
	conn.readResponse()
	conn.readResponse()
	for _, reset := range []bool{false, true} {
		conn = dial(t, addr)
		conn.send("GET /watch HTTP/1.1\r\nHost: a\r\n\r\n")
		check <- true
		assert.Assert(t, !<-result)
		if reset {
			conn.SetLinger(0)
		}
		conn.Close()
		<-notified
		check <- true
		assert.Assert(t, <-result)
		check <- false
	}
}

// A watch consumes no bytes of the requests that follow, and does not report a close after its exchange.
func TestExchange_OnClientGoneKeepsConnectionUsable(t *testing.T) {
	for _, after := range []time.Duration{0, time.Hour} {
		begun, finish := make(chan bool), make(chan bool)
		addr := start(t, &Server{Handler: func(x *Exchange) {
			x.OnClientGone(after, func() { t.Error("gone") })
			begun <- true
			<-finish
			echo(x)
		}})
		conn := dial(t, addr)
		for range 50 {
			conn.send(get)
			<-begun
			finish <- true
			_, body := conn.readResponse()
			assert.Equal(t, body, "GET /a ")
			conn.send(get)
			<-begun
			conn.send("POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n") // pipelined while the watch runs
			finish <- true
			conn.readResponse()
			conn.send("abc")
			<-begun
			finish <- true
			_, body = conn.readResponse()
			assert.Equal(t, body, "POST /b abc")
		}
		conn.send("GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
		<-begun
		finish <- true
		conn.readResponse()
		conn.expectClosed() // the server closes first: the watch would report a close by the client before the last handler returns
	}
}

func TestServer_FullClosesLongestIdle(t *testing.T) {
	s := &Server{Handler: echo, MaxConns: 4} // the reserve for 503 responses leaves three
	addr := start(t, s)
	conns := make([]*client, 4)
	for i := range conns {
		conns[i] = dial(t, addr)
		conns[i].send(get)
		_, body := conns[i].readResponse()
		assert.Equal(t, body, "GET /a ")
		if i < 3 {
			until(t, "idle", func() bool { _, n := s.Conns(); return n == i+1 })
		}
	}
	conns[0].expectClosed()
	for _, c := range conns[1:] {
		c.send(get)
		c.readResponse()
	}
}

func TestServer_FullRejects(t *testing.T) {
	begun, finish := make(chan bool), make(chan bool)
	s := &Server{MaxConns: 3, RetryAfter: 300 * time.Millisecond, Handler: func(x *Exchange) { begun <- true; <-finish; echo(x) }}
	addr := start(t, s)
	conns := make([]*client, 2)
	for i := range conns {
		conns[i] = dial(t, addr)
		conns[i].send(get)
		<-begun
	}
	more := dial(t, addr)
	until(t, "connection", func() bool { n, _ := s.Conns(); return n == 3 })
	more.send(get)
	a, _ := more.readResponse()
	assert.Equal(t, a.StatusCode, 503)
	assert.Equal(t, a.Header.Get("Retry-After"), "0.3")
	assert.Assert(t, a.Close)
	more.expectClosed()
	for _, c := range conns {
		finish <- true
		_, body := c.readResponse()
		assert.Equal(t, body, "GET /a ")
	}
}

// Connections that wait for a request hold no buffers.
func TestConn_IdleMemory(t *testing.T) {
	s := &Server{Handler: echo}
	addr := start(t, s)
	for range 20 {
		c := dial(t, addr)
		c.send(get)
		c.readResponse()
	}
	until(t, "idle", func() bool { _, n := s.Conns(); return n == 20 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		assert.Assert(t, c.state == idle && c.buffer == nil)
		c.mu.Unlock()
	}
}
