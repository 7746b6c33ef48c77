package quota

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Outstanding is what may be in use or at rest now, at the most; it is what the limit is held against.
func (b *GrantTable) Outstanding(now time.Duration) int64 { return b.outstandingOf(nil, now) }

// ClientReport is one process of a sender in a book.
type ClientReport struct {
	lease.HolderID
	Units     int64         // lent
	Cooling   int64         // let go of, and at rest
	Remaining time.Duration // until all of it is free at the latest
	Wanted    int64
	Waiting   time.Duration // for how long it has had less than it can use
}

// Clients are all of them, by name.
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

// idle reports whether nothing is known of anybody: the book may be forgotten.
func (b *GrantTable) idle(now time.Duration) bool {
	return now >= b.graceUntil && b.Outstanding(now) == 0 && len(b.clients) == 0
}
