package upstream

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	earlyResponseWait = 200 * time.Millisecond // an answer that came before the request had been written whole is at hand within it
	maxScratchBytes   = 8 << 10                // bytes that a connection keeps for heads to be put together in
)

// Result is how a call went.
type Result struct {
	Outcome       Outcome
	Written       bool      // a byte of the request may have left
	NewConnection bool      // a connection was opened for it
	Response      *Response // nil if no sound head with the request's id came
	Body          []byte    // the whole body, where End is Whole
	Stream        *Stream   // the body, where End is Streaming; it must be closed
	Err           error     // where End is neither Whole nor Streaming

	turn       bool
	identified bool // Answer carries the request's X-Attempt-Id
	unframed   bool // the body of Answer ends with its connection
	connection connectionState
}

// connectionState is how a call left its connection. It stands from the end of the call on.
type connectionState struct {
	partlyWritten    bool // some bytes of the request were written and others were not
	surplusResponses int  // whole answers read, less requests begun
	unreadBytes      bool // bytes are buffered that belong to no answer
	cancelStarted    bool // the cancellation may still set the deadline
}

// Observation is what Classify takes. Begun says that a part of the answer has gone to the client.
func (result *Result) Observation(replyStarted bool) Observation {
	state := &result.connection
	o := Observation{Outcome: result.Outcome, Written: result.Written, ReplyStarted: replyStarted, Turn: result.turn, Identified: result.identified, Unframed: result.unframed,
		PartlyWritten: state.partlyWritten, SurplusResponses: state.surplusResponses, UnreadBytes: state.unreadBytes, CancelStarted: state.cancelStarted}
	if result.Stream != nil {
		o.Outcome = result.Stream.Outcome()
	}
	if a := result.Response; a != nil {
		o.Status, o.Signed, o.NotExecuted, o.CloseAnnounced = a.Status, a.Signature != "", a.NotExecuted, a.closesConnection
	}
	return o
}

// Disposition is what follows from how it went.
func (result *Result) Disposition(replyStarted bool) Disposition {
	return Classify(result.Observation(replyStarted))
}

// Call sends a request once. timeout counts from now, connecting included; a Stream takes it over until it is given
// another. ctx ends the call early, and with it its connection.
func (pool *Pool) Call(ctx context.Context, t Target, q *Request, timeout time.Duration) *Result {
	now := time.Now()
	until := now.Add(timeout)
	r := &Result{turn: q.Turn}
	switch {
	case ctx.Err() != nil:
		return r.end(outcomeOf(ctx, ctx.Err()), ctx.Err())
	case timeout <= 0 || !q.Deadline.IsZero() && !now.Before(q.Deadline):
		return r.end(TimedOut, errDeadlinePassed)
	case !q.valid(t):
		return r.end(NotSent, errInvalidRequest)
	}
	c, opened, end, err := pool.acquire(ctx, t, q.AttemptID, until)
	r.NewConnection = opened
	if end != Complete {
		return r.end(end, err)
	}
	exchange := &exchange{pool: pool, conn: c, ctx: ctx, result: r}
	return exchange.send(t, q, until)
}

// end ends a call.
func (result *Result) end(e Outcome, err error) *Result {
	result.Outcome, result.Err = e, err
	return result
}

// outcomeOf tells why reading or writing ended.
func outcomeOf(ctx context.Context, err error) Outcome {
	switch {
	case errors.Is(err, errMalformed), errors.Is(err, errBodyTooLarge):
		return Malformed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Canceled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TimedOut
	}
	return Broken
}
