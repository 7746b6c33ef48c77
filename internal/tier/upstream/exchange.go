package upstream

import (
	"context"
	"time"
)

// exchange is a call that has its connection.
type exchange struct {
	pool       *Pool
	conn       *conn       // nil once it has been given back or closed
	stopCancel func() bool // keeps the cancellation from touching conn; false: it may have begun to. Nil: there is none
	ctx        context.Context
	result     *Result
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
		return exchange.end(TimedOut, errDeadlinePassed)
	}
	out := q.appendHead(c.scratch[:0], t, size, now)
	if err := c.SetDeadline(until); err != nil {
		return exchange.end(ConnectFailed, err)
	}
	if ctx.Done() != nil {
		exchange.stopCancel = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	}
	if q.Permit != nil && !q.Permit() {
		return exchange.end(NotSent, errNotPermitted)
	}
	n, out, err := write(c.TCPConn, out, q.Body, size)
	if cap(out) <= maxScratchBytes {
		c.scratch = out
	}
	if n > 0 {
		r.Written = true
		c.recordRequest(q.AttemptID)
	}
	if err != nil {
		r.connection.partlyWritten = n > 0
		end := outcomeOf(ctx, err)
		if n > 0 && end == Broken {
			return exchange.earlyResponse(q)
		}
		return exchange.end(end, err)
	}
	return exchange.readResponse(q)
}

// end ends the call and its use of the connection.
func (exchange *exchange) end(end Outcome, err error) *Result {
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
	state.cancelStarted = exchange.stopCancel != nil && !exchange.stopCancel()
	state.unreadBytes = c.reader.Buffered() > 0
	state.surplusResponses = c.responses - c.requests
	switch {
	case r.Disposition(false).Reuse == CloseConnection:
		exchange.pool.closeConn(c)
	case r.Written:
		exchange.pool.putUsed(c, r.Response.keepAlive)
	default:
		exchange.pool.putUnused(c)
	}
}

// readResponse reads the answer to q into the result.
func (exchange *exchange) readResponse(q *Request) *Result {
	r := exchange.result
	a, err := exchange.readResponseHead(q)
	if err != nil {
		return exchange.end(outcomeOf(exchange.ctx, err), err)
	}
	r.Response, r.identified = a, true
	success := a.Status/100 == 2
	if a.encoded || success && (a.NotExecuted || a.Signature == "" && !q.AllowUnsigned) {
		return exchange.end(Malformed, errMalformed)
	}
	b := newBody(exchange.conn.reader, a, q.Method)
	r.unframed = b.framing == byClose
	large := b.framing == byLength && b.remaining > int64(exchange.pool.config.MaxBufferedBody)
	if success && !r.connection.partlyWritten && (a.IsEventStream || q.ForceStream || large) {
		r.Outcome = Streaming
		r.Stream = &Stream{exchange: exchange, body: b, response: a, splitEvents: a.IsEventStream, outcome: Streaming}
		r.Stream.events.lastID = q.LastEventID
		return r
	}
	if r.unframed && (!a.explicitClose || r.connection.partlyWritten) { // its end would be any end
		return exchange.end(Malformed, errMalformed)
	}
	body, err := b.readAll(exchange.pool.config.MaxBufferedBody)
	if err != nil {
		return exchange.end(outcomeOf(exchange.ctx, err), err)
	}
	exchange.conn.responses++
	r.Body = body
	return exchange.end(Complete, nil)
}

// readResponseHead reads up to the head of the answer to q: over interim answers, and over late ones to former requests, after
// which the connection is of no further use.
func (exchange *exchange) readResponseHead(q *Request) (*Response, error) {
	c := exchange.conn
	for interim, foreign := 0, 0; ; {
		var a *Response
		var err error
		if a, c.scratch, err = readHead(c.reader, c.scratch); err != nil {
			return nil, unexpected(err)
		}
		switch {
		case a.Status == 101:
			return nil, errMalformed
		case a.Status < 200:
			if interim++; interim > maxInterimResponses {
				return nil, errMalformed
			}
		case a.AttemptID == q.AttemptID:
			return a, nil
		default:
			b := newBody(c.reader, a, "")
			if foreign++; foreign > maxStaleResponses || a.AttemptID == "" || a.closesConnection || b.framing == byClose {
				return nil, errMalformed
			}
			if err := b.discard(exchange.pool.config.MaxBufferedBody); err != nil {
				return nil, err
			}
			c.responses++
		}
	}
}

// earlyResponse looks for an answer that came while the request was being written: an endpoint that rejects it need not read it.
// A success is not believed there, as the endpoint has not had the whole request.
func (exchange *exchange) earlyResponse(q *Request) *Result {
	if err := exchange.conn.SetReadDeadline(time.Now().Add(earlyResponseWait)); err != nil {
		return exchange.end(Broken, err)
	}
	r := exchange.readResponse(q)
	if r.Outcome != Complete || r.Response.Status/100 == 2 {
		r.Response, r.Body = nil, nil
		return r.end(Broken, errConnectionEnded)
	}
	return r
}
