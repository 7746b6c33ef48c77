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
	initialBodyCapacity = 64 << 10 // of the buffer of a body; it grows as bytes are received
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

// connState is the state of a connection. Only an idle one may be closed between requests.
type connState uint8

const (
	active connState = iota
	idle
	closed // closed, or about to be closed by the goroutine that set the state
)

// conn is a client's connection. Fields that no mutex guards belong to its goroutine.
type conn struct {
	server         *Server
	socket         net.Conn
	raw            syscall.RawConn
	readFirstBytes func(uintptr) bool
	overCapacity   bool // its request is answered with 503 for lack of descriptors

	buffer        *[]byte   // nil while nothing was read
	consumed      int       // bytes of buffer that requests have consumed
	buffered      int       // bytes read into buffer
	readAt        time.Time // time of the last read into buffer
	readDeadline  time.Time // of the part of a request that is being read
	progress      int       // bytes of a body since readDeadline was set
	limits        Limits    // of the request being read
	writeDeadline time.Time
	readErr       error // of readFirst

	mu             sync.Mutex // held while the first bytes of a request are read; guards state and requestsServed
	state          connState
	requestsServed int

	listed     bool // in the server's idle list; the server's mutex guards listed, prev and next
	prev, next *conn
}

// newConn returns the conn of an accepted connection, or errNotASocket if nc is not an operating system socket.
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

// serveExchange calls the handler, or answers with 503 if descriptors have run out. A panic in the handler closes only its connection.
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

// awaitRequest waits for the first bytes of a request without holding a buffer. It returns false if the connection has ended.
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
		err = conn.raw.Control(func(fd uintptr) { // bytes received before the close belong to a request and are read
			for !conn.readFirst(fd) && !conn.closeIfIdle() {
			}
		})
	}
	conn.server.mu.Lock()
	conn.server.idle.remove(conn)
	conn.server.mu.Unlock()
	return err == nil && conn.readErr == nil && conn.buffered > 0
}

// readFirst reads the first bytes of a request, if any were received, and marks the connection active under the same lock, so that
// closeIfIdle cannot close a connection whose request was read. It returns false if the connection is still idle.
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

// closeIfIdle marks an idle connection as closed if no byte of a request was received, and reports whether it did. The caller then
// closes the socket without holding a lock, because closing waits for the socket's readers.
func (conn *conn) closeIfIdle() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != idle || peek(conn.raw) == dataPending {
		return false
	}
	conn.state = closed
	return true
}

// shortenIdle sets the deadline for the next request of an idle connection, and reports whether it did. A connection that has served
// requests is changed only if includeUsed is true.
func (conn *conn) shortenIdle(deadline time.Time, includeUsed bool) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != idle || conn.requestsServed > 0 && !includeUsed {
		return false
	}
	conn.socket.SetReadDeadline(deadline)
	return true
}
