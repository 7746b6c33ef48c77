package ingress

import (
	"time"
)

// releaseBuffer returns the read buffer to the pool; no unconsumed bytes may be in it.
func (conn *conn) releaseBuffer() {
	if conn.buffer != nil {
		putBuffer(conn.buffer)
		conn.buffer, conn.consumed, conn.buffered = nil, 0, 0
	}
}

// read reads with the time-out of the part of a request that is being read.
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

// fill reads more bytes into the buffer, which grows as needed.
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

// write writes all of p. It returns an error if the client does not receive each maxWriteSize bytes within the write time-out.
func (conn *conn) write(p []byte) error {
	for {
		step := p[:min(len(p), maxWriteSize)]
		timeout := conn.server.WriteTimeout
		if timeout <= 0 {
			timeout = conn.limits.IdleTimeout
		}
		if now := time.Now(); conn.writeDeadline.Sub(now) < timeout*3/4 { // avoids setting the timer on every write
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

// reject answers a request that was not read completely, then reads and discards what the client still sends during the linger
// time: closing a socket with unread bytes resets the connection, and the client may lose the response (RFC 9112, 9.6).
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

// lingeringClose ends a connection after its last response. Pipelined requests after that response stay unread, so that the client
// can tell that they were not processed. Closing with unread bytes resets the connection, so the client first gets the linger time
// to read the response.
func (conn *conn) lingeringClose() {
	if peek(conn.raw) != dataPending || conn.closeWrite() != nil {
		return
	}
	conn.socket.SetReadDeadline(time.Now().Add(conn.server.linger()))
	conn.raw.Read(func(uintptr) bool { return false })
}

// closeWrite closes the sending direction of the connection.
func (conn *conn) closeWrite() error {
	if h, ok := conn.socket.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}
