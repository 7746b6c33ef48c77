package controlplane

import (
	"time"

	"saffronyard.example/saffronyard/internal/tier/consensus"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
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

// riskReport tells what could be lost now. The caller holds the lock.
func (plane *ControlPlane) riskReport(now time.Time, m *tierv1.PartitionMap) *tierv1.Risk {
	alive, _, _ := plane.sessions.storeNodes(now)
	risk := AssessRisk(m, plane.faultTolerance, alive, plane.Settings.SyncTime)
	plane.riskTimer.observe(now, risk.Partitions)
	r := &tierv1.Risk{Losses: uint32(plane.faultTolerance.Losses), Partitions: uint32(risk.Partitions),
		PartitionsBorne: int32(min(risk.MinReplicas-1, plane.faultTolerance.Losses))}
	plane.addControlRisk(r)
	if risk.Partitions > 0 {
		r.PartitionsForMs = now.Sub(plane.riskTimer.since).Milliseconds()
		r.PartitionsUntilMs = plane.riskTimer.newest.Add(plane.Settings.SyncTime).Sub(now).Milliseconds()
	}
	return r
}

// healthStore is a Store that knows which of its members and backups answer.
type healthStore interface {
	Health() consensus.Health
}

// addControlRisk tells what the control state bears, as the store knows it; without a word from it, as the record has it.
func (plane *ControlPlane) addControlRisk(r *tierv1.Risk) {
	record := plane.Store.Record()
	r.ControlMembers, r.ControlChanging = uint32(len(record.GetMembers())), len(record.GetFormer()) > 0
	r.ControlCopies = uint32(len(record.GetBackups()))
	r.ControlBorne = int32(min(len(record.GetBackups()), plane.faultTolerance.Losses))
	if store, knows := plane.Store.(healthStore); knows {
		health := store.Health()
		r.ControlBorne, r.ControlCopies, r.ControlAbsent = int32(health.Tolerates), uint32(health.Backups), health.Absent
	}
}

// diskError tells what keeps this process from writing, empty if nothing does.
func (plane *ControlPlane) diskError() string {
	if store, knows := plane.Store.(healthStore); knows {
		if err := store.Health().Disk; err != nil {
			return err.Error()
		}
	}
	return ""
}
