package upstream

import (
	"context"
	"time"
)

// exchange is a call that has its connection.
type exchange struct {
	pool   *Pool
	conn   *conn       // nil once it has been given back or closed
	stop   func() bool // keeps the cancellation from touching conn; false: it may have begun to. Nil: there is none
	ctx    context.Context
	result *Result
}

// send writes the request, as one write where that can be, and reads the answer. until is the end of the call's time.
func (exchange *exchange) send(t Target, q *Request, until time.Time) *Result {
	c, r, ctx := exchange.conn, exchange.result, exchange.ctx
	size := 0
	for _, part := range q.Body {
		size += len(part)
	}
	now := time.Now()
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
