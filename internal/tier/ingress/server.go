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

	mu        sync.Mutex // taken before a connection's
	listeners []net.Listener
	stopBy    time.Time // no listener's queue is emptied after it
	conns     map[*conn]struct{}
	idle      idleList
	ended     chan struct{} // closed when stopping and nothing is left; nil if nobody waits
}

// ErrStopped is what Serve returns when Shutdown or Close has been called before it.
var ErrStopped = errors.New("ingress: server is stopped")

// emptied is how long a listener's queue has to stay empty in a shutdown.
const emptied = 20 * time.Millisecond

func (s *Server) limits() Limits {
	if s.Limits == nil {
		return Limits{}.withDefaults()
	}
	return s.Limits().withDefaults()
}

func (s *Server) linger() time.Duration {
	if s.Linger > 0 {
		return s.Linger
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
func (s *Server) Serve(l net.Listener) error {
	defer l.Close()
	s.mu.Lock()
	if s.stopping.Load() {
		s.mu.Unlock()
		return ErrStopped
	}
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	defer s.left(l)
	empty := 0 // how often in a row the queue was found empty at the end: a process held up may miss the first time's deadline
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.stopping.Load() {
				if empty++; empty < 2 && errors.Is(err, os.ErrDeadlineExceeded) {
					s.lastAccepts(l)
					continue
				}
				return nil
			}
			if !shortage(err) {
				return err
			}
			if s.Log != nil {
				s.Log.Warn().Err(err).Msg("ingress accept")
			}
			if !s.evict() {
				time.Sleep(50 * time.Millisecond)
			}
			continue
		}
		if empty = 0; s.stopping.Load() {
			s.lastAccepts(l)
		}
		s.take(nc)
	}
}

// left says that a listener is served no longer.
func (s *Server) left(l net.Listener) {
	l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.listeners {
		if other == l {
			s.listeners = append(s.listeners[:i], s.listeners[i+1:]...)
			break
		}
	}
	s.checkEnded()
}

// checkEnded notifies a shutdown that nothing is left. The caller holds the lock.
func (s *Server) checkEnded() {
	if s.ended != nil && len(s.listeners) == 0 && len(s.conns) == 0 {
		close(s.ended)
		s.ended = nil
	}
}

func shortage(err error) bool {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// take starts a connection. Where descriptors run out, the connection idle for longest gives way; where none is idle, the
// new one is answered 503 out of a small reserve, and beyond that closed unread.
func (s *Server) take(nc net.Conn) {
	c, err := newConn(s, nc)
	if err != nil {
		nc.Close()
		return
	}
	if s.MaxConns > 0 {
		usual := max(1, s.MaxConns-s.MaxConns/16-1)
		for s.count() >= usual {
			if s.evict() {
				continue
			}
			c.refused = true
			break
		}
		if s.count() >= s.MaxConns {
			nc.Close()
			return
		}
	}
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

func (s *Server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Conns is how many connections are open, and how many of them wait for a request.
func (s *Server) Conns() (open, idle int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), s.idle.n
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.idle.remove(c)
	s.checkEnded()
}

// evict closes the connection idle for longest, and reports whether there was one.
func (s *Server) evict() bool {
	for {
		s.mu.Lock()
		c := s.idle.first
		if c == nil {
			s.mu.Unlock()
			return false
		}
		s.idle.remove(c)
		if !c.endIdle() { // its next request has just come
			s.mu.Unlock()
			continue
		}
		delete(s.conns, c)
		s.mu.Unlock()
		c.nc.Close()
		return true
	}
}

// closeIdle closes the connections that wait for a request; one that has not carried any yet gets the linger for its first.
func (s *Server) closeIdle(fresh time.Duration) {
	s.mu.Lock()
	var closing []*conn
	by := time.Now().Add(fresh)
	for c := s.idle.first; c != nil; c = c.next {
		if fresh > 0 && c.hurry(by, false) {
			continue
		}
		if c.endIdle() {
			closing = append(closing, c)
		}
	}
	s.mu.Unlock()
	for _, c := range closing {
		c.nc.Close()
	}
}

// Drain has every answer from now on carry Connection: close; connections that wait for a request are closed after the linger.
func (s *Server) Drain() {
	if s.draining.Swap(true) {
		return
	}
	time.AfterFunc(s.linger(), func() { s.closeIdle(0) })
}

// Shutdown accepts and serves what the listeners have in their queues, closes them and the connections that wait for a
// request, has the requests under way finished, and returns when all has ended or ctx is over, which it then says.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	ended := make(chan struct{})
	s.mu.Lock()
	if s.ended != nil {
		s.mu.Unlock()
		return ErrStopped
	}
	s.stopBy = time.Now().Add(s.linger())
	s.stopping.Store(true)
	s.ended = ended
	listeners := append([]net.Listener(nil), s.listeners...)
	s.checkEnded()
	s.mu.Unlock()
	for _, l := range listeners {
		s.lastAccepts(l)
	}
	s.closeIdle(s.linger())
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		if s.ended == ended {
			s.ended = nil
		}
		s.mu.Unlock()
		return ctx.Err()
	}
}

// lastAccepts has a listener accept what has queued, and end.
func (s *Server) lastAccepts(l net.Listener) {
	s.mu.Lock()
	by := time.Now().Add(emptied)
	if by.After(s.stopBy) {
		by = s.stopBy
	}
	s.mu.Unlock()
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(by) != nil {
		l.Close()
	}
}

// Close ends all connections as they stand.
func (s *Server) Close() {
	s.draining.Store(true)
	s.mu.Lock()
	s.stopping.Store(true)
	listeners := append([]net.Listener(nil), s.listeners...)
	var conns []*conn
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, l := range listeners {
		l.Close()
	}
	for _, c := range conns {
		c.nc.Close()
	}
}
