package controlplane

import (
	"hash/fnv"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Divisors of the contact window.
const (
	ejectionReportDivisor  = 4  // for the time in which reports of different gateways count together
	ejectionPublishDivisor = 80 // for the minimum interval of publications
)

// minEjectionReporters is how many gateways must have ejected an endpoint before all gateways are notified. A single gateway
// may be faulty itself.
const minEjectionReporters = 2

// ejectionHealthCheckers is how many gateways check the health of an endpoint that all have ejected.
const ejectionHealthCheckers = 2

// maxEjections bounds the announced endpoints, and those with reports.
const maxEjections = 256

// ejections aggregates the reports of gateways about the endpoints that they have ejected. It is pure: times are passed in.
type ejections struct {
	window    time.Duration                   // the contact window
	reports   map[string]map[string]time.Time // by instance: the gateways that have reported it, and when
	announced []announcedEjection             // oldest first, at most one of an instance
}

// announcedEjection is an ejection that gateways are notified of.
type announcedEjection struct {
	ejection *tierv1.Ejection
	at       time.Time
}

// newEjections returns an aggregator without reports.
func newEjections(window time.Duration) ejections {
	return ejections{window: window, reports: map[string]map[string]time.Time{}}
}

// report records a gateway's report of one instance, and returns whether all gateways are to be notified: enough gateways have
// reported the instance, or its ejection is announced already and the report comes from one of its health checkers.
func (e *ejections) report(now time.Time, node, instance string, needed int) bool {
	if known := e.findAnnounced(now, instance); known != nil && !known.Restored && slices.Contains(known.HealthCheckers, node) {
		return true
	}
	reporters := e.reports[instance]
	if reporters == nil {
		if len(e.reports) >= maxEjections {
			e.dropStaleReports(now)
		}
		if len(e.reports) >= maxEjections {
			return false
		}
		reporters = map[string]time.Time{}
		e.reports[instance] = reporters
	}
	reporters[node] = now
	for other, at := range reporters {
		if now.Sub(at) > e.window/ejectionReportDivisor {
			delete(reporters, other)
		}
	}
	if len(reporters) < needed {
		return false
	}
	delete(e.reports, instance)
	return true
}

// restored handles a gateway's report that an instance has answered, and returns whether the other gateways are to be notified.
func (e *ejections) restored(now time.Time, instance string) bool {
	known := e.findAnnounced(now, instance)
	return known != nil && !known.Restored
}

// findAnnounced returns the announced ejection of an instance, nil if there is none.
func (e *ejections) findAnnounced(now time.Time, instance string) *tierv1.Ejection {
	for _, known := range e.announced {
		if known.ejection.Instance == instance && now.Sub(known.at) <= e.window {
			return known.ejection
		}
	}
	return nil
}

// dropStaleReports drops the reports that are too old to count together with a new one.
func (e *ejections) dropStaleReports(now time.Time) {
	for instance, reporters := range e.reports {
		newest := time.Time{}
		for _, at := range reporters {
			if at.After(newest) {
				newest = at
			}
		}
		if now.Sub(newest) > e.window/ejectionReportDivisor {
			delete(e.reports, instance)
		}
	}
}

// announce adds an ejection in place of an earlier one of the same instance, drops those older than a contact window, and
// returns the rest.
func (e *ejections) announce(now time.Time, ejection *tierv1.Ejection) *tierv1.Ejections {
	remaining := e.announced[:0]
	for _, known := range e.announced {
		if known.ejection.Instance != ejection.Instance && now.Sub(known.at) <= e.window {
			remaining = append(remaining, known)
		}
	}
	e.announced = append(remaining, announcedEjection{ejection, now})
	if surplus := len(e.announced) - maxEjections; surplus > 0 {
		e.announced = e.announced[surplus:]
	}
	all := &tierv1.Ejections{Version: ejection.Version}
	for _, known := range e.announced {
		all.List = append(all.List, known.ejection)
	}
	return all
}

// chooseHealthCheckers chooses the gateways that check the health of an instance. The choice differs from version to version,
// so that a gateway without requests does not remain a checker.
func chooseHealthCheckers(gateways []string, instance string, version uint64) (checkers []string) {
	if len(gateways) == 0 {
		return nil
	}
	hash := fnv.New64a()
	hash.Write([]byte(instance))
	first := hash.Sum64() + version*ejectionHealthCheckers
	for i := range uint64(min(ejectionHealthCheckers, len(gateways))) {
		checkers = append(checkers, gateways[(first+i)%uint64(len(gateways))])
	}
	return checkers
}
