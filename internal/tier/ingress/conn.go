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
	maxPooledBuffer     = 16 << 10 // a larger one is not put back
	bodyProgressBytes   = 4 << 10  // bytes of a body that earn it a new time-out
	initialBodyCapacity = 64 << 10 // room for a body before more of it has come
	maxWriteSize        = 64 << 10 // bytes written under one time-out
	maxLingerBytes      = 1 << 20  // read and discarded after a refusal
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

// putBuffer gives a buffer back to the pool, unless it has grown large.
func putBuffer(b *[]byte) {
	if cap(*b) <= maxPooledBuffer {
		*b = (*b)[:cap(*b)]
		buffers.Put(b)
	}
}

// connState is what a connection does, as far as those who would end it must know.
type connState uint8

const (
	active connState = iota
	idle
	closed // closed, or about to be, by whoever has set it
)

// conn is a client's connection. All but what mu guards belongs to its goroutine.
type conn struct {
	server         *Server
	socket         net.Conn
	raw            syscall.RawConn
	readFirstBytes func(uintptr) bool
	overCapacity   bool // for want of descriptors

	buffer        *[]byte   // nil while nothing has been read
	consumed      int       // bytes of in that a request has taken
	buffered      int       // bytes of in that were read
	readAt        time.Time // of the last read into in
	readDeadline  time.Time // of reads under way
	progress      int       // bytes of a body since due was set
	limits        Limits    // of the request being read
	writeDeadline time.Time
	readErr       error // of try

	mu             sync.Mutex // held over the read that takes the first bytes of a request
	state          connState
	requestsServed int

	listed     bool // guarded by the server's lock, as are its neighbours
	prev, next *conn
}

var errNotASocket = errors.New("ingress: no socket")

// newConn makes a client's connection of one that was accepted; errNoSocket if it is not one of the system.
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

// serve is the connection's goroutine.
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

// serveExchange calls the handler, or refuses where there are no descriptors left. A panic of the handler ends its exchange only.
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

// releaseBuffer gives the read buffer back; nothing may be left in it.
func (conn *conn) releaseBuffer() {
	if conn.buffer != nil {
		putBuffer(conn.buffer)
		conn.buffer, conn.consumed, conn.buffered = nil, 0, 0
	}
}

// awaitRequest waits for the first bytes of a request without holding a buffer. It reports false when the connection is over.
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
	if conn.server.draining.Load() { // it may have begun as the deadline was set
		conn.shortenIdle(time.Now().Add(conn.server.linger()), true)
	}
	err := conn.raw.Read(conn.readFirstBytes)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = conn.raw.Control(func(fd uintptr) { // what has come up to now is a request
			for !conn.readFirst(fd) && !conn.closeIfIdle() {
			}
		})
	}
	conn.server.mu.Lock()
	conn.server.idle.remove(conn)
	conn.server.mu.Unlock()
	return err == nil && conn.readErr == nil && conn.buffered > 0
}

// readFirst reads the first bytes of a request, if there are any, and makes the connection an active one in the same step.
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

// closeIfIdle ends a connection that waits if no byte of a request has come; the caller closes it, outside of all locks, since
// closing waits for its readers.
func (conn *conn) closeIfIdle() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != idle || peek(conn.raw) == dataPending {
		return false
	}
	conn.state = closed
	return true
}

// shortenIdle has a connection that waits send its request by a time, one that has carried others only if used is true. It reports
// whether it is such a one.
func (conn *conn) shortenIdle(by time.Time, used bool) bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.state != idle || conn.requestsServed > 0 && !used {
		return false
	}
	conn.socket.SetReadDeadline(by)
	return true
}

// read reads with the time-out of the part of a request that is under way.
func (conn *conn) read(p []byte) (int, error) {
	if conn.readDeadline.IsZero() || conn.progress >= bodyProgressBytes {
		conn.readDeadline, conn.progress = time.Now().Add(conn.limits.HeaderTimeout), 0
		conn.socket.SetReadDeadline(conn.readDeadline)
	}
	n, err := conn.socket.Read(p)
	conn.progress += n
	if n > 0 {
		err = nil
	}
	return n, err
}

// fill reads more into the buffer, which grows as needed.
func (conn *conn) fill() error {
	if conn.buffer == nil {
		conn.buffer = buffers.Get().(*[]byte)
	}
	b := *conn.buffer
	if conn.consumed == conn.buffered {
		conn.consumed, conn.buffered = 0, 0
	}
	if conn.buffered == len(b) {
		if conn.consumed > 0 {
			conn.buffered = copy(b, b[conn.consumed:conn.buffered])
			conn.consumed = 0
		} else {
			grown := make([]byte, 2*len(b))
			copy(grown, b)
			conn.buffer = &grown
			b = grown
		}
	}
	n, err := conn.read(b[conn.buffered:])
	conn.buffered += n
	conn.readAt = time.Now()
	return err
}

// write writes all of p. What a client does not take in time ends the connection.
func (conn *conn) write(p []byte) error {
	for {
		step := p[:min(len(p), maxWriteSize)]
		timeout := conn.server.WriteTimeout
		if timeout <= 0 {
			timeout = conn.limits.IdleTimeout
		}
		if now := time.Now(); conn.writeDeadline.Sub(now) < timeout*3/4 { // few changes of the timer
			conn.writeDeadline = now.Add(timeout)
			conn.socket.SetWriteDeadline(conn.writeDeadline)
		}
		if _, err := conn.socket.Write(step); err != nil {
			return err
		}
		if p = p[len(step):]; len(p) == 0 {
			return nil
		}
	}
}

// reject answers a request that was not read whole, and reads and discards what still comes for a while: closed with bytes
// unread, the connection would be reset and the answer lost.
func (conn *conn) reject(status int) {
	b := append([]byte(nil), "HTTP/1.1 "...)
	b = appendStatus(b, status)
	b = append(b, "Content-Length: 0\r\nConnection: close\r\n\r\n"...)
	if conn.write(b) != nil || conn.closeWrite() != nil {
		return
	}
	conn.socket.SetReadDeadline(time.Now().Add(conn.server.linger()))
	if conn.buffer == nil {
		conn.buffer = buffers.Get().(*[]byte)
	}
	for discarded := 0; discarded < maxLingerBytes; {
		n, err := conn.socket.Read(*conn.buffer)
		if discarded += n; err != nil {
			return
		}
	}
}

// lingeringClose ends a connection after its last answer. Requests that were sent on behind stay unread, so that the client knows
// them not taken; it gets a moment to read the answer before the reset that this means.
func (conn *conn) lingeringClose() {
	if peek(conn.raw) != dataPending || conn.closeWrite() != nil {
		return
	}
	conn.socket.SetReadDeadline(time.Now().Add(conn.server.linger()))
	conn.raw.Read(func(uintptr) bool { return false })
}

// closeWrite says to the client that nothing more comes.
func (conn *conn) closeWrite() error {
	if h, ok := conn.socket.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}
