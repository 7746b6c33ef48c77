package upstream

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	earlyResponseWait = 200 * time.Millisecond // wait for a response sent before the request was completely written
	maxScratchBytes   = 8 << 10                // largest buffer of heads that a connection keeps
)

// Result is the result of a call.
type Result struct {
	Outcome       Outcome
	Written       bool      // a byte of the request may have been sent
	NewConnection bool      // a connection was opened for the call
	Response      *Response // nil: no valid head with the request's id was received
	Body          []byte    // the complete body, if Outcome is Complete
	Stream        *Stream   // the body, if Outcome is Streaming; it must be closed
	Err           error     // if Outcome is neither Complete nor Streaming

	turn       bool
	identified bool // Response carries the request's X-Attempt-Id
	unframed   bool // the body of Response ends with its connection
	connection connectionState
}

// connectionState is how a call left its connection. It is set at the end of the call.
type connectionState struct {
	partlyWritten    bool // some bytes of the request were written and others were not
	surplusResponses int  // complete responses read, less requests begun
	unreadBytes      bool // bytes are buffered that belong to no response
	cancelStarted    bool // the cancellation may still set the deadline
}

// Observation returns the input of Classify. replyStarted means that a part of the response was sent to the client.
func (result *Result) Observation(replyStarted bool) Observation {
	state := &result.connection
	o := Observation{Outcome: result.Outcome, Written: result.Written, ReplyStarted: replyStarted, Turn: result.turn, Identified: result.identified, Unframed: result.unframed,
		PartlyWritten: state.partlyWritten, SurplusResponses: state.surplusResponses, UnreadBytes: state.unreadBytes, CancelStarted: state.cancelStarted}
	if result.Stream != nil {
		o.Outcome = result.Stream.Outcome()
	}
	if response := result.Response; response != nil {
		o.Status, o.Signed, o.NotExecuted, o.CloseAnnounced = response.Status, response.Signature != "", response.NotExecuted, response.closesConnection
	}
	return o
}

// Disposition classifies the result. replyStarted means that a part of the response was sent to the client.
func (result *Result) Disposition(replyStarted bool) Disposition {
	return Classify(result.Observation(replyStarted))
}

// Call sends a request once. timeout counts from now, includes connecting, and applies to a Stream until Stream.SetDeadline is
// called. If ctx ends, the call ends early and its connection is closed.
func (pool *Pool) Call(ctx context.Context, target Target, request *Request, timeout time.Duration) *Result {
	now := time.Now()
	deadline := now.Add(timeout)
	result := &Result{turn: request.Turn}
	switch {
	case ctx.Err() != nil:
		return result.end(outcomeOf(ctx, ctx.Err()), ctx.Err())
	case timeout <= 0 || !request.Deadline.IsZero() && !now.Before(request.Deadline):
		return result.end(TimedOut, errDeadlinePassed)
	case !request.valid(target):
		return result.end(NotSent, errInvalidRequest)
	}
	c, opened, end, err := pool.acquire(ctx, target, request.AttemptID, deadline)
	result.NewConnection = opened
	if end != Complete {
		return result.end(end, err)
	}
	exchange := &exchange{pool: pool, conn: c, ctx: ctx, result: result}
	return exchange.send(target, request, deadline)
}

// end sets the outcome and the error of a call.
func (result *Result) end(e Outcome, err error) *Result {
	result.Outcome, result.Err = e, err
	return result
}

// outcomeOf returns the outcome of a call whose reading or writing failed.
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
