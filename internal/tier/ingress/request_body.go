package ingress

import (
	"errors"
	"io"
	"strings"

	"saffronyard.example/saffronyard/internal/tier/http1"
)

// readLength reads n bytes and appends them to body; more means that further bytes may follow. The buffer grows as bytes are
// received, so that announcing a large length does not in itself allocate that much memory.
func (conn *conn) readLength(body []byte, n int, more bool) ([]byte, error) {
	for n > 0 {
		if cap(body) == len(body) {
			capacity := min(n, max(initialBodyCapacity, len(body)))
			if more {
				capacity = max(capacity, len(body))
			}
			grown := make([]byte, len(body), len(body)+capacity)
			copy(grown, body)
			body = grown
		}
		free := body[len(body):min(cap(body), len(body)+n)]
		var got int
		if conn.consumed < conn.buffered {
			got = copy(free, (*conn.buffer)[conn.consumed:conn.buffered])
			conn.consumed += got
		} else {
			var err error
			if got, err = conn.read(free); err != nil {
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
	extra := conn.limits.MaxHeader // bytes of extensions and trailers that may follow
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

// skipTrailers reads and discards the trailers and the end of a body, which may have extra bytes in total.
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

// parseChunkSize parses the size line of a chunk and discards its extensions. A size has at most 15 hexadecimal digits.
func parseChunkSize(line string) (int64, bool) {
	size, ext, has := strings.Cut(line, ";")
	if len(size) > 15 || has && !http1.AllOf(ext, http1.ValueChar) {
		return 0, false
	}
	n := int64(0)
	for i := 0; i < len(size); i++ {
		d := size[i]
		switch {
		case d >= '0' && d <= '9':
			d -= '0'
		case d >= 'a' && d <= 'f':
			d -= 'a' - 10
		case d >= 'A' && d <= 'F':
			d -= 'A' - 10
		default:
			return 0, false
		}
		n = n<<4 | int64(d)
	}
	return n, size != ""
}
