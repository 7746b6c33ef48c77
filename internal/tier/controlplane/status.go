package controlplane

import (
	"context"
	"slices"
	"strings"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Status returns the state of this process, and on the primary also the state that only the primary has.
func (s *sessionService) Status(context.Context, *tierv1.StatusRequest) (*tierv1.StatusReply, error) {
	plane := s.plane
	state, primary := plane.primary()
	reply := &tierv1.StatusReply{Self: plane.Store.Self(), Primary: primary, Record: plane.Store.View(), DiskError: plane.diskError()}
	reply.Highest = reply.Record.GetEpoch()
	for _, key := range []string{keyConfiguration, keyPartitionMap, keyEpochMarker} {
		_, sequence := plane.Store.Get(key)
		reply.Sequence = max(reply.Sequence, sequence)
	}
	if !primary {
		return reply, nil
	}
	reply.PartitionMap, reply.Revision = state.partitionMap, state.changes.current
	reply.Configuration, reply.Endpoints = state.configuration.GetVersion(), state.endpoints.GetVersion()
	reply.Orders = uint32(len(state.changes.records))
	now := time.Now()
	plane.mu.Lock()
	reply.Risk = plane.riskReport(now, state.partitionMap)
	for _, session := range plane.sessions.byKey {
		reply.Sessions = append(reply.Sessions, session.report(now))
	}
	plane.mu.Unlock()
	slices.SortFunc(reply.Sessions, func(a, b *tierv1.Session) int {
		return strings.Compare(a.Role+" "+a.Node, b.Role+" "+b.Node)
	})
	return reply, nil
}

// report returns a session as shown to operators.
func (s *session) report(now time.Time) *tierv1.Session {
	report := &tierv1.Session{Node: s.node, Role: s.role, Address: s.address, Configuration: s.configuration,
		Endpoints: s.endpoints, PartitionMap: s.partitionMap, Disk: s.disk}
	if s.openCalls == 0 {
		report.SilentMs = now.Sub(s.lastCallEnded).Milliseconds()
	}
	return report
}

// riskReport returns how many further losses are tolerated now. The caller holds mu.
func (plane *ControlPlane) riskReport(now time.Time, m *tierv1.PartitionMap) *tierv1.Risk {
	alive, _, _ := plane.sessions.storeNodes(now)
	risk := AssessRisk(m, plane.faultTolerance, alive, plane.Settings.SyncTime)
	plane.riskTimer.observe(now, risk.Partitions)
	report := &tierv1.Risk{Losses: uint32(plane.faultTolerance.Losses), Partitions: uint32(risk.Partitions),
		PartitionsBorne: int32(min(risk.MinReplicas-1, plane.faultTolerance.Losses))}
	plane.addControlRisk(report)
	if risk.Partitions > 0 {
		report.PartitionsForMs = now.Sub(plane.riskTimer.since).Milliseconds()
		report.PartitionsUntilMs = plane.riskTimer.newest.Add(plane.Settings.SyncTime).Sub(now).Milliseconds()
	}
	return report
}

// addControlRisk adds how many losses the control state tolerates: according to the store's health or, if the store does not
// report any, according to its view.
func (plane *ControlPlane) addControlRisk(report *tierv1.Risk) {
	view := plane.Store.View()
	report.ControlMembers, report.ControlChanging = uint32(len(view.GetMembers())), len(view.GetFormer()) > 0
	report.ControlCopies = uint32(len(view.GetBackups()))
	report.ControlBorne = int32(min(len(view.GetBackups()), plane.faultTolerance.Losses))
	if store, ok := plane.Store.(healthStore); ok {
		health := store.Health()
		report.ControlBorne, report.ControlCopies, report.ControlAbsent = int32(health.Tolerates), uint32(health.Backups), health.Absent
	}
}

// diskError returns the error that prevents this process from writing; empty if there is none.
func (plane *ControlPlane) diskError() string {
	if store, ok := plane.Store.(healthStore); ok {
		if err := store.Health().Disk; err != nil {
			return err.Error()
		}
	}
	return ""
}
