package ingress

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// Exchange is one request and its answer. Its methods are called from the handler's goroutine until the handler returns;
// the strings and the body may be kept.
type Exchange struct {
	Method    string
	Target    string // path and query as sent; of an absolute target what follows the host
	Path      string // of Target, as sent
	Host      string // with its port if one was sent
	Header    http1.Header
	Body      []byte
	ArrivedAt time.Time // when the first byte was read

	conn        *conn
	http10      bool
	head        bool // HEAD
	keepAlive   bool // the connection goes on after it
	phase       phase
	status      int  // of the answer that was begun
	signed      bool // it has X-Response-Signature
	noBody      bool // no body is written
	broken      bool
	pendingHead *[]byte // the head of a stream until its first piece
	watch       *clientWatch
	fields      [12]http1.Field
}

// signatureField marks an answer as an endpoint's own.
const signatureField = "X-Response-Signature"

// phase is how far an answer has come.
type phase uint8

const (
	notStarted phase = iota
	streaming
	finished
)

var (
	// ErrAlreadyResponded is returned where an answer was made before, or the handler has returned.
	ErrAlreadyResponded = errors.New("ingress: answered already")
	// ErrInvalidHeader is returned where a status or a field can't be written; nothing was.
	ErrInvalidHeader = errors.New("ingress: no valid status or field")
	// ErrStreamVersion is returned where a stream is begun for a client of HTTP/1.0, which was answered 505.
	ErrStreamVersion    = errors.New("ingress: no streams in HTTP/1.0")
	errConnectionBroken = errors.New("ingress: connection is broken")
)

// CanStream reports whether the client takes an answer in chunks.
func (exchange *Exchange) CanStream() bool { return !exchange.http10 }

// Responded reports whether an answer, or a stream, was begun.
func (exchange *Exchange) Responded() bool { return exchange.phase != notStarted }

// Status is that of the answer that was begun; 0: none was.
func (exchange *Exchange) Status() int { return exchange.status }

// Signed reports whether the answer that was begun has an endpoint's signature.
func (exchange *Exchange) Signed() bool { return exchange.signed }

// Complete reports whether an answer was written to its end.
func (exchange *Exchange) Complete() bool { return exchange.phase == finished && !exchange.broken }

// Respond answers whole, in one write if it is small. Fields of the connection and of framing are left out of the header.
// An error tells that the client may not have it.
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

// Begin begins an answer in chunks; its head is sent with the first piece or with the end.
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

// Write sends a piece of a stream at once, in one write if it is small. An empty one sends the head if that was held.
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

// Abort has the connection closed when the handler returns. An answer that is not whole never looks complete.
func (exchange *Exchange) Abort() {
	if exchange.phase != finished {
		exchange.broken = true
	}
}

// takeBuffer gives a buffer that begins with what of the head has not left yet.
func (exchange *Exchange) takeBuffer() (buffer *[]byte, b []byte) {
	if buffer = exchange.pendingHead; buffer != nil {
		exchange.pendingHead = nil
		return buffer, *buffer
	}
	buffer = buffers.Get().(*[]byte)
	return buffer, (*buffer)[:0]
}

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

// decideKeepAlive settles whether the connection goes on: not while draining, unless a further request has been read already.
func (exchange *Exchange) decideKeepAlive() {
	if exchange.conn.server.draining.Load() && exchange.conn.consumed == exchange.conn.buffered {
		exchange.keepAlive = false
	}
}

// finish ends the exchange after its handler, and reports whether its answer is whole.
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

// appendHead renders the head of an answer whose body has a length, or comes in chunks if that is negative.
func (exchange *Exchange) appendHead(b []byte, status int, header []http1.Field, length int64) ([]byte, error) {
	if status < 200 || status > 999 {
		return nil, ErrInvalidHeader
	}
	empty := status == 204 || status == 304
	exchange.noBody = empty || exchange.head
	exchange.status = status
	b = append(b, "HTTP/1.1 "...)
	b = appendStatus(b, status)
	given := false // the length of a body that is left out is known to the handler alone
	for _, f := range header {
		if !http1.IsToken(f.Name) || f.Value != "" && !http1.AllOf(f.Value, http1.ValueChar) {
			return nil, ErrInvalidHeader
		}
		exchange.signed = exchange.signed || strings.EqualFold(f.Name, signatureField)
		if http1.IsHopByHop(f.Name) {
			if !exchange.head || status == 204 || given || length > 0 || !strings.EqualFold(f.Name, "Content-Length") {
				continue
			}
			given = true
		}
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, '\r', '\n')
	}
	switch {
	case empty || given:
	case length < 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	default:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, length, 10)
		b = append(b, '\r', '\n')
	}
	// Clients obey the announced time, which ends before we close, so that no request crosses the close.
	if seconds := int64(exchange.conn.limits.IdleTimeout * 9 / 10 / time.Second); !exchange.keepAlive {
		b = append(b, "Connection: close\r\n"...)
	} else if seconds > 0 {
		b = append(b, "Keep-Alive: timeout="...)
		b = strconv.AppendInt(b, seconds, 10)
		b = append(b, '\r', '\n')
	}
	return append(b, '\r', '\n'), nil
}

// appendStatus renders a status and its phrase, with the end of the line.
func appendStatus(b []byte, status int) []byte {
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	return append(b, '\r', '\n')
}

// formatSeconds renders a time as seconds with their fraction.
func formatSeconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
