package brain

import (
	"time"
)

const (
	// degradedFailureRate is the share of failed calls from which the window is halved and the rate is
	// limited.
	degradedFailureRate = 0.3
	// outageFailureRate is the share of failed calls from which there is an outage.
	outageFailureRate = 0.65
	// maxOutageThreshold is the number of consecutive failures that are an outage for a sender which makes as
	// many calls in an overload window.
	maxOutageThreshold = 8
	// minOutageThreshold is that number for a sender which makes hardly any.
	minOutageThreshold = 2
	// minProbeInterval is the shortest time between two probes of a route.
	minProbeInterval = 300 * time.Millisecond
)

// unresponsive reports whether n or more calls are in flight at r and nothing was served since the oldest
// went out, long ago.
func (b *Brain) unresponsive(r *route, n int) bool {
	return len(r.inFlight) >= n && r.lastServed <= r.inFlight[0].sentAt &&
		b.now-r.inFlight[0].sentAt > r.unresponsiveAfter()
}

// outageThreshold is how many consecutive failures are an outage: as many calls as this sender makes in an
// overload window, for a sender with few calls would not see eight fail before that is over; and more where
// senders are few.
func (b *Brain) outageThreshold(r *route) int {
	ownCalls := int(b.usualRate(r.sentCounter) * b.settings.OverloadWindow.Seconds())
	fewSenders := fleetCallsPerWarmUp / max(1, b.settings.Senders)
	return min(maxOutageThreshold, max(minOutageThreshold+ownCalls, fewSenders))
}

// beginOutage takes r into an outage. Where one outage follows another the rate before was held down by this
// sender, so the higher one is kept.
func (b *Brain) beginOutage(r *route) {
	if r.state == healthy {
		r.rateBeforeOutage = max(b.usualRate(r.servedCounter), b.evenShare(r.limit), b.priorRate(r))
		if r.recentlyServed > maxOutageThreshold { // enough of them to go by the last seconds
			r.rateBeforeOutage = max(r.rateBeforeOutage, r.servedRate())
		}
		r.outageSince = b.now
	}
	r.state, r.stateSince, r.probesInFlight, r.tokens, r.refilledAt = outage, b.now, 0, b.randomPhase(), b.now
	r.window.Size = 1
	b.scheduleRecheck(r)
	b.recordChange(r)
	b.log(r, "out: calls fail, are refused or go unanswered; one call at a time")
}

// endOutage takes r, which has served a probe at e, into the slow start.
func (b *Brain) endOutage(r *route, e *endpoint) {
	r.state, r.stateSince, r.window.Size, r.tokens, r.refilledAt = warmingUp, b.now, 1, 0, b.now
	if b.outageThreshold(r) >= maxOutageThreshold/2 {
		b.setIdleReduction(e, 0) // an outage as such: its connects did not fail for lack of connections
	}
	r.failureRate = min(r.failureRate, degradedFailureRate)
	b.recordChange(r)
	b.log(r, "answers again; warming up")
}
