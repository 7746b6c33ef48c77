package quota

import (
	"slices"
	"time"
)

// Report is a limit as its owner has it.
type Report struct {
	Key            string
	Limit          Limit
	Outstanding    int64
	GraceRemaining time.Duration // 0: it is over
	Clients        []ClientReport
}

// Reports shows the limits that the server has granted units of, by key.
func (s *Server) Reports(now time.Duration) []Report {
	var all []Report
	for key, b := range s.tables {
		all = append(all, Report{key, b.limit, b.Outstanding(now), max(0, b.graceUntil-now), b.Clients(now)})
	}
	for key, p := range s.dailyPools {
		out := int64(0)
		for _, line := range p.Clients(now) {
			out += line.Units
		}
		all = append(all, Report{key, p.limit, out, 0, p.Clients(now)})
	}
	slices.SortFunc(all, func(a, b Report) int { return compareKeys(a.Limit, b.Limit) })
	return all
}
