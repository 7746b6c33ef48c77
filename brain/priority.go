package brain

import (
	"math"
	"time"
)

const (
	// assumedDelay is how much longer a message is assumed to wait if it is passed over.
	assumedDelay = 2 * time.Second
	// baseValueWeight is the weight of the value of a message beside what it loses by waiting.
	baseValueWeight = 0.1
	// minSlotSeconds is the least time for which a call is expected to hold its slot.
	minSlotSeconds = 0.05
)

// valueAt is the value of m if it is served at that time.
func (b *Brain) valueAt(m *message, at time.Duration) float64 {
	c := m.class
	lateBy := at - (m.Deadline - c.Deadline) - c.LatencyTarget
	value := c.Value * b.tenantWeight(m.Tenant)
	switch {
	case at >= m.Deadline:
		return 0
	case lateBy <= 0:
		return value
	case b.settings.ExponentialDecay:
		return value * max(c.LateValue, math.Exp2(-lateBy.Seconds()/c.LatencyTarget.Seconds()))
	}
	return value * (1 - (1-c.LateValue)*lateBy.Seconds()/(c.Deadline-c.LatencyTarget).Seconds())
}

// priority orders messages for a scarce slot: the value that m loses if it is passed over, and a little of
// its value, by the time for which it is likely to hold the slot. Calls to r that failed since one was served
// count against it.
func (b *Brain) priority(m *message, r *route) float64 {
	seconds := max(r.recentLatency, r.MeanSeconds, minSlotSeconds)
	done := b.now + time.Duration(seconds*float64(time.Second))
	value := b.valueAt(m, done)
	errors := float64(r.consecutiveErrors) * math.Exp(-(b.now-r.lastSentAt).Seconds()/assumedDelay.Seconds())
	loss := value - b.valueAt(m, done+assumedDelay) + baseValueWeight*value
	return loss * (1 - r.failureRate) / (seconds * (1 + errors))
}

// precedes reports whether m goes before other, of the same destination, to e. During an outage one goes
// first whose deadline leaves time for a slow answer: the messages closest to their deadlines lose most by
// waiting, but with those as probes a slow destination would be cut off each time and never be seen to
// answer. Next goes a message that may be repeated, as one that may not is lost with the probe.
func (b *Brain) precedes(m, other *message, e *endpoint, priority, otherPriority float64) bool {
	mayBeRefused := e.connLimit > 0 && b.needsNewConn(e)
	if mayBeRefused && m.attemptCount() != other.attemptCount() {
		return m.attemptCount() < other.attemptCount()
	}
	if e.route.state == outage {
		latency := max(e.route.MeanSeconds, e.route.recentLatency)
		slow := time.Duration(slowLatencies * latency * float64(time.Second))
		enough := b.now + max(minProbeInterval, slow)
		short := m.Deadline < enough
		if short != (other.Deadline < enough) {
			return !short
		}
	}
	repeatable := m.class.Idempotency != NonIdempotent
	otherRepeatable := other.class.Idempotency != NonIdempotent
	if e.route.state == outage && repeatable != otherRepeatable {
		return repeatable
	}
	return priority > otherPriority
}
