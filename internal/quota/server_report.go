package quota

import (
	"slices"
	"time"
)

// Report is the state of a limit at its owner.
type Report struct {
	Key            string
	Limit          Limit
	Outstanding    int64
	GraceRemaining time.Duration // 0: the grace period is over
	Clients        []ClientReport
}

// Reports returns the state of the limits of which the server has granted units, sorted by key.
func (s *Server) Reports(now time.Duration) []Report {
	var all []Report
	for key, t := range s.tables {
		all = append(all, Report{key, t.limit, t.Outstanding(now), max(0, t.graceUntil-now), t.Clients(now)})
	}
	for key, p := range s.dailyPools {
		outstanding := int64(0)
		for _, client := range p.Clients(now) {
			outstanding += client.Units
		}
		all = append(all, Report{key, p.limit, outstanding, 0, p.Clients(now)})
	}
	slices.SortFunc(all, func(a, b Report) int { return compareKeys(a.Limit, b.Limit) })
	return all
}
