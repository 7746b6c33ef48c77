package ingress

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	bufferSize   = 4 << 10  // of a pooled buffer
	keptBuffer   = 16 << 10 // a larger one is not put back
	bodyProgress = 4 << 10  // bytes of a body that earn it a new time-out
	firstBody    = 64 << 10 // room for a body before more of it has come
	writeStep    = 64 << 10 // bytes written under one time-out
	lingerBytes  = 1 << 20  // read and discarded after a refusal
)

var buffers = sync.Pool{New: func() any { b := make([]byte, bufferSize); return &b }}

func putBuffer(b *[]byte) {
	if cap(*b) <= keptBuffer {
		*b = (*b)[:cap(*b)]
		buffers.Put(b)
	}
}

type state uint8

const (
	active state = iota
	waiting
	over // closed, or about to be, by whoever has set it
)

// conn is a client's connection. All but what mu guards belongs to its goroutine.
type conn struct {
	s       *Server
	nc      net.Conn
	raw     syscall.RawConn
	try     func(uintptr) bool
	refused bool // for want of descriptors

	in      *[]byte   // nil while nothing has been read
	r, w    int       // what was read and not yet taken
	readAt  time.Time // of the last read into in
	due     time.Time // of reads under way
	earned  int       // bytes of a body since due was set
	lim     Limits
	writeBy time.Time
	readErr error // of try

	mu     sync.Mutex // held over the read that takes the first bytes of a request
	state  state
	served int

	listed     bool // guarded by the server's lock, as are its neighbours
	prev, next *conn
}

var errNoSocket = errors.New("ingress: no socket")

func newConn(s *Server, nc net.Conn) (*conn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{s: s, nc: nc, raw: raw}
	c.try = c.tryRead
	return c, nil
}

// serve is the connection's goroutine.
func (c *conn) serve() {
	defer c.s.remove(c)
	defer c.nc.Close()
	defer c.release()
	for {
		if c.r == c.w && !c.await() {
			return
		}
		c.lim = c.s.limits()
		exchange := &Exchange{c: c}
		status, err := c.readRequest(exchange)
		switch {
		case status != 0:
			c.refuse(status)
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.refuse(408)
			return
		case err != nil:
			return
		}
		if c.r == c.w {
			c.release()
		}
		c.run(exchange)
		if !exchange.finish() {
			return
		}
		if !exchange.keep {
			c.leave()
			return
		}
		c.mu.Lock()
		c.served++
		c.mu.Unlock()
	}
}

func (c *conn) run(exchange *Exchange) {
	defer func() {
		if p := recover(); p != nil {
			exchange.Abort()
			if c.s.Log != nil {
				c.s.Log.Error().Any("panic", p).Str("path", exchange.Path).Msg("ingress handler")
			}
		}
	}()
	if c.refused {
		retry := c.s.RetryAfter
		if retry <= 0 {
			retry = 250 * time.Millisecond
		}
		exchange.keep = false
		exchange.Respond(503, []Field{{"Retry-After", seconds(retry)}}, nil)
		return
	}
	c.s.Handler(exchange)
}

// release gives the read buffer back; nothing may be left in it.
func (c *conn) release() {
	if c.in != nil {
		putBuffer(c.in)
		c.in, c.r, c.w = nil, 0, 0
	}
}

// await waits for the first bytes of a request without holding a buffer. It reports false when the connection is over.
func (c *conn) await() bool {
	c.release()
	wait := c.s.limits().IdleTimeout
	if c.s.draining.Load() {
		wait = min(wait, c.s.linger())
	}
	c.nc.SetReadDeadline(time.Now().Add(wait))
	c.s.mu.Lock()
	c.mu.Lock()
	c.state = waiting
	c.mu.Unlock()
	c.s.idle.add(c)
	c.s.mu.Unlock()
	if c.s.draining.Load() { // it may have begun as the deadline was set
		c.hurry(time.Now().Add(c.s.linger()), true)
	}
	err := c.raw.Read(c.try)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = c.raw.Control(func(fd uintptr) { // what has come up to now is a request
			for !c.tryRead(fd) && !c.endIdle() {
			}
		})
	}
	c.s.mu.Lock()
	c.s.idle.remove(c)
	c.s.mu.Unlock()
	return err == nil && c.readErr == nil && c.w > 0
}

