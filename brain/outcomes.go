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

// handleResult applies the result of an attempt, and queues the message again if it needs another attempt.
func (b *Brain) handleResult(result AttemptResult) {
	m := b.messages[result.Message]
	if m == nil || result.Attempt < 0 || result.Attempt >= len(m.attempts) {
		return
	}
	a := &m.attempts[result.Attempt]
	if a.ended {
		return
	}
	a.ended, a.uncertain = true, result.Outcome == TimedOut || result.Outcome == ConnectionLost
	result.Elapsed = max(0, result.Elapsed)
	m.attemptsInFlight--
	b.touch(m.destination)
	if a.unresolved--; a.unresolved == 0 {
		b.releaseCall(a, result)
	}
	if result.LimitReported && isPositive(result.Limit) {
		b.setLimit(a.route, result.Limit)
	}
	if result.RetryAfter > 0 { // each result of a shared call may ask for a later end
		a.route.ownRetryAfterUntil = max(a.route.ownRetryAfterUntil, b.now+result.RetryAfter+time.Millisecond)
		b.applyRetryAfter(a.route, a.route.ownRetryAfterUntil)
		b.recordChange(a.route)
	}
	if !a.recorded && result.Outcome != NotSent {
		a.recorded = true
		b.recordOutcome(m, a, result)
	}
	a.route.lastResultAt = b.now
	b.sampleLatency(m, a, result)
	switch result.Outcome {
	case Served, Errored: // it has run
	case Rejected, ConnectFailed, NotSent:
		if result.Revoked { // otherwise revocations would use up its attempts
			m.revokedAttempts++
		}
		b.clearMayHaveRun(m)
	case TimedOut, ConnectionLost, Cancelled:
		if m.keyQueue != nil {
			b.startCooldown(m.keyQueue)
		}
	}
	if result.Final || m.ended {
		b.closeMessage(m)
		return
	}
	if m.attemptsInFlight == 0 {
		if result.Outcome != TimedOut && !result.ConnLimitReached {
			m.notBefore = b.now + minRetryBackoff<<min(len(m.attempts)-1, maxRetryDoublings)
		}
		b.enqueue(m)
	}
}

// releaseCall frees the slot and the connection of a call whose last result has come.
func (b *Brain) releaseCall(a *attempt, result AttemptResult) {
	b.callsInFlight--
	a.route.callsInFlight--
	if a.overdueCancelled {
		b.overdueCancelled--
	}
	a.endpoint.callsInFlight--
	noConn := result.ConnLimitReached || result.Outcome == ConnectFailed
	if noConn || a.uncertain || result.Outcome == Cancelled {
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
func (b *Brain) recordOutcome(m *message, a *attempt, result AttemptResult) {
	r := a.route
	failed := 0.0
	if result.Outcome != Served && result.Outcome != Rejected || result.ConnLimitReached {
		failed = 1
	}
	a.endpoint.failureRate += failureRateWeight * (failed - a.endpoint.failureRate)
	if result.Outcome != Rejected {
		r.failureRate += failureRateWeight * (failed - r.failureRate)
		r.consecutiveErrors++
	}
	if result.Outcome == Served {
		b.recordSuccess(m, a, result)
		return
	}
	// The endpoint may have reached its connection limit.
	if result.Outcome == ConnectFailed || result.ConnLimitReached {
		_, kindTimeout := b.idleTimeout(a.endpoint)
		*kindTimeout /= idleTimeoutDivisor
		b.setIdleReduction(a.endpoint, b.settings.IdleConnTimeout)
	}
	if result.ConnLimitReached { // which is no evidence about calls
		b.recordConnLimit(a.endpoint)
		return
	}
	// Rejections by a destination whose allowance is used up are no failures.
	limited := result.Outcome == Rejected && result.LimitReported && isPositive(result.Limit)
	if !limited || result.Remaining >= plentifulRemaining {
		r.consecutiveFailures++
	}
	switch {
	case result.Outcome == Rejected:
		b.recordRejection(r, a, result)
	case result.Outcome == TimedOut && r.Doubled():
		r.window.Halve(a.sentAt, b.now)
	}
	// Consecutive rejections also occur at a rate limit: they are an outage only if no call was served for a
	// while.
	unservedForLong := result.Outcome != Rejected || b.now-r.lastServed > b.settings.OverloadWindow/2
	failing := r.consecutiveFailures >= b.outageThreshold(r) && unservedForLong
	persistent := failing || r.failureRate > outageFailureRate
	failsAgain := r.consecutiveFailures >= b.outageThreshold(r)/2+1 && unservedForLong
	if r.state == healthy && persistent || r.state == warmingUp && failsAgain {
		b.beginOutage(r)
	}
}

// recordSuccess counts a call that was served.
func (b *Brain) recordSuccess(m *message, a *attempt, result AttemptResult) {
	r := a.route
	seconds := result.Elapsed.Seconds()
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
	b.adjustSendRate(r, result)
}

// recordRejection closes the route for a back-off, unless the rejection carries a retry-after.
func (b *Brain) recordRejection(r *route, a *attempt, result AttemptResult) {
	r.window.Halve(a.sentAt, b.now)
	b.decreaseSendRate(r, 1)
	if result.RetryAfter > 0 {
		// A route that is closed for longer than the window of any limit returns with a slow start.
		if result.RetryAfter > b.settings.OverloadWindow && r.state != outage {
			b.beginOutage(r)
		}
		return
	}
	r.backoff = min(max(2*r.backoff, minRejectionBackoff), maxRejectionBackoff)
	r.closedUntil = max(r.closedUntil, b.now+r.backoff)
}
