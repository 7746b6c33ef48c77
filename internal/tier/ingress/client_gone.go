package ingress

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// peekResult is what a read of a socket would find.
type peekResult uint8

const (
	noData      peekResult = iota // nothing was received
	dataPending                   // unread bytes
	peerClosed                    // closed or reset
)

// peek returns what a read of a socket would find, without waiting and without consuming bytes.
func peek(raw syscall.RawConn) peekResult {
	p := peerClosed
	raw.Control(func(fd uintptr) { p = peekAt(fd) })
	return p
}

// peekAt is peek for a descriptor.
func peekAt(fd uintptr) peekResult {
	var b [1]byte
	for {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return noData
		case err == nil && n > 0:
			return dataPending
		}
		return peerClosed
	}
}

// clientWatch waits, in its own goroutine, for a client to close its connection.
type clientWatch struct {
	timer *time.Timer
	done  chan struct{}
	gone  atomic.Bool
}

// ClientGone reports whether the client has closed, half-closed or reset its connection. A close is not detected while bytes of a
// next request are unread. The check costs one system call.
func (exchange *Exchange) ClientGone() bool {
	return exchange.conn == nil || exchange.broken || exchange.watch != nil && exchange.watch.gone.Load() || peek(exchange.conn.raw) == peerClosed
}

// OnClientGone calls f, from another goroutine and at most once, when the client closes or resets its connection before the handler
// returns. Watching begins after a delay, so that a short exchange costs a timer and no goroutine; it stops when bytes of a next
// request are received. f must not block. Only the first call for an exchange has an effect.
func (exchange *Exchange) OnClientGone(delay time.Duration, f func()) {
	if exchange.watch != nil || exchange.conn == nil {
		return
	}
	c := exchange.conn
	c.socket.SetReadDeadline(time.Time{})
	w := &clientWatch{done: make(chan struct{})}
	exchange.watch = w
	w.timer = time.AfterFunc(max(0, delay), func() {
		defer close(w.done)
		found := noData
		err := c.raw.Read(func(fd uintptr) bool {
			found = peekAt(fd)
			return found != noData
		})
		if err == nil && found == peerClosed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			w.gone.Store(true)
			f()
		}
	})
}

// stop ends a watch and waits for its goroutine. It must return before anything else reads the connection.
func (w *clientWatch) stop(c *conn) {
	if w == nil || w.timer.Stop() {
		return
	}
	select {
	case <-w.done:
	default:
		c.socket.SetReadDeadline(time.Unix(1, 0))
		<-w.done
	}
}
