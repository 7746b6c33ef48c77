package brain

import (
	"time"
)

const (
	// minListBackoff is the mean back-off after the first failed request for the endpoint list. It doubles
	// with each further failure.
	minListBackoff = 250 * time.Millisecond
	// maxListBackoff bounds that back-off, as a change must be received within 6 s whatever has failed.
	maxListBackoff = time.Second
	// overloadedListBackoff is the back-off after a request that discovery processed but did not answer in
	// time. With it, the requests of all senders leave discovery enough capacity.
	overloadedListBackoff = 6 * time.Second
	// startupListSpread is the time over which many senders that start at once spread their first requests,
	// so that all are answered within 6 s.
	startupListSpread = 5 * time.Second
	// removedRetention is how long a route or destination that left the list is kept: longer than any outage
	// or retry-after.
	removedRetention = 2 * time.Minute
)

// handleEndpointUpdate applies a change of the list, or schedules a retry of a failed request. All senders
// share discovery, and a request that discovery does not answer in time costs it as much as any other: if
// all senders retried at once, none would be answered. A request that was rejected at once, or that never
// arrived, costs discovery nothing.
func (b *Brain) handleEndpointUpdate(update EndpointUpdate) {
	if !update.Failed {
		b.listBackoff = 0
		b.applyEndpoints(update)
	} else if b.settings.RequestsEndpoints {
		backoff := min(max(2*b.listBackoff, minListBackoff), maxListBackoff)
		if update.Overloaded {
			backoff = overloadedListBackoff
		}
		b.listBackoff = max(b.listBackoff, backoff)
		b.nextListRequest = b.now + b.jitter(b.listBackoff)
	}
}

// applyEndpoints applies the list. An endpoint that drains or is gone gets no new call from this step on.
func (b *Brain) applyEndpoints(update EndpointUpdate) {
	listed := map[EndpointID]bool{}
	for _, e := range update.Endpoints {
		listed[e.ID] = e.Ready
		if b.matchesHibernated(e) {
			continue
		}
		b.removeEndpoint(e.ID)
		if e.Ready {
			b.addEndpoint(e)
		}
	}
	if update.Complete {
		for id := range b.hibernatedEndpoints {
			if !listed[id] {
				b.wakeUpByEndpoint(id)
			}
		}
		for _, d := range b.destinationOrder {
			for _, e := range append([]*endpoint(nil), d.endpoints...) {
				if !listed[e.ID] {
					b.removeEndpoint(e.ID)
				}
			}
		}
	}
	b.forgetRemoved()
}

// addEndpoint adds a ready endpoint to its destination.
func (b *Brain) addEndpoint(entry Endpoint) {
	entry.Kind, entry.Zone = max(0, entry.Kind), max(0, entry.Zone)
	d := b.destination(entry.Destination)
	e := b.endpoints[entry.ID]
	if e == nil || e.Destination != entry.Destination {
		e = &endpoint{}
		b.endpoints[entry.ID] = e
		if entry.Kind < len(b.settings.Kinds) && b.settings.Kinds[entry.Kind].PerEndpointRoutes {
			e.route, d.hasEndpointRoutes = b.newRoute(uint32(entry.ID), entry.Destination), true
		} else {
			if d.sharedRoute == nil {
				d.sharedRoute = b.newRoute(uint32(entry.Destination), entry.Destination)
				d.sharedRoute.restoredRate = d.restoredRate
			}
			e.route = d.sharedRoute
		}
	}
	if d.sharedRoute == nil { // also if the destination was deleted while its endpoint was kept
		d.hasEndpointRoutes = true
	}
	e.Endpoint, e.listed = entry, true
	if b.settings.RatingIsLimit && isPositive(entry.Rating) {
		b.setLimit(e.route, entry.Rating)
	}
	d.endpoints = append(d.endpoints, e)
	delete(b.removedEndpoints, entry.ID)
	delete(b.emptyDestinations, entry.Destination)
	if d.sharedRoute == nil {
		b.rescheduleExpiries(d)
	}
}

// removeEndpoint removes an endpoint from its destination. The endpoint and its calls in flight are kept
// until forgetRemoved deletes it.
func (b *Brain) removeEndpoint(id EndpointID) {
	b.wakeUpByEndpoint(id)
	if e := b.endpoints[id]; e != nil {
		e.listed = false
		b.scheduleRecheck(e.route)
		d := b.destination(e.Destination)
		d.endpoints = removeFirst(d.endpoints, e)
		b.removedEndpoints[id] = e
		if len(d.endpoints) == 0 {
			b.emptyDestinations[e.Destination] = d
		}
		if d.sharedRoute == nil { // unsent messages expire by the route of the first endpoint
			b.rescheduleExpiries(d)
		}
	}
}

// forgetRemoved deletes what has left the list for good, as ids are never used again: endpoints without a
// call, with their own routes, and destinations without endpoints or messages. A retry-after or an outage
// must survive a gap in the list, so routes and destinations are kept for removedRetention.
func (b *Brain) forgetRemoved() {
	forgettable := func(r *route) bool {
		quietFor := b.now - max(r.lastSentAt, r.refilledAt)
		return r.callsInFlight == 0 && b.now >= r.closedUntil && quietFor > removedRetention
	}
	for id, e := range b.removedEndpoints {
		if e.callsInFlight > 0 {
			continue
		}
		if d := b.destinations[e.Destination]; d == nil || e.route != d.sharedRoute {
			if !forgettable(e.route) {
				continue
			}
			b.releaseRoute(e.route)
		}
		delete(b.endpoints, id)
		delete(b.removedEndpoints, id)
	}
	anyRemoved := false
	for id, d := range b.emptyDestinations {
		if d.pending > 0 || d.sharedRoute != nil && !forgettable(d.sharedRoute) {
			continue
		}
		delete(b.destinations, id)
		delete(b.emptyDestinations, id)
		b.releaseRoute(d.sharedRoute)
		d.removed, anyRemoved = true, true
	}
	if anyRemoved {
		b.dropRemovedDestinations()
	}
}

// releaseRoute subtracts a deleted route from the number of routes, once.
func (b *Brain) releaseRoute(r *route) {
	if r != nil && !r.removed {
		r.removed = true
		b.routeCount--
	}
}

// removeFirst returns list without its first x. If there is one, the result is a new array.
func removeFirst[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
