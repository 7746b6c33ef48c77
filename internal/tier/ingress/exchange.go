package ingress

import (
	"strconv"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// Exchange is one request and its response. Its methods may be called only from the handler's goroutine, until the handler returns;
// the strings and the body stay valid after that.
type Exchange struct {
	Method    string
	Target    string // path and query as received; of an absolute target, the part after the host
	Path      string // of Target, as received
	Host      string // with its port if the client sent one
	Header    http1.Header
	Body      []byte
	ArrivedAt time.Time // when the first byte of the request was read

	conn        *conn
	http10      bool
	head        bool // the method is HEAD
	keepAlive   bool // the connection stays open after the response
	phase       phase
	status      int  // of the response; 0: none was begun
	signed      bool // the response has X-Response-Signature
	noBody      bool // the response has no body
	broken      bool
	pendingHead *[]byte // the head of a stream until its first write
	watch       *clientWatch
	fields      [12]http1.Field
}

// phase is the progress of a response.
type phase uint8

const (
	notStarted phase = iota
	streaming
	finished
)

// CanStream reports whether the client accepts a chunked response.
func (exchange *Exchange) CanStream() bool { return !exchange.http10 }

// Responded reports whether a response was begun.
func (exchange *Exchange) Responded() bool { return exchange.phase != notStarted }

// Status returns the status of the response; 0: none was begun.
func (exchange *Exchange) Status() int { return exchange.status }

// Signed reports whether the response has an endpoint's signature.
func (exchange *Exchange) Signed() bool { return exchange.signed }

// Complete reports whether the response was written to its end.
func (exchange *Exchange) Complete() bool { return exchange.phase == finished && !exchange.broken }

// Respond writes a complete response, in one write if it is small. Hop-by-hop and framing fields of the header are left out. If it
// returns an error, the client may not have received the response.
func (exchange *Exchange) Respond(status int, header []http1.Field, body []byte) error {
	if exchange.conn == nil || exchange.phase != notStarted {
		return ErrAlreadyResponded
	}
	buffer := buffers.Get().(*[]byte)
	defer putBuffer(buffer)
	exchange.decideKeepAlive()
	b, err := exchange.appendHead((*buffer)[:0], status, header, int64(len(body)))
	if err != nil {
		return err
	}
	exchange.phase = finished
	if exchange.noBody {
		body = nil
	}
	first := min(len(body), maxPooledBuffer-min(len(b), maxPooledBuffer))
	b = append(b, body[:first]...)
	*buffer = b
	if err = exchange.write(b); err == nil && first < len(body) {
		err = exchange.write(body[first:])
	}
	return err
}

// Begin begins a chunked response; its head is sent with the first Write or with End.
func (exchange *Exchange) Begin(status int, header []http1.Field) error {
	if exchange.conn == nil || exchange.phase != notStarted {
		return ErrAlreadyResponded
	}
	if exchange.http10 {
		exchange.Respond(505, nil, nil)
		return ErrStreamVersion
	}
	buffer := buffers.Get().(*[]byte)
	exchange.decideKeepAlive()
	b, err := exchange.appendHead((*buffer)[:0], status, header, -1)
	if err != nil {
		putBuffer(buffer)
		return err
	}
	*buffer = b
	exchange.pendingHead, exchange.phase = buffer, streaming
	return nil
}

// Write sends p as a part of a stream immediately, in one write if p is small. An empty p sends only a pending head.
func (exchange *Exchange) Write(p []byte) error {
	if exchange.conn == nil || exchange.phase != streaming {
		return ErrAlreadyResponded
	}
	buffer, b := exchange.takeBuffer()
	defer putBuffer(buffer)
	if len(p) == 0 || exchange.noBody {
		if len(b) == 0 {
			return nil
		}
		return exchange.write(b)
	}
	b = strconv.AppendInt(b, int64(len(p)), 16)
	b = append(b, '\r', '\n')
	first := min(len(p), maxPooledBuffer-min(len(b)+2, maxPooledBuffer))
	b = append(b, p[:first]...)
	if first == len(p) {
		b = append(b, '\r', '\n')
		*buffer = b
		return exchange.write(b)
	}
	*buffer = b
	if err := exchange.write(b); err != nil {
		return err
	}
	if err := exchange.write(p[first:]); err != nil {
		return err
	}
	return exchange.write([]byte("\r\n"))
}

// End ends a stream as complete.
func (exchange *Exchange) End() error {
	if exchange.conn == nil || exchange.phase != streaming {
		return ErrAlreadyResponded
	}
	buffer, b := exchange.takeBuffer()
	defer putBuffer(buffer)
	exchange.phase = finished
	if !exchange.noBody {
		b = append(b, "0\r\n\r\n"...)
	}
	*buffer = b
	if len(b) == 0 {
		return nil
	}
	return exchange.write(b)
}

// Abort makes the server close the connection when the handler returns, so that an incomplete response never looks complete.
func (exchange *Exchange) Abort() {
	if exchange.phase != finished {
		exchange.broken = true
	}
}

// takeBuffer returns a buffer that begins with the head if that is pending.
func (exchange *Exchange) takeBuffer() (buffer *[]byte, b []byte) {
	if buffer = exchange.pendingHead; buffer != nil {
		exchange.pendingHead = nil
		return buffer, *buffer
	}
	buffer = buffers.Get().(*[]byte)
	return buffer, (*buffer)[:0]
}

// write writes to the connection, and marks the exchange as broken if that fails.
func (exchange *Exchange) write(b []byte) error {
	if exchange.broken {
		return errConnectionBroken
	}
	err := exchange.conn.write(b)
	if err != nil {
		exchange.broken = true
	}
	return err
}

// decideKeepAlive clears keepAlive if the server is draining, unless bytes of a further request were already read.
func (exchange *Exchange) decideKeepAlive() {
	if exchange.conn.server.draining.Load() && exchange.conn.consumed == exchange.conn.buffered {
		exchange.keepAlive = false
	}
}

// finish ends the exchange after its handler has returned, and reports whether its response is complete.
func (exchange *Exchange) finish() bool {
	if exchange.phase == notStarted && !exchange.broken {
		exchange.Respond(500, nil, nil)
	}
	c := exchange.conn
	exchange.watch.stop(c)
	if exchange.pendingHead != nil {
		putBuffer(exchange.pendingHead)
		exchange.pendingHead = nil
	}
	exchange.conn = nil
	return exchange.phase == finished && !exchange.broken
}
