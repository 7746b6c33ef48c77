package loadbalancer

import "time"

// FirstPiece records the first piece of a streamed answer, which shows that its endpoint is not silent. It has no effect once the call is done.
func (balancer *Balancer) FirstPiece(now time.Duration, c *Call) {
	if c != nil && !c.ended {
		c.at.answered(now, c)
		c.at.restore()
	}
}

// ReportLoad takes what an endpoint says of its load, as in a report. Unknown instances are ignored.
func (balancer *Balancer) ReportLoad(now time.Duration, instance string, l Load) {
	if e := balancer.endpoints[instance]; e != nil {
		e.observedAt = max(e.observedAt, now)
		e.updateLoad(now, l, false)
	}
}

// Done records the end of a call. It is idempotent: a second report of the same call has no effect.
func (balancer *Balancer) Done(now time.Duration, call *Call, outcome Outcome) {
	if call == nil || call.ended {
		return
	}
	call.ended = true
	endpoint := call.at
	if outcome.Load != nil {
		endpoint.updateLoad(now, *outcome.Load, outcome.Kind == Refused)
	}
	silent := outcome.Kind == Abandoned && now-max(call.sent, endpoint.observedAt) > patience(call.oracle)
	endpoint.calls--
	endpoint.forget(call)
	if call.probe {
		endpoint.probes--
	}
	balancer.learn(now, call, outcome)
	switch {
	case outcome.Misdirected || outcome.Kind == Gone:
		endpoint.misdirected = true
	case outcome.Kind == Served:
		endpoint.serve(now, call, outcome.First)
		call.service.served.add(now)
	case outcome.Kind == Refused:
		endpoint.refuse(now, call)
	case silent:
		endpoint.fail(now, weightOf[TimedOut], call)
	case outcome.Kind != Abandoned:
		if outcome.Kind == TimedOut && call.oracle.Doubled() {
			endpoint.window.Halve(call.sent, now)
		}
		if outcome.Kind == Failed {
			endpoint.observedAt = max(endpoint.observedAt, now)
		}
		endpoint.fail(now, weightOf[outcome.Kind], call)
	case call.probe:
		endpoint.probeAt = now // it says nothing: the next may try
	}
	if !endpoint.listed && endpoint.calls == 0 && balancer.endpoints[endpoint.Instance] == endpoint {
		delete(balancer.endpoints, endpoint.Instance)
	}
}

// learn gives the oracle its sample: served first attempts only (Karn); an expiry doubles.
func (balancer *Balancer) learn(now time.Duration, call *Call, outcome Outcome) {
	switch {
	case outcome.Kind == Served && call.weight > 0:
		call.oracle.Sample(max(0, outcome.First), call.weight, false)
		call.oracle.Fresh()
	case outcome.Kind == TimedOut && call.uncut && call.weight > 0:
		call.oracle.Sample(0, call.weight, true)
	case outcome.Kind == TimedOut && !call.uncut:
		call.oracle.Expired(call.sent, now)
	}
}

// serve books a call that was served.
func (endpoint *endpoint) serve(now time.Duration, call *Call, first time.Duration) {
	endpoint.observedAt = max(endpoint.observedAt, now)
	if mean := call.oracle.Mean; mean > 0 { // as of the last look at its optimum
		endpoint.slow += recentPer * (min(2*slowMax, first.Seconds()/mean) - endpoint.slow)
	}
	endpoint.judge(now, 0)
	endpoint.window.Grow(endpoint.capacity())
	endpoint.pause, endpoint.pausedUntil = 0, 0
	endpoint.restore()
}

// refuse: it is alive, and has what it bears.
func (endpoint *endpoint) refuse(now time.Duration, call *Call) {
	endpoint.observedAt = max(endpoint.observedAt, now)
	endpoint.window.Halve(call.sent, now)
	if now >= endpoint.pausedUntil { // once for all that were out together
		endpoint.pause = min(max(2*endpoint.pause, pauseFirst), pauseMax)
		endpoint.pausedUntil = now + endpoint.pause
	}
	endpoint.restore()
}

// fail books a failed call. Failures in a row whose weights reach ejectThreshold eject the endpoint.
func (endpoint *endpoint) fail(now time.Duration, weight float64, call *Call) {
	endpoint.judge(now, 1)
	endpoint.bad += weight
	if call.probe && endpoint.ejected && now >= endpoint.probeAt || !endpoint.ejected && endpoint.bad >= ejectThreshold {
		endpoint.eject(now)
	}
}

// Suspects are the endpoints that are ejected and due to be tried, for an owner that checks their health by a call of its
// own, as it must where requests can't be repeated. Each is to be followed by Checked.
func (balancer *Balancer) Suspects(now time.Duration) []Endpoint {
	var all []Endpoint
	for _, s := range balancer.services {
		for _, e := range s.list {
			if e.watch(now); e.ejected && !e.misdirected && e.probes == 0 && now >= e.probeAt {
				e.checked = true
				e.probes++
				all = append(all, e.Endpoint)
			}
		}
	}
	return all
}

// Checked books such a call: whether the endpoint called itself well.
func (balancer *Balancer) Checked(now time.Duration, instance string, well bool) {
	e := balancer.endpoints[instance]
	if e == nil || !e.checked {
		return
	}
	e.checked = false
	e.probes--
	if !well {
		e.eject(now)
		return
	}
	e.observedAt = max(e.observedAt, now)
	e.restore()
}
