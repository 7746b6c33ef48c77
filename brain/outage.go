package brain

import (
	"time"
)

const (
	// degradedFailureRate is the share of failed calls above which the window is halved and the rate is
	// limited.
	degradedFailureRate = 0.3
	// outageFailureRate is the share of failed calls above which a route is in an outage.
	outageFailureRate = 0.65
	// maxOutageThreshold is the number of consecutive failures that are an outage for a sender which makes
	// as many calls in an overload window.
	maxOutageThreshold = 8
	// minOutageThreshold is that number for a sender which makes hardly any calls.
	minOutageThreshold = 2
	// minProbeInterval is the shortest time between two probes of a route.
	minProbeInterval = 300 * time.Millisecond
)

// unresponsive reports whether n or more calls are in flight at r, the oldest of them for longer than
// unresponsiveAfter, and no call was served since the oldest was sent.
func (b *Brain) unresponsive(r *route, n int) bool {
	return len(r.inFlight) >= n && r.lastServed <= r.inFlight[0].sentAt &&
		b.now-r.inFlight[0].sentAt > r.unresponsiveAfter()
}

// outageThreshold returns how many consecutive failures are an outage: minOutageThreshold and as many more
// as this sender makes calls in an overload window, at most maxOutageThreshold. A sender with few calls
// would not see so many failures before that window is over. With few senders the threshold is higher.
func (b *Brain) outageThreshold(r *route) int {
	ownCalls := int(b.usualRate(r.sentCounter) * b.settings.OverloadWindow.Seconds())
	fewSenders := fleetCallsPerWarmUp / max(1, b.settings.Senders)
	return min(maxOutageThreshold, max(minOutageThreshold+ownCalls, fewSenders))
}

// beginOutage puts r into an outage. If the outage interrupts a slow start, the rate from before the first
// outage is kept, as this sender has limited its rate since.
func (b *Brain) beginOutage(r *route) {
	if r.state == healthy {
		r.rateBeforeOutage = max(b.usualRate(r.servedCounter), b.evenShare(r.limit), b.priorRate(r))
		if r.recentlyServed > maxOutageThreshold { // enough calls for the rate of the last seconds
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

// endOutage begins the slow start of r, which has served a probe at e.
func (b *Brain) endOutage(r *route, e *endpoint) {
	r.state, r.stateSince, r.window.Size, r.tokens, r.refilledAt = warmingUp, b.now, 1, 0, b.now
	if b.outageThreshold(r) >= maxOutageThreshold/2 {
		b.setIdleReduction(e, 0) // a real outage: connects did not fail because of a connection limit
	}
	r.failureRate = min(r.failureRate, degradedFailureRate)
	b.recordChange(r)
	b.log(r, "answers again; warming up")
}
