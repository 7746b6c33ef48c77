package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	maxChunkLine     = 1 << 10  // bytes of a chunk's size line, extensions included
	maxTrailerBytes  = 4 << 10  // bytes after the last chunk
	maxChunkBytes    = 1 << 31  // bytes of a chunk
	maxDecodedAtOnce = 64 << 10 // bytes that are decoded at once
)

// framing is how the end of a body is found (RFC 9112, 6.3).
type framing uint8

const (
	byLength framing = iota // Content-Length, or no body
	byChunks
	byClose // the body ends with its connection
)

// body decodes the body of a response.
type body struct {
	reader      *bufio.Reader
	framing     framing
	remaining   int64 // bytes left of the body or of the chunk
	chunkEndDue bool  // the CRLF after a chunk is still to be read
	complete    bool  // the end of the body was read, as defined by the framing
}

// newBody returns the decoder of the body of a response to a request with the method.
func newBody(reader *bufio.Reader, response *Response, method string) body {
	decoder := body{reader: reader}
	switch {
	case method == "HEAD" || response.Status == 204 || response.Status == 304 || response.Status < 200:
	case response.chunked:
		decoder.framing = byChunks
	case response.Length >= 0:
		decoder.remaining = response.Length
	default:
		decoder.framing = byClose
	}
	decoder.complete = decoder.framing == byLength && decoder.remaining == 0
	return decoder
}

// read appends the received bytes of the body to dst, and waits only if there are none. It returns io.EOF with or after the last bytes
// of a complete body. If the body ends with its connection, io.EOF means only that the connection was closed without an error.
func (body *body) read(dst []byte) ([]byte, error) {
	for begin := len(dst); ; {
		if body.complete {
			return dst, io.EOF
		}
		got := len(dst) > begin
		if got && (len(dst)-begin >= maxDecodedAtOnce || !body.canDecode()) {
			return dst, nil
		}
		if body.framing == byChunks && body.remaining == 0 {
			if err := body.nextChunk(); err != nil {
				return dst, err
			}
			continue
		}
		if body.reader.Buffered() == 0 {
			if _, err := body.reader.Peek(1); err != nil {
				if errors.Is(err, io.EOF) && body.framing == byClose {
					body.complete = true
					return dst, io.EOF
				}
				return dst, unexpected(err)
			}
		}
		n := body.reader.Buffered()
		if body.framing != byClose {
			n = int(min(body.remaining, int64(n)))
			body.remaining -= int64(n)
		}
		part, _ := body.reader.Peek(n)
		dst = append(dst, part...)
		body.reader.Discard(n)
		switch {
		case body.remaining > 0 || body.framing == byClose:
		case body.framing == byChunks:
			body.chunkEndDue = true
		default:
			body.complete = true
		}
	}
}

// canDecode reports whether decoding can go on without waiting.
func (body *body) canDecode() bool {
	n := body.reader.Buffered()
	if n == 0 || body.framing != byChunks || body.remaining > 0 {
		return n > 0
	}
	ahead, _ := body.reader.Peek(n)
	if body.chunkEndDue {
		i := bytes.IndexByte(ahead, '\n')
		if i < 0 {
			return false
		}
		ahead = ahead[i+1:]
	}
	// The end of the body may have several lines: it is decoded only if all of them are buffered.
	if len(ahead) > 0 && ahead[0] == '0' {
		return bytes.Contains(ahead, []byte("\r\n\r\n"))
	}
	return bytes.IndexByte(ahead, '\n') >= 0
}

// nextChunk reads up to the bytes of the next chunk, or to the end of the body.
func (body *body) nextChunk() error {
	if body.chunkEndDue {
		line, err := body.readLine()
		if err != nil {
			return err
		}
		if len(line) != 0 {
			return errMalformed
		}
		body.chunkEndDue = false
	}
	line, err := body.readLine()
	if err != nil {
		return err
	}
	size, ok := chunkSize(line)
	if !ok {
		return errMalformed
	}
	body.remaining = size
	if size > 0 {
		return nil
	}
	return body.discardTrailers()
}

// chunkSize parses the size line of a chunk and discards its extensions. It returns false if the size is malformed or above maxChunkBytes.
func chunkSize(line []byte) (int64, bool) {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	line = bytes.TrimRight(line, " \t")
	if len(line) == 0 || len(line) > 8 {
		return 0, false
	}
	n := int64(0)
	for _, c := range line {
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			c = c | 0x20 - 'a' + 10
		default:
			return 0, false
		}
		n = n<<4 | int64(c)
	}
	return n, n <= maxChunkBytes
}

// discardTrailers reads and discards the trailers and the end of the body.
func (body *body) discardTrailers() error {
	for size := 0; size <= maxTrailerBytes; {
		line, err := body.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			body.complete = true
			return nil
		}
		if bytes.IndexByte(line, ':') <= 0 {
			return errMalformed
		}
		size += len(line)
	}
	return errMalformed
}

// readLine reads a line and returns it without its CRLF.
func (body *body) readLine() ([]byte, error) {
	line, err := body.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return nil, errMalformed
	case err != nil:
		return nil, unexpected(err)
	case len(line) < 2 || line[len(line)-2] != '\r' || len(line) > maxChunkLine:
		return nil, errMalformed
	}
	return line[:len(line)-2], nil
}

// unexpected returns io.ErrUnexpectedEOF for io.EOF, and any other error unchanged.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readAll reads a body of at most limit bytes.
func (body *body) readAll(limit int) ([]byte, error) {
	var dst []byte
	if body.framing == byLength {
		if body.remaining > int64(limit) {
			return nil, errBodyTooLarge
		}
		dst = make([]byte, body.remaining)
		if _, err := io.ReadFull(body.reader, dst); err != nil {
			return nil, unexpected(err)
		}
		body.remaining, body.complete = 0, true
		return dst, nil
	}
	for {
		var err error
		if dst, err = body.read(dst); errors.Is(err, io.EOF) && len(dst) <= limit {
			return dst, nil
		} else if len(dst) > limit {
			return nil, errBodyTooLarge
		} else if err != nil {
			return nil, err
		}
	}
}

// discard reads and discards a body of at most limit bytes.
func (body *body) discard(limit int) error {
	var scratch []byte
	for n := 0; n <= limit; n += len(scratch) {
		var err error
		if scratch, err = body.read(scratch[:0]); errors.Is(err, io.EOF) && body.framing != byClose {
			return nil
		} else if err != nil {
			return err
		}
	}
	return errBodyTooLarge
}
