package brain

import (
	"math"
	"time"
)

const (
	// assumedDelay is how much longer a message is assumed to wait if it is passed over.
	assumedDelay = 2 * time.Second
	// baseValueWeight is the weight of the value of a message relative to the value that it loses by
	// waiting.
	baseValueWeight = 0.1
	// minSlotSeconds is the shortest time for which a call is expected to hold its slot.
	minSlotSeconds = 0.05
)

// valueAt returns the value of m if it is served at the given time.
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

// priority ranks messages for a scarce slot: the value that m loses if it is passed over, and a little of
// its value, divided by the time for which it is likely to hold the slot. Calls to r that failed since the
// last served one lower the priority.
func (b *Brain) priority(m *message, r *route) float64 {
	seconds := max(r.recentLatency, r.MeanSeconds, minSlotSeconds)
	done := b.now + time.Duration(seconds*float64(time.Second))
	value := b.valueAt(m, done)
	errors := float64(r.consecutiveErrors) * math.Exp(-(b.now-r.lastSentAt).Seconds()/assumedDelay.Seconds())
	loss := value - b.valueAt(m, done+assumedDelay) + baseValueWeight*value
	return loss * (1 - r.failureRate) / (seconds * (1 + errors))
}

// precedes reports whether m is sent to e before other, a message of the same destination. During an outage,
// messages whose deadlines leave time for a slow answer come first: messages close to their deadlines lose
// most by waiting, but as probes they would time out at a slow destination each time, and its answers would
// never be seen. Next come messages that may be repeated, as others are lost with the probe.
func (b *Brain) precedes(m, other *message, e *endpoint, priority, otherPriority float64) bool {
	mayBeRefused := e.connLimit > 0 && b.needsNewConn(e)
	if mayBeRefused && m.attemptCount() != other.attemptCount() {
		return m.attemptCount() < other.attemptCount()
	}
	if e.route.state == outage {
		latency := max(e.route.MeanSeconds, e.route.recentLatency)
		slow := time.Duration(slowLatencies * latency * float64(time.Second))
		minDeadline := b.now + max(minProbeInterval, slow)
		tooShort := m.Deadline < minDeadline
		if tooShort != (other.Deadline < minDeadline) {
			return !tooShort
		}
	}
	repeatable := m.class.Idempotency != NonIdempotent
	otherRepeatable := other.class.Idempotency != NonIdempotent
	if e.route.state == outage && repeatable != otherRepeatable {
		return repeatable
	}
	return priority > otherPriority
}
