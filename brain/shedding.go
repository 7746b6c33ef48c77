package brain

import "time"

// shedThreshold is the share of Settings.MaxPending above which messages are rejected.
const shedThreshold = 0.95

// shedLoad rejects messages while nearly as many are pending as may be: the newest one of the destination
// with the longest queue, of a tenant beyond its share first. Its client can come back; without it others
// would be rejected before they are seen.
func (b *Brain) shedLoad() {
	for b.settings.MaxPending > 0 && float64(b.pending) > shedThreshold*float64(b.settings.MaxPending) {
		var victim *message
		longest := 0.0
		for _, d := range b.active {
			for _, m := range d.shedCandidates() {
				w := b.tenantWeight(m.Tenant)
				if wait := float64(d.waiting) / (0.1 + m.route().servedRate()) / (w * w); wait >= longest {
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
