package brain

import (
	"math"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// This file applies what other senders, or an earlier process of this sender, have observed of a destination.
// Observations of this process take precedence, and a learned observation never admits more calls than at a
// sender that has made the observation itself.

const (
	// windowHalfLife is the age at which the trust in a learned window has halved.
	windowHalfLife = 5 * time.Minute
	// limitHalfLife is the age at which the trust in a learned rate limit has halved.
	limitHalfLife = 30 * time.Minute
	// minLimitTrust is the trust below which a learned rate limit is ignored.
	minLimitTrust = 0.5
	// healthHalfLife is the age at which the trust in learned health has halved: outages here last 8 to 22 s.
	healthHalfLife = 15 * time.Second
	// minHealthTrust is the trust below which a learned outage counts as over, after 30 s.
	minHealthTrust = 0.25
	// maxOtherProbers bounds the other senders that are relied on to probe a route.
	maxOtherProbers = 3
	// remoteWindowShare is the fraction of another sender's window that is adopted, as that sender continues
	// to send.
	remoteWindowShare = 0.5
)

// decay returns the trust in evidence of that age: 1 at age 0, 0.5 at halfLife.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / halfLife.Seconds())
}

// observedRoute returns the route that o is about; nil if no list has named it, or if it hibernates.
func (b *Brain) observedRoute(o Observation) *route {
	if o.Endpoint != 0 {
		if e := b.endpoints[o.Endpoint]; e != nil && e.Destination == o.Destination {
			return e.route
		}
		return nil
	}
	if d := b.destinations[o.Destination]; d != nil {
		return d.sharedRoute
	}
	return nil
}

// applyObservation applies what another sender or an earlier process has observed.
func (b *Brain) applyObservation(o Observation) {
	r := b.observedRoute(o)
	if r == nil {
		return
	}
	if o.RetryAfter > 0 { // a retry-after holds for all senders
		if o.Local {
			r.ownRetryAfterUntil = max(r.ownRetryAfterUntil, b.now+o.RetryAfter)
		}
		b.applyRetryAfter(r, b.now+o.RetryAfter)
	}
	if r.Samples == 0 && o.Samples > 0 {
		r.Restore(restart.Remembered{
			Samples:       o.Samples,
			MeanSeconds:   o.MeanLatency.Seconds(),
			MedianLatency: o.MedianLatency,
			MinLatency:    o.MinLatency,
			Timeout:       o.Timeout,
		}, trust(o.LatencyAge))
		if d := b.destinations[o.Destination]; d != nil { // waiting messages may expire earlier now
			b.rescheduleExpiries(d)
		}
	}
	if t := decay(o.LimitAge, limitHalfLife); r.limit == 0 && t >= minLimitTrust && isPositive(o.Limit) {
		b.setLimit(r, o.Limit)
	}
	b.applyObservedHealth(r, o)
	// Without an observation the window starts at one and grows by one with each call served.
	if r.state == healthy && r.recentlyServed == 0 && o.Window > 1 && o.Health != Unhealthy {
		part := decay(o.WindowAge, windowHalfLife)
		if !o.Local {
			part *= remoteWindowShare
		}
		r.window.Size = max(r.window.Size, blend(1, min(o.Window, restart.MaxWindow(b.settings.Slots)), part))
	}
}

// applyRetryAfter closes r until the given time, and schedules a recheck of its calls in flight.
func (b *Brain) applyRetryAfter(r *route, until time.Duration) {
	r.retryAfterUntil = max(r.retryAfterUntil, until)
	r.closedUntil = max(r.closedUntil, r.retryAfterUntil)
	b.scheduleRecheck(r)
}

// applyObservedHealth applies the observed health of a route, unless a call of this process was served there
// since. It may begin an outage or a slow start of a healthy route, and never ends an outage.
func (b *Brain) applyObservedHealth(r *route, o Observation) {
	seenAt := b.now - o.HealthAge
	if o.Health == HealthUnknown || r.recentlyServed > 0 && r.lastServed >= seenAt {
		return
	}
	switch o.Health {
	case HealthUnknown: // returned above
	case Healthy, WarmingUp:
		r.otherProbers = 0
		// The route may have recovered: one call is allowed at once to find out.
		if r.state == outage && r.lastSentAt < seenAt {
			r.tokens = max(r.tokens, 1)
		}
	case Unhealthy:
		r.otherProbers, r.otherProbersAt = min(o.OtherProbers, maxOtherProbers), seenAt
		if r.state != healthy || decay(o.HealthAge, healthHalfLife) < minHealthTrust {
			return
		}
		b.beginOutage(r)
		r.rateBeforeOutage = max(r.rateBeforeOutage, o.Rate)
		r.outageSince = min(r.outageSince, b.now-max(o.HealthFor, o.OutageFor))
		// The first message probes the route, so that a route which has recovered is not avoided any longer.
		// Senders that restart together have observed the outage themselves, and keep their random phases.
		if !o.Local {
			r.tokens = 1
		}
	}
	if o.Health == WarmingUp && r.state == healthy && o.HealthFor < b.settings.SlowStartDuration {
		r.rateBeforeOutage = max(b.usualRate(r.servedCounter), b.evenShare(r.limit), b.priorRate(r), o.Rate)
		r.state, r.stateSince = warmingUp, b.now-o.HealthFor
		r.outageSince = b.now - max(o.HealthFor, o.OutageFor)
		r.window.Size, r.tokens, r.refilledAt = 1, 1, b.now
		if o.Local {
			r.tokens = b.randomPhase()
		}
	}
}

// probeShare returns this sender's fraction of the probes of a route while other senders probe it as well
// and report what they observe: with one call of each sender in turn, a recovery is detected as soon as by a
// sender that probes alone.
func (b *Brain) probeShare(r *route) float64 {
	return 1 / (1 + float64(r.otherProbers)*decay(b.now-r.otherProbersAt, healthHalfLife))
}
