package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/tier/metrics"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// requestKind is the kind of a request in metrics.
type requestKind uint8

const (
	kindNone requestKind = iota // rejected before its kind was determined, such as without a route
	kindTurn
	kindStream
	kindIdempotent
	kindNonIdempotent
	requestKinds
)

// kindNames are the labels of the kinds.
var kindNames = [requestKinds]string{"none", "turn", "stream", "idempotent", "non_idempotent"}

// requestOutcome is the outcome of a request in metrics.
type requestOutcome uint8

const (
	outcomeServed      requestOutcome = iota // success, complete
	outcomeEndpoint                          // an endpoint's answer that is not a success
	outcomeUnavailable                       // 503: not executed
	outcomeBudgetSpent                       // 402
	outcomeNotFound                          // 404: no route, or no such turn
	outcomeBadRequest                        // another status of the gateway
	outcomeBadGateway                        // 502: may have been executed
	outcomeTimedOut                          // 504
	outcomeIncomplete                        // the connection ended before the end of the answer
	requestOutcomes
)

// outcomeNames are the labels of the outcomes.
var outcomeNames = [requestOutcomes]string{"served", "endpoint_status", "refused", "budget_spent", "not_found", "rejected", "bad_gateway",
	"gateway_timeout", "cut"}

// Attempts are counted by their upstream.Outcome, except that those which the endpoint rejected as not executed count as notExecutedEnd.
const (
	notExecutedEnd  = int(upstream.Canceled) + 1 // the endpoint has rejected the request without executing it
	attemptEndCount = notExecutedEnd + 1
)

// timeToFirstBounds are the upper bounds of the histogram of the times to the first event of a streamed answer.
var timeToFirstBounds = []time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond}

// counters are totals since the process began. They are safe for concurrent use.
type counters struct {
	requests       [requestKinds][requestOutcomes]atomic.Uint64
	attempts       [attemptEndCount]atomic.Uint64
	resumed        atomic.Uint64 // attempts that resumed a stream
	timeToFirst    []atomic.Uint64
	timeToFirstSum atomic.Int64 // nanoseconds
}

// newCounters returns counters at zero.
func newCounters() *counters {
	return &counters{timeToFirst: make([]atomic.Uint64, len(timeToFirstBounds)+1)}
}

// countRequest counts a request that has ended.
func (counters *counters) countRequest(kind requestKind, outcome requestOutcome) {
	counters.requests[kind][outcome].Add(1)
}

// countAttempt counts an attempt at an endpoint that has ended.
func (counters *counters) countAttempt(result *upstream.Result) {
	end := int(result.Outcome)
	if result.Stream != nil {
		end = int(result.Stream.Outcome())
	}
	if result.Outcome == upstream.Complete && result.Response != nil && result.Response.NotExecuted {
		end = notExecutedEnd
	}
	counters.attempts[end].Add(1)
}

// countTimeToFirst counts the time from the start of an attempt to its first event.
func (counters *counters) countTimeToFirst(took time.Duration) {
	at := 0
	for at < len(timeToFirstBounds) && took > timeToFirstBounds[at] {
		at++
	}
	counters.timeToFirst[at].Add(1)
	counters.timeToFirstSum.Add(int64(took))
}

// totals returns the current totals.
func (counters *counters) totals() metrics.GatewayTotals {
	var totals metrics.GatewayTotals
	for kind := range requestKinds {
		for outcome := range requestOutcomes {
			if count := counters.requests[kind][outcome].Load(); count > 0 {
				totals.Requests = append(totals.Requests, metrics.RequestTotal{Kind: kindNames[kind], Outcome: outcomeNames[outcome], Count: count})
			}
		}
	}
	for end := range attemptEndCount {
		name := "refused"
		if end != notExecutedEnd {
			name = upstream.Outcome(end).String()
		}
		if count := counters.attempts[end].Load(); count > 0 {
			totals.Attempts = append(totals.Attempts, metrics.AttemptTotal{Outcome: name, Count: count})
		}
	}
	totals.Resumed = counters.resumed.Load()
	totals.FirstEvent = metrics.Histogram{Bounds: timeToFirstBounds, Sum: time.Duration(counters.timeToFirstSum.Load())}
	for i := range counters.timeToFirst {
		totals.FirstEvent.Counts = append(totals.FirstEvent.Counts, counters.timeToFirst[i].Load())
	}
	return totals
}

// kind returns the kind of the request in metrics.
func (request *clientRequest) kind() requestKind {
	switch {
	case request.route.Persisted || request.route.Kind == routing.Streaming && request.needsTurnStore():
		return kindTurn
	case request.route.Kind == routing.Streaming:
		return kindStream
	case request.route.Kind == routing.Idempotent:
		return kindIdempotent
	}
	return kindNonIdempotent
}

// outcomeOf returns the outcome of an answer by its status, whether it has an endpoint's signature, and whether it was written completely.
func outcomeOf(status int, signed, complete bool) requestOutcome {
	switch {
	case status == 0 || !complete:
		return outcomeIncomplete
	case status/100 == 2:
		return outcomeServed
	case signed:
		return outcomeEndpoint
	case status == http.StatusServiceUnavailable:
		return outcomeUnavailable
	case status == http.StatusPaymentRequired:
		return outcomeBudgetSpent
	case status == http.StatusNotFound:
		return outcomeNotFound
	case status == http.StatusBadGateway:
		return outcomeBadGateway
	case status == http.StatusGatewayTimeout:
		return outcomeTimedOut
	}
	return outcomeBadRequest
}
