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
func (stream *Stream) Next() (Piece, error) {
	for stream.end == Streaming {
		if stream.cut {
			p, ok, sound := stream.events.next()
			if !sound {
				stream.close(Malformed, errMalformed)
				break
			}
			if ok {
				return p, nil
			}
		} else if len(stream.raw) > 0 {
			p := Piece{Raw: stream.raw}
			stream.raw = stream.raw[:0]
			return p, nil
		}
		stream.more()
	}
	return Piece{}, stream.err
}

// more reads on, or ends the stream.
func (stream *Stream) more() {
	if stream.err != nil {
		switch {
		case stream.err != io.EOF:
			stream.close(ended(stream.exchange.ctx, stream.err), stream.err)
		case stream.cut && stream.events.unfinished():
			stream.close(Malformed, errMalformed)
		case stream.body.framing == byClose: // a cut would look the same
			stream.close(Broken, io.ErrUnexpectedEOF)
		default:
			stream.end = Whole
			stream.exchange.conn.answers++
			stream.exchange.finish()
		}
		return
	}
	if stream.cut {
		stream.events.compact()
		stream.events.buf, stream.err = stream.body.more(stream.events.buf)
		return
	}
	stream.raw, stream.err = stream.body.more(stream.raw[:0])
}

// Last reports whether the end of the body has come already, whole: no piece comes but those at hand.
func (stream *Stream) Last() bool {
	return stream.end == Whole || stream.end == Streaming && stream.err == io.EOF && stream.body.framing != byClose
}

// AtHand reports whether Next gives a piece, or the end, without waiting. The slices of the last piece stay good.
func (stream *Stream) AtHand() bool {
	switch {
	case stream.end != Streaming || stream.err != nil:
		return true
	case !stream.cut:
		return len(stream.raw) > 0
	}
	rest := stream.events.buf[stream.events.begin:]
	for i, c := range rest {
		if c == '\n' && (i == 0 || rest[i-1] == '\n' || i > 1 && rest[i-1] == '\r' && rest[i-2] == '\n' || i == 1 && rest[0] == '\r') {
			return true
		}
	}
	return false
}

// SetDeadline sets the time by which the next pieces must have come; a stream that misses it ends as TimedOut.
func (stream *Stream) SetDeadline(t time.Time) {
	if stream.exchange.conn == nil {
		return
	}
	stream.exchange.conn.SetReadDeadline(t)
	if stream.exchange.ctx.Err() != nil { // its end may have set the deadline just before
		stream.exchange.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// End tells how the stream ended; Streaming while it hasn't.
func (stream *Stream) End() End { return stream.end }

// Close ends a stream that isn't at its end, and its connection, as Abandoned.
func (stream *Stream) Close() {
	if stream.end == Streaming {
		stream.close(Abandoned, context.Canceled)
	}
}

// close ends the stream and its call.
func (stream *Stream) close(end End, err error) {
	stream.end, stream.err = end, err
	stream.exchange.finish()
}
