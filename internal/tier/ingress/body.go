package ingress

import (
	"errors"
	"io"
	"time"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// readRequest reads a whole request. It returns the status of a refusal, or the error of the connection.
func (conn *conn) readRequest(exchange *Exchange) (status int, err error) {
	exchange.ArrivedAt = conn.readAt
	head, status, err := conn.readHead()
	if status != 0 || err != nil {
		return status, err
	}
	f, status := parseHead(head, exchange)
	if status != 0 {
		return status, nil
	}
	exchange.keepAlive = !f.close
	conn.readDeadline, conn.progress = time.Time{}, 0
	if f.length > int64(conn.limits.MaxBody) {
		return 413, nil
	}
	if f.expect && conn.consumed == conn.buffered && (f.length > 0 || f.chunked) {
		if err := conn.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	switch {
	case f.chunked:
		return conn.readChunked(exchange)
	case f.length > 0:
		exchange.Body, err = conn.readLength(nil, int(f.length), false)
		return 0, err
	}
	return 0, nil
}

// readHead reads a head up to and with the empty line that ends it. It has one time-out, which counts from the first wait for
// more of it: its first bytes may have come, behind a request, long before they are looked at.
func (conn *conn) readHead() (head string, status int, err error) {
	conn.readDeadline, conn.progress = time.Time{}, 0
	from, line, end, blank := 0, 0, 0, false
	for {
		b := (*conn.buffer)[conn.consumed:conn.buffered]
		if !blank && from == 0 && len(b) >= 2 && b[0] == '\r' && b[1] == '\n' { // one empty line may come before
			blank = true
			conn.consumed += 2
			continue
		}
		var bad bool
		if end, from, line, bad = scanHead(b, from, line); bad {
			return "", 400, nil
		}
		if end > conn.limits.MaxHeader || end == 0 && len(b) >= conn.limits.MaxHeader {
			return "", 431, nil
		}
		if end > 0 {
			break
		}
		if len(b) == 1 { // a CR may begin an empty line
			from, line = 0, 0
		}
		if conn.readDeadline.IsZero() {
			conn.readDeadline = time.Now().Add(conn.limits.HeaderTimeout)
			conn.socket.SetReadDeadline(conn.readDeadline)
		}
		conn.progress = 0 // what comes of a head earns no new time-out
		if err := conn.fill(); err != nil {
			return "", 0, err
		}
	}
	head = string((*conn.buffer)[conn.consumed : conn.consumed+end])
	conn.consumed += end
	return head, 0, nil
}

// readLength appends n bytes to a body, of which more may follow. Room is made as they come, so that an announced length alone
// takes no memory.
func (conn *conn) readLength(body []byte, n int, more bool) ([]byte, error) {
	for n > 0 {
		if cap(body) == len(body) {
			room := min(n, max(initialBodyCapacity, len(body)))
			if more {
				room = max(room, len(body))
			}
			grown := make([]byte, len(body), len(body)+room)
			copy(grown, body)
			body = grown
		}
		room := body[len(body):min(cap(body), len(body)+n)]
		var got int
		if conn.consumed < conn.buffered {
			got = copy(room, (*conn.buffer)[conn.consumed:conn.buffered])
			conn.consumed += got
		} else {
			var err error
			if got, err = conn.read(room); err != nil {
				if errors.Is(err, io.EOF) {
					err = io.ErrUnexpectedEOF
				}
				return body, err
			}
		}
		body = body[:len(body)+got]
		n -= got
	}
	return body, nil
}

// readChunked reads a body in chunks, and its trailers, which are discarded.
func (conn *conn) readChunked(exchange *Exchange) (status int, err error) {
	extra := conn.limits.MaxHeader // bytes of extensions and trailers that may come
	for {
		line, status, err := conn.readLine(conn.limits.MaxHeader)
		if status != 0 || err != nil {
			return status, err
		}
		size, ok := parseChunkSize(line)
		if !ok {
			return 400, nil
		}
		if extra -= max(0, len(line)-15); extra < 0 {
			return 431, nil
		}
		if size == 0 {
			break
		}
		if size > int64(conn.limits.MaxBody-len(exchange.Body)) {
			return 413, nil
		}
		if exchange.Body, err = conn.readLength(exchange.Body, int(size), true); err != nil {
			return 0, err
		}
		for conn.buffered-conn.consumed < 2 {
			if err := conn.fill(); err != nil {
				return 0, err
			}
		}
		if b := (*conn.buffer)[conn.consumed:]; b[0] != '\r' || b[1] != '\n' {
			return 400, nil
		}
		conn.consumed += 2
	}
	return conn.skipTrailers(extra)
}

// skipTrailers reads the trailers of a body and its end. They may have so many bytes in all.
func (conn *conn) skipTrailers(extra int) (status int, err error) {
	for {
		line, status, err := conn.readLine(extra)
		if status != 0 || err != nil {
			return status, err
		}
		if line == "" {
			return 0, nil
		}
		if extra -= len(line) + 2; extra <= 0 {
			return 431, nil
		}
		if _, ok := http1.ParseField(line); !ok {
			return 400, nil
		}
	}
}

// readLine reads a line of at most limit bytes and returns it without its CRLF.
func (conn *conn) readLine(limit int) (line string, status int, err error) {
	for at := 0; ; {
		if conn.buffer != nil {
			b := (*conn.buffer)[conn.consumed:conn.buffered]
			for ; at < len(b); at++ {
				if b[at] != '\n' {
					continue
				}
				if at == 0 || b[at-1] != '\r' {
					return "", 400, nil
				}
				if at+1 > limit {
					return "", 431, nil
				}
				line = string(b[:at-1])
				conn.consumed += at + 1
				return line, 0, nil
			}
			if len(b) > limit {
				return "", 431, nil
			}
		}
		if err := conn.fill(); err != nil {
			return "", 0, err
		}
	}
}
