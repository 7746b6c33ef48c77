package brain

import (
	"testing"
	"time"
)

// A process reports what it has observed itself, not what it has learned. A new process that gets its observations reaches
// the same state.
func TestObservations_OnlyOwnEvidence(t *testing.T) {
	r := newRig(t, settings())
	r.step(Observation{Health: Unhealthy, HealthAge: time.Second, HealthFor: 5 * time.Second, RetryAfter: time.Second}, Observation{Destination: 1, Health: Healthy, Window: 5, Samples: 9, MeanLatency: ms, MedianLatency: ms, Timeout: ms})
	if known := r.b.Observations(); len(known) != 0 {
		t.Errorf("learned observations are reported as own: %+v", known)
	}
	r = newRig(t, settings())
	r.serve(30, 1, 50*ms)
	r.beginOutage()
	r.step(Observation{Destination: 1, RetryAfter: 3 * time.Second, Local: true})
	known := r.b.Observations()
	if len(known) != 2 || known[0].Health != Unhealthy || known[1].Health != Healthy || known[1].Samples == 0 || known[1].RetryAfter != 3*time.Second {
		t.Fatalf("observations %+v", known)
	}
	next := newRig(t, settings())
	var events []Event
	for _, k := range known {
		events = append(events, k)
	}
	next.now += time.Second
	next.step(events...)
	d, e := next.b.destination(0).sharedRoute, next.b.destination(1).sharedRoute
	if d.state != outage || e.CachedOptimum < known[1].Timeout || e.CachedOptimum > 2*known[1].Timeout || e.retryAfterUntil != next.now+3*time.Second {
		t.Errorf("state %d, time-out %v, retry-after until %v", d.state, e.CachedOptimum, e.retryAfterUntil)
	}
}

// A change is reported once, and only if this process observed it. Without ReportsChanges no change is recorded.
func TestChangedObservations_OnceAndOnlyOwn(t *testing.T) {
	s := settings()
	s.ReportsChanges = true
	r := newRig(t, s)
	r.serve(5, 1, 50*ms)
	if n := r.b.ChangedObservations(); len(n) != 0 {
		t.Errorf("served calls are reported as a change: %+v", n)
	}
	r.beginOutage()
	n := r.b.ChangedObservations()
	if len(n) != 1 || n[0].Destination != 0 || n[0].Health != Unhealthy || !n[0].Local {
		t.Errorf("changes after an outage: %+v", n)
	}
	if n := r.b.ChangedObservations(); len(n) != 0 {
		t.Errorf("a change is reported again: %+v", n)
	}
	r.step(Observation{Destination: 1, Health: Unhealthy, HealthAge: -time.Second, HealthFor: time.Second})
	for _, o := range r.b.ChangedObservations() {
		if o.Health == Unhealthy {
			t.Errorf("a learned outage is reported as a change: %+v", o)
		}
	}
	sends := r.step(r.message(0, 2, 0)) // its endpoints have routes of their own
	e := r.result(sends[0], Rejected)
	e.RetryAfter = time.Second
	r.step(e)
	if n := r.b.ChangedObservations(); len(n) != 1 || n[0].Destination != 2 || n[0].Endpoint != sends[0].Endpoint || n[0].RetryAfter == 0 {
		t.Errorf("changes after a retry-after: %+v", n)
	}
	unreported := newRig(t, settings())
	unreported.beginOutage()
	if len(unreported.b.changedRoutes) != 0 || unreported.b.ChangedObservations() != nil {
		t.Error("changes are recorded without ReportsChanges")
	}
}
