package brain

import (
	"cmp"
	"slices"
	"time"
)

// What is told of what is known. Nothing is decided here.

// Observations is what this process has seen itself of each route, in the order of destinations. What it was told by others is
// in it only as far as calls of its own have borne it out.
func (b *Brain) Observations() []Observation {
	var all []Observation
	seen := map[*route]bool{}
	for _, d := range b.order {
		if d.shared != nil {
			all = b.known(all, d.shared, Observation{Destination: DestinationID(d.shared.name)})
			continue
		}
		for _, e := range d.endpoints {
			if !seen[e.route] {
				seen[e.route] = true
				all = b.known(all, e.route, Observation{Destination: e.Destination, Endpoint: e.ID})
			}
		}
	}
	for _, f := range b.folded {
		if wait := f.closedUntil - b.now; f.seen > 0 || wait > 0 {
			all = append(all, Observation{Destination: f.id, Local: true, Samples: int(f.seen), MeanLatency: time.Duration(float64(f.mean) * float64(time.Second)),
				MedianLatency: time.Duration(f.median) * time.Microsecond, MinLatency: time.Duration(f.quickest) * time.Microsecond,
				Timeout: time.Duration(f.best) * time.Microsecond, LatencyAge: b.now - f.lastServed, RetryAfter: max(0, wait)})
		}
	}
	slices.SortFunc(all, func(x, y Observation) int {
		return cmp.Or(cmp.Compare(x.Destination, y.Destination), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return all
}

// Outages is the routes that are out or warm up, as of now, in the order of destinations: for the sender to keep, as a process
// that restarts meanwhile would else send all at once what it finds taken on. One whose calls just fail, or are not answered,
// one after the other is among them: the next process has no window and no failures by which it would hold back there.
func (b *Brain) Outages() []Observation {
	var all []Observation
	add := func(r *route, k Observation) {
		k.Local, k.Health, k.HealthFor, k.OutageFor, k.Rate = true, Unhealthy, b.now-r.outAt, b.now-r.outAt, r.before
		switch {
		case r.state == cold && b.now-r.since <= b.s.SlowStartDuration:
			k.Health, k.HealthFor = WarmingUp, b.now-r.since
		case r.state != out && (r.bad >= leastInRow || b.silent(r, 1)):
			k.HealthFor, k.Rate = b.now-r.lastServed, max(b.usual(r.done), b.earlier(r))
			k.OutageFor = k.HealthFor
		case r.state != out:
			return
		}
		all = append(all, k)
	}
	for _, d := range b.order {
		if d.shared != nil {
			add(d.shared, Observation{Destination: DestinationID(d.shared.name)})
			continue
		}
		for _, e := range d.endpoints {
			add(e.route, Observation{Destination: e.Destination, Endpoint: e.ID})
		}
	}
	return all
}

// changed notes that a route's health or wait is news.
func (b *Brain) changed(r *route) {
	if b.s.ReportsChanges && !r.news {
		r.news = true
		b.newsOf = append(b.newsOf, r)
	}
}

// ChangedObservations is what Known has of the routes whose health or wait has changed since it was asked for last, in that order. It
// costs nothing where nothing has; without Settings.TellsNews there is none.
func (b *Brain) ChangedObservations() []Observation {
	if len(b.newsOf) == 0 {
		return nil
	}
	var all []Observation
	for _, r := range b.newsOf {
		r.news = false
		if d := b.dests[DestinationID(r.name)]; d != nil && d.shared == r {
			all = b.known(all, r, Observation{Destination: DestinationID(r.name)})
		} else if e := b.endpoints[EndpointID(r.name)]; e != nil && e.route == r {
			all = b.known(all, r, Observation{Destination: e.Destination, Endpoint: e.ID})
		} // or it has left the list
	}
	clear(b.newsOf)
	b.newsOf = b.newsOf[:0]
	return all
}

func (b *Brain) known(all []Observation, r *route, k Observation) []Observation {
	k.Local = true
	served := r.served > 0 // by this process
	age := b.now - r.lastServed
	if served && r.Seen > 0 {
		bound := r.Optimum()
		k.Samples, k.MeanLatency, k.MedianLatency, k.MinLatency, k.Timeout, k.LatencyAge = r.Seen, time.Duration(r.Mean*float64(time.Second)), r.Median, r.Quickest, bound, age
	}
	if served && r.state == well {
		k.Window, k.WindowAge = r.window.Size, age
	}
	if r.limit > 0 && r.sentAt > 0 {
		k.Limit, k.LimitAge = r.limit, b.now-r.sentAt
	}
	k.RetryAfter = max(0, r.askedUntil-b.now) // told on, a wait that was heard of would come back, a little longer each time
	switch {
	case r.state == out && (r.bad > 0 || b.silent(r, 1)): // seen, not only heard of
		k.Health, k.HealthFor, k.HealthAge, k.Rate = Unhealthy, b.now-r.since, b.now-max(r.since, r.sentAt), r.before
	case r.state == cold && served:
		k.Health, k.HealthFor, k.HealthAge, k.Rate = WarmingUp, b.now-r.since, age, r.before
	case r.state == well && served:
		k.Health, k.HealthFor, k.HealthAge, k.Rate = Healthy, b.now-r.firstServed, age, max(b.usual(r.done), b.earlier(r))
	}
	if (k == Observation{Destination: k.Destination, Endpoint: k.Endpoint, Local: true}) {
		return all
	}
	return append(all, k)
}
