package upstream

import "net/http"

// Outcome is how a call ended.
type Outcome uint8

// The ends of a call.
const (
	NotSent       Outcome = iota // the permit was refused, or the request or its time didn't allow a send; no byte was written
	NoConnection                 // no connection was idle and none may be opened; no byte was written
	ConnectFailed                // no connection came up; no byte was written
	Complete                     // the answer came whole
	Streaming                    // the head of an answer came, its body is read by Stream.Next
	Broken                       // the connection ended before the answer had
	Malformed                    // what came is no sound answer to the request
	TimedOut                     // the time of the call was over
	Canceled                     // the context was cancelled
)

func (e Outcome) String() string {
	return [...]string{"not_sent", "no_room", "connect_failed", "whole", "streaming", "broken", "malformed", "timed_out", "abandoned"}[e]
}

// Execution says whether the endpoint has begun to work on the request, or may yet.
type Execution uint8

// What is known of it.
const (
	ExecutionUnknown Execution = iota
	NotExecuted                // it has not run there and never will
	Executed
)

func (r Execution) String() string { return [...]string{"unknown", "no", "yes"}[r] }

// ClientReply is what the client gets if nothing is left to try.
type ClientReply uint8

// The replies.
const (
	ForwardResponse    ClientReply = iota // the endpoint's own answer, or what is left of it
	ServiceUnavailable                    // 503 with Retry-After: it has not run
	BadGateway                            // 502: it may have run
	GatewayTimeout                        // 504: it may have run, and the time is over
	AbortConnection                       // the connection ends with the answer visibly not whole
	NoReply                               // the client has left
)

func (r ClientReply) String() string {
	return [...]string{"pass_on", "refuse", "bad_gateway", "gateway_timeout", "break_off", "nothing"}[r]
}

// Reuse is what becomes of the connection of a call that has ended.
type Reuse uint8

// The uses.
const (
	CloseConnection Reuse = iota // nothing is ever written on it again
	KeepConnection               // it may carry another request
)

func (r Reuse) String() string { return [...]string{"close", "keep"}[r] }

// Observation is all that the outcome of a call rests on.
type Observation struct {
	Outcome      Outcome
	Written      bool // a byte of the request may have left
	Status       int  // of an answer whose head is sound; 0: none came
	Identified   bool // it carries the request's X-Attempt-Id
	Signed       bool // it has X-Response-Signature
	NotExecuted  bool // it has X-Not-Executed
	Unframed     bool // its body has neither a length nor chunks: it ends with the connection
	ReplyStarted bool // a part of the answer has gone to the client
	Turn         bool // the request is a turn of a program, whose 402, 404 and 410 are the system's to say

	// Of the connection, at the end of the call:
	PartlyWritten    bool // some bytes of the request were written and others were not
	CloseAnnounced   bool // the endpoint announced that no further answer comes (Connection: close, HTTP/1.0)
	SurplusResponses int  // whole answers read on the connection, less requests begun on it
	UnreadBytes      bool // bytes were read that belong to no answer
	CancelStarted    bool // the call's cancellation has begun, and may still touch the connection
}

// Disposition is what follows from an Observation.
type Disposition struct {
	Execution       Execution
	Reply           ClientReply
	RetryIdempotent bool // an idempotent request may be sent again
	RetryAny        bool // one that isn't may be sent again, too
	Reuse           Reuse
}

// MayRetry reports whether the request may be sent again, as far as its kind goes.
func (v Disposition) MayRetry(idempotent bool) bool {
	return v.RetryAny || idempotent && v.RetryIdempotent
}

// Classify is the table of outcomes: whether the request has run, what its client gets, whether it may be sent again, and
// whether its connection may carry another one.
//
// Only X-Not-Executed and 421 on a whole answer say that what was written has not run; 408, 429, 503 (and 402) promise that
// to the client and are never passed on without. How a connection ends after the first byte was written (reset, close or
// silence, on a new connection or on one that had been idle) is no evidence that the request has not run.
func Classify(o Observation) Disposition {
	v := classify(o)
	v.Reuse = o.reuse()
	return v
}

