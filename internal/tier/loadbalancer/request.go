package loadbalancer

import (
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// Load is an endpoint's load report (X-Instance-Load).
type Load struct {
	Running int // requests that run
	Waiting int // requests in its queue
	Slots   int // requests that may run at once; 0: not reported
}

// Request is one attempt of a request, for which an endpoint is to be selected.
type Request struct {
	Route, Service     string
	Retryable          bool // it may be aborted and sent again: idempotent, with attempts left
	FirstAttempt       bool
	InitialTimeout     time.Duration // time-out while there are few samples, if it is below restart.FirstTimeout; 0: restart.FirstTimeout
	Remaining          time.Duration // until its deadline
	LatencyTarget      time.Duration // of its response; 0: not known
	Priority           int           // 0 is the highest
	AffinityKey        string        // key of the requests that share an endpoint's cache, such as a session; empty if none
	StickyInstance     string        // instance that ran the preceding request, such as the turn that it continues; empty if none
	PromptPrefixes     []string      // shared parts of the prompt, outermost first
	CacheTokens        int64         // tokens of an engine's cache that it needs
	AttemptedInstances []string      // instances that it was sent to, or at which its program's last attempts failed, one entry for each attempt
}

// Decision is whether an attempt is sent, or why it is not.
type Decision uint8

// The decisions.
const (
	Send             Decision = iota // to Instance at Address
	AtCapacity                       // all endpoints are at their limit; RetryAfter is when one may have capacity
	DeadlineTooShort                 // less time remains than the fastest served call has taken
	NoEndpoint                       // no endpoint that accepts the request is listed
)

// Selection is what Pick decides for a Request. Its Call must be passed to Done, whatever the outcome.
type Selection struct {
	Decision          Decision
	Instance, Address string
	Timeout           time.Duration // after which the attempt is aborted
	Exploratory       bool          // it is retryable, but runs to its deadline, to sample the latencies that time-outs hide
	RetryAfter        time.Duration // for the rejection; set if the decision is AtCapacity or NoEndpoint
	Call              *Call         // if the decision is Send
}

// Call is an attempt that has been sent and has not ended. It belongs to its Balancer.
type Call struct {
	endpoint       *endpoint
	oracle         *restart.Oracle
	gapOracle      *restart.Oracle // of the gaps in streams of its route
	sentAt         time.Duration
	initialTimeout time.Duration // as in Request
	sampleWeight   float64       // of its latency sample, 0 if it gives none
	runsToDeadline bool          // its time-out is its deadline
	probe          bool          // sent to an ejected endpoint
	done           bool
	service        *service
}

// OutcomeKind is how a call ended.
type OutcomeKind uint8

// The kinds of outcomes.
const (
	Served   OutcomeKind = iota
	Rejected             // the endpoint has not executed it and will not: X-Not-Executed
	TimedOut             // it was aborted at its time-out
	Broken               // the connection ended after the request was sent
	Failed               // the endpoint responded with a failure, or violated the protocol
	Canceled             // the client closed its connection
	NotSent              // no connection was established, or it ended before the first byte
	Gone                 // the endpoint no longer exists
	Stalled              // it was aborted after a gap between two events of a stream
)

// Outcome is the end of a call.
type Outcome struct {
	Kind        OutcomeKind
	Latency     time.Duration // of a served call: to the first event of a stream, or to the complete response
	LongestGap  time.Duration // longest gap between two events of a served stream; 0 if it had fewer than two
	Load        *Load         // reported with the response; nil if there was none
	Misdirected bool          // 421: another endpoint has that address
}
