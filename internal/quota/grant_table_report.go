package quota

import (
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Outstanding is how many units may be in use or cooling down now at the most. It never exceeds the limit.
func (t *GrantTable) Outstanding(now time.Duration) int64 { return t.outstandingExcept(nil, now) }

// ClientReport is one process of a sender, as commands show it.
type ClientReport struct {
	lease.HolderID
	Units     int64         // granted
	Cooling   int64         // given up, and cooling down
	Remaining time.Duration // until all of it is free at the latest
	Wanted    int64
	Waiting   time.Duration // for how long it has held less than it needs
}

// Clients shows all clients, by name.
func (t *GrantTable) Clients(now time.Duration) []ClientReport {
	reports := make([]ClientReport, 0, len(t.clients))
	for id, c := range t.clients {
		r := ClientReport{HolderID: id, Cooling: c.coolingAt(now), Units: c.outstanding(now) - c.coolingAt(now), Wanted: c.wanted}
		for _, g := range c.grants {
			r.Remaining = max(r.Remaining, g.expiresAt-now)
		}
		if r.Cooling > 0 {
			r.Remaining = max(r.Remaining, c.coolUntil-now)
		}
		if c.waitingSince > 0 {
			r.Waiting = now - c.waitingSince
		}
		reports = append(reports, r)
	}
	slices.SortFunc(reports, func(x, y ClientReport) int { return compareHolders(x.HolderID, y.HolderID) })
	return reports
}

// idle reports whether no client is known, so that the table may be dropped.
func (t *GrantTable) idle(now time.Duration) bool {
	return now >= t.graceUntil && t.Outstanding(now) == 0 && len(t.clients) == 0
}
