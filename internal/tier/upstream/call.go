package upstream

import (
	"context"
	"errors"
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
func (result *Result) Observation(begun bool) Observation {
	state := &result.connection
	o := Observation{End: result.End, Written: result.Written, Begun: begun, Turn: result.turn, Identified: result.identified, Unframed: result.unframed,
		BodyDue: state.bodyDue, Surplus: state.surplus, Unread: state.unread, Cancelled: state.cancelled}
	if result.Stream != nil {
		o.End = result.Stream.End()
	}
	if a := result.Answer; a != nil {
		o.Status, o.Stamped, o.NotExecuted, o.Closing = a.Status, a.Signature != "", a.NotExecuted, a.closes
	}
	return o
}

// Verdict is what follows from how it went.
func (result *Result) Verdict(begun bool) Verdict { return Classify(result.Observation(begun)) }

// Call sends a request once. timeout counts from now, connecting included; a Stream takes it over until it is given
// another. ctx ends the call early, and with it its connection.
func (pool *Pool) Call(ctx context.Context, t Target, q *Request, timeout time.Duration) *Result {
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
	c, opened, end, err := pool.get(ctx, t, q.AttemptID, until)
	r.Opened = opened
	if end != Whole {
		return r.end(end, err)
	}
	exchange := &exchange{pool: pool, conn: c, ctx: ctx, result: r}
	return exchange.send(t, q, until)
}

// end ends a call.
func (result *Result) end(e End, err error) *Result {
	result.End, result.Err = e, err
	return result
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
