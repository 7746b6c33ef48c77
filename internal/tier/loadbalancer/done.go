package loadbalancer

import "time"

// FirstPiece records the first piece of a streamed answer, which shows that its endpoint is not silent. It has no effect once
// the call is done.
func (balancer *Balancer) FirstPiece(now time.Duration, call *Call) {
	if call != nil && !call.done {
		call.endpoint.answerBegan(now, call)
		call.endpoint.restore()
	}
}

// ReportLoad records a load report of an endpoint that came outside a call. Unknown instances are ignored.
func (balancer *Balancer) ReportLoad(now time.Duration, instance string, load Load) {
	if endpoint := balancer.endpoints[instance]; endpoint != nil {
		endpoint.observedAt = max(endpoint.observedAt, now)
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
		endpoint.updateLoad(now, *outcome.Load, outcome.Kind == Refused)
	}
	silent := outcome.Kind == Abandoned && now-max(call.sent, endpoint.observedAt) > call.patience()
	endpoint.calls--
	endpoint.removeUnanswered(call)
	if call.probe {
		endpoint.probes--
	}
	balancer.learn(now, call, outcome)
	switch {
	case outcome.Misdirected || outcome.Kind == Gone:
		endpoint.misdirected = true
	case outcome.Kind == Served:
		endpoint.recordServed(now, call, outcome.First)
		call.service.servedRate.add(now)
	case outcome.Kind == Refused:
		endpoint.recordRefused(now, call)
	case silent:
		endpoint.recordFailed(now, failureWeights[TimedOut], call)
	case outcome.Kind != Abandoned:
		if outcome.Kind == TimedOut && call.oracle.Doubled() {
			endpoint.window.Halve(call.sent, now)
		}
		if outcome.Kind == Failed {
			endpoint.observedAt = max(endpoint.observedAt, now)
		}
		endpoint.recordFailed(now, failureWeights[outcome.Kind], call)
	case call.probe:
		endpoint.nextProbe = now // it shows nothing: the next attempt may probe
	}
	if !endpoint.listed && endpoint.calls == 0 && balancer.endpoints[endpoint.Instance] == endpoint {
		delete(balancer.endpoints, endpoint.Instance)
	}
}

// learn updates the oracle: only served first attempts are samples (Karn's algorithm), and an expired time-out is doubled.
func (balancer *Balancer) learn(now time.Duration, call *Call, outcome Outcome) {
	if outcome.Kind == Served && outcome.Pause > 0 {
		call.pauses.Sample(outcome.Pause, 1, false)
		call.pauses.Fresh()
	}
	switch {
	case outcome.Kind == Served && call.sampleWeight > 0:
		call.oracle.Sample(max(0, outcome.First), call.sampleWeight, false)
		call.oracle.Fresh()
	case outcome.Kind == Stalled:
		call.pauses.Expired(call.sent, now)
	case outcome.Kind == TimedOut && call.unbounded && call.sampleWeight > 0:
		call.oracle.Sample(0, call.sampleWeight, true)
	case outcome.Kind == TimedOut && !call.unbounded:
		call.oracle.Expired(call.sent, now)
	}
}

// recordServed records a call that was served.
func (endpoint *endpoint) recordServed(now time.Duration, call *Call, first time.Duration) {
	endpoint.observedAt = max(endpoint.observedAt, now)
	if mean := call.oracle.Mean; mean > 0 { // as of the last computation of its optimum
		endpoint.latencyRatio += latestWeight * (min(2*maxLatencyRatio, first.Seconds()/mean) - endpoint.latencyRatio)
	}
	endpoint.recordResult(now, 0)
	endpoint.window.Grow(endpoint.capacity())
	endpoint.pauseLength, endpoint.pausedUntil = 0, 0
	endpoint.restore()
}

// recordRefused records a refusal: the endpoint is alive, and at its limit.
func (endpoint *endpoint) recordRefused(now time.Duration, call *Call) {
	endpoint.observedAt = max(endpoint.observedAt, now)
	endpoint.window.Halve(call.sent, now)
	if now >= endpoint.pausedUntil { // once for all calls that were under way together
		endpoint.pauseLength = min(max(2*endpoint.pauseLength, minRefusalPause), maxRefusalPause)
		endpoint.pausedUntil = now + endpoint.pauseLength
	}
	endpoint.restore()
}

// recordFailed records a failed call. Consecutive failures whose weights reach ejectThreshold eject the endpoint.
func (endpoint *endpoint) recordFailed(now time.Duration, weight float64, call *Call) {
	endpoint.recordResult(now, 1)
	endpoint.failureWeight += weight
	if call.probe && endpoint.ejected && now >= endpoint.nextProbe || !endpoint.ejected && endpoint.failureWeight >= ejectThreshold {
		endpoint.eject(now)
	}
}

// Suspects returns the ejected endpoints that are due to be probed, for an owner that checks their health by a call of its
// own, as it must where requests can't be repeated. Each is to be followed by Checked.
func (balancer *Balancer) Suspects(now time.Duration) []Endpoint {
	var suspects []Endpoint
	for _, service := range balancer.services {
		service.detectSilence(now)
		for _, endpoint := range service.endpoints {
			if endpoint.ejected && !endpoint.misdirected && endpoint.probes == 0 && now >= endpoint.nextProbe {
				endpoint.ownerProbing = true
				endpoint.probes++
				suspects = append(suspects, endpoint.Endpoint)
			}
		}
	}
	return suspects
}

// Checked records the result of such a health check.
func (balancer *Balancer) Checked(now time.Duration, instance string, healthy bool) {
	endpoint := balancer.endpoints[instance]
	if endpoint == nil || !endpoint.ownerProbing {
		return
	}
	endpoint.ownerProbing = false
	endpoint.probes--
	if !healthy {
		endpoint.eject(now)
		return
	}
	endpoint.observedAt = max(endpoint.observedAt, now)
	endpoint.restore()
}
