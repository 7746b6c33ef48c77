// Package ingress is a small, strict HTTP/1.1 server for clients: one goroutine a connection, one write a small answer, no
// buffers held by connections that wait, and every end of a connection known: one is closed between requests only while no
// byte of a request has come, and an answer that was cut short never looks complete.
package ingress

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
)

// Limits bound what a client may send, and how long it may take. What is not positive stands at a wide default.
type Limits struct {
	MaxHeader     int           // bytes of a request line with its fields
	MaxBody       int           // bytes of a body
	HeaderTimeout time.Duration // for a head from its first byte, and for each further 4 KB of a body
	IdleTimeout   time.Duration // between requests
}

// withDefaults puts defaults for what is not positive.
func (l Limits) withDefaults() Limits {
	if l.MaxHeader <= 0 {
		l.MaxHeader = 64 << 10
	}
	if l.MaxBody <= 0 {
		l.MaxBody = 8 << 20
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = 10 * time.Second
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = time.Minute
	}
	return l
}

// Server serves the connections of listeners. Its fields are set before Serve.
type Server struct {
	Handler      func(*Exchange)
	Limits       func() Limits // asked for each request; nil: defaults
	MaxConns     int           // descriptors that connections may take; 0: no bound
	WriteTimeout time.Duration // for each 64 KB that a client takes; 0: the idle time-out
	Linger       time.Duration // how long a client that is being left may still send or read; 0: half a second
	RetryAfter   time.Duration // sent with the 503 that is answered for want of descriptors; 0: a quarter of a second
	Log          *log.Logger   // may be nil

	draining atomic.Bool
	stopping atomic.Bool

	mu          sync.Mutex // taken before a connection's
	listeners   []net.Listener
	acceptUntil time.Time // no listener's queue is emptied after it
	conns       map[*conn]struct{}
	idle        idleList
	ended       chan struct{} // closed when stopping and nothing is left; nil if nobody waits
}

// ErrStopped is what Serve returns when Shutdown or Close has been called before it.
var ErrStopped = errors.New("ingress: server is stopped")

// queueEmptyTime is how long a listener's queue has to stay empty in a shutdown.
const queueEmptyTime = 20 * time.Millisecond

// limits are those in force now.
func (server *Server) limits() Limits {
	if server.Limits == nil {
		return Limits{}.withDefaults()
	}
	return server.Limits().withDefaults()
}

// linger is how long a client that is being left may still send or read.
func (server *Server) linger() time.Duration {
	if server.Linger > 0 {
		return server.Linger
	}
	return 500 * time.Millisecond
}

// Listen opens a TCP listener whose connections have no keep-alive probes: their time-outs here tell more, and setting
// the probes costs several calls to the system for each connection.
func Listen(addr string) (net.Listener, error) {
	c := net.ListenConfig{KeepAlive: -1}
	return c.Listen(context.Background(), "tcp", addr)
}

// Serve accepts and serves connections until Shutdown or Close, and then returns nil. The listener is closed when it returns.
func (server *Server) Serve(l net.Listener) error {
	defer l.Close()
	server.mu.Lock()
	if server.stopping.Load() {
		server.mu.Unlock()
		return ErrStopped
	}
	server.listeners = append(server.listeners, l)
	server.mu.Unlock()
	defer server.removeListener(l)
	empty := 0 // how often in a row the queue was found empty at the end: a process held up may miss the first time's deadline
	for {
		nc, err := l.Accept()
		if err != nil {
			if server.stopping.Load() {
				if empty++; empty < 2 && errors.Is(err, os.ErrDeadlineExceeded) {
					server.acceptQueued(l)
					continue
				}
				return nil
			}
			if !outOfResources(err) {
				return err
			}
			if server.Log != nil {
				server.Log.Warn().Err(err).Msg("ingress accept")
			}
			if !server.closeLongestIdle() {
				time.Sleep(50 * time.Millisecond)
			}
			continue
		}
		if empty = 0; server.stopping.Load() {
			server.acceptQueued(l)
		}
		server.startConn(nc)
	}
}

// removeListener says that a listener is served no longer.
func (server *Server) removeListener(l net.Listener) {
	l.Close()
	server.mu.Lock()
	defer server.mu.Unlock()
	for i, other := range server.listeners {
		if other == l {
			server.listeners = append(server.listeners[:i], server.listeners[i+1:]...)
			break
		}
	}
	server.notifyEnded()
}

