package quota

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Outstanding is how many units may be in use or cooling down now at the most. It never exceeds the limit.
func (b *GrantTable) Outstanding(now time.Duration) int64 { return b.outstandingExcept(nil, now) }

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
func (b *GrantTable) Clients(now time.Duration) []ClientReport {
	lines := make([]ClientReport, 0, len(b.clients))
	for w, a := range b.clients {
		l := ClientReport{HolderID: w, Cooling: a.coolingAt(now), Units: a.outstanding(now) - a.coolingAt(now), Wanted: a.wanted}
		for _, o := range a.grants {
			l.Remaining = max(l.Remaining, o.expiresAt-now)
		}
		if l.Cooling > 0 {
			l.Remaining = max(l.Remaining, a.coolUntil-now)
		}
		if a.waitingSince > 0 {
			l.Waiting = now - a.waitingSince
		}
		lines = append(lines, l)
	}
	slices.SortFunc(lines, func(x, y ClientReport) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return lines
}

// idle reports whether no client is known, so that the table may be dropped.
func (b *GrantTable) idle(now time.Duration) bool {
	return now >= b.graceUntil && b.Outstanding(now) == 0 && len(b.clients) == 0
}
