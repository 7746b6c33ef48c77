package gateway

import (
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/tier/metrics"
	"saffronyard.example/saffronyard/internal/tier/routing"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// requestKind is what a request is counted as.
type requestKind uint8

const (
	kindNone requestKind = iota // it had no route
	kindTurn
	kindStream
	kindIdempotent
	kindOnce
	requestKinds
)

// kindNames are the kinds as metrics name them.
var kindNames = [requestKinds]string{"none", "turn", "stream", "idempotent", "non_idempotent"}

// requestOutcome is how the answer to a request ended.
type requestOutcome uint8

const (
	outcomeServed      requestOutcome = iota // a success, whole
	outcomeEndpoint                          // an endpoint's own answer that is no success
	outcomeUnavailable                       // 503: it has not run
	outcomeBudgetSpent                       // 402
	outcomeNotFound                          // 404: no route, or no such turn
	outcomeBadRequest                        // another 4xx of the gateway's own
	outcomeBadGateway                        // 502: it may have run
	outcomeTimedOut                          // 504
	outcomeIncomplete                        // the connection ended with the answer not whole, or without one
	requestOutcomes
)

// outcomeNames are the outcomes as metrics name them.
var outcomeNames = [requestOutcomes]string{"served", "endpoint_status", "refused", "budget_spent", "not_found", "rejected", "bad_gateway",
	"gateway_timeout", "cut"}

// attemptEndCount is the number of ends that a send to an endpoint is counted by: those of upstream, and refusedEnd.
const (
	notExecutedEnd  = int(upstream.Canceled) + 1 // the endpoint said that it has not run
	attemptEndCount = notExecutedEnd + 1
)

// timeToFirstBounds are the upper bounds of the histogram of times to the first piece of a streamed answer.
var timeToFirstBounds = []time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond}

// counters are totals since the process began. They are safe for concurrent use.
type counters struct {
	requests       [requestKinds][requestOutcomes]atomic.Uint64
	attempts       [attemptEndCount]atomic.Uint64
	resumed        atomic.Uint64 // runs that went on where another one had ended
	timeToFirst    []atomic.Uint64
	timeToFirstSum atomic.Int64 // ns
}

func newCounters() *counters {
	return &counters{timeToFirst: make([]atomic.Uint64, len(timeToFirstBounds)+1)}
}

// countRequest counts a request that was answered, or not.
func (counters *counters) countRequest(kind requestKind, outcome requestOutcome) {
	counters.requests[kind][outcome].Add(1)
}

// countAttempt counts a send to an endpoint by how it ended.
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

// countTimeToFirst counts the time from a send to the first piece.
func (counters *counters) countTimeToFirst(took time.Duration) {
	at := 0
	for at < len(timeToFirstBounds) && took > timeToFirstBounds[at] {
		at++
	}
	counters.timeToFirst[at].Add(1)
	counters.timeToFirstSum.Add(int64(took))
}

// totals gives the totals as metrics write them.
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
			totals.Runs = append(totals.Runs, metrics.RunTotal{End: name, Count: count})
		}
	}
	totals.Resumed = counters.resumed.Load()
	totals.First = metrics.Histogram{Bounds: timeToFirstBounds, Sum: time.Duration(counters.timeToFirstSum.Load())}
	for i := range counters.timeToFirst {
		totals.First.Counts = append(totals.First.Counts, counters.timeToFirst[i].Load())
	}
	return totals
}

// kind is what the request is counted as.
func (request *clientRequest) kind() requestKind {
	switch {
	case request.route.Persisted || request.route.Kind == routing.Streaming && request.needsTurnStore():
		return kindTurn
	case request.route.Kind == routing.Streaming:
		return kindStream
	case request.route.Kind == routing.Idempotent:
		return kindIdempotent
	}
	return kindOnce
}

// outcomeOf tells how an answer ended by its status, whether an endpoint gave it, and whether the client has it whole.
func outcomeOf(status int, stamped, whole bool) requestOutcome {
	switch {
	case status == 0 || !whole:
		return outcomeIncomplete
	case status/100 == 2:
		return outcomeServed
	case stamped:
		return outcomeEndpoint
	case status == 503:
		return outcomeUnavailable
	case status == 402:
		return outcomeBudgetSpent
	case status == 404:
		return outcomeNotFound
	case status == 502:
		return outcomeBadGateway
	case status == 504:
		return outcomeTimedOut
	}
	return outcomeBadRequest
}