// notifyEnded notifies a shutdown that nothing is left. The caller holds the lock.
func (server *Server) notifyEnded() {
	if server.ended != nil && len(server.listeners) == 0 && len(server.conns) == 0 {
		close(server.ended)
		server.ended = nil
	}
}

// outOfResources reports whether an accept failed for want of descriptors or memory.
func outOfResources(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// startConn starts a connection. Where descriptors run out, the connection idle for longest gives way; where none is idle, the
// new one is answered 503 out of a small reserve, and beyond that closed unread.
func (server *Server) startConn(nc net.Conn) {
	c, err := newConn(server, nc)
	if err != nil {
		nc.Close()
		return
	}
	if server.MaxConns > 0 {
		usual := max(1, server.MaxConns-server.MaxConns/16-1)
		for server.connCount() >= usual {
			if server.closeLongestIdle() {
				continue
			}
			c.overCapacity = true
			break
		}
		if server.connCount() >= server.MaxConns {
			nc.Close()
			return
		}
	}
	server.mu.Lock()
	if server.conns == nil {
		server.conns = map[*conn]struct{}{}
	}
	server.conns[c] = struct{}{}
	server.mu.Unlock()
	go c.serve()
}

// connCount is how many connections are open.
func (server *Server) connCount() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.conns)
}

// Conns is how many connections are open, and how many of them wait for a request.
func (server *Server) Conns() (open, idle int) {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.conns), server.idle.n
}

// removeConn forgets a connection that has ended.
func (server *Server) removeConn(c *conn) {
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.conns, c)
	server.idle.remove(c)
	server.notifyEnded()
}

// closeLongestIdle closes the connection idle for longest, and reports whether there was one.
func (server *Server) closeLongestIdle() bool {
	for {
		server.mu.Lock()
		c := server.idle.first
		if c == nil {
			server.mu.Unlock()
			return false
		}
		server.idle.remove(c)
		if !c.closeIfIdle() { // its next request has just come
			server.mu.Unlock()
			continue
		}
		delete(server.conns, c)
		server.mu.Unlock()
		c.socket.Close()
		return true
	}
}

// closeIdle closes the connections that wait for a request; one that has not carried any yet gets the linger for its first.
func (server *Server) closeIdle(fresh time.Duration) {
	server.mu.Lock()
	var closing []*conn
	by := time.Now().Add(fresh)
	for c := server.idle.first; c != nil; c = c.next {
		if fresh > 0 && c.shortenIdle(by, false) {
			continue
		}
		if c.closeIfIdle() {
			closing = append(closing, c)
		}
	}
	server.mu.Unlock()
	for _, c := range closing {
		c.socket.Close()
	}
}

// Drain has every answer from now on carry Connection: close; connections that wait for a request are closed after the linger.
func (server *Server) Drain() {
	if server.draining.Swap(true) {
		return
	}
	time.AfterFunc(server.linger(), func() { server.closeIdle(0) })
}

// Shutdown accepts and serves what the listeners have in their queues, closes them and the connections that wait for a
// request, has the requests under way finished, and returns when all has ended or ctx is over, which it then says.
func (server *Server) Shutdown(ctx context.Context) error {
	server.draining.Store(true)
	ended := make(chan struct{})
	server.mu.Lock()
	if server.ended != nil {
		server.mu.Unlock()
		return ErrStopped
	}
	server.acceptUntil = time.Now().Add(server.linger())
	server.stopping.Store(true)
	server.ended = ended
	listeners := append([]net.Listener(nil), server.listeners...)
	server.notifyEnded()
	server.mu.Unlock()
	for _, l := range listeners {
		server.acceptQueued(l)
	}
	server.closeIdle(server.linger())
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		server.mu.Lock()
		if server.ended == ended {
			server.ended = nil
		}
		server.mu.Unlock()
		return ctx.Err()
	}
}

// acceptQueued has a listener accept what has queued, and end.
func (server *Server) acceptQueued(l net.Listener) {
	server.mu.Lock()
	by := time.Now().Add(queueEmptyTime)
	if by.After(server.acceptUntil) {
		by = server.acceptUntil
	}
	server.mu.Unlock()
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(by) != nil {
		l.Close()
	}
}

// Close ends all connections as they stand.
func (server *Server) Close() {
	server.draining.Store(true)
	server.mu.Lock()
	server.stopping.Store(true)
	listeners := append([]net.Listener(nil), server.listeners...)
	var conns []*conn
	for c := range server.conns {
		conns = append(conns, c)
	}
	server.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, c := range conns {
		c.socket.Close()
	}
}
