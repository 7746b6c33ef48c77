package brain

import (
	"cmp"
	"slices"
	"time"
)

// Observations returns what this process itself has observed of each route, by destination and endpoint.
// Observations of others are included only as far as calls of this process have confirmed them.
func (b *Brain) Observations() []Observation {
	var all []Observation
	seen := map[*route]bool{}
	for _, d := range b.destinationOrder {
		if d.sharedRoute != nil {
			all = b.appendObservation(all, d.sharedRoute, subject(d.sharedRoute, nil))
			continue
		}
		for _, e := range d.endpoints {
			if !seen[e.route] {
				seen[e.route] = true
				all = b.appendObservation(all, e.route, subject(e.route, e))
			}
		}
	}
	for _, f := range b.hibernated {
		if wait := f.closedUntil - b.now; f.samples > 0 || wait > 0 {
			all = append(all, Observation{
				Destination:   f.id,
				Local:         true,
				Samples:       int(f.samples),
				MeanLatency:   time.Duration(float64(f.mean) * float64(time.Second)),
				MedianLatency: time.Duration(f.median) * time.Microsecond,
				MinLatency:    time.Duration(f.minLatency) * time.Microsecond,
				Timeout:       time.Duration(f.optimum) * time.Microsecond,
				LatencyAge:    b.now - f.lastServed,
				RetryAfter:    max(0, wait),
			})
		}
	}
	slices.SortFunc(all, func(x, y Observation) int {
		return cmp.Or(cmp.Compare(x.Destination, y.Destination), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return all
}

// Outages returns the routes that are in an outage or warm up, in the order of first mention, for the sender
// to store: a process that restarts meanwhile would otherwise send all the messages that it resumes at once.
// Routes with consecutive failures, or with an unanswered call, are included: the next process has no window
// and no failure rate that would limit its calls there.
func (b *Brain) Outages() []Observation {
	var all []Observation
	add := func(r *route, o Observation) {
		o.Local, o.Health, o.Rate = true, Unhealthy, r.rateBeforeOutage
		o.HealthFor, o.OutageFor = b.now-r.outageSince, b.now-r.outageSince
		switch {
		case r.state == warmingUp && b.now-r.stateSince <= b.settings.SlowStartDuration:
			o.Health, o.HealthFor = WarmingUp, b.now-r.stateSince
		case r.state != outage && (r.consecutiveFailures >= minOutageThreshold || b.unresponsive(r, 1)):
			o.HealthFor, o.Rate = b.now-r.lastServed, max(b.usualRate(r.servedCounter), b.priorRate(r))
			o.OutageFor = o.HealthFor
		case r.state != outage:
			return
		}
		all = append(all, o)
	}
	for _, d := range b.destinationOrder {
		if d.sharedRoute != nil {
			add(d.sharedRoute, subject(d.sharedRoute, nil))
			continue
		}
		for _, e := range d.endpoints {
			add(e.route, subject(e.route, e))
		}
	}
	return all
}

// subject returns an Observation that only identifies a route: that of endpoint e, or that of a destination
// if e is nil.
func subject(r *route, e *endpoint) Observation {
	if e != nil {
		return Observation{Destination: e.Destination, Endpoint: e.ID}
	}
	return Observation{Destination: DestinationID(r.id)}
}

// recordChange records that the health or the retry-after of a route has changed.
func (b *Brain) recordChange(r *route) {
	if b.settings.ReportsChanges && !r.changeRecorded {
		r.changeRecorded = true
		b.changedRoutes = append(b.changedRoutes, r)
	}
}

// ChangedObservations returns the observations of the routes whose health or retry-after has changed since
// the last call, in the order of the changes. It costs nothing if nothing has changed. Without
// Settings.ReportsChanges it returns nil.
func (b *Brain) ChangedObservations() []Observation {
	if len(b.changedRoutes) == 0 {
		return nil
	}
	var all []Observation
	for _, r := range b.changedRoutes {
		r.changeRecorded = false
		if d := b.destinations[DestinationID(r.id)]; d != nil && d.sharedRoute == r {
			all = b.appendObservation(all, r, subject(r, nil))
		} else if e := b.endpoints[EndpointID(r.id)]; e != nil && e.route == r {
			all = b.appendObservation(all, r, subject(r, e))
		} // otherwise it has left the list
	}
	clear(b.changedRoutes)
	b.changedRoutes = b.changedRoutes[:0]
	return all
}

// appendObservation appends what was observed of r to all, under the ids in o; nothing if nothing is known.
func (b *Brain) appendObservation(all []Observation, r *route, o Observation) []Observation {
	o.Local = true
	served := r.recentlyServed > 0 // by this process
	age := b.now - r.lastServed
	if served && r.Samples > 0 {
		o.Timeout = r.Optimum() // updates the mean and the median, too
		o.Samples, o.LatencyAge = r.Samples, age
		o.MeanLatency = time.Duration(r.MeanSeconds * float64(time.Second))
		o.MedianLatency, o.MinLatency = r.MedianLatency, r.MinLatency
	}
	if served && r.state == healthy {
		o.Window, o.WindowAge = r.window.Size, age
	}
	if r.limit > 0 && r.lastSentAt > 0 {
		o.Limit, o.LimitAge = r.limit, b.now-r.lastSentAt
	}
	// Only a retry-after that this sender received: a learned one would grow a little each time it is passed
	// on.
	o.RetryAfter = max(0, r.ownRetryAfterUntil-b.now)
	switch {
	case r.state == outage && (r.consecutiveFailures > 0 || b.unresponsive(r, 1)): // not only learned
		o.Health, o.HealthFor, o.Rate = Unhealthy, b.now-r.stateSince, r.rateBeforeOutage
		o.HealthAge = b.now - max(r.stateSince, r.lastSentAt)
	case r.state == warmingUp && served:
		o.Health, o.HealthFor, o.Rate = WarmingUp, b.now-r.stateSince, r.rateBeforeOutage
		o.HealthAge = age
	case r.state == healthy && served:
		o.Health, o.HealthFor, o.HealthAge = Healthy, b.now-r.firstServed, age
		o.Rate = max(b.usualRate(r.servedCounter), b.priorRate(r))
	}
	if (o == Observation{Destination: o.Destination, Endpoint: o.Endpoint, Local: true}) {
		return all
	}
	return append(all, o)
}
