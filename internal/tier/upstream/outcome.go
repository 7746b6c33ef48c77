package upstream

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of a call.
const (
	NotSent       Outcome = iota // the permit was denied, or the request was not valid; no byte was written
	NoConnection                 // no connection was idle and none may be opened; no byte was written
	ConnectFailed                // no connection was established; no byte was written
	Complete                     // the complete response was received
	Streaming                    // the head of a response was received, its body is read by Stream.Next
	Broken                       // the connection was closed before the end of the response
	Malformed                    // the bytes received are not a valid response to the request
	TimedOut                     // the time-out of the call expired
	Canceled                     // the context was cancelled
)

// String returns the label of the outcome in metrics.
func (e Outcome) String() string {
	return [...]string{"not_sent", "no_room", "connect_failed", "whole", "streaming", "broken", "malformed", "timed_out", "abandoned"}[e]
}

// Execution is whether the endpoint has begun to execute the request, or may still begin to.
type Execution uint8

// The states of execution.
const (
	ExecutionUnknown Execution = iota
	NotExecuted                // the endpoint has not executed it and never will
	Executed
)

// String returns a name for tests and logs.
func (r Execution) String() string { return [...]string{"unknown", "no", "yes"}[r] }

// ClientReply is what the client gets if there is no further attempt.
type ClientReply uint8

// The replies to a client.
const (
	ForwardResponse    ClientReply = iota // the endpoint's own response, or the rest of it
	ServiceUnavailable                    // 503 with Retry-After: not executed
	BadGateway                            // 502: it may have been executed
	GatewayTimeout                        // 504: it may have been executed, and the time-out has expired
	AbortConnection                       // the connection is closed, so that the response is visibly incomplete
	NoReply                               // the client has closed its connection
)

// String returns a name for tests and logs.
func (r ClientReply) String() string {
	return [...]string{"pass_on", "refuse", "bad_gateway", "gateway_timeout", "break_off", "nothing"}[r]
}

// Reuse is whether the connection of a call that has ended may be used again.
type Reuse uint8

// The kinds of reuse.
const (
	CloseConnection Reuse = iota // nothing is ever written on the connection again
	KeepConnection               // the connection may carry another request
)

// String returns a name for tests and logs.
func (r Reuse) String() string { return [...]string{"close", "keep"}[r] }
