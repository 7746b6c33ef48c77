package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

const (
	bufferSize          = 4 << 10  // of a pooled buffer
	maxPooledBuffer     = 16 << 10 // a larger one is not returned to the pool
	bodyProgressBytes   = 4 << 10  // bytes of a body that extend its time-out
	initialBodyCapacity = 64 << 10 // of the buffer of a body before more of it was received
	maxWriteSize        = 64 << 10 // bytes written under one time-out
	maxLingerBytes      = 1 << 20  // bytes read and discarded after a rejection
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// putBuffer returns a buffer to the pool, unless it has grown large.
func putBuffer(b *[]byte) {
	if cap(*b) <= maxPooledBuffer {
		*b = (*b)[:cap(*b)]
		buffers.Put(b)
	}
}

// connState is the state of a connection, for those who would close it.
type connState uint8

const (
	active connState = iota
	idle
	closed // closed, or about to be by the one that has set the state
)

// conn is a client's connection. All but what mu guards belongs to its goroutine.
type conn struct {
	server         *Server
	socket         net.Conn
	raw            syscall.RawConn
	readFirstBytes func(uintptr) bool
	overCapacity   bool // its request is answered 503 for lack of descriptors

	buffer        *[]byte   // nil while nothing was read
	consumed      int       // bytes of buffer that requests have consumed
	buffered      int       // bytes of buffer that were read
	readAt        time.Time // time of the last read into buffer
	readDeadline  time.Time // of the part of a request that is being read
	progress      int       // bytes of a body since readDeadline was set
	limits        Limits    // of the request being read
	writeDeadline time.Time
	readErr       error // of readFirst

	mu             sync.Mutex // held over the read of the first bytes of a request; guards state and requestsServed
	state          connState
	requestsServed int

	listed     bool // in the server's idle list, whose mutex guards this and the neighbours
	prev, next *conn
}

// newConn returns the connection of an accepted socket; errNotASocket if it is not one of the system.
func newConn(s *Server, nc net.Conn) (*conn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errNotASocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{server: s, socket: nc, raw: raw}
	c.readFirstBytes = c.readFirst
	return c, nil
}

// serve serves requests until the connection ends. It is the connection's goroutine.
func (conn *conn) serve() {
	defer conn.server.removeConn(conn)
	defer conn.socket.Close()
	defer conn.releaseBuffer()
	for {
		if conn.consumed == conn.buffered && !conn.awaitRequest() {
			return
		}
		conn.limits = conn.server.limits()
		exchange := &Exchange{conn: conn}
		status, err := conn.readRequest(exchange)
		switch {
		case status != 0:
			conn.reject(status)
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			conn.reject(408)
			return
		case err != nil:
			return
		}
		if conn.consumed == conn.buffered {
			conn.releaseBuffer()
		}
		conn.serveExchange(exchange)
		if !exchange.finish() {
			return
		}
		if !exchange.keepAlive {
			conn.lingeringClose()
			return
		}
		conn.mu.Lock()
		conn.requestsServed++
		conn.mu.Unlock()
	}
}

// serveExchange calls the handler, or answers 503 where descriptors have run out. A panic of the handler ends only its connection.
func (conn *conn) serveExchange(exchange *Exchange) {
	defer func() {
		if p := recover(); p != nil {
			exchange.Abort()
			if conn.server.Log != nil {
				conn.server.Log.Error().Any("panic", p).Str("path", exchange.Path).Msg("ingress handler")
			}
		}
	}()
	if conn.overCapacity {
		retry := conn.server.RetryAfter
		if retry <= 0 {
			retry = 250 * time.Millisecond
		}
		exchange.keepAlive = false
		exchange.Respond(503, []http1.Field{{Name: "Retry-After", Value: formatSeconds(retry)}}, nil)
		return
	}
	conn.server.Handler(exchange)
}

// awaitRequest waits for the first bytes of a request without holding a buffer. It is false when the connection has ended.
func (conn *conn) awaitRequest() bool {
	conn.releaseBuffer()
	wait := conn.server.limits().IdleTimeout
	if conn.server.draining.Load() {
		wait = min(wait, conn.server.linger())
	}
	conn.socket.SetReadDeadline(time.Now().Add(wait))
	conn.server.mu.Lock()
	conn.mu.Lock()
	conn.state = idle
	conn.mu.Unlock()
	conn.server.idle.add(conn)
	conn.server.mu.Unlock()
	if conn.server.draining.Load() { // draining may have begun while the deadline was set
		conn.shortenIdle(time.Now().Add(conn.server.linger()), true)
	}
	err := conn.raw.Read(conn.readFirstBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = conn.raw.Control(func(fd uintptr) { // what was received until now is a request
			for !conn.readFirst(fd) && !conn.closeIfIdle() {
			}
		})
	}
	conn.server.mu.Lock()
	conn.server.idle.remove(conn)
	conn.server.mu.Unlock()
	return err == nil && conn.readErr == nil && conn.buffered > 0
}

// readFirst reads the first bytes of a request, if there are any, and makes the connection active in the same step, so that no
// request is read that closeIfIdle then drops.
func (conn *conn) readFirst(fd uintptr) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state == closed {
		return true
	}
	b := buffers.Get().(*[]byte)
	for {
		n, err := syscall.Read(int(fd), *b)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			buffers.Put(b)
			return false
		case err == nil && n > 0:
			conn.buffer, conn.consumed, conn.buffered, conn.readAt = b, 0, n, time.Now()
			conn.state = active
			return true
		case err == nil:
			err = io.EOF
		}
		buffers.Put(b)
		conn.readErr, conn.state = err, closed
		return true
	}
}

// closeIfIdle marks an idle connection as closed if no byte of a request was received; the caller closes its socket, outside of all
// locks, since that waits for its readers.
func (conn *conn) closeIfIdle() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != idle || peek(conn.raw) == dataPending {
		return false
	}
	conn.state = closed
	return true
}

// shortenIdle sets the deadline for the next request of an idle connection; of one that has carried requests only if used is true. It
// reports whether it did.
func (conn *conn) shortenIdle(by time.Time, used bool) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != idle || conn.requestsServed > 0 && !used {
		return false
	}
	conn.socket.SetReadDeadline(by)
	return true
}
