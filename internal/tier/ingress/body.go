package ingress

import (
	"errors"
	"io"
	"time"
)

// readRequest reads a whole request. It returns the status of a refusal, or the error of the connection.
func (c *conn) readRequest(exchange *Exchange) (status int, err error) {
	exchange.Arrived = c.readAt
	c.due, c.earned = time.Time{}, 0
	from, line, end, blank := 0, 0, 0, false
	for {
		b := (*c.in)[c.r:c.w]
		if !blank && from == 0 && len(b) >= 2 && b[0] == '\r' && b[1] == '\n' { // one empty line may come before
			blank = true
			c.r += 2
			continue
		}
		var bad bool
		if end, from, line, bad = scanHead(b, from, line); bad {
			return 400, nil
		}
		if end > c.lim.MaxHeader || end == 0 && len(b) >= c.lim.MaxHeader {
			return 431, nil
		}
		if end > 0 {
			break
		}
		if len(b) == 1 { // a CR may begin an empty line
			from, line = 0, 0
		}
		if c.due.IsZero() {
			c.due = exchange.Arrived.Add(c.lim.HeaderTimeout)
			c.nc.SetReadDeadline(c.due)
		}
		c.earned = 0 // a head has one time-out
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	f, status := parseHead(string((*c.in)[c.r:c.r+end]), exchange)
	c.r += end
	if status != 0 {
		return status, nil
	}
	exchange.keep = !f.close
	c.due, c.earned = time.Time{}, 0
	if f.length > int64(c.lim.MaxBody) {
		return 413, nil
	}
	if f.expect && c.r == c.w && (f.length > 0 || f.chunked) {
		if err := c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	switch {
	case f.chunked:
		return c.readChunked(exchange)
	case f.length > 0:
		exchange.Body, err = c.readLength(nil, int(f.length), false)
		return 0, err
	}
	return 0, nil
}

// readLength appends n bytes to a body, of which more may follow. Room is made as they come, so that an announced length alone
// takes no memory.
func (c *conn) readLength(body []byte, n int, more bool) ([]byte, error) {
	for n > 0 {
		if cap(body) == len(body) {
			room := min(n, max(firstBody, len(body)))
			if more {
				room = max(room, len(body))
			}
			grown := make([]byte, len(body), len(body)+room)
			copy(grown, body)
			body = grown
		}
		room := body[len(body):min(cap(body), len(body)+n)]
		var got int
		if c.r < c.w {
			got = copy(room, (*c.in)[c.r:c.w])
			c.r += got
		} else {
			var err error
			if got, err = c.read(room); err != nil {
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
func (c *conn) readChunked(exchange *Exchange) (status int, err error) {
	extra := c.lim.MaxHeader // bytes of extensions and trailers that may come
	for {
		line, status, err := c.line(c.lim.MaxHeader)
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
		if size > int64(c.lim.MaxBody-len(exchange.Body)) {
			return 413, nil
		}
		if exchange.Body, err = c.readLength(exchange.Body, int(size), true); err != nil {
			return 0, err
		}
		for c.w-c.r < 2 {
			if err := c.fill(); err != nil {
				return 0, err
			}
		}
		if b := (*c.in)[c.r:]; b[0] != '\r' || b[1] != '\n' {
			return 400, nil
		}
		c.r += 2
	}
	for {
		line, status, err := c.line(extra)
		if status != 0 || err != nil {
			return status, err
		}
		if line == "" {
			return 0, nil
		}
		if extra -= len(line) + 2; extra <= 0 {
			return 431, nil
		}
		if _, ok := parseField(line); !ok {
			return 400, nil
		}
	}
}

// line reads a line of at most limit bytes and returns it without its CRLF.
func (c *conn) line(limit int) (line string, status int, err error) {
	for at := 0; ; {
		if c.in != nil {
			b := (*c.in)[c.r:c.w]
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
				c.r += at + 1
				return line, 0, nil
			}
			if len(b) > limit {
				return "", 431, nil
			}
		}
		if err := c.fill(); err != nil {
			return "", 0, err
		}
	}
}
