package loadbalancer

import "time"

// ResponseStarted records the first piece of a streamed answer, which shows that its endpoint is not silent. It has no effect once
// the call is done.
func (balancer *Balancer) ResponseStarted(now time.Duration, call *Call) {
	if call != nil && !call.done {
		call.endpoint.responseStarted(now, call)
		call.endpoint.restore()
	}
}

// ReportLoad records a load report of an endpoint that came outside a call. Unknown instances are ignored.
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
	silent := outcome.Kind == Canceled && now-max(call.sentAt, endpoint.lastSeenAt) > call.unresponsiveTimeout()
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
	case silent:
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
		endpoint.nextProbeAt = now // it shows nothing: the next attempt may probe
	}
	if !endpoint.listed && endpoint.inFlight == 0 && balancer.endpoints[endpoint.Instance] == endpoint {
		delete(balancer.endpoints, endpoint.Instance)
	}
}

// recordLatency updates the oracle: only served first attempts are samples (Karn's algorithm), and an expired time-out is doubled.
func (balancer *Balancer) recordLatency(now time.Duration, call *Call, outcome Outcome) {
	if outcome.Kind == Served && outcome.LongestGap > 0 {
		call.gapOracle.Sample(outcome.LongestGap, 1, false)
		call.gapOracle.Fresh()
	}
	switch {
	case outcome.Kind == Served && call.sampleWeight > 0:
		call.oracle.Sample(max(0, outcome.Latency), call.sampleWeight, false)
		call.oracle.Fresh()
	case outcome.Kind == Stalled:
		call.gapOracle.Expired(call.sentAt, now)
	case outcome.Kind == TimedOut && call.runsToDeadline && call.sampleWeight > 0:
		call.oracle.Sample(0, call.sampleWeight, true)
	case outcome.Kind == TimedOut && !call.runsToDeadline:
		call.oracle.Expired(call.sentAt, now)
	}
}

// recordServed records a call that was served.
func (endpoint *endpoint) recordServed(now time.Duration, call *Call, first time.Duration) {
	endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
	if mean := call.oracle.Mean; mean > 0 { // as of the last computation of its optimum
		endpoint.latencyRatio += latencySmoothing * (min(2*maxLatencyRatio, first.Seconds()/mean) - endpoint.latencyRatio)
	}
	endpoint.recordResult(now, 0)
	endpoint.window.Grow(endpoint.capacity())
	endpoint.rejectionBackoff, endpoint.backoffUntil = 0, 0
	endpoint.restore()
}

// recordRejected records a refusal: the endpoint is alive, and at its limit.
func (endpoint *endpoint) recordRejected(now time.Duration, call *Call) {
	endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
	endpoint.window.Halve(call.sentAt, now)
	if now >= endpoint.backoffUntil { // once for all calls that were under way together
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

// StartHealthChecks returns the ejected endpoints that are due to be probed, for an owner that checks their health by a call of its
// own, as it must where requests can't be repeated. Each is to be followed by Checked.
func (balancer *Balancer) StartHealthChecks(now time.Duration) []Endpoint {
	var suspects []Endpoint
	for _, service := range balancer.services {
		service.ejectUnresponsive(now)
		for _, endpoint := range service.endpoints {
			if endpoint.ejected && !endpoint.misdirected && endpoint.probesInFlight == 0 && now >= endpoint.nextProbeAt {
				endpoint.healthCheckInFlight = true
				endpoint.probesInFlight++
				suspects = append(suspects, endpoint.Endpoint)
			}
		}
	}
	return suspects
}

// RecordHealthCheck records the result of such a health check.
func (balancer *Balancer) RecordHealthCheck(now time.Duration, instance string, healthy bool) {
	endpoint := balancer.endpoints[instance]
	if endpoint == nil || !endpoint.healthCheckInFlight {
		return
	}
	endpoint.healthCheckInFlight = false
	endpoint.probesInFlight--
	if !healthy {
		endpoint.ejectAndReport(now)
		return
	}
	endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
	endpoint.restore()
}