// classify gives all of a Verdict but Reuse.
func classify(o Observation) Disposition {
	switch {
	case o.Outcome == Canceled && !o.Written:
		return Disposition{Execution: NotExecuted, Reply: NoReply}
	case o.Outcome == Canceled:
		return Disposition{Execution: ExecutionUnknown, Reply: NoReply}
	case !o.Written:
		return Disposition{Execution: NotExecuted, Reply: ServiceUnavailable, RetryIdempotent: true, RetryAny: true}
	case o.Outcome == Complete || o.Outcome == Streaming:
		return o.respondedDisposition()
	case o.ReplyStarted:
		return Disposition{Execution: o.minExecution(), Reply: AbortConnection}
	case o.Outcome == TimedOut:
		return Disposition{Execution: o.minExecution(), Reply: GatewayTimeout, RetryIdempotent: true}
	}
	return Disposition{Execution: o.minExecution(), Reply: BadGateway, RetryIdempotent: true}
}

// reuse keeps a connection only where every request begun on it was written whole and answered whole, one answer each, and
// nothing else has come. A connection on which nothing was written is as clean as it was.
func (o *Observation) reuse() Reuse {
	if o.PartlyWritten || o.CloseAnnounced || o.SurplusResponses != 0 || o.UnreadBytes || o.CancelStarted {
		return CloseConnection
	}
	switch {
	case !o.Written && (o.Outcome == NotSent || o.Outcome == TimedOut):
		return KeepConnection
	case o.Written && o.Outcome == Complete && o.Identified && !o.Unframed:
		return KeepConnection
	}
	return CloseConnection
}

// complete reports whether the end of an answer proves that it is whole. A body without framing ends with its connection:
// it is whole if the endpoint announced that end, and if no failed write can have taken the connection's error, as after a
// reset that was reported to a write the next read gives a plain end.
func (o *Observation) complete() bool { return !o.Unframed || o.CloseAnnounced && !o.PartlyWritten }

// success reports whether the answer is one of the endpoint's own to this very request.
func (o *Observation) success() bool {
	return o.Status/100 == 2 && o.Identified && o.Signed && !o.NotExecuted
}

// minExecution is for an answer that didn't come whole: a sound head of a success says that the request has run.
func (o *Observation) minExecution() Execution {
	if o.success() {
		return Executed
	}
	return ExecutionUnknown
}

// respondedDisposition is for answers that are whole, or whole as yet.
func (o *Observation) respondedDisposition() Disposition {
	unsure := Disposition{Execution: ExecutionUnknown, Reply: BadGateway, RetryIdempotent: true}
	switch success := o.Status/100 == 2; {
	case o.success() && o.complete() && !o.PartlyWritten:
		return Disposition{Execution: Executed, Reply: ForwardResponse}
	case o.ReplyStarted: // only successes are passed on piece by piece
		return Disposition{Execution: ExecutionUnknown, Reply: AbortConnection}
	case success || o.Status < 200 || o.Status > 599 || o.Outcome == Streaming || !o.Identified || !o.complete():
		return unsure
	case o.NotExecuted && o.Status == http.StatusBadRequest: // it has no id, and would have none elsewhere
		return Disposition{Execution: NotExecuted, Reply: ForwardResponse}
	case o.NotExecuted || o.Status == http.StatusMisdirectedRequest:
		return Disposition{Execution: NotExecuted, Reply: ServiceUnavailable, RetryIdempotent: true, RetryAny: true}
	}
	switch o.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired:
		return unsure
	case http.StatusNotFound, http.StatusGone:
		if o.Turn {
			return unsure
		}
	}
	v := Disposition{Execution: Executed, Reply: ForwardResponse, RetryIdempotent: true}
	switch o.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusRequestHeaderFieldsTooLarge:
		v.RetryIdempotent = false // it would be the same elsewhere
	}
	return v
}
