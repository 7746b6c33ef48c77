package brain

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minEndpointConns is the least number of connections that an endpoint accepts from all senders
	// together.
	minEndpointConns = 8
	// idleTimeoutDivisor divides the idle time-out of a kind after a failed connect, as idle connections
	// may have used up the limit of the endpoint.
	idleTimeoutDivisor = 4
	// idleTimeoutGrowth is the fraction of the full idle time-out that each served call adds to a reduced
	// one.
	idleTimeoutGrowth = 0.002
	// connLimitGrowth is how much each served call raises the connection limit of an endpoint.
	connLimitGrowth = 0.1
)

// idleTimeout returns how long idle connections to e are kept, and the idle time-out of its kind. The
// connection limit of an endpoint is unknown until connects fail; idle connections to it are then kept for a
// shorter time. A sender with few calls applies the time-out of the kind, as other senders observe the same
// failures; a sender with many calls relies on its own observations. Any endpoint accepts only a few
// connections: among many senders each has less than one of them on average, and keeps an idle one for an
// accordingly shorter time.
func (b *Brain) idleTimeout(e *endpoint) (timeout time.Duration, kindTimeout *time.Duration) {
	connShare := min(1, b.evenShare(minEndpointConns))
	for len(b.idleTimeouts) <= e.Kind {
		b.idleTimeouts = append(b.idleTimeouts, time.Duration(connShare*float64(b.settings.IdleConnTimeout)))
	}
	timeout, kindTimeout = b.settings.IdleConnTimeout, &b.idleTimeouts[e.Kind]
	if b.outageThreshold(e.route) < maxOutageThreshold/2 || connShare < 1 {
		timeout = *kindTimeout
	}
	return max(0, timeout-e.idleReduction), kindTimeout
}

// closeIdleConns closes connections that have been idle for longer than the idle time-out.
func (b *Brain) closeIdleConns() {
	for _, e := range b.idleCloseCandidates() {
		timeout, _ := b.idleTimeout(e)
		until := e.idleSince + timeout
		switch {
		case e.callsInFlight > 0 || b.now >= e.idleSince+b.settings.IdleConnTimeout:
			e.idleSequence = 0
		case b.now >= until:
			b.actions = append(b.actions, CloseIdleConns{e.ID})
			e.idleSince, e.idleSequence, e.openConns = 0, 0, 0
		case timeout < b.settings.IdleConnTimeout:
			b.wakeAt(until)
		}
	}
}

// hasConnCapacity reports whether the connection limit of e allows another call. An endpoint that has
// refused a connection gets no more connections than it had then, plus connLimitGrowth for each served
// call. Open connections are used for one call after another before a new connection is tried.
func (b *Brain) hasConnCapacity(e *endpoint) bool {
	if e.connLimit == 0 || !b.needsNewConn(e) {
		return true
	}
	if float64(e.callsInFlight+1) > e.connLimit {
		return false
	}
	if b.now < e.connectBackoffUntil {
		b.wakeAt(e.connectBackoffUntil)
		return false
	}
	return true
}

// needsNewConn reports whether a call to e would open a connection now.
func (b *Brain) needsNewConn(e *endpoint) bool {
	if e.callsInFlight >= e.openConns {
		return true
	}
	return e.callsInFlight == 0 && b.now >= e.idleSince+b.settings.IdleConnTimeout
}

// recordConnLimit records that e has refused a connection. All senders are refused at the same time, so
// each retries after a back-off with jitter.
func (b *Brain) recordConnLimit(e *endpoint) {
	e.connLimit = max(1, float64(e.callsInFlight))
	if b.now >= e.connectBackoffUntil {
		e.connectBackoff = min(max(2*e.connectBackoff, minRejectionBackoff), maxRejectionBackoff)
		e.connectBackoffUntil = b.now + b.jitter(e.connectBackoff)
	}
	// Without a latency, an endpoint that was never called would be selected as the fastest.
	e.recentLatency = max(e.recentLatency, e.route.recentLatency)
}

