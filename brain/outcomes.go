package brain

import (
	"time"
)

const (
	// recentLatencyWeight is the weight of the newest call in recentLatency.
	recentLatencyWeight = 0.1
	// failureRateWeight is the weight of the newest call in failureRate.
	failureRateWeight = 0.06
)

// handleResult takes in the result of an attempt, and queues the message again if it needs another one.
func (b *Brain) handleResult(e AttemptResult) {
	m := b.messages[e.Message]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || m.attempts[e.Attempt].ended {
		return
	}
	a := &m.attempts[e.Attempt]
	a.ended, a.uncertain = true, e.Outcome == TimedOut || e.Outcome == ConnectionLost
	e.Elapsed = max(0, e.Elapsed)
	m.attemptsInFlight--
	b.touch(m.destination)
	if a.unresolved--; a.unresolved == 0 {
		b.releaseCall(a, e)
	}
	if e.LimitReported && isPositive(e.Limit) {
		b.setLimit(a.route, e.Limit)
	}
	if e.RetryAfter > 0 { // each result of a shared call may tell a later end
		a.route.ownRetryAfterUntil = max(a.route.ownRetryAfterUntil, b.now+e.RetryAfter+time.Millisecond)
		b.applyRetryAfter(a.route, a.route.ownRetryAfterUntil)
		b.recordChange(a.route)
	}
	if !a.recorded && e.Outcome != NotSent {
		a.recorded = true
		b.recordOutcome(m, a, e)
	}
	a.route.lastResultAt = b.now
	b.sampleLatency(m, a, e)
	switch e.Outcome {
	case Served, Errored: // it has run
	case Rejected, ConnectFailed, NotSent:
		if e.Revoked { // otherwise revocations would use up its attempts
			m.revokedAttempts++
		}
		b.clearMayHaveRun(m)
	case TimedOut, ConnectionLost, Cancelled:
		if m.keyQueue != nil {
			b.startCooldown(m.keyQueue)
		}
	}
	if e.Final || m.ended {
		b.closeMessage(m)
		return
	}
	if m.attemptsInFlight == 0 {
		if e.Outcome != TimedOut && !e.ConnLimitReached {
			m.notBefore = b.now + minRetryBackoff<<min(len(m.attempts)-1, maxRetryDoublings)
		}
		b.enqueue(m)
	}
}

// releaseCall frees the slot and the connection of a call whose last result has come.
func (b *Brain) releaseCall(a *attempt, e AttemptResult) {
	b.callsInFlight--
	a.route.callsInFlight--
	if a.overdueCancelled {
		b.overdueCancelled--
	}
	a.endpoint.callsInFlight--
	if e.ConnLimitReached || a.uncertain || e.Outcome == ConnectFailed || e.Outcome == Cancelled {
		a.endpoint.openConns--
	}
	if a.endpoint.callsInFlight == 0 {
		b.recordIdle(a.endpoint)
	}
	b.untrackCall(a.call)
	if a.probe && a.sentAt >= a.route.stateSince && a.route.state == outage {
		a.route.probesInFlight--
	}
}

// recordOutcome counts the outcome of a call in the health of its route and its endpoint.
func (b *Brain) recordOutcome(m *message, a *attempt, e AttemptResult) {
	r := a.route
	failed := 0.0
	if e.Outcome != Served && e.Outcome != Rejected || e.ConnLimitReached {
		failed = 1
	}
	a.endpoint.failureRate += failureRateWeight * (failed - a.endpoint.failureRate)
	if e.Outcome != Rejected {
		r.failureRate += failureRateWeight * (failed - r.failureRate)
		r.consecutiveErrors++
	}
	if e.Outcome == Served {
		b.recordSuccess(m, a, e)
		return
	}
	if e.Outcome == ConnectFailed || e.ConnLimitReached { // it may hold all the connections that it takes
		_, kindTimeout := b.idleTimeout(a.endpoint)
		*kindTimeout /= idleTimeoutDivisor
		b.setIdleReduction(a.endpoint, b.settings.IdleConnTimeout)
	}
	if e.ConnLimitReached { // which says nothing of calls
		b.recordConnLimit(a.endpoint)
		return
	}
	// Rejections of a destination whose allowance is used up are no failures.
	limited := e.Outcome == Rejected && e.LimitReported && isPositive(e.Limit)
	if !limited || e.Remaining >= plentifulRemaining {
		r.consecutiveFailures++
	}
	switch {
	case e.Outcome == Rejected:
		b.recordRejection(r, a, e)
	case e.Outcome == TimedOut && r.Doubled():
		r.window.Halve(a.sentAt, b.now)
	}
	// Rejections come in runs where a limit is met, too: they are an outage only if none was served for a
	// while.
	unservedForLong := e.Outcome != Rejected || b.now-r.lastServed > b.settings.OverloadWindow/2
	failing := r.consecutiveFailures >= b.outageThreshold(r) && unservedForLong
	persistent := failing || r.failureRate > outageFailureRate
	failsAgain := r.consecutiveFailures >= b.outageThreshold(r)/2+1 && unservedForLong
	if r.state == healthy && persistent || r.state == warmingUp && failsAgain {
		b.beginOutage(r)
	}
}

// recordSuccess counts a call that was served.
func (b *Brain) recordSuccess(m *message, a *attempt, e AttemptResult) {
	r := a.route
	seconds := e.Elapsed.Seconds()
	for _, recent := range []*float64{&r.recentLatency, &a.endpoint.recentLatency} {
		if *recent == 0 {
			*recent = seconds
		}
		*recent += recentLatencyWeight * (seconds - *recent)
	}
	b.recordConnSuccess(m, a, seconds)
	b.countServed(r)
	r.lastServedSentAt = max(r.lastServedSentAt, a.sentAt)
	r.consecutiveFailures, r.consecutiveErrors, r.backoff, r.overdueCancelled = 0, 0, 0, 0
	if r.state == outage {
		b.endOutage(r, a.endpoint)
	}
	r.window.RecordSuccess(r.callsInFlight, b.settings.Slots)
	b.adjustSendRate(r, e)
}

// recordRejection closes the route for a back-off, unless the destination told a retry-after.
func (b *Brain) recordRejection(r *route, a *attempt, e AttemptResult) {
	r.window.Halve(a.sentAt, b.now)
	b.decreaseSendRate(r, 1)
	if e.RetryAfter > 0 {
		// Closed for longer than any limit is counted over, it comes back with a slow start.
		if e.RetryAfter > b.settings.OverloadWindow && r.state != outage {
			b.beginOutage(r)
		}
		return
	}
	r.backoff = min(max(2*r.backoff, minRejectionBackoff), maxRejectionBackoff)
	r.closedUntil = max(r.closedUntil, b.now+r.backoff)
}
