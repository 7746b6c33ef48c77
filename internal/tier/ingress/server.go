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

// Server serves the connections of listeners. Its exported fields are set before Serve. Its methods may be called from any goroutine.
type Server struct {
	Handler      func(*Exchange) // called from the goroutine of the connection
	Limits       func() Limits   // called for each request; nil: defaults
	MaxConns     int             // open connections, each of which uses a descriptor; 0: unlimited
	WriteTimeout time.Duration   // for each 64 KB that a client receives; 0: the idle time-out
	Linger       time.Duration   // how long a client may still send or read before its connection is closed; 0: 500 ms
	RetryAfter   time.Duration   // sent with a 503 for lack of descriptors; 0: 250 ms
	Log          *log.Logger     // may be nil

	draining atomic.Bool
	stopping atomic.Bool

	mu          sync.Mutex // taken before a connection's; guards the fields below
	listeners   []net.Listener
	acceptUntil time.Time // during a shutdown, queued connections are accepted until then
	conns       map[*conn]struct{}
	idle        idleList
	ended       chan struct{} // closed when all listeners and connections have ended; nil: no shutdown waits
}

// Listen opens a TCP listener whose connections have keep-alive probes disabled: the server's time-outs detect more dead clients,
// and enabling the probes costs several system calls per connection.
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
	empty := 0 // consecutive accept time-outs in a shutdown: two are required, as a stalled process may miss the first deadline
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

// startConn starts the goroutine of a connection. Near MaxConns, it closes the connection that has been idle longest. If none is
// idle, a small reserve of connections remains to answer the new one with 503; at MaxConns, the new one is closed unread.
func (server *Server) startConn(nc net.Conn) {
	c, err := newConn(server, nc)
	if err != nil {
		nc.Close()
		return
	}
	if server.MaxConns > 0 {
		softLimit := max(1, server.MaxConns-server.MaxConns/16-1)
		for server.connCount() >= softLimit {
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

// outOfResources reports whether an accept failed for lack of descriptors or memory.
func outOfResources(err error) bool {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// connCount returns how many connections are open.
func (server *Server) connCount() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.conns)
}

// Conns returns how many connections are open, and how many of them wait for a request.
func (server *Server) Conns() (open, idle int) {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.conns), server.idle.n
}

// removeConn removes a connection that has ended.
func (server *Server) removeConn(c *conn) {
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.conns, c)
	server.idle.remove(c)
	server.notifyEnded()
}

// removeListener removes a listener that is no longer served.
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

// closeLongestIdle closes the connection that has been idle longest, and reports whether any was idle.
func (server *Server) closeLongestIdle() bool {
	for {
		server.mu.Lock()
		c := server.idle.first
		if c == nil {
			server.mu.Unlock()
			return false
		}
		server.idle.remove(c)
		if !c.closeIfIdle() { // its next request has just arrived
			server.mu.Unlock()
			continue
		}
		delete(server.conns, c)
		server.mu.Unlock()
		c.socket.Close()
		return true
	}
}

// limits returns the limits in force now.
func (server *Server) limits() Limits {
	if server.Limits == nil {
		return Limits{}.withDefaults()
	}
	return server.Limits().withDefaults()
}

// linger returns how long a client may still send or read before its connection is closed.
func (server *Server) linger() time.Duration {
	if server.Linger > 0 {
		return server.Linger
	}
	return 500 * time.Millisecond
}
