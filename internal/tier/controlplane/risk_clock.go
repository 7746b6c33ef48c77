package controlplane

import (
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// riskClock remembers since when partitions are at risk, and when the last of them came to be.
type riskClock struct {
	since  time.Time // zero: none is
	newest time.Time // when their number rose last
	number int
}

// observe takes the number of partitions that are at risk now.
func (c *riskClock) observe(now time.Time, number int) {
	switch {
	case number == 0:
		*c = riskClock{}
		return
	case c.number == 0:
		c.since, c.newest = now, now
	case number > c.number:
		c.newest = now
	}
	c.number = number
}

// risk tells what could be lost now. The caller holds the lock.
func (plane *ControlPlane) risk(now time.Time, m *tierv1.PartitionMap) *tierv1.Risk {
	alive, _, _ := plane.sessions.storeNodes(now)
	risk := AtRisk(m, plane.spread, alive, plane.Settings.SyncTime)
	plane.riskClock.observe(now, risk.Partitions)
	record := plane.Store.Record()
	r := &tierv1.Risk{Losses: uint32(plane.spread.Losses), Partitions: uint32(risk.Partitions),
		PartitionsBorne: int32(risk.MinCopies - 1),
		ControlBorne:    uint32(len(record.GetBackups())), ControlMembers: uint32(len(record.GetMembers())), ControlChanging: len(record.GetFormer()) > 0}
	if risk.Partitions > 0 {
		r.PartitionsForMs = now.Sub(plane.riskClock.since).Milliseconds()
		r.PartitionsUntilMs = plane.riskClock.newest.Add(plane.Settings.SyncTime).Sub(now).Milliseconds()
	}
	return r
}
