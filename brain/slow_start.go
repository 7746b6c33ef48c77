package brain

import "math"

const (
	// fleetCallsPerWarmUp is how many calls all senders together may send to any destination during its slow
	// start.
	fleetCallsPerWarmUp = 24
	// awareShare is what the senders that have seen an outage may send, as a share of the calls of those that
	// have not.
	awareShare = 0.2
)

// recoveryRate returns this sender's part of the calls a second that r can take in an outage, when it may
// return at any moment, and during its slow start. The part is proportional to the sender's usual traffic,
// whatever the number of senders. If this sender usually gets no message in the time of the outage, most
// other senders have seen no failure and send at their usual rate: the few that have seen one may together
// send awareShare of that. Any destination can take a few calls from all senders (fleetCallsPerWarmUp).
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
