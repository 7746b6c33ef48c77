package upstream

import (
	"context"
	"time"
)

// exchange is a call that has a connection.
type exchange struct {
	pool       *Pool
	conn       *conn       // nil once it has been returned to the pool or closed
	stopCancel func() bool // stops the cancellation from setting conn's deadline; false: it may have begun. Nil: the call can't be cancelled
	ctx        context.Context
	result     *Result
}

// send writes the request, in one write if possible, and reads the response.
func (exchange *exchange) send(target Target, request *Request, deadline time.Time) *Result {
	c, result, ctx := exchange.conn, exchange.result, exchange.ctx
	size := 0
	for _, part := range request.Body {
		size += len(part)
	}
	now := time.Now()
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) || !now.Before(deadline) {
		return exchange.end(TimedOut, errDeadlinePassed)
	}
	out := request.appendHead(c.scratch[:0], target, size, now)
	if err := c.SetDeadline(deadline); err != nil {
		return exchange.end(ConnectFailed, err)
	}
	if ctx.Done() != nil {
		exchange.stopCancel = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	}
	if request.Permit != nil && !request.Permit() {
		return exchange.end(NotSent, errNotPermitted)
	}
	n, out, err := write(c.TCPConn, out, request.Body, size)
	if cap(out) <= maxScratchBytes {
		c.scratch = out
	}
	if n > 0 {
		result.Written = true
		c.recordRequest(request.AttemptID)
	}
	if err != nil {
		result.connection.partlyWritten = n > 0
		end := outcomeOf(ctx, err)
		if n > 0 && end == Broken {
			return exchange.earlyResponse(request)
		}
		return exchange.end(end, err)
	}
	return exchange.readResponse(request)
}

// end ends the call and its use of the connection.
func (exchange *exchange) end(end Outcome, err error) *Result {
	result := exchange.result.end(end, err)
	exchange.finish()
	return result
}

// finish returns the connection to the pool or closes it, as Classify decides. The result's outcome must be set before.
func (exchange *exchange) finish() {
	c, result := exchange.conn, exchange.result
	if c == nil {
		return
	}
	exchange.conn = nil
	state := &result.connection
	state.cancelStarted = exchange.stopCancel != nil && !exchange.stopCancel()
	state.unreadBytes = c.reader.Buffered() > 0
	state.surplusResponses = c.responses - c.requests
	switch {
	case result.Disposition(false).Reuse == CloseConnection:
		exchange.pool.closeConn(c)
	case result.Written:
		exchange.pool.putUsed(c, result.Response.keepAlive)
	default:
		exchange.pool.putUnused(c)
	}
}

// readResponse reads the response into the result.
func (exchange *exchange) readResponse(request *Request) *Result {
	result := exchange.result
	response, err := exchange.readResponseHead(request)
	if err != nil {
		return exchange.end(outcomeOf(exchange.ctx, err), err)
	}
	result.Response, result.identified = response, true
	success := response.Status/100 == 2
	if response.encoded || success && (response.NotExecuted || response.Signature == "" && !request.AllowUnsigned) {
		return exchange.end(Malformed, errMalformed)
	}
	b := newBody(exchange.conn.reader, response, request.Method)
	result.unframed = b.framing == byClose
	large := b.framing == byLength && b.remaining > int64(exchange.pool.config.MaxBufferedBody)
	if success && !result.connection.partlyWritten && (response.IsEventStream || request.ForceStream || large) {
		result.Outcome = Streaming
		result.Stream = &Stream{exchange: exchange, body: b, response: response, splitEvents: response.IsEventStream, outcome: Streaming}
		result.Stream.events.lastID = request.LastEventID
		return result
	}
	if result.unframed && (!response.explicitClose || result.connection.partlyWritten) { // a truncated body would look the same
		return exchange.end(Malformed, errMalformed)
	}
	body, err := b.readAll(exchange.pool.config.MaxBufferedBody)
	if err != nil {
		return exchange.end(outcomeOf(exchange.ctx, err), err)
	}
	exchange.conn.responses++
	result.Body = body
	return exchange.end(Complete, nil)
}

// readResponseHead reads the head of the response to the request. It skips interim responses and late responses to earlier requests.
// After a late response, the connection is not used again.
func (exchange *exchange) readResponseHead(request *Request) (*Response, error) {
	c := exchange.conn
	for interim, stale := 0, 0; ; {
		var response *Response
		var err error
		if response, c.scratch, err = readHead(c.reader, c.scratch); err != nil {
			return nil, unexpected(err)
		}
		switch {
		case response.Status == 101:
			return nil, errMalformed
		case response.Status < 200:
			if interim++; interim > maxInterimResponses {
				return nil, errMalformed
			}
		case response.AttemptID == request.AttemptID:
			return response, nil
		default:
			b := newBody(c.reader, response, "")
			if stale++; stale > maxStaleResponses || response.AttemptID == "" || response.closesConnection || b.framing == byClose {
				return nil, errMalformed
			}
			if err := b.discard(exchange.pool.config.MaxBufferedBody); err != nil {
				return nil, err
			}
			c.responses++
		}
	}
}

// earlyResponse reads a response that was sent while the request was being written: an endpoint that rejects a request need not read
// all of it. A success is treated as Broken, because the endpoint has not received the complete request.
func (exchange *exchange) earlyResponse(request *Request) *Result {
	if err := exchange.conn.SetReadDeadline(time.Now().Add(earlyResponseWait)); err != nil {
		return exchange.end(Broken, err)
	}
	result := exchange.readResponse(request)
	if result.Outcome != Complete || result.Response.Status/100 == 2 {
		result.Response, result.Body = nil, nil
		return result.end(Broken, errConnectionEnded)
	}
	return result
}
