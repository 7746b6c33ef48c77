package nameserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener is a listener with a bound on open connections. At the bound a new connection replaces one that was never answered, or,
// if there is none, the one that has been idle for longest. If all connections are active, the new one is closed.
type limitedListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// clientConn is a connection of a limitedListener.
type clientConn struct {
	net.Conn
	listener   *limitedListener
	lastActive atomic.Int64 // time of the accept or of the last answer, in Unix nanoseconds
	answered   atomic.Bool
}

// minIdle is how long an answered connection must have been idle before it may be replaced.
const minIdle = time.Second

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		a := &clientConn{Conn: c, listener: l}
		a.lastActive.Store(time.Now().UnixNano())
		if l.admit(a) {
			return a, nil
		}
		c.Close()
	}
}

// admit adds a connection, in place of another one at the bound; false if all connections are active.
func (l *limitedListener) admit(c *clientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.maxConns {
		victim := l.victim()
		if victim.answered.Load() && time.Now().UnixNano()-victim.lastActive.Load() < int64(minIdle) {
			return false
		}
		delete(l.conns, victim)
		victim.Conn.Close()
	}
	l.conns[c] = struct{}{}
	return true
}

// victim returns the connection to replace first: unanswered connections come before answered ones, then the one idle for longest. The
// caller holds mu.
func (l *limitedListener) victim() *clientConn {
	var victim *clientConn
	for c := range l.conns {
		if victim == nil || !c.answered.Load() && victim.answered.Load() ||
			c.answered.Load() == victim.answered.Load() && c.lastActive.Load() < victim.lastActive.Load() {
			victim = c
		}
	}
	return victim
}

func (l *limitedListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
}

// Write writes within tcpWriteTimeout, and marks the connection as answered and active.
func (c *clientConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(tcpWriteTimeout))
	n, err := c.Conn.Write(p)
	c.answered.Store(true)
	c.lastActive.Store(time.Now().UnixNano())
	return n, err
}

// Close closes the connection and frees its slot in the listener.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