// recordConnSuccess records that a was served after the given seconds. It raises the connection limit and
// the idle time-outs.
func (b *Brain) recordConnSuccess(m *message, a *attempt, seconds float64) {
	e := a.endpoint
	gain := time.Duration(idleTimeoutGrowth * float64(b.settings.IdleConnTimeout))
	_, kindTimeout := b.idleTimeout(e)
	*kindTimeout = min(b.settings.IdleConnTimeout, *kindTimeout+gain)
	b.setIdleReduction(e, max(0, e.idleReduction-gain))
	e.connectBackoff = 0
	if e.connLimit > 0 {
		e.connLimit += connLimitGrowth
	}
	if e.idleReduction == 0 { // no connection was refused for a long time
		e.connLimit = 0
	}
	// An attempt on an idle connection was lost and the next one was served quickly: the endpoint, or
	// something on the way, drops idle connections silently.
	n := len(m.attempts)
	if n < 2 {
		return
	}
	before := m.attempts[n-2]
	if before.connIdleFor > 0 && before.uncertain && seconds < slowLatencies*a.route.MeanSeconds {
		*kindTimeout = min(*kindTimeout, before.connIdleFor/2)
		b.setIdleReduction(e, max(e.idleReduction, b.settings.IdleConnTimeout-*kindTimeout))
	}
}

// recordIdle records that the last call to e has ended.
func (b *Brain) recordIdle(e *endpoint) {
	b.lastIdleSequence++
	e.idleSince, e.idleSequence = b.now, b.lastIdleSequence
	if !e.inIdleList {
		e.inIdleList = true
		b.idleEndpoints = append(b.idleEndpoints, e)
	}
	// From time to time, prune endpoints that have a call again or whose connections the transport has
	// closed.
	if len(b.idleEndpoints) > 2*b.idleEndpointsAfterPruning+pruneSlack {
		remaining := b.idleEndpoints[:0]
		for _, e := range b.idleEndpoints {
			if e.idleSequence == 0 || e.callsInFlight > 0 || b.now >= e.idleSince+b.settings.IdleConnTimeout {
				e.inIdleList, e.idleSequence = false, 0
				continue
			}
			remaining = append(remaining, e)
		}
		clear(b.idleEndpoints[len(remaining):])
		b.idleEndpoints, b.idleEndpointsAfterPruning = shrink(remaining), len(remaining)
	}
}

// idleCloseCandidates returns the endpoints whose idle connections may have to be closed before the
// transport closes them, in the order of becoming idle: those with a reduction, or all endpoints while the
// idle time-out of some kind is reduced.
func (b *Brain) idleCloseCandidates() []*endpoint {
	b.idleScratch = b.idleScratch[:0]
	for _, timeout := range b.idleTimeouts {
		if timeout < b.settings.IdleConnTimeout {
			for _, e := range b.idleEndpoints {
				if e.idleSequence > 0 {
					b.idleScratch = append(b.idleScratch, e)
				}
			}
			return sortByIdleSequence(b.idleScratch)
		}
	}
	remaining := b.reducedEndpoints[:0]
	for _, e := range b.reducedEndpoints {
		if e.idleReduction == 0 {
			e.inReducedList = false
			continue
		}
		remaining = append(remaining, e)
		if e.idleSequence > 0 {
			b.idleScratch = append(b.idleScratch, e)
		}
	}
	clear(b.reducedEndpoints[len(remaining):])
	b.reducedEndpoints = remaining
	return sortByIdleSequence(b.idleScratch)
}

func sortByIdleSequence(list []*endpoint) []*endpoint {
	slices.SortFunc(list, func(x, y *endpoint) int { return cmp.Compare(x.idleSequence, y.idleSequence) })
	return list
}

// setIdleReduction sets by how much the idle time-out of e is shorter than its kind's.
func (b *Brain) setIdleReduction(e *endpoint, by time.Duration) {
	e.idleReduction = by
	if by > 0 && !e.inReducedList {
		e.inReducedList = true
		b.reducedEndpoints = append(b.reducedEndpoints, e)
	}
}
