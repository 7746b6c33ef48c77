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
	outcomeServed   requestOutcome = iota // a success, whole
	outcomeEndpoint                       // an endpoint's own answer that is no success
	outcomeRefused                        // 503: it has not run
	outcomeSpent                          // 402
	outcomeUnknown                        // 404: no route, or no such turn
	outcomeRejected                       // another 4xx of the gateway's own
	outcomeUnclear                        // 502: it may have run
	outcomeLate                           // 504
	outcomeCut                            // the connection ended with the answer not whole, or without one
	requestOutcomes
)

// outcomeNames are the outcomes as metrics name them.
var outcomeNames = [requestOutcomes]string{"served", "endpoint_status", "refused", "budget_spent", "not_found", "rejected", "bad_gateway",
	"gateway_timeout", "cut"}

// runEnds is the number of ends that a send to an endpoint is counted by: those of upstream, and refusedEnd.
const (
	refusedEnd = int(upstream.Canceled) + 1 // the endpoint said that it has not run
	runEnds    = refusedEnd + 1
)

// firstBounds are the upper bounds of the histogram of times to the first piece of a streamed answer.
var firstBounds = []time.Duration{25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond}

// counters are totals since the process began. They are safe for concurrent use.
type counters struct {
	requests   [requestKinds][requestOutcomes]atomic.Uint64
	runs       [runEnds]atomic.Uint64
	resumed    atomic.Uint64 // runs that went on where another one had ended
	first      []atomic.Uint64
	firstTotal atomic.Int64 // ns
}

func newCounters() *counters { return &counters{first: make([]atomic.Uint64, len(firstBounds)+1)} }

// countRequest counts a request that was answered, or not.
func (counters *counters) countRequest(kind requestKind, outcome requestOutcome) {
	counters.requests[kind][outcome].Add(1)
}

// countRun counts a send to an endpoint by how it ended.
func (counters *counters) countRun(result *upstream.Result) {
	end := int(result.Outcome)
	if result.Stream != nil {
		end = int(result.Stream.Outcome())
	}
	if result.Outcome == upstream.Complete && result.Response != nil && result.Response.NotExecuted {
		end = refusedEnd
	}
	counters.runs[end].Add(1)
}

// countFirst counts the time from a send to the first piece.
func (counters *counters) countFirst(took time.Duration) {
	at := 0
	for at < len(firstBounds) && took > firstBounds[at] {
		at++
	}
	counters.first[at].Add(1)
	counters.firstTotal.Add(int64(took))
}

// figures gives the totals as metrics write them.
func (counters *counters) figures() metrics.GatewayTotals {
	var totals metrics.GatewayTotals
	for kind := range requestKinds {
		for outcome := range requestOutcomes {
			if count := counters.requests[kind][outcome].Load(); count > 0 {
				totals.Requests = append(totals.Requests, metrics.RequestTotal{Kind: kindNames[kind], Outcome: outcomeNames[outcome], Count: count})
			}
		}
	}
	for end := range runEnds {
		name := "refused"
		if end != refusedEnd {
			name = upstream.Outcome(end).String()
		}
		if count := counters.runs[end].Load(); count > 0 {
			totals.Runs = append(totals.Runs, metrics.RunTotal{End: name, Count: count})
		}
	}
	totals.Resumed = counters.resumed.Load()
	totals.First = metrics.Histogram{Bounds: firstBounds, Sum: time.Duration(counters.firstTotal.Load())}
	for i := range counters.first {
		totals.First.Counts = append(totals.First.Counts, counters.first[i].Load())
	}
	return totals
}

// kind is what the request is counted as.
func (request *clientRequest) kind() requestKind {
	switch {
	case request.route.Persisted || request.route.Kind == routing.Streaming && request.accounted():
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
		return outcomeCut
	case status/100 == 2:
		return outcomeServed
	case stamped:
		return outcomeEndpoint
	case status == 503:
		return outcomeRefused
	case status == 402:
		return outcomeSpent
	case status == 404:
		return outcomeUnknown
	case status == 502:
		return outcomeUnclear
	case status == 504:
		return outcomeLate
	}
	return outcomeRejected
}
