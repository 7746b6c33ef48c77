package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// Stream is the body of an answer as it comes. It is for one goroutine.
type Stream struct {
	exchange    *exchange
	body        body
	response    *Response
	splitEvents bool // into events
	events      eventSplitter
	raw         []byte
	err         error // of the body; io.EOF: it is whole
	outcome     Outcome
}

// Next waits for the next piece. io.EOF says that the body has come whole; after any other error it has not, and End
// tells why.
func (stream *Stream) Next() (Event, error) {
	for stream.outcome == Streaming {
		if stream.splitEvents {
			p, ok, sound := stream.events.next()
			if !sound {
				stream.close(Malformed, errMalformed)
				break
			}
			if ok {
				return p, nil
			}
		} else if len(stream.raw) > 0 {
			p := Event{Raw: stream.raw}
			stream.raw = stream.raw[:0]
			return p, nil
		}
		stream.read()
	}
	return Event{}, stream.err
}

// read reads on, or ends the stream.
func (stream *Stream) read() {
	if stream.err != nil {
		switch {
		case !errors.Is(stream.err, io.EOF):
			stream.close(outcomeOf(stream.exchange.ctx, stream.err), stream.err)
		case stream.splitEvents && stream.events.unfinished():
			stream.close(Malformed, errMalformed)
		case stream.body.framing == byClose: // a cut would look the same
			stream.close(Broken, io.ErrUnexpectedEOF)
		default:
			stream.outcome = Complete
			stream.exchange.conn.responses++
			stream.exchange.finish()
		}
		return
	}
	if stream.splitEvents {
		stream.events.compact()
		stream.events.buf, stream.err = stream.body.read(stream.events.buf)
		return
	}
	stream.raw, stream.err = stream.body.read(stream.raw[:0])
}

// BodyReceived reports whether the end of the body has come already, whole: no piece comes but those at hand.
func (stream *Stream) BodyReceived() bool {
	return stream.outcome == Complete || stream.outcome == Streaming && errors.Is(stream.err, io.EOF) && stream.body.framing != byClose
}

// Ready reports whether Next gives a piece, or the end, without waiting. The slices of the last piece stay good.
func (stream *Stream) Ready() bool {
	switch {
	case stream.outcome != Streaming || stream.err != nil:
		return true
	case !stream.splitEvents:
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

// Outcome tells how the stream ended; Streaming while it hasn't.
func (stream *Stream) Outcome() Outcome { return stream.outcome }

// Close ends a stream that isn't at its end, and its connection, as Abandoned.
func (stream *Stream) Close() {
	if stream.outcome == Streaming {
		stream.close(Canceled, context.Canceled)
	}
}

// close ends the stream and its call.
func (stream *Stream) close(end Outcome, err error) {
	stream.outcome, stream.err = end, err
	stream.exchange.finish()
}
