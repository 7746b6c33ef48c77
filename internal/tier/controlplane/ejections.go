package controlplane

import (
	"context"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Parts of the contact window.
const (
	ejectionReportPart  = 4  // reports of different gateways count together for so long
	ejectionToldPart    = 2  // an ejection is told for so long
	ejectionPublishPart = 80 // from one publication of ejections to the next, at least
)

// ejectionReporters is how many gateways must have ejected an endpoint before all hear of it. One alone may have trouble of its
// own.
const ejectionReporters = 2

// maxEjections bounds the endpoints that are told of, and those that reports are held of.
const maxEjections = 256

// ejections joins what gateways report of the endpoints that they have ejected. It is pure: times are passed in.
type ejections struct {
	window  time.Duration                   // the contact window
	reports map[string]map[string]time.Time // by instance: the gateways that have reported it, and when
	told    []toldEjection                  // oldest first
}

// toldEjection is an ejection that gateways are told of.
type toldEjection struct {
	ejection *tierv1.Ejection
	at       time.Time
}

func newEjections(window time.Duration) ejections {
	return ejections{window: window, reports: map[string]map[string]time.Time{}}
}

// report takes a gateway's report of one instance, and tells whether that makes enough of them: all are to be told, and the next
// reports are counted anew.
func (ejections *ejections) report(now time.Time, node, instance string, needed int) bool {
	reporters := ejections.reports[instance]
	if reporters == nil {
		if len(ejections.reports) >= maxEjections {
			ejections.forget(now)
		}
		if len(ejections.reports) >= maxEjections {
			return false
		}
		reporters = map[string]time.Time{}
		ejections.reports[instance] = reporters
	}
	reporters[node] = now
	for other, at := range reporters {
		if now.Sub(at) > ejections.window/ejectionReportPart {
			delete(reporters, other)
		}
	}
	if len(reporters) < needed {
		return false
	}
	delete(ejections.reports, instance)
	return true
}

// forget drops reports that no other one can join any more.
func (ejections *ejections) forget(now time.Time) {
	for instance, reporters := range ejections.reports {
		newest := time.Time{}
		for _, at := range reporters {
			if at.After(newest) {
				newest = at
			}
		}
		if now.Sub(newest) > ejections.window/ejectionReportPart {
			delete(ejections.reports, instance)
		}
	}
}

// tell adds an ejection to those that are told, and drops those that were told for long enough.
func (ejections *ejections) tell(now time.Time, instance string, version uint64) *tierv1.Ejections {
	kept := ejections.told[:0]
	for _, told := range ejections.told {
		if told.ejection.Instance != instance && now.Sub(told.at) <= ejections.window/ejectionToldPart {
			kept = append(kept, told)
		}
	}
	ejections.told = append(kept, toldEjection{&tierv1.Ejection{Instance: instance, Version: version}, now})
	if surplus := len(ejections.told) - maxEjections; surplus > 0 {
		ejections.told = ejections.told[surplus:]
	}
	whole := &tierv1.Ejections{Version: version}
	for _, told := range ejections.told {
		whole.List = append(whole.List, told.ejection)
	}
	return whole
}

// ReportEjections takes the report of a gateway. It is not confirmed by backups: nothing rests on it.
func (s *sessions) ReportEjections(_ context.Context, report *tierv1.EjectionReport) (*tierv1.EjectionReportReply, error) {
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
	needed := min(ejectionReporters, max(1, plane.sessions.gateways()))
	for _, instance := range report.Instances {
		if plane.ejections.report(now, report.Node, instance, needed) {
			plane.nextEjections = plane.ejections.tell(now, instance, version(epoch, &plane.versions.ejections))
		}
	}
	plane.publishEjections(now)
	return &tierv1.EjectionReportReply{Primary: true}, nil
}

// publishEjections shows sessions what is to be told, now or as soon as the last publication is long enough ago. The lock is held.
func (plane *ControlPlane) publishEjections(now time.Time) {
	if plane.nextEjections == nil || plane.ejectionTimer != nil {
		return
	}
	pause := plane.window(ejectionPublishPart) - now.Sub(plane.ejectionsAt)
	if pause <= 0 {
		next := plane.nextEjections
		plane.nextEjections, plane.ejectionsAt = nil, now
		plane.replaceView(func(v *view) { v.ejections = next })
		return
	}
	epoch := plane.view.epoch
	plane.ejectionTimer = time.AfterFunc(pause, func() {
		plane.mu.Lock()
		defer plane.mu.Unlock()
		plane.ejectionTimer = nil
		if plane.view.epoch == epoch {
			plane.publishEjections(time.Now())
		}
	})
}
