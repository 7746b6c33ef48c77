package controlplane

import (
	"context"
	"slices"
	"strings"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Status tells operators what this process is and knows.
func (s *watchService) Status(context.Context, *tierv1.StatusRequest) (*tierv1.StatusReply, error) {
	plane := s.plane
	v, primary := plane.primary()
	r := &tierv1.StatusReply{Self: plane.Store.Self(), Primary: primary, Record: plane.Store.View(), DiskError: plane.diskError()}
	r.Highest = r.Record.GetEpoch()
	for _, key := range []string{keyConfiguration, keyPartitionMap, keyEpochMarker} {
		_, sequence := plane.Store.Get(key)
		r.Sequence = max(r.Sequence, sequence)
	}
	if !primary {
		return r, nil
	}
	r.PartitionMap, r.Configuration, r.Endpoints, r.Revision = v.partitionMap, v.configuration.GetVersion(), v.endpoints.GetVersion(), v.changes.current
	r.Orders = uint32(len(v.changes.records))
	now := time.Now()
	plane.mu.Lock()
	r.Risk = plane.riskReport(now, v.partitionMap)
	for _, one := range plane.sessions.sessions {
		t := &tierv1.Session{Node: one.node, Role: one.role, Address: one.address, Configuration: one.configuration,
			Endpoints: one.endpoints, PartitionMap: one.partitionMap, Disk: one.disk}
		if one.openCalls == 0 {
			t.SilentMs = now.Sub(one.lastCallEnded).Milliseconds()
		}
		r.Sessions = append(r.Sessions, t)
	}
	plane.mu.Unlock()
	slices.SortFunc(r.Sessions, func(a, b *tierv1.Session) int {
		return strings.Compare(a.Role+" "+a.Node, b.Role+" "+b.Node)
	})
	return r, nil
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

// addControlRisk tells what the control state bears, as the store knows it; without a word from it, as the record has it.
func (plane *ControlPlane) addControlRisk(r *tierv1.Risk) {
	record := plane.Store.View()
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
