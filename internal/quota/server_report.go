package quota

import (
	"slices"
	"time"
)

// Report is a limit as its authority has it.
type Report struct {
	Key            string
	Limit          Limit
	Outstanding    int64
	GraceRemaining time.Duration // left
	Clients        []ClientReport
}

// Reports are of the limits that it has a book of, by key.
func (l *Server) Reports(now time.Duration) []Report {
	var all []Report
	for key, b := range l.tables {
		all = append(all, Report{key, b.limit, b.Outstanding(now), max(0, b.graceUntil-now), b.Clients(now)})
	}
	for key, p := range l.dailyPools {
		out := int64(0)
		for _, line := range p.Clients(now) {
			out += line.Units
		}
		all = append(all, Report{key, p.limit, out, 0, p.Clients(now)})
	}
	slices.SortFunc(all, func(a, b Report) int { return byKey(a.Limit, b.Limit) })
	return all
}
