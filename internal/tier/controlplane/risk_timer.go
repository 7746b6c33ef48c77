package controlplane

import "time"

// riskTimer records since when partitions have been at risk, and when their number last rose.
type riskTimer struct {
	since      time.Time // zero: no partition is at risk
	newest     time.Time // when their number last rose
	partitions int
}

// observe records the number of partitions that are at risk now.
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
