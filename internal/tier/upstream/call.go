package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"time"
)

const (
	aftermath   = 200 * time.Millisecond // an answer that came before the request had been written whole is at hand within it
	keepScratch = 8 << 10                // bytes that a connection keeps for heads to be put together in
)

// Result is how a call went.
type Result struct {
	End     End
	Written bool    // a byte of the request may have left
	Opened  bool    // a connection was opened for it
	Answer  *Answer // nil if no sound head with the request's id came
	Body    []byte  // the whole body, where End is Whole
	Stream  *Stream // the body, where End is Streaming; it must be closed
	Err     error   // where End is neither Whole nor Streaming

	turn       bool
	identified bool // Answer carries the request's X-Attempt-Id
	unframed   bool // the body of Answer ends with its connection
	connection connectionState
}

// connectionState is how a call left its connection. It stands from the end of the call on.
type connectionState struct {
	bodyDue   bool // some bytes of the request were written and others were not
	surplus   int  // whole answers read, less requests begun
	unread    bool // bytes are buffered that belong to no answer
	cancelled bool // the cancellation may still set the deadline
}

// Observation is what Classify takes. Begun says that a part of the answer has gone to the client.
func (r *Result) Observation(begun bool) Observation {
	state := &r.connection
	o := Observation{End: r.End, Written: r.Written, Begun: begun, Turn: r.turn, Identified: r.identified, Unframed: r.unframed,
		BodyDue: state.bodyDue, Surplus: state.surplus, Unread: state.unread, Cancelled: state.cancelled}
	if r.Stream != nil {
		o.End = r.Stream.End()
	}
	if a := r.Answer; a != nil {
		o.Status, o.Stamped, o.NotExecuted, o.Closing = a.Status, a.Signature != "", a.NotExecuted, a.closes
	}
	return o
}

// Verdict is what follows from how it went.
func (r *Result) Verdict(begun bool) Verdict { return Classify(r.Observation(begun)) }

// Call sends a request once. timeout counts from now, connecting included; a Stream takes it over until it is given
// another. ctx ends the call early, and with it its connection.
func (p *Pool) Call(ctx context.Context, t Target, q *Request, timeout time.Duration) *Result {
	now := time.Now()
	until := now.Add(timeout)
	r := &Result{turn: q.Turn}
	switch {
	case ctx.Err() != nil:
		return r.end(ended(ctx, ctx.Err()), ctx.Err())
	case timeout <= 0 || !q.Deadline.IsZero() && !now.Before(q.Deadline):
		return r.end(TimedOut, errOverdue)
	case !q.sound(t):
		return r.end(NotSent, errRequest)
	}
	c, opened, end, err := p.get(ctx, t, q.AttemptID, until)
	r.Opened = opened
	if end != Whole {
		return r.end(end, err)
	}
	size := 0
	for _, part := range q.Body {
		size += len(part)
	}
	now = time.Now()
	exchange := &exchange{pool: p, conn: c, ctx: ctx, result: r}
	if !q.Deadline.IsZero() && !now.Before(q.Deadline) || !now.Before(until) {
		return exchange.end(TimedOut, errOverdue)
	}
	out := q.appendHead(c.scratch[:0], t, size, now)
	if err := c.SetDeadline(until); err != nil {
		return exchange.end(ConnectFailed, err)
	}
	if ctx.Done() != nil {
		exchange.stop = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	}
	if q.Permit != nil && !q.Permit() {
		return exchange.end(NotSent, errNoPermit)
	}
	n, out, err := write(c.TCPConn, out, q.Body, size)
	if cap(out) <= keepScratch {
		c.scratch = out
	}
	if n > 0 {
		r.Written = true
		c.begin(q.AttemptID)
	}
	if err != nil {
		r.connection.bodyDue = n > 0
		end := ended(ctx, err)
		if n > 0 && end == Broken {
			return exchange.early(q)
		}
		return exchange.end(end, err)
	}
	return exchange.answer(q)
}

func (r *Result) end(e End, err error) *Result {
	r.End, r.Err = e, err
	return r
}

