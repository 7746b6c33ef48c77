package brain

import "math"

const (
	// fleetCallsPerWarmUp is how many calls all senders together may send to any destination in the time to
	// warm up.
	fleetCallsPerWarmUp = 24
	// awareShare is what the senders that have seen an outage may send, as a share of the calls of those that
	// have not.
	awareShare = 0.2
)

// recoveryRate is this sender's part of the calls a second that r bears in an outage, when it may return at
// any moment, and during its slow start. A sender's part is that of its usual traffic, whatever the number of
// senders. Where this sender usually gets no message in such a time, most others have seen no failure and
// send as ever: the few that have may together send awareShare of that. Any destination bears a few calls
// from all senders.
func (b *Brain) recoveryRate(r *route) float64 {
	capacity := b.settings.SlowStartCapacity
	if r.state == warmingUp && b.settings.SlowStartDuration > 0 {
		passed := (b.now - r.stateSince).Seconds() / b.settings.SlowStartDuration.Seconds()
		capacity += (1 - capacity) * min(1, passed)
	}
	unaware := awareShare / max(math.Expm1(r.rateBeforeOutage*(b.now-r.outageSince).Seconds()), 1e-9)
	minimum := b.evenShare(fleetCallsPerWarmUp / max(b.settings.SlowStartDuration.Seconds(), 1))
	return max(minimum, r.rateBeforeOutage*max(max(1, b.settings.OverloadMultiple)*capacity, unaware))
}
