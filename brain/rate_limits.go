package brain

import (
	"math"
	"time"
)

const (
	// minRejectionBackoff is the back-off of a route after the first rejection without a retry-after; it
	// doubles.
	minRejectionBackoff = 100 * time.Millisecond
	// maxRejectionBackoff bounds that back-off: about the time over which rate limits are measured.
	maxRejectionBackoff = time.Second
	// sendRateIncrease is the growth of the send rate with each call served, as a fraction of
	// initialSendRate.
	sendRateIncrease = 0.1
	// sendRateDecrease is the factor by which the send rate is cut for a rejection, and for each second
	// without a result near the end of the allowance.
	sendRateDecrease = 0.7
	// maxSendRateDecreases bounds how many of those seconds are counted.
	maxSendRateDecreases = 4
	// plentifulRemaining is the share of the allowance left above which the send rate grows.
	plentifulRemaining = 0.3
	// scarceRemaining is the share of the allowance left below which the send rate is cut.
	scarceRemaining = 0.1
	// degradedRateFactor is the multiple of its served rate that a route with a high failure rate may get.
	degradedRateFactor = 1.5
)

// allowedRate returns how many calls a second r may get now, and how many at once. A window alone does not
// bound the rate of calls that fail quickly, and a destination that warms up can take only few calls,
// including those that it rejects.
func (b *Brain) allowedRate(r *route) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	grant, granted := b.rateGrants[r.destination]
	if r.limit > 0 && !(granted && grant.TotalRate <= r.limit) {
		rate, burst = r.sendRate, max(1, r.sendRate)
	}
	if granted { // by the fleet: no estimate of what other senders use is needed
		rate, burst = min(rate, grant.Rate/float64(b.routesOfDestination(r.destination))), 1
		if grant.Rate == 0 { // nothing is granted, not even the first call of a route
			burst = 0
		}
	}
	switch {
	case r.state == outage:
		rate, burst = min(rate, b.recoveryRate(r), 1/minProbeInterval.Seconds())*b.probeShare(r), 1
	case r.state == warmingUp:
		rate, burst = min(rate, b.recoveryRate(r)), 1
	case r.failureRate > degradedFailureRate:
		rate, burst = min(rate, max(1, degradedRateFactor*r.servedRate())), 1
	}
	return rate, burst
}

// refillTokens adds the calls that the rate has allowed since the last refill.
func (b *Brain) refillTokens(r *route) {
	rate, burst := b.allowedRate(r)
	if math.IsInf(rate, 1) {
		r.tokens = 1
	} else {
		r.tokens = min(burst, r.tokens+rate*(b.now-r.refilledAt).Seconds())
	}
	r.refilledAt = b.now
}

// evenShare returns the part of each sender if a total is divided evenly among all senders.
func (b *Brain) evenShare(all float64) float64 { return all / float64(max(1, b.settings.Senders)) }

// initialSendRate returns the even share of a limit. With many senders that share is far below one call a
// second, and few of them have messages for the destination at a time: the rate is then up to one call in
// the time over which limits are measured.
func (b *Brain) initialSendRate(limit float64) float64 {
	n := float64(max(1, b.settings.Senders))
	return min(limit, max(b.evenShare(limit), min(1, n/fleetCallsPerWarmUp)/maxRejectionBackoff.Seconds()))
}

// setLimit applies a reported rate limit, in calls a second of all senders.
func (b *Brain) setLimit(r *route, limit float64) {
	if r.limit == 0 {
		r.sendRate = b.initialSendRate(limit)
	} else {
		r.sendRate *= limit / r.limit
	}
	r.limit = limit
}

// adjustSendRate raises the send rate after a call that was served, or cuts it if the allowance is nearly
// used up.
func (b *Brain) adjustSendRate(r *route, result AttemptResult) {
	switch {
	case r.limit > 0 && (result.Limit == 0 || result.Remaining > plentifulRemaining):
		step := sendRateIncrease * b.initialSendRate(r.limit)
		if result.Limit == 0 {
			step *= 2 // no allowance to use up: the rating of the endpoint is a capacity
		}
		r.sendRate = min(r.limit, r.sendRate+step)
	case r.limit > 0 && result.Remaining < scarceRemaining: // rejections may use it up, too
		b.decreaseSendRate(r, 0)
	}
}

// decreaseSendRate cuts the send rate below the rate in use: once for each second since the last result, and
// minDecreases times at least. The lower bound is half of the even share: if all senders send at that rate,
// the allowance can refill.
func (b *Brain) decreaseSendRate(r *route, minDecreases float64) {
	share := b.evenShare(r.limit)
	used := max(b.usualRate(r.sentCounter), r.servedRate(), share)
	decreases := max(minDecreases, min(maxSendRateDecreases, (b.now-r.lastResultAt).Seconds()))
	r.sendRate = max(min(r.sendRate, used)*math.Pow(sendRateDecrease, decreases), share/2)
}

// applyRateGrant applies a rate granted by the fleet.
func (b *Brain) applyRateGrant(g RateGrant) {
	if !g.Limited {
		delete(b.rateGrants, g.Destination)
		return
	}
	if b.rateGrants == nil {
		b.rateGrants = map[DestinationID]RateGrant{}
	}
	d := b.destinations[g.Destination]
	if d != nil && d.sharedRoute != nil && b.rateGrants[g.Destination].Rate == 0 && g.Rate > 0 {
		d.sharedRoute.tokens = max(d.sharedRoute.tokens, 1) // it may be used at once
	}
	b.rateGrants[g.Destination] = g
}

// routesOfDestination returns the number of routes of a destination.
func (b *Brain) routesOfDestination(id DestinationID) int {
	if d := b.destinations[id]; d != nil && d.sharedRoute == nil {
		return max(1, len(d.endpoints))
	}
	return 1
}
