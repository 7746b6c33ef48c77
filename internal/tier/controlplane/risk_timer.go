package controlplane

import "time"

// riskTimer remembers since when partitions have been at risk, and when one was added to them last.
type riskTimer struct {
	since      time.Time // zero: none is at risk
	newest     time.Time // when their number rose last
	partitions int
}

// observe takes the number of partitions that are at risk now.
func (t *riskTimer) observe(now time.Time, partitions int) {
	switch {
	case partitions == 0:
		*t = riskTimer{}
		return
	case t.partitions == 0:
		t.since, t.newest = now, now
	case partitions > t.partitions:
		t.newest = now
	}
	t.partitions = partitions
}
