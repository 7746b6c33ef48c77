package controlplane

import (
	"context"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// ReportEjections handles the report of a gateway. No backup confirms the report, as no guarantee depends on it. The error is
// always nil.
func (s *sessionService) ReportEjections(_ context.Context, report *tierv1.EjectionReport) (*tierv1.EjectionReportReply, error) {
	plane := s.plane
	epoch, ok := plane.Store.Primary()
	if !ok {
		return &tierv1.EjectionReportReply{}, nil
	}
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.published.epoch != epoch || !plane.published.ready {
		return &tierv1.EjectionReportReply{}, nil
	}
	now := time.Now()
	gateways := plane.sessions.connectedGateways()
	needed := min(minEjectionReporters, max(1, len(gateways)))
	for _, instance := range report.Ejected {
		if plane.ejections.report(now, report.Node, instance, needed) {
			ejection := &tierv1.Ejection{Instance: instance, Version: nextVersion(epoch, &plane.versions.ejections)}
			ejection.HealthCheckers = chooseHealthCheckers(gateways, instance, ejection.Version)
			plane.unpublishedEjections = plane.ejections.announce(now, ejection)
		}
	}
	for _, instance := range report.Restored {
		if plane.ejections.restored(now, instance) {
			ejection := &tierv1.Ejection{Instance: instance, Version: nextVersion(epoch, &plane.versions.ejections), Restored: true}
			plane.unpublishedEjections = plane.ejections.announce(now, ejection)
		}
	}
	plane.publishEjections(now)
	return &tierv1.EjectionReportReply{IsPrimary: true}, nil
}

// publishEjections publishes the announced ejections, at once or when the minimum interval since the last publication has
// passed. The caller holds mu.
func (plane *ControlPlane) publishEjections(now time.Time) {
	if plane.unpublishedEjections == nil || plane.ejectionPushTimer != nil {
		return
	}
	pause := plane.windowFraction(ejectionPublishDivisor) - now.Sub(plane.ejectionsPublishedAt)
	if pause <= 0 {
		next := plane.unpublishedEjections
		plane.unpublishedEjections, plane.ejectionsPublishedAt = nil, now
		plane.replacePublished(func(state *publishedState) { state.ejections = next })
		return
	}
	epoch := plane.published.epoch
	plane.ejectionPushTimer = time.AfterFunc(pause, func() {
		plane.mu.Lock()
		defer plane.mu.Unlock()
		plane.ejectionPushTimer = nil
		if plane.published.epoch == epoch {
			plane.publishEjections(time.Now())
		}
	})
}
