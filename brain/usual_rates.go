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

// value is the count as of now.
func (c *decayingCounter) value(now, window time.Duration) float64 {
	return c.count * math.Exp(-(now-c.updatedAt).Seconds()/window.Seconds())
}

// add counts one more.
func (c *decayingCounter) add(now, window time.Duration) {
	c.count, c.updatedAt = c.value(now, window)+1, now
}

// usualRate is the rate of what a counter of one route has counted, in calls a second: of that, and of one
// more in the time in which a route gets one in the mean, so that a sender which has seen few yet is not
// misled by them.
func (b *Brain) usualRate(counter decayingCounter) float64 {
	counted := b.usualWindow()
	arrivals := b.arrivalCounter.value(b.now, usualRateWindow) + 1
	each := float64(max(1, b.routeCount)) * (counted + 1) / arrivals
	return (counter.value(b.now, usualRateWindow) + 1) / (counted + each)
}

// usualWindow is the part of usualRateWindow that this process has seen, weighted as the counters are, in
// seconds.
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

// servedRate is the rate of calls served as of the last of them, in calls a second.
func (r *route) servedRate() float64 {
	seen := max(r.lastServed-r.firstServed, time.Second).Seconds()
	return r.recentlyServed / (servedRateWindow.Seconds() * (1 - math.Exp(-seen/servedRateWindow.Seconds())))
}

// UsualRates returns the rate usually served at each destination whose endpoints share one route, for the
// sender to keep: a process that restarts within an outage would otherwise know nothing of what a destination
// bears when it returns.
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

// restoreUsualRate takes over what an earlier process knew.
func (b *Brain) restoreUsualRate(u UsualRate) {
	if d := b.destination(u.Destination); isPositive(u.Rate) {
		d.restoredRate = u.Rate
		if d.sharedRoute != nil {
			d.sharedRoute.restoredRate = u.Rate
		}
	}
}

// priorRate is the rate of an earlier process, which counts for less the more this one has seen itself.
func (b *Brain) priorRate(r *route) float64 {
	return r.restoredRate * math.Exp(-(b.now-b.startedAt).Seconds()/usualRateWindow.Seconds())
}
