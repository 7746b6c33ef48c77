package quota

import (
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Outstanding returns the maximum number of units that may be in use or cooling down now. It never exceeds the limit.
func (t *GrantTable) Outstanding(now time.Duration) int64 { return t.outstandingExcept(nil, now) }

// ClientReport is the state of one process of a sender, as operators' commands print it.
type ClientReport struct {
	lease.HolderID
	Units     int64         // granted
	Cooling   int64         // given up and cooling down
	Remaining time.Duration // maximum time until all of its units are free
	Wanted    int64
	Waiting   time.Duration // for how long it has held fewer units than it needs
}

// Clients returns the state of all clients, sorted by name.
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

// idle reports whether the grace period is over and no clients or grants are left, so that the table may be dropped.
func (t *GrantTable) idle(now time.Duration) bool {
	return now >= t.graceUntil && t.Outstanding(now) == 0 && len(t.clients) == 0
}
