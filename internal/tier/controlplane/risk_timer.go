package controlplane

import (
	"time"
)

// riskTimer remembers since when partitions are at risk, and when the last of them came to be.
type riskTimer struct {
	since      time.Time // zero: none is
	newest     time.Time // when their number rose last
	partitions int
}

// observe takes the number of partitions that are at risk now.
func (c *riskTimer) observe(now time.Time, number int) {
	switch {
	case number == 0:
		*c = riskTimer{}
		return
	case c.partitions == 0:
		c.since, c.newest = now, now
	case number > c.partitions:
		c.newest = now
	}
	c.partitions = number
}
