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
)

// valueAt is the value of m if it is served at that time.
func (b *Brain) valueAt(m *message, at time.Duration) float64 {
	c := m.class
	late := at - (m.Deadline - c.Deadline) - c.LatencyTarget
	w := c.Value * b.tenantWeight(m.Tenant)
	switch {
	case at >= m.Deadline:
		return 0
	case late <= 0:
		return w
	case b.settings.ExponentialDecay:
		return w * max(c.LateValue, math.Exp2(-late.Seconds()/c.LatencyTarget.Seconds()))
	}
	return w * (1 - (1-c.LateValue)*late.Seconds()/(c.Deadline-c.LatencyTarget).Seconds())
}

// priority orders messages for a scarce slot: the value that m loses if it is passed over, and a little of
// its value, by the time for which it is likely to hold the slot. Calls to r that failed since one was served
// count against it.
func (b *Brain) priority(m *message, r *route) float64 {
	takes := max(r.recentLatency, r.MeanSeconds, 0.05)
	done := b.now + time.Duration(takes*float64(time.Second))
	w := b.valueAt(m, done)
	lost := float64(r.consecutiveErrors) * math.Exp(-(b.now-r.lastSentAt).Seconds()/assumedDelay.Seconds())
	loss := w - b.valueAt(m, done+assumedDelay) + baseValueWeight*w
	return loss * (1 - r.failureRate) / (takes * (1 + lost))
}

// precedes orders two messages of one destination. During an outage one goes first whose deadline leaves time
// for a slow answer: the messages closest to their deadlines lose most by waiting, but with those as probes a
// slow destination would be cut off each time and never be seen to answer. Next goes a message that may be
// repeated, as one that may not is lost with the probe.
func (b *Brain) precedes(m *message, e *endpoint, x float64, than *message, thanX float64) bool {
	mayBeRefused := e.connLimit > 0 && b.needsNewConn(e)
	if mayBeRefused && m.attemptCount() != than.attemptCount() {
		return m.attemptCount() < than.attemptCount()
	}
	if e.route.state == outage {
		latency := max(e.route.MeanSeconds, e.route.recentLatency)
		slow := time.Duration(slowLatencies * latency * float64(time.Second))
		enough := b.now + max(minProbeInterval, slow)
		short := m.Deadline < enough
		if short != (than.Deadline < enough) {
			return !short
		}
	}
	otherIsNot := than.class.Idempotency == NonIdempotent
	if e.route.state == outage && (m.class.Idempotency == NonIdempotent) != otherIsNot {
		return otherIsNot
	}
	return x > thanX
}
