package upstream

import (
	"bufio"
	"bytes"
	"io"
)

const (
	maxChunkLine = 1 << 10  // bytes of a chunk's size line, extensions included
	maxTrailer   = 4 << 10  // bytes behind the last chunk
	maxChunk     = 1 << 31  // bytes of a chunk
	readAhead    = 64 << 10 // bytes that are decoded at once
)

type framing uint8

const (
	byLength framing = iota
	byChunks
	byClose
)

// body decodes the framing of a body.
type body struct {
	r       *bufio.Reader
	framing framing
	left    int64 // bytes left of the body or the chunk
	tail    bool  // the CRLF behind a chunk is due
	whole   bool  // it has come to its proper end
}

// newBody is for an answer to a request by the method.
func newBody(r *bufio.Reader, a *Answer, method string) body {
	b := body{r: r}
	switch {
	case method == "HEAD" || a.Status == 204 || a.Status == 304 || a.Status < 200:
	case a.chunked:
		b.framing = byChunks
	case a.Length >= 0:
		b.left = a.Length
	default:
		b.framing = byClose
	}
	b.whole = b.framing == byLength && b.left == 0
	return b
}

// more appends what has come to dst, and waits only if nothing has. io.EOF comes with or after the last bytes of a whole
// body; for one that ends with its connection it says that this ended without an error.
func (b *body) more(dst []byte) ([]byte, error) {
	for begin := len(dst); ; {
		if b.whole {
			return dst, io.EOF
		}
		got := len(dst) > begin
		if got && (len(dst)-begin >= readAhead || !b.atHand()) {
			return dst, nil
		}
		if b.framing == byChunks && b.left == 0 {
			if err := b.chunkLine(); err != nil {
				return dst, err
			}
			continue
		}
		if b.r.Buffered() == 0 {
			if _, err := b.r.Peek(1); err != nil {
				if err == io.EOF && b.framing == byClose {
					b.whole = true
					return dst, io.EOF
				}
				return dst, unexpected(err)
			}
		}
		n := b.r.Buffered()
		if b.framing != byClose {
			n = int(min(b.left, int64(n)))
			b.left -= int64(n)
		}
		part, _ := b.r.Peek(n)
		dst = append(dst, part...)
		b.r.Discard(n)
		switch {
		case b.left > 0 || b.framing == byClose:
		case b.framing == byChunks:
			b.tail = true
		default:
			b.whole = true
		}
	}
}

// atHand reports whether decoding can go on without waiting.
func (b *body) atHand() bool {
	n := b.r.Buffered()
	if n == 0 || b.framing != byChunks || b.left > 0 {
		return n > 0
	}
	ahead, _ := b.r.Peek(n)
	if b.tail {
		i := bytes.IndexByte(ahead, '\n')
		if i < 0 {
			return false
		}
		ahead = ahead[i+1:]
	}
	// The end of the body may be in several lines: it is looked at only where they all are here.
	if len(ahead) > 0 && ahead[0] == '0' {
		return bytes.Contains(ahead, []byte("\r\n\r\n"))
	}
	return bytes.IndexByte(ahead, '\n') >= 0
}

// chunkLine reads up to the bytes of the next chunk, or to the end of the body.
func (b *body) chunkLine() error {
	if b.tail {
		line, err := b.line()
		if err != nil {
			return err
		}
		if len(line) != 0 {
			return errMalformed
		}
		b.tail = false
	}
	line, err := b.line()
	if err != nil {
		return err
	}
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		line = line[:i]
	}
	line = bytes.TrimRight(line, " \t")
	if len(line) == 0 || len(line) > 8 {
		return errMalformed
	}
	n := int64(0)
	for _, c := range line {
		switch {
		case c >= '0' && c <= '9':
			c -= '0'
		case c|0x20 >= 'a' && c|0x20 <= 'f':
			c = c | 0x20 - 'a' + 10
		default:
			return errMalformed
		}
		n = n<<4 | int64(c)
	}
	if n > maxChunk {
		return errMalformed
	}
	b.left = n
	if n > 0 {
		return nil
	}
	for size := 0; size <= maxTrailer; {
		line, err := b.line()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.whole = true
			return nil
		}
		if bytes.IndexByte(line, ':') <= 0 {
			return errMalformed
		}
		size += len(line)
	}
	return errMalformed
}

// line reads one without its CRLF.
func (b *body) line() ([]byte, error) {
	line, err := b.r.ReadSlice('\n')
	switch {
	case err == bufio.ErrBufferFull:
		return nil, errMalformed
	case err != nil:
		return nil, unexpected(err)
	case len(line) < 2 || line[len(line)-2] != '\r' || len(line) > maxChunkLine:
		return nil, errMalformed
	}
	return line[:len(line)-2], nil
}

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// all reads a body of at most limit bytes.
func (b *body) all(limit int) ([]byte, error) {
	var dst []byte
	if b.framing == byLength {
		if b.left > int64(limit) {
			return nil, errTooLong
		}
		dst = make([]byte, b.left)
		if _, err := io.ReadFull(b.r, dst); err != nil {
			return nil, unexpected(err)
		}
		b.left, b.whole = 0, true
		return dst, nil
	}
	for {
		var err error
		if dst, err = b.more(dst); err == io.EOF && len(dst) <= limit {
			return dst, nil
		} else if len(dst) > limit {
			return nil, errTooLong
		} else if err != nil {
			return nil, err
		}
	}
}

// skip reads over a body of at most limit bytes.
func (b *body) skip(limit int) error {
	var scratch []byte
	for n := 0; n <= limit; n += len(scratch) {
		var err error
		if scratch, err = b.more(scratch[:0]); err == io.EOF && b.framing != byClose {
			return nil
		} else if err != nil {
			return err
		}
	}
	return errTooLong
}
