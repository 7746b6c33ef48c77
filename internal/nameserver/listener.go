package nameserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener is a listener with a bound on open connections. At the bound a connection is closed that was never answered, or else the
// one that has been idle for longest; if all are active, the new one is closed.
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
	lastActive atomic.Int64 // Unix nanoseconds of when it came, or was last answered
	answered   atomic.Bool
}

// minIdle is how long an answered connection must have been idle to be closed for another.
const minIdle = time.Second

// Accept is net.Listener's.
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

// admit makes room for a connection; false if there is none to make.
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

// victim returns the connection to close first: one that was never answered before one that was, and of two the one idle for longer. The
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

// Write writes within tcpWriteTimeout, and notes that the client was answered.
func (c *clientConn) Write(p []byte) (int, error) {
	c.SetWriteDeadline(time.Now().Add(tcpWriteTimeout))
	n, err := c.Conn.Write(p)
	c.answered.Store(true)
	c.lastActive.Store(time.Now().UnixNano())
	return n, err
}

// Close closes the connection and makes room for another.
func (c *clientConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
