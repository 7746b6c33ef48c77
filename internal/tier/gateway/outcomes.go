package gateway

import (
	"net/http"
	"time"

	"saffronyard.example/saffronyard/internal/tier/loadbalancer"
	"saffronyard.example/saffronyard/internal/tier/upstream"
)

// decisive returns which of two results the client is answered with if nothing else comes: the later one, next, unless it has not run
// and last may have. What an earlier attempt may have done stands, whatever a later one says. Last may be nil.
func decisive(last, next *upstream.Result) *upstream.Result {
	if last == nil || mayHaveRun(next) || !mayHaveRun(last) {
		return next
	}
	return last
}

// mayHaveRun reports whether the endpoint has or may have executed the request.
func mayHaveRun(result *upstream.Result) bool {
	return result.Disposition(false).Execution != upstream.NotExecuted
}

// callOutcome returns the outcome of an attempt, for the load balancer. Latency is the time until the first event, or until the end.
func callOutcome(r *upstream.Result, latency time.Duration) loadbalancer.Outcome {
	o := loadbalancer.Outcome{Latency: latency}
	end := r.Outcome
	if r.Stream != nil {
		end = r.Stream.Outcome()
	}
	a := r.Response
	if a != nil && a.HasLoad {
		o.Load = &loadbalancer.Load{Running: a.Load.Running, Waiting: a.Load.Waiting, Slots: a.Load.Slots}
	}
	switch end {
	case upstream.Complete:
		o.Kind, o.Misdirected = answerOutcome(a)
	case upstream.TimedOut:
		o.Kind = loadbalancer.TimedOut
		if !r.Written {
			o.Kind = loadbalancer.Broken
		}
	case upstream.Canceled:
		o.Kind = loadbalancer.Canceled
	case upstream.NotSent, upstream.NoConnection:
		o.Kind = loadbalancer.NotSent
	default:
		o.Kind = loadbalancer.Broken
	}
	return o
}

// answerOutcome returns the outcome of a complete answer, and whether the request was misdirected: another instance is at the address.
func answerOutcome(a *upstream.Response) (kind loadbalancer.OutcomeKind, misdirected bool) {
	switch {
	case a.Status == http.StatusMisdirectedRequest:
		return loadbalancer.Gone, true
	case a.NotExecuted:
		return loadbalancer.Rejected, false
	case a.Status/100 == 2 || a.Status/100 == 4 || a.Signature != "":
		return loadbalancer.Served, false
	}
	return loadbalancer.Failed, false
}

// firstEvent tells the load balancer that the answer to a call has begun.
func (gateway *Gateway) firstEvent(call *loadbalancer.Call) {
	gateway.mu.Lock()
	gateway.loadbalancer.ResponseStarted(gateway.now(), call)
	gateway.mu.Unlock()
}

// callDone tells the load balancer how a call has ended, and wakes the requests that wait for capacity.
func (gateway *Gateway) callDone(call *loadbalancer.Call, outcome loadbalancer.Outcome) {
	gateway.mu.Lock()
	gateway.loadbalancer.Done(gateway.now(), call, outcome)
	gateway.queueHealthReports()
	gateway.notifyWaiters()
	gateway.mu.Unlock()
}
