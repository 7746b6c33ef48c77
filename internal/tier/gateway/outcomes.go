package gateway

import (
	"net/http"
	"time"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// decisive returns the result that determines the client's answer if no further attempt follows: next, unless next was not executed and
// last may have been. A later rejection does not prove that an earlier attempt was not executed. last may be nil.
func decisive(last, next *upstream.Result) *upstream.Result {
	if last == nil || mayHaveRun(next) || !mayHaveRun(last) {
		return next
	}
	return last
}

// mayHaveRun reports whether the endpoint has executed the request or may have.
func mayHaveRun(result *upstream.Result) bool {
	return result.Disposition(false).Execution != upstream.NotExecuted
}

// callOutcome returns the outcome of an attempt, for the load balancer. latency is the time until the first event, or until the end.
func callOutcome(result *upstream.Result, latency time.Duration) loadbalancer.Outcome {
	outcome := loadbalancer.Outcome{Latency: latency}
	end := result.Outcome
	if result.Stream != nil {
		end = result.Stream.Outcome()
	}
	response := result.Response
	if response != nil && response.HasLoad {
		outcome.Load = &loadbalancer.Load{Running: response.Load.Running, Waiting: response.Load.Waiting, Slots: response.Load.Slots}
	}
	switch end {
	case upstream.Complete:
		outcome.Kind, outcome.Misdirected = answerOutcome(response)
	case upstream.TimedOut:
		outcome.Kind = loadbalancer.TimedOut
		if !result.Written {
			outcome.Kind = loadbalancer.Broken
		}
	case upstream.Canceled:
		outcome.Kind = loadbalancer.Canceled
	case upstream.NotSent, upstream.NoConnection:
		outcome.Kind = loadbalancer.NotSent
	default:
		outcome.Kind = loadbalancer.Broken
	}
	return outcome
}

// answerOutcome returns the outcome of a complete answer, and whether the request was misdirected: another instance is at the address.
func answerOutcome(response *upstream.Response) (kind loadbalancer.OutcomeKind, misdirected bool) {
	switch {
	case response.Status == http.StatusMisdirectedRequest:
		return loadbalancer.Gone, true
	case response.NotExecuted:
		return loadbalancer.Rejected, false
	case response.Status/100 == 2 || response.Status/100 == 4 || response.Signature != "":
		return loadbalancer.Served, false
	}
	return loadbalancer.Failed, false
}

// firstEvent reports the first event of a call to the load balancer.
func (gateway *Gateway) firstEvent(call *loadbalancer.Call) {
	gateway.mu.Lock()
	gateway.loadbalancer.ResponseStarted(gateway.now(), call)
	gateway.mu.Unlock()
}

// callDone reports the outcome of a call to the load balancer, and wakes the requests that wait for capacity.
func (gateway *Gateway) callDone(call *loadbalancer.Call, outcome loadbalancer.Outcome) {
	gateway.mu.Lock()
	gateway.loadbalancer.Done(gateway.now(), call, outcome)
	gateway.queueHealthReports()
	gateway.notifyWaiters()
	gateway.mu.Unlock()
}
