package loadbalancer

import (
	"slices"
	"time"
)

const (
	minRejectionBackoff = 25 * time.Millisecond // after a rejection; doubles with each consecutive one
	maxRejectionBackoff = 500 * time.Millisecond
	ejectThreshold      = 4.0 // sum of the weights of consecutive failures that ejects an endpoint
)

// failureWeights are the weights of the kinds of failures towards an ejection.
var failureWeights = map[OutcomeKind]float64{NotSent: 2, Broken: 1.5, TimedOut: 1.5, Stalled: 1.5, Failed: 1}

// ResponseStarted records the first event of a streamed response, which shows that its endpoint is responsive. It has no effect
// once the call is done.
func (balancer *Balancer) ResponseStarted(now time.Duration, call *Call) {
	if call != nil && !call.done {
		call.endpoint.responseStarted(now, call)
		call.endpoint.restore()
	}
}

// ReportLoad records a load report of an endpoint that was received outside a call. Unknown instances are ignored.
func (balancer *Balancer) ReportLoad(now time.Duration, instance string, load Load) {
	if endpoint := balancer.endpoints[instance]; endpoint != nil {
		endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
		endpoint.updateLoad(now, load, false)
	}
}

// Done records the end of a call. It is idempotent: a second report of the same call has no effect.
func (balancer *Balancer) Done(now time.Duration, call *Call, outcome Outcome) {
	if call == nil || call.done {
		return
	}
	call.done = true
	endpoint := call.endpoint
	if outcome.Load != nil {
		endpoint.updateLoad(now, *outcome.Load, outcome.Kind == Rejected)
	}
	unresponsive := outcome.Kind == Canceled && now-max(call.sentAt, endpoint.lastSeenAt) > call.unresponsiveTimeout()
	endpoint.inFlight--
	endpoint.removeAwaiting(call)
	if call.probe {
		endpoint.probesInFlight--
	}
	balancer.recordLatency(now, call, outcome)
	switch {
	case outcome.Misdirected || outcome.Kind == Gone:
		endpoint.misdirected = true
	case outcome.Kind == Served:
		endpoint.recordServed(now, call, outcome.Latency)
		call.service.servedRate.add(now)
	case outcome.Kind == Rejected:
		endpoint.recordRejected(now, call)
	case unresponsive:
		endpoint.recordFailed(now, failureWeights[TimedOut], call)
	case outcome.Kind != Canceled:
		if outcome.Kind == TimedOut && call.oracle.Doubled() {
			endpoint.window.Halve(call.sentAt, now)
		}
		if outcome.Kind == Failed {
			endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
		}
		endpoint.recordFailed(now, failureWeights[outcome.Kind], call)
	case call.probe:
		endpoint.nextProbeAt = now // the canceled probe is inconclusive: the next attempt may probe
	}
	if !endpoint.listed && endpoint.inFlight == 0 && balancer.endpoints[endpoint.Instance] == endpoint {
		delete(balancer.endpoints, endpoint.Instance)
	}
}

// recordLatency updates the time-outs of the route: only served first attempts are samples (Karn's algorithm), and an expired time-out
// is doubled.
func (balancer *Balancer) recordLatency(now time.Duration, call *Call, outcome Outcome) {
	if outcome.Kind == Served && outcome.LongestGap > 0 {
		call.gapOracle.AddSample(outcome.LongestGap, 1, false)
		call.gapOracle.ResetTimeout()
	}
	switch {
	case outcome.Kind == Served && call.sampleWeight > 0:
		call.oracle.AddSample(max(0, outcome.Latency), call.sampleWeight, false)
		call.oracle.ResetTimeout()
	case outcome.Kind == Stalled:
		call.gapOracle.RecordTimeout(call.sentAt, now)
	case outcome.Kind == TimedOut && call.runsToDeadline && call.sampleWeight > 0:
		call.oracle.AddSample(0, call.sampleWeight, true)
	case outcome.Kind == TimedOut && !call.runsToDeadline:
		call.oracle.RecordTimeout(call.sentAt, now)
	}
}

// responseStarted records that a part of a call's response was received. From then on the call does not count as awaiting a response.
func (endpoint *endpoint) responseStarted(now time.Duration, call *Call) {
	endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
	endpoint.removeAwaiting(call)
}

// removeAwaiting removes a call from those without any response.
func (endpoint *endpoint) removeAwaiting(call *Call) {
	if i := slices.Index(endpoint.awaitingResponse, call); i >= 0 {
		endpoint.awaitingResponse = slices.Delete(endpoint.awaitingResponse, i, i+1)
	}
}

// recordServed records a call that was served.
func (endpoint *endpoint) recordServed(now time.Duration, call *Call, latency time.Duration) {
	endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
	if mean := call.oracle.MeanSeconds; mean > 0 { // the mean at the last computation of the oracle's optimum
		endpoint.latencyRatio += latencySmoothing * (min(2*maxLatencyRatio, latency.Seconds()/mean) - endpoint.latencyRatio)
	}
	endpoint.recordResult(now, 0)
	endpoint.window.Grow(endpoint.capacity())
	endpoint.rejectionBackoff, endpoint.backoffUntil = 0, 0
	endpoint.restore()
}

// recordRejected records a rejection: the endpoint is responsive, and at its limit.
func (endpoint *endpoint) recordRejected(now time.Duration, call *Call) {
	endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
	endpoint.window.Halve(call.sentAt, now)
	if now >= endpoint.backoffUntil { // once for all calls that were in flight together
		endpoint.rejectionBackoff = min(max(2*endpoint.rejectionBackoff, minRejectionBackoff), maxRejectionBackoff)
		endpoint.backoffUntil = now + endpoint.rejectionBackoff
	}
	endpoint.restore()
}

// recordFailed records a failed call. Consecutive failures whose weights reach ejectThreshold eject the endpoint.
func (endpoint *endpoint) recordFailed(now time.Duration, weight float64, call *Call) {
	endpoint.recordResult(now, 1)
	endpoint.consecutiveFailureWeight += weight
	if call.probe && endpoint.ejected && now >= endpoint.nextProbeAt || !endpoint.ejected && endpoint.consecutiveFailureWeight >= ejectThreshold {
		endpoint.ejectAndReport(now)
	}
}
