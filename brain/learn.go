package brain

import (
	"math"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// What is learned of a destination from other senders, or from an earlier process of this one, and what it
// does. All of it gives way to what this process sees itself, and none of it lets more through than a sender
// that saw it would.

const (
	// windowHalfLife is the age at which a learned window counts half.
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
	// remoteWindowShare is the part of another sender's window that is taken over: that sender goes on
	// sending.
	remoteWindowShare = 0.5
)

// decay is the trust in evidence of that age: 1 right away, 0.5 after halfLife.
func decay(age, half time.Duration) float64 {
	return math.Exp2(-max(0, age).Seconds() / half.Seconds())
}

// observedRoute is the route that something was observed of; nil if no list has named it, or if it
// hibernates.
func (b *Brain) observedRoute(o Observation) *route {
	if o.Endpoint != 0 {
		if at := b.endpoints[o.Endpoint]; at != nil && at.Destination == o.Destination {
			return at.route
		}
		return nil
	}
	if d := b.destinations[o.Destination]; d != nil {
		return d.sharedRoute
	}
	return nil
}

// applyObservation takes over what was observed by others.
func (b *Brain) applyObservation(o Observation) {
	r := b.observedRoute(o)
	if r == nil {
		return
	}
	if o.RetryAfter > 0 { // the destination asked for quiet, from all senders
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
		if d := b.destinations[o.Destination]; d != nil { // those that wait have less time from now on
			b.rescheduleExpiries(d)
		}
	}
	if t := decay(o.LimitAge, limitHalfLife); r.limit == 0 && t >= minLimitTrust && isPositive(o.Limit) {
		b.setLimit(r, o.Limit)
	}
	b.applyObservedHealth(r, o)
	// A window of one, and one call more with each that is served, is right where nothing is known.
	if r.state == healthy && r.recentlyServed == 0 && o.Window > 1 && o.Health != Unhealthy {
		part := decay(o.WindowAge, windowHalfLife)
		if !o.Local {
			part *= remoteWindowShare
		}
		r.window.Size = max(r.window.Size, blend(1, min(o.Window, restart.MaxWindow(b.settings.Slots)), part))
	}
}

// applyRetryAfter closes a route until then, and has its calls in flight looked at again.
func (b *Brain) applyRetryAfter(r *route, until time.Duration) {
	r.retryAfterUntil = max(r.retryAfterUntil, until)
	r.closedUntil = max(r.closedUntil, r.retryAfterUntil)
	b.scheduleRecheck(r)
}

// applyObservedHealth takes over the health of a route, unless this process has served there since, or has an
// outage of its own there.
func (b *Brain) applyObservedHealth(r *route, o Observation) {
	seenAt := b.now - o.HealthAge
	if o.Health == HealthUnknown || r.recentlyServed > 0 && r.lastServed >= seenAt {
		return
	}
	switch o.Health {
	case HealthUnknown: // returned above
	case Healthy, WarmingUp:
		r.otherProbers = 0
		// It may have recovered: one call will tell, and need not wait its turn.
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
		// The first message tries it: if it has recovered meanwhile, it is avoided for no longer than that.
		// Senders that restart together all know of it by themselves, and go on in turn.
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

// probeShare is this sender's part of the probes of a route, while others probe it as well and tell what they
// see: all together find as soon that it is back, with a call of each in turn.
func (b *Brain) probeShare(r *route) float64 {
	return 1 / (1 + float64(r.otherProbers)*decay(b.now-r.otherProbersAt, healthHalfLife))
}