// ended tells why reading or writing ended.
func ended(ctx context.Context, err error) End {
	switch {
	case errors.Is(err, errMalformed), errors.Is(err, errTooLong):
		return Malformed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Abandoned
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	}
	return Broken
}

// exchange is a call that has its connection.
type exchange struct {
	pool   *Pool
	conn   *conn       // nil once it has been given back or closed
	stop   func() bool // keeps the cancellation from touching conn; false: it may have begun to. Nil: there is none
	ctx    context.Context
	result *Result
}

// end ends the call and its use of the connection.
func (exchange *exchange) end(end End, err error) *Result {
	r := exchange.result.end(end, err)
	exchange.finish()
	return r
}

// finish gives the connection back or closes it, as the table of outcomes says. The result's end is set before.
func (exchange *exchange) finish() {
	c, r := exchange.conn, exchange.result
	if c == nil {
		return
	}
	exchange.conn = nil
	state := &r.connection
	state.cancelled = exchange.stop != nil && !exchange.stop()
	state.unread = c.r.Buffered() > 0
	state.surplus = c.answers - c.requests
	switch {
	case r.Verdict(false).Reuse == CloseConnection:
		exchange.pool.drop(c)
	case r.Written:
		exchange.pool.put(c, r.Answer.alive)
	default:
		exchange.pool.unused(c)
	}
}

// answer reads the answer to q into the result.
func (exchange *exchange) answer(q *Request) *Result {
	r := exchange.result
	a, err := exchange.head(q)
	if err != nil {
		return exchange.end(ended(exchange.ctx, err), err)
	}
	r.Answer, r.identified = a, true
	success := a.Status/100 == 2
	if a.encoded || success && (a.NotExecuted || a.Signature == "" && !q.Unstamped) {
		return exchange.end(Malformed, errMalformed)
	}
	b := newBody(exchange.conn.r, a, q.Method)
	r.unframed = b.framing == byClose
	large := b.framing == byLength && b.left > int64(exchange.pool.config.Body)
	if success && !r.connection.bodyDue && (a.Events || q.Stream || large) {
		r.End = Streaming
		r.Stream = &Stream{exchange: exchange, body: b, answer: a, cut: a.Events, end: Streaming}
		r.Stream.events.last = q.After
		return r
	}
	if r.unframed && (!a.closeNamed || r.connection.bodyDue) { // its end would be any end
		return exchange.end(Malformed, errMalformed)
	}
	body, err := b.all(exchange.pool.config.Body)
	if err != nil {
		return exchange.end(ended(exchange.ctx, err), err)
	}
	exchange.conn.answers++
	r.Body = body
	return exchange.end(Whole, nil)
}

// head reads up to the head of the answer to q: over interim answers, and over late ones to former requests, after
// which the connection is of no further use.
func (exchange *exchange) head(q *Request) (*Answer, error) {
	c := exchange.conn
	for interim, foreign := 0, 0; ; {
		var a *Answer
		var err error
		if a, c.scratch, err = readHead(c.r, c.scratch); err != nil {
			return nil, unexpected(err)
		}
		switch {
		case a.Status == 101:
			return nil, errMalformed
		case a.Status < 200:
			if interim++; interim > maxInterim {
				return nil, errMalformed
			}
		case a.AttemptID == q.AttemptID:
			return a, nil
		default:
			b := newBody(c.r, a, "")
			if foreign++; foreign > maxForeign || a.AttemptID == "" || a.closes || b.framing == byClose {
				return nil, errMalformed
			}
			if err := b.skip(exchange.pool.config.Body); err != nil {
				return nil, err
			}
			c.answers++
		}
	}
}

// early looks for an answer that came while the request was being written: an endpoint that rejects it need not read it.
// A success is not believed there, as the endpoint has not had the whole request.
func (exchange *exchange) early(q *Request) *Result {
	if err := exchange.conn.SetReadDeadline(time.Now().Add(aftermath)); err != nil {
		return exchange.end(Broken, err)
	}
	r := exchange.answer(q)
	if r.End != Whole || r.Answer.Status/100 == 2 {
		r.Answer, r.Body = nil, nil
		return r.end(Broken, errEnded)
	}
	return r
}

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
