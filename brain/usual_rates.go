package brain

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usualRateWindow is the time over which the usual rates of routes are measured.
	usualRateWindow = time.Minute
	// servedRateWindow is the time over which the rate of calls served is measured.
	servedRateWindow = 10 * time.Second
)

// decayingCounter is a count that decays exponentially.
type decayingCounter struct {
	count     float64
	updatedAt time.Duration
}

// value returns the count at the time now.
func (c *decayingCounter) value(now, window time.Duration) float64 {
	return c.count * math.Exp(-(now-c.updatedAt).Seconds()/window.Seconds())
}

// add increments the count.
func (c *decayingCounter) add(now, window time.Duration) {
	c.count, c.updatedAt = c.value(now, window)+1, now
}

// usualRate returns the rate of a route's counter, in calls a second. It adds one call, and the mean time in
// which a route gets one, to what was counted, so that a few early calls do not distort the rate.
func (b *Brain) usualRate(counter decayingCounter) float64 {
	window := b.usualWindow()
	arrivals := b.arrivalCounter.value(b.now, usualRateWindow) + 1
	meanInterval := float64(max(1, b.routeCount)) * (window + 1) / arrivals
	return (counter.value(b.now, usualRateWindow) + 1) / (window + meanInterval)
}

// usualWindow returns the part of usualRateWindow for which this process has been running, weighted as the
// counters are, in seconds.
func (b *Brain) usualWindow() float64 {
	running := (b.now - b.startedAt).Seconds()
	return usualRateWindow.Seconds() * (1 - math.Exp(-running/usualRateWindow.Seconds()))
}

// countServed counts a call that r has served.
func (b *Brain) countServed(r *route) {
	if r.recentlyServed == 0 {
		r.firstServed = b.now
	}
	age := (b.now - r.lastServed).Seconds()
	r.recentlyServed = r.recentlyServed*math.Exp(-age/servedRateWindow.Seconds()) + 1
	r.lastServed = b.now
	r.servedCounter.add(b.now, usualRateWindow)
}

// servedRate returns the rate of calls served at the time of the last of them, in calls a second.
func (r *route) servedRate() float64 {
	seen := max(r.lastServed-r.firstServed, time.Second).Seconds()
	return r.recentlyServed / (servedRateWindow.Seconds() * (1 - math.Exp(-seen/servedRateWindow.Seconds())))
}

// UsualRates returns the rate usually served at each destination whose endpoints share one route, for the
// sender to store: without it, a process that restarts during an outage could not estimate how many calls a
// destination can take when it returns.
func (b *Brain) UsualRates() []UsualRate {
	var rates []UsualRate
	for _, d := range b.destinationOrder {
		if r := d.sharedRoute; r != nil {
			rate := r.rateBeforeOutage
			if r.state == healthy {
				rate = max(b.usualRate(r.servedCounter), b.priorRate(r))
			}
			rates = append(rates, UsualRate{DestinationID(r.id), rate})
		}
	}
	awake := len(rates)
	for _, f := range b.hibernated {
		rates = append(rates, UsualRate{f.id, float64(f.usualRate) * trust(b.now-f.hibernatedAt)})
	}
	slices.SortFunc(rates[awake:], func(x, y UsualRate) int {
		return cmp.Compare(x.Destination, y.Destination)
	})
	return rates
}

// restoreUsualRate applies a rate that an earlier process measured.
func (b *Brain) restoreUsualRate(u UsualRate) {
	if d := b.destination(u.Destination); isPositive(u.Rate) {
		d.restoredRate = u.Rate
		if d.sharedRoute != nil {
			d.sharedRoute.restoredRate = u.Rate
		}
	}
}

// priorRate returns the rate measured by an earlier process. It counts for less the longer this process
// runs.
func (b *Brain) priorRate(r *route) float64 {
	return r.restoredRate * math.Exp(-(b.now-b.startedAt).Seconds()/usualRateWindow.Seconds())
}