// tryRead reads the first bytes of a request, if there are any, and makes the connection an active one in the same step.
func (c *conn) tryRead(fd uintptr) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == over {
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
			c.in, c.r, c.w, c.readAt = b, 0, n, time.Now()
			c.state = active
			return true
		case err == nil:
			err = io.EOF
		}
		buffers.Put(b)
		c.readErr, c.state = err, over
		return true
	}
}

// endIdle ends a connection that waits if no byte of a request has come; the caller closes it, outside of all locks, since
// closing waits for its readers.
func (c *conn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != waiting || peek(c.raw) == pending {
		return false
	}
	c.state = over
	return true
}

// hurry has a connection that waits send its request by a time, one that has carried others only if used is true. It reports
// whether it is such a one.
func (c *conn) hurry(by time.Time, used bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != waiting || c.served > 0 && !used {
		return false
	}
	c.nc.SetReadDeadline(by)
	return true
}

// read reads with the time-out of the part of a request that is under way.
func (c *conn) read(p []byte) (int, error) {
	if c.due.IsZero() || c.earned >= bodyProgress {
		c.due, c.earned = time.Now().Add(c.lim.HeaderTimeout), 0
		c.nc.SetReadDeadline(c.due)
	}
	n, err := c.nc.Read(p)
	c.earned += n
	if n > 0 {
		err = nil
	}
	return n, err
}

// fill reads more into the buffer, which grows as needed.
func (c *conn) fill() error {
	if c.in == nil {
		c.in = buffers.Get().(*[]byte)
	}
	b := *c.in
	if c.r == c.w {
		c.r, c.w = 0, 0
	}
	if c.w == len(b) {
		if c.r > 0 {
			c.w = copy(b, b[c.r:c.w])
			c.r = 0
		} else {
			grown := make([]byte, 2*len(b))
			copy(grown, b)
			c.in = &grown
			b = grown
		}
	}
	n, err := c.read(b[c.w:])
	c.w += n
	c.readAt = time.Now()
	return err
}

// write writes all of p. What a client does not take in time ends the connection.
func (c *conn) write(p []byte) error {
	for {
		step := p[:min(len(p), writeStep)]
		timeout := c.s.WriteTimeout
		if timeout <= 0 {
			timeout = c.lim.IdleTimeout
		}
		if now := time.Now(); c.writeBy.Sub(now) < timeout*3/4 { // few changes of the timer
			c.writeBy = now.Add(timeout)
			c.nc.SetWriteDeadline(c.writeBy)
		}
		if _, err := c.nc.Write(step); err != nil {
			return err
		}
		if p = p[len(step):]; len(p) == 0 {
			return nil
		}
	}
}

// refuse answers a request that was not read whole, and reads and discards what still comes for a while: closed with bytes
// unread, the connection would be reset and the answer lost.
func (c *conn) refuse(status int) {
	b := append([]byte(nil), "HTTP/1.1 "...)
	b = appendStatus(b, status)
	b = append(b, "Content-Length: 0\r\nConnection: close\r\n\r\n"...)
	if c.write(b) != nil || c.closeWrite() != nil {
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(c.s.linger()))
	if c.in == nil {
		c.in = buffers.Get().(*[]byte)
	}
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.nc.Read(*c.in)
		if discarded += n; err != nil {
			return
		}
	}
}

// leave ends a connection after its last answer. Requests that were sent on behind stay unread, so that the client knows
// them not taken; it gets a moment to read the answer before the reset that this means.
func (c *conn) leave() {
	if peek(c.raw) != pending || c.closeWrite() != nil {
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(c.s.linger()))
	c.raw.Read(func(uintptr) bool { return false })
}

func (c *conn) closeWrite() error {
	if h, ok := c.nc.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// idleList is the connections that wait, the longest one first.
type idleList struct {
	first, last *conn
	n           int
}

func (l *idleList) add(c *conn) {
	c.listed, c.prev, c.next = true, l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
	l.n++
}

func (l *idleList) remove(c *conn) {
	if !c.listed {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.listed, c.prev, c.next = false, nil, nil
	l.n--
}
