package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

// Stream is the body of a response as it is received. It may be used by one goroutine only.
type Stream struct {
	exchange    *exchange
	body        body
	response    *Response
	splitEvents bool // the body is text/event-stream
	events      eventSplitter
	raw         []byte
	err         error // of the body; io.EOF: it is complete
	outcome     Outcome
}

// Next waits for the next event. The error io.EOF means that the body is complete; after any other error it is not, and Outcome
// reports why.
func (stream *Stream) Next() (Event, error) {
	for stream.outcome == Streaming {
		if stream.splitEvents {
			event, ok, valid := stream.events.next()
			if !valid {
				stream.close(Malformed, errMalformed)
				break
			}
			if ok {
				return event, nil
			}
		} else if len(stream.raw) > 0 {
			event := Event{Raw: stream.raw}
			stream.raw = stream.raw[:0]
			return event, nil
		}
		stream.read()
	}
	return Event{}, stream.err
}

// read reads more of the body, or ends the stream.
func (stream *Stream) read() {
	if stream.err != nil {
		switch {
		case !errors.Is(stream.err, io.EOF):
			stream.close(outcomeOf(stream.exchange.ctx, stream.err), stream.err)
		case stream.splitEvents && stream.events.unfinished():
			stream.close(Malformed, errMalformed)
		case stream.body.framing == byClose: // a truncated body would look the same
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

// BodyReceived reports whether the complete body was received: Next then returns only events that are already buffered.
func (stream *Stream) BodyReceived() bool {
	return stream.outcome == Complete || stream.outcome == Streaming && errors.Is(stream.err, io.EOF) && stream.body.framing != byClose
}

// Ready reports whether Next returns an event or the end without waiting. The slices of the last event stay valid.
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

// SetDeadline sets the time by which further events must have been received; a stream that misses it ends as TimedOut.
func (stream *Stream) SetDeadline(t time.Time) {
	if stream.exchange.conn == nil {
		return
	}
	stream.exchange.conn.SetReadDeadline(t)
	if stream.exchange.ctx.Err() != nil { // the cancellation may have set its deadline just before this call replaced it
		stream.exchange.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Outcome returns how the stream ended; Streaming while it hasn't.
func (stream *Stream) Outcome() Outcome { return stream.outcome }

// Close ends a stream as Canceled and closes its connection. It has no effect on a stream that has already ended.
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
