package controlplane

import (
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// borne is how many losses a partition bears and still has a copy that holds all that was acknowledged: its synced copies
// on turn stores that are alive, counted by what is lost as one, less one. It is -1 where there is no such copy.
func borne(p *tierv1.Partition, alive map[string]*tierv1.StoreNode, domain func(*tierv1.StoreNode) string) int {
	domains := map[string]bool{}
	add := func(folder string, synced bool) {
		if one := alive[folder]; one != nil && synced {
			domains[domain(one)] = true
		}
	}
	add(p.Primary, true)
	for _, c := range p.Backups {
		add(c.Folder, c.Synced)
	}
	return len(domains) - 1
}

// partitionsAtRisk counts the partitions that bear fewer losses than they should, and tells what the worst bears.
func partitionsAtRisk(m *tierv1.PartitionMap, alive map[string]*tierv1.StoreNode, spread Spread) (atRisk, worst int) {
	worst = spread.Losses
	for _, p := range m.GetPartitions() {
		if n := borne(p, alive, spread.Domain); n < spread.Losses {
			atRisk++
			worst = min(worst, n)
		}
	}
	return atRisk, worst
}

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
	atRisk, worst := partitionsAtRisk(m, alive, plane.spread)
	plane.riskClock.observe(now, atRisk)
	record := plane.Store.Record()
	r := &tierv1.Risk{Losses: uint32(plane.spread.Losses), Partitions: uint32(atRisk), PartitionsBorne: int32(worst),
		ControlBorne: uint32(len(record.GetBackups())), ControlMembers: uint32(len(record.GetMembers())), ControlChanging: len(record.GetFormer()) > 0}
	if atRisk > 0 {
		r.PartitionsForMs = now.Sub(plane.riskClock.since).Milliseconds()
		r.PartitionsUntilMs = plane.riskClock.newest.Add(plane.Settings.SyncTime).Sub(now).Milliseconds()
	}
	return r
}
