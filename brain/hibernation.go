package brain

import (
	"cmp"
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// A destination that has been idle for Settings.HibernateAfter, with no message pending and no call in
// flight, is reduced to a record of a few hundred bytes; its histogram, queues and route are freed. Its first
// message and any change of its endpoints wake it up: every access by id goes through destination,
// removeEndpoint or addEndpoint, which do that. Learned values lose weight during hibernation, as trust.go
// describes. A retry-after, a drain, an outage and the slow start after an outage survive hibernation
// unchanged.

const (
	// maxHibernationsPerStep bounds the work of one step, so that tens of thousands of idle destinations
	// do not delay it.
	maxHibernationsPerStep = 64
	// minHibernatedLimitTrust is the trust below which a rate limit counts as unknown, after about four
	// hours.
	minHibernatedLimitTrust = 0.05
)

// hibernatedDestination is the record of an idle destination and its route. Rates are in calls a second,
// times are clock times, and estimates are stored with reduced precision.
type hibernatedDestination struct {
	id            DestinationID
	sequence      uint64
	routeSequence uint64
	hibernatedAt  time.Duration
	endpoints     []hibernatedEndpoint
	closedUntil   time.Duration
	stateSince    time.Duration
	outageSince   time.Duration
	lastServed    time.Duration
	lastSentAt    time.Duration

	destinationRestoredRate, rateBeforeOutage, restoredRate, limit, sendRate float32
	usualRate                                                                float32
	mean, recentLatency, failureRate, window                                 float32
	optimum, median, minLatency, backoff                                     int32 // microseconds
	samples                                                                  uint16
	state                                                                    routeState
}

// hibernatedEndpoint is an endpoint that is listed and ready.
type hibernatedEndpoint struct {
	id          EndpointID
	kind        int16
	zone        int16
	rating      float32
	failureRate float32
}

// idleEntry is an entry in the queue of destinations that may hibernate.
type idleEntry struct {
	lastUsed    time.Duration
	destination *destination
}

// touch records that d is in use.
func (b *Brain) touch(d *destination) {
	d.lastUsed = b.now
	if b.settings.HibernateAfter > 0 && !d.inIdleQueue {
		d.inIdleQueue = true
		b.idleQueue = append(b.idleQueue, idleEntry{b.now, d})
	}
}

// hibernateIdle hibernates destinations that have been idle for long enough. It examines at most
// maxHibernationsPerStep destinations in one step.
func (b *Brain) hibernateIdle() {
	anyRemoved := false
	for range maxHibernationsPerStep {
		if len(b.idleQueue) == 0 || b.now-b.idleQueue[0].lastUsed < b.settings.HibernateAfter {
			break
		}
		d := b.idleQueue[0].destination
		b.idleQueue[0] = idleEntry{}
		b.idleQueue = b.idleQueue[1:]
		d.inIdleQueue = false
		switch {
		case d.removed:
		case b.now-d.lastUsed < b.settings.HibernateAfter:
			d.inIdleQueue = true
			b.requeue(d)
		case b.canHibernate(d):
			b.hibernate(d)
			anyRemoved = true
		default:
			b.touch(d)
		}
	}
	if anyRemoved {
		b.dropRemovedDestinations()
	}
	if len(b.idleQueue) == 0 {
		b.idleQueue = nil
	}
}

// requeue appends d again with the time of its last use. The queue is in order of time except for these
// entries, which are examined a little late.
func (b *Brain) requeue(d *destination) { b.idleQueue = append(b.idleQueue, idleEntry{d.lastUsed, d}) }

// canHibernate reports whether nothing is pending or in flight at d, all its endpoints share one route, and
// the record can hold all of them.
func (b *Brain) canHibernate(d *destination) bool {
	if d.pending > 0 || d.waiting > 0 || d.hasEndpointRoutes || len(d.endpoints) == 0 {
		return false // without endpoints it is deleted by forgetRemoved
	}
	if r := d.sharedRoute; r == nil || r.callsInFlight > 0 || len(r.inFlight) > 0 || r.probesInFlight > 0 {
		return false
	}
	for _, e := range d.endpoints {
		idle := e.idleSince > 0 && b.now < e.idleSince+b.settings.IdleConnTimeout
		if e.callsInFlight > 0 || idle || e.Kind > math.MaxInt16 || e.Zone > math.MaxInt16 {
			return false
		}
	}
	return true
}

func microseconds(d time.Duration) int32 {
	return int32(min(d/time.Microsecond, math.MaxInt32))
}

// hibernate replaces d by its record.
func (b *Brain) hibernate(d *destination) {
	r := d.sharedRoute
	r.Optimum()
	rate := r.rateBeforeOutage
	if r.state == healthy {
		rate = max(b.usualRate(r.servedCounter), b.priorRate(r))
	}
	f := &hibernatedDestination{
		id:            DestinationID(r.id),
		sequence:      d.sequence,
		routeSequence: r.sequence,
		hibernatedAt:  b.now,
		endpoints:     make([]hibernatedEndpoint, 0, len(d.endpoints)),
		closedUntil:   r.closedUntil,
		stateSince:    r.stateSince,
		outageSince:   r.outageSince,
		lastServed:    r.lastServed,
		lastSentAt:    max(r.lastSentAt, r.refilledAt),

		destinationRestoredRate: float32(d.restoredRate),
		rateBeforeOutage:        float32(r.rateBeforeOutage),
		restoredRate:            float32(r.restoredRate),
		limit:                   float32(r.limit),
		sendRate:                float32(r.sendRate),
		usualRate:               float32(rate),
		mean:                    float32(r.MeanSeconds),
		recentLatency:           float32(r.recentLatency),
		failureRate:             float32(r.failureRate),
		window:                  float32(r.window.Size),
		optimum:                 microseconds(r.CachedOptimum),
		median:                  microseconds(r.MedianLatency),
		minLatency:              microseconds(r.MinLatency),
		backoff:                 microseconds(r.backoff),
		samples:                 uint16(min(r.Samples, math.MaxUint16)),
		state:                   r.state,
	}
	for _, e := range d.endpoints {
		f.endpoints = append(f.endpoints, hibernatedEndpoint{
			id:          e.ID,
			kind:        int16(e.Kind),
			zone:        int16(e.Zone),
			rating:      float32(e.Rating),
			failureRate: float32(e.failureRate),
		})
		delete(b.endpoints, e.ID)
		b.hibernatedEndpoints[e.ID] = f.id
		b.setIdleReduction(e, 0)
		e.idleSequence = 0
	}
	// Endpoints that left the list may still refer to the destination and its route. Both are marked as
	// removed, so that they are not released again: the record still counts as a route.
	d.removed, r.removed = true, true
	delete(b.destinations, f.id)
	b.hibernated[f.id] = f
}

// wakeUp restores a destination from its record, with its learned values weighted by trust.
func (b *Brain) wakeUp(f *hibernatedDestination) *destination {
	delete(b.hibernated, f.id)
	weight := trust(b.now - f.hibernatedAt)
	r := b.wakeUpRoute(f, weight)
	d := &destination{sequence: f.sequence, sharedRoute: r, restoredRate: float64(f.destinationRestoredRate)}
	for _, l := range f.endpoints {
		e := &endpoint{
			Endpoint: Endpoint{
				ID:          l.id,
				Destination: f.id,
				Kind:        int(l.kind),
				Zone:        int(l.zone),
				Ready:       true,
				Rating:      float64(l.rating),
			},
			listed:      true,
			route:       r,
			failureRate: blend(0, float64(l.failureRate), weight),
		}
		d.endpoints = append(d.endpoints, e)
		b.endpoints[l.id] = e
		delete(b.hibernatedEndpoints, l.id)
	}
	b.destinations[f.id] = d
	bySequence := func(x, y *destination) int { return cmp.Compare(x.sequence, y.sequence) }
	i, _ := slices.BinarySearchFunc(b.destinationOrder, d, bySequence)
	b.destinationOrder = slices.Insert(b.destinationOrder, i, d)
	b.touch(d)
	return d
}

// wakeUpRoute restores the route of a record, with its learned values weighted by trust.
func (b *Brain) wakeUpRoute(f *hibernatedDestination, weight float64) *route {
	r := &route{
		id:               uint32(f.id),
		destination:      f.id,
		sequence:         f.routeSequence,
		window:           restart.Window{Size: max(1, blend(1, float64(f.window), weight))},
		tokens:           1,
		refilledAt:       b.now,
		closedUntil:      f.closedUntil,
		backoff:          time.Duration(f.backoff) * time.Microsecond,
		failureRate:      blend(0, float64(f.failureRate), weight),
		recentLatency:    float64(f.recentLatency),
		lastServed:       f.lastServed,
		lastSentAt:       f.lastSentAt,
		rateBeforeOutage: float64(f.rateBeforeOutage),
		restoredRate:     float64(f.restoredRate),
		outageSince:      f.outageSince,
		state:            f.state,
		stateSince:       f.stateSince,
		limit:            float64(f.limit),
		loggedAt:         -never / 2,
	}
	if f.samples > 0 {
		r.Restore(restart.Remembered{
			Samples:       int(f.samples),
			MeanSeconds:   float64(f.mean),
			MedianLatency: time.Duration(f.median) * time.Microsecond,
			MinLatency:    time.Duration(f.minLatency) * time.Microsecond,
			Timeout:       time.Duration(f.optimum) * time.Microsecond,
		}, weight)
	}
	if r.limit > 0 {
		r.sendRate = blend(b.initialSendRate(r.limit), float64(f.sendRate), weight)
		if weight < minHibernatedLimitTrust {
			r.limit, r.sendRate = 0, 0
		}
	}
	if r.state != healthy {
		r.tokens = 0 // as at the beginning of an outage and of a slow start
	}
	// The usual rate, weighted by trust.
	r.servedCounter = decayingCounter{float64(f.usualRate) * weight * b.usualWindow(), b.now}
	r.sentCounter = r.servedCounter
	return r
}

// wakeUpByEndpoint wakes up the destination of an endpoint, if it hibernates.
func (b *Brain) wakeUpByEndpoint(id EndpointID) {
	if destinationID, ok := b.hibernatedEndpoints[id]; ok {
		b.wakeUp(b.hibernated[destinationID])
	}
}

// matchesHibernated reports whether an entry of the list equals the recorded endpoint, so that its
// destination need not be woken up.
func (b *Brain) matchesHibernated(entry Endpoint) bool {
	destinationID, ok := b.hibernatedEndpoints[entry.ID]
	if !ok || destinationID != entry.Destination || !entry.Ready {
		return false
	}
	for _, h := range b.hibernated[destinationID].endpoints {
		if h.id == entry.ID {
			sameKindAndZone := int(h.kind) == max(0, entry.Kind) && int(h.zone) == max(0, entry.Zone)
			return sameKindAndZone && h.rating == float32(entry.Rating)
		}
	}
	return false
}
