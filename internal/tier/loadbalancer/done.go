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
func (balancer *Balancer) Done(now time.Duration, c *Call, o Outcome) {
	if c == nil || c.ended {
		return
	}
	c.ended = true
	e := c.at
	if o.Load != nil {
		e.updateLoad(now, *o.Load, o.Kind == Refused)
	}
	silent := o.Kind == Abandoned && now-max(c.sent, e.observedAt) > patience(c.oracle)
	e.calls--
	e.forget(c)
	if c.probe {
		e.probes--
	}
	balancer.learn(now, c, o)
	switch {
	case o.Misdirected || o.Kind == Gone:
		e.misdirected = true
	case o.Kind == Served:
		e.serve(now, c, o.First)
		c.service.served.add(now)
	case o.Kind == Refused:
		e.refuse(now, c)
	case silent:
		e.fail(now, weightOf[TimedOut], c)
	case o.Kind != Abandoned:
		if o.Kind == TimedOut && c.oracle.Doubled() {
			e.window.Halve(c.sent, now)
		}
		if o.Kind == Failed {
			e.observedAt = max(e.observedAt, now)
		}
		e.fail(now, weightOf[o.Kind], c)
	case c.probe:
		e.probeAt = now // it says nothing: the next may try
	}
	if !e.listed && e.calls == 0 && balancer.endpoints[e.Instance] == e {
		delete(balancer.endpoints, e.Instance)
	}
}

// learn gives the oracle its sample: served first attempts only (Karn); an expiry doubles.
func (balancer *Balancer) learn(now time.Duration, c *Call, o Outcome) {
	switch {
	case o.Kind == Served && c.weight > 0:
		c.oracle.Sample(max(0, o.First), c.weight, false)
		c.oracle.Fresh()
	case o.Kind == TimedOut && c.uncut && c.weight > 0:
		c.oracle.Sample(0, c.weight, true)
	case o.Kind == TimedOut && !c.uncut:
		c.oracle.Expired(c.sent, now)
	}
}

func (e *endpoint) serve(now time.Duration, c *Call, first time.Duration) {
	e.observedAt = max(e.observedAt, now)
	if mean := c.oracle.Mean; mean > 0 { // as of the last look at its optimum
		e.slow += recentPer * (min(2*slowMax, first.Seconds()/mean) - e.slow)
	}
	e.judge(now, 0)
	e.window.Grow(e.capacity())
	e.pause, e.pausedUntil = 0, 0
	e.restore()
}

// refuse: it is alive, and has what it bears.
func (e *endpoint) refuse(now time.Duration, c *Call) {
	e.observedAt = max(e.observedAt, now)
	e.window.Halve(c.sent, now)
	if now >= e.pausedUntil { // once for all that were out together
		e.pause = min(max(2*e.pause, pauseFirst), pauseMax)
		e.pausedUntil = now + e.pause
	}
	e.restore()
}

func (e *endpoint) fail(now time.Duration, weight float64, c *Call) {
	e.judge(now, 1)
	e.bad += weight
	if c.probe && e.ejected && now >= e.probeAt || !e.ejected && e.bad >= ejectThreshold {
		e.eject(now)
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
