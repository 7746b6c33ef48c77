package upstream

import (
	"context"
	"io"
	"time"
)

// Stream is the body of an answer as it comes. It is for one goroutine.
type Stream struct {
	exchange *exchange
	body     body
	answer   *Answer
	cut      bool // into events
	events   events
	raw      []byte
	err      error // of the body; io.EOF: it is whole
	end      End
}

// Next waits for the next piece. io.EOF says that the body has come whole; after any other error it has not, and End
// tells why.
func (s *Stream) Next() (Piece, error) {
	for s.end == Streaming {
		if s.cut {
			p, ok, sound := s.events.next()
			if !sound {
				s.close(Malformed, errMalformed)
				break
			}
			if ok {
				return p, nil
			}
		} else if len(s.raw) > 0 {
			p := Piece{Raw: s.raw}
			s.raw = s.raw[:0]
			return p, nil
		}
		s.more()
	}
	return Piece{}, s.err
}

// more reads on, or ends the stream.
func (s *Stream) more() {
	if s.err != nil {
		switch {
		case s.err != io.EOF:
			s.close(ended(s.exchange.ctx, s.err), s.err)
		case s.cut && s.events.unfinished():
			s.close(Malformed, errMalformed)
		case s.body.framing == byClose: // a cut would look the same
			s.close(Broken, io.ErrUnexpectedEOF)
		default:
			s.end = Whole
			s.exchange.conn.answers++
			s.exchange.finish()
		}
		return
	}
	if s.cut {
		s.events.compact()
		s.events.buf, s.err = s.body.more(s.events.buf)
		return
	}
	s.raw, s.err = s.body.more(s.raw[:0])
}

// Last reports whether the end of the body has come already, whole: no piece comes but those at hand.
func (s *Stream) Last() bool {
	return s.end == Whole || s.end == Streaming && s.err == io.EOF && s.body.framing != byClose
}

// AtHand reports whether Next gives a piece, or the end, without waiting. The slices of the last piece stay good.
func (s *Stream) AtHand() bool {
	switch {
	case s.end != Streaming || s.err != nil:
		return true
	case !s.cut:
		return len(s.raw) > 0
	}
	rest := s.events.buf[s.events.begin:]
	for i, c := range rest {
		if c == '\n' && (i == 0 || rest[i-1] == '\n' || i > 1 && rest[i-1] == '\r' && rest[i-2] == '\n' || i == 1 && rest[0] == '\r') {
			return true
		}
	}
	return false
}

// SetDeadline sets the time by which the next pieces must have come; a stream that misses it ends as TimedOut.
func (s *Stream) SetDeadline(t time.Time) {
	if s.exchange.conn == nil {
		return
	}
	s.exchange.conn.SetReadDeadline(t)
	if s.exchange.ctx.Err() != nil { // its end may have set the deadline just before
		s.exchange.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// End tells how the stream ended; Streaming while it hasn't.
func (s *Stream) End() End { return s.end }

// Close ends a stream that isn't at its end, and its connection, as Abandoned.
func (s *Stream) Close() {
	if s.end == Streaming {
		s.close(Abandoned, context.Canceled)
	}
}

func (s *Stream) close(end End, err error) {
	s.end, s.err = end, err
	s.exchange.finish()
}
