package upstream

import "net/http"

// Observation is everything that the disposition of a call depends on.
type Observation struct {
	Outcome      Outcome
	Written      bool // a byte of the request may have been sent
	Status       int  // of a response whose head is valid; 0: there is none
	Identified   bool // the response carries the request's X-Attempt-Id
	Signed       bool // the response has X-Response-Signature
	NotExecuted  bool // the response has X-Not-Executed
	Unframed     bool // the body has neither a length nor chunks and ends with the connection
	ReplyStarted bool // a part of the response was sent to the client
	Turn         bool // the request is a turn of a program; only the tier itself may answer a turn with 402, 404 or 410

	// State of the connection at the end of the call:
	PartlyWritten    bool // some bytes of the request were written and others were not
	CloseAnnounced   bool // the endpoint announced that no further response follows (Connection: close, HTTP/1.0)
	SurplusResponses int  // complete responses read on the connection, less requests begun on it
	UnreadBytes      bool // bytes were read that belong to no response
	CancelStarted    bool // the call's cancellation has begun, and may still set the connection's deadline
}

// Disposition is what Classify derives from an Observation.
type Disposition struct {
	Execution       Execution
	Reply           ClientReply
	RetryIdempotent bool // an idempotent request may be retried
	RetryAny        bool // a request that is not idempotent may be retried, too
	Reuse           Reuse
}

// MayRetry reports whether the outcome of the call permits a retry of the request.
func (v Disposition) MayRetry(idempotent bool) bool {
	return v.RetryAny || idempotent && v.RetryIdempotent
}

// Classify derives from an Observation whether the request was executed, what its client gets, whether it may be retried, and
// whether its connection may carry another one.
//
// Once a byte was written, only a complete response with X-Not-Executed or status 421 proves that the request was not executed. To
// a client, 408, 429, 503 and 402 promise that it was not, so they are never forwarded without that proof. How a connection ends
// after the first byte was written (reset, close or time-out, on a new connection or on one that had been idle) is no evidence that
// the request was not executed.
func Classify(o Observation) Disposition {
	v := classify(o)
	v.Reuse = o.reuse()
	return v
}

// classify returns all of a Disposition but Reuse.
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

// reuse keeps a connection only if every request begun on it was written completely and has one complete response, and nothing else
// was received. A call that has written nothing does not change whether its connection may be reused.
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

// complete reports whether the end of a response proves that the response is complete. A body without framing ends with its
// connection. It is complete only if the endpoint announced the close and no failed write can have consumed the connection's error:
// after a reset was reported to a write, the next read returns a plain io.EOF.
func (o *Observation) complete() bool { return !o.Unframed || o.CloseAnnounced && !o.PartlyWritten }

// success reports whether the response is a success that the endpoint itself generated for this request.
func (o *Observation) success() bool {
	return o.Status/100 == 2 && o.Identified && o.Signed && !o.NotExecuted
}

// minExecution returns what is known if the response is incomplete: a valid head of a success proves that the request is executed.
func (o *Observation) minExecution() Execution {
	if o.success() {
		return Executed
	}
	return ExecutionUnknown
}

// respondedDisposition classifies responses that are complete, or not yet known to be incomplete.
func (o *Observation) respondedDisposition() Disposition {
	unknown := Disposition{Execution: ExecutionUnknown, Reply: BadGateway, RetryIdempotent: true}
	switch success := o.Status/100 == 2; {
	case o.success() && o.complete() && !o.PartlyWritten:
		return Disposition{Execution: Executed, Reply: ForwardResponse}
	case o.ReplyStarted: // only successes are streamed
		return Disposition{Execution: ExecutionUnknown, Reply: AbortConnection}
	case success || o.Status < 200 || o.Status > 599 || o.Outcome == Streaming || !o.Identified || !o.complete():
		return unknown
	case o.NotExecuted && o.Status == http.StatusBadRequest: // the request has no attempt id, so other endpoints would reject it, too
		return Disposition{Execution: NotExecuted, Reply: ForwardResponse}
	case o.NotExecuted || o.Status == http.StatusMisdirectedRequest:
		return Disposition{Execution: NotExecuted, Reply: ServiceUnavailable, RetryIdempotent: true, RetryAny: true}
	}
	switch o.Status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired:
		return unknown
	case http.StatusNotFound, http.StatusGone:
		if o.Turn {
			return unknown
		}
	}
	v := Disposition{Execution: Executed, Reply: ForwardResponse, RetryIdempotent: true}
	switch o.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge,
		http.StatusRequestHeaderFieldsTooLarge:
		v.RetryIdempotent = false // another endpoint would respond the same
	}
	return v
}
