package controlplane

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Parts of the contact window.
const (
	ejectionReportDivisor  = 4  // reports of different gateways count together for so long
	ejectionPublishDivisor = 80 // from one publication of ejections to the next, at least
)

// minEjectionReporters is how many gateways must have ejected an endpoint before all hear of it. One alone may have trouble of its
// own.
const minEjectionReporters = 2

// ejectionProbers is how many gateways probe an endpoint that all have ejected.
const ejectionProbers = 2

// maxEjections bounds the endpoints that are told of, and those that reports are held of.
const maxEjections = 256

// ejections joins what gateways report of the endpoints that they have ejected. It is pure: times are passed in.
type ejections struct {
	window    time.Duration                   // the contact window
	reports   map[string]map[string]time.Time // by instance: the gateways that have reported it, and when
	announced []announcedEjection             // oldest first, one of an instance at most
}

// announcedEjection is an ejection that gateways are told of.
type announcedEjection struct {
	ejection *tierv1.Ejection
	at       time.Time
}

func newEjections(window time.Duration) ejections {
	return ejections{window: window, reports: map[string]map[string]time.Time{}}
}

// report takes a gateway's report of one instance, and tells whether all are to be told: enough gateways have reported it, or it is
// one that they are told of, and the report comes from one that probes it.
func (ejections *ejections) report(now time.Time, node, instance string, needed int) bool {
	if told := ejections.findAnnounced(now, instance); told != nil && !told.Restored && slices.Contains(told.HealthCheckers, node) {
		return true
	}
	reporters := ejections.reports[instance]
	if reporters == nil {
		if len(ejections.reports) >= maxEjections {
			ejections.dropStaleReports(now)
		}
		if len(ejections.reports) >= maxEjections {
			return false
		}
		reporters = map[string]time.Time{}
		ejections.reports[instance] = reporters
	}
	reporters[node] = now
	for other, at := range reporters {
		if now.Sub(at) > ejections.window/ejectionReportDivisor {
			delete(reporters, other)
		}
	}
	if len(reporters) < needed {
		return false
	}
	delete(ejections.reports, instance)
	return true
}

// restored takes a gateway's report that an instance has answered, and tells whether that is news to the others.
func (ejections *ejections) restored(now time.Time, instance string) bool {
	told := ejections.findAnnounced(now, instance)
	return told != nil && !told.Restored
}

// findAnnounced gives what is told of an instance; nil: nothing.
func (ejections *ejections) findAnnounced(now time.Time, instance string) *tierv1.Ejection {
	for _, told := range ejections.announced {
		if told.ejection.Instance == instance && now.Sub(told.at) <= ejections.window {
			return told.ejection
		}
	}
	return nil
}

// dropStaleReports drops reports that no other one can join any more.
func (ejections *ejections) dropStaleReports(now time.Time) {
	for instance, reporters := range ejections.reports {
		newest := time.Time{}
		for _, at := range reporters {
			if at.After(newest) {
				newest = at
			}
		}
		if now.Sub(newest) > ejections.window/ejectionReportDivisor {
			delete(ejections.reports, instance)
		}
	}
}

// announce adds what is to be told of an instance in place of what was, and drops what was told for a contact window.
func (ejections *ejections) announce(now time.Time, ejection *tierv1.Ejection) *tierv1.Ejections {
	kept := ejections.announced[:0]
	for _, told := range ejections.announced {
		if told.ejection.Instance != ejection.Instance && now.Sub(told.at) <= ejections.window {
			kept = append(kept, told)
		}
	}
	ejections.announced = append(kept, announcedEjection{ejection, now})
	if surplus := len(ejections.announced) - maxEjections; surplus > 0 {
		ejections.announced = ejections.announced[surplus:]
	}
	whole := &tierv1.Ejections{Version: ejection.Version}
	for _, told := range ejections.announced {
		whole.List = append(whole.List, told.ejection)
	}
	return whole
}

// chooseProbers chooses the gateways that probe an instance, others for each version, so that one without requests does not stay.
func chooseProbers(gateways []string, instance string, version uint64) (probers []string) {
	if len(gateways) == 0 {
		return nil
	}
	hash := fnv.New64a()
	hash.Write([]byte(instance))
	first := hash.Sum64() + version*ejectionProbers
	for i := range uint64(min(ejectionProbers, len(gateways))) {
		probers = append(probers, gateways[(first+i)%uint64(len(gateways))])
	}
	return probers
}

// ReportEjections takes the report of a gateway. It is not confirmed by backups: nothing rests on it.
func (s *watchService) ReportEjections(_ context.Context, report *tierv1.EjectionReport) (*tierv1.EjectionReportReply, error) {
	plane := s.plane
	epoch, ok := plane.Store.Primary()
	if !ok {
		return &tierv1.EjectionReportReply{}, nil
	}
	plane.mu.Lock()
	defer plane.mu.Unlock()
	if plane.view.epoch != epoch || !plane.view.ready {
		return &tierv1.EjectionReportReply{}, nil
	}
	now := time.Now()
	gateways := plane.sessions.connectedGateways()
	needed := min(minEjectionReporters, max(1, len(gateways)))
	for _, instance := range report.Ejected {
		if plane.ejections.report(now, report.Node, instance, needed) {
			ejection := &tierv1.Ejection{Instance: instance, Version: nextVersion(epoch, &plane.versions.ejections)}
			ejection.HealthCheckers = chooseProbers(gateways, instance, ejection.Version)
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

// publishEjections shows sessions what is to be told, now or as soon as the last publication is long enough ago. The lock is held.
func (plane *ControlPlane) publishEjections(now time.Time) {
	if plane.unpublishedEjections == nil || plane.ejectionPushTimer != nil {
		return
	}
	pause := plane.windowFraction(ejectionPublishDivisor) - now.Sub(plane.ejectionsPublishedAt)
	if pause <= 0 {
		next := plane.unpublishedEjections
		plane.unpublishedEjections, plane.ejectionsPublishedAt = nil, now
		plane.replaceView(func(v *view) { v.ejections = next })
		return
	}
	epoch := plane.view.epoch
	plane.ejectionPushTimer = time.AfterFunc(pause, func() {
		plane.mu.Lock()
		defer plane.mu.Unlock()
		plane.ejectionPushTimer = nil
		if plane.view.epoch == epoch {
			plane.publishEjections(time.Now())
		}
	})
}
