package brain

import "time"

const (
	// shedThreshold is the share of Settings.MaxPending above which messages are rejected.
	shedThreshold = 0.95
	// minServedRate, in calls a second, bounds the expected wait at a destination that serves nothing.
	minServedRate = 0.1
)

// shedLoad rejects messages while more than shedThreshold of MaxPending are pending: the newest message of
// the destination with the longest expected wait, tenants beyond their share first. The client of a rejected
// message can retry; without shedding, other messages would be rejected before they reach the Brain.
func (b *Brain) shedLoad() {
	for b.settings.MaxPending > 0 && float64(b.pending) > shedThreshold*float64(b.settings.MaxPending) {
		var victim *message
		longest := 0.0
		for _, d := range b.active {
			for _, m := range d.shedCandidates() {
				weight := b.tenantWeight(m.Tenant)
				wait := float64(d.waiting) / (minServedRate + m.route().servedRate()) / (weight * weight)
				if wait >= longest {
					victim, longest = m, wait
				}
			}
		}
		if victim == nil {
			return
		}
		retryAfter := time.Duration(0)
		if b.settings.SendsRetryAfter {
			retryAfter = b.settings.MaxRetryAfter
		}
		b.actions = append(b.actions, Reject{victim.ID, retryAfter})
		b.closeMessage(victim)
	}
}
