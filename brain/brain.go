package brain

import (
	"math"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// never is later than any time on the clock.
const never = time.Duration(math.MaxInt64)

// Brain makes the decisions of one sender. It is created with New.
type Brain struct {
	settings Settings
	random   uint64 // state of the random number generator

	// The current step.
	now       time.Duration
	startedAt time.Duration // time of the first step
	nextWake  time.Duration // the earliest time at which another step is needed
	timerAt   time.Duration // the earliest timer that is set; never if none is set
	actions   []Action

	// Messages and ordering keys.
	messages              map[MessageID]*message
	pending               int    // messages that have not ended
	lastArrival           uint64 // number of the message that arrived last
	lastQueueSequence     uint64
	arrivalCounter        decayingCounter
	expiries              expiryHeap // of all waiting messages
	keyQueues             map[uint64]*keyQueue
	releasedKeyQueues     []*keyQueue // to be deleted once empty and cooled down
	coolingDown           []*keyQueue // may include queues whose cool-down is over
	cooldownsAfterPruning int         // length of coolingDown after the last pruning

	// Destinations, endpoints and routes. Sequence numbers are assigned at first mention.
	lastSequence      uint64
	destinations      map[DestinationID]*destination
	destinationOrder  []*destination // by sequence
	emptyDestinations map[DestinationID]*destination
	active            []*destination // with waiting messages, by sequence
	endpoints         map[EndpointID]*endpoint
	removedEndpoints  map[EndpointID]*endpoint // left the list, may have calls in flight
	routeCount        int
	nextListRequest   time.Duration
	listBackoff       time.Duration // after the last failed request for the list; 0 after an answered one

	// Calls in flight.
	callsInFlight    int
	routesInFlight   []*route // with calls in flight, by sequence
	overdueCancelled int      // calls in flight that were cancelled as overdue
	routesToRecheck  []*route // whose calls in flight may have to be revoked
	candidates       candidateHeap
	usableEndpoints  []*endpoint    // scratch
	allRoutes        restart.Oracle // latencies of all routes together

	// Tenants and rate limits.
	tenants          []tenant
	tenantRatesAt    time.Duration
	tenantShare      float64 // this sender's fraction of each tenant's allowance
	tenantShareValid bool    // until the next message of a tenant
	rateGrants       map[DestinationID]RateGrant

	// Idle connections.
	idleEndpoints             []*endpoint // may include endpoints that are no longer idle
	idleEndpointsAfterPruning int         // length of idleEndpoints after the last pruning
	lastIdleSequence          uint64
	idleTimeouts              []time.Duration // by kind of destination
	reducedEndpoints          []*endpoint     // with an idleReduction
	idleScratch               []*endpoint

	// Hibernation and reports.
	hibernated          map[DestinationID]*hibernatedDestination
	hibernatedEndpoints map[EndpointID]DestinationID
	idleQueue           []idleEntry
	changedRoutes       []*route // whose health or retry-after has changed since ChangedObservations
}

// New returns a Brain without destinations, messages and observations. All its random choices are derived
// from seed.
func New(s Settings, seed uint64) *Brain {
	b := &Brain{
		settings:            s,
		random:              seed,
		now:                 -never,
		startedAt:           -never,
		timerAt:             never,
		nextListRequest:     never,
		messages:            map[MessageID]*message{},
		destinations:        map[DestinationID]*destination{},
		endpoints:           map[EndpointID]*endpoint{},
		removedEndpoints:    map[EndpointID]*endpoint{},
		emptyDestinations:   map[DestinationID]*destination{},
		hibernated:          map[DestinationID]*hibernatedDestination{},
		hibernatedEndpoints: map[EndpointID]DestinationID{},
		keyQueues:           map[uint64]*keyQueue{},
		tenants:             make([]tenant, len(s.Tenants)),
	}
	if s.RequestsEndpoints {
		b.nextListRequest = -never
	}
	return b
}

// Step applies all events of a batch, then decides once, and returns the actions in the order in which they
// must be carried out. Time never goes back: a batch with an earlier time than the last one is processed at
// the time of the last one.
func (b *Brain) Step(now time.Duration, events []Event) []Action {
	now = max(now, b.now)
	b.now, b.nextWake, b.actions = now, never, nil
	if b.startedAt == -never {
		b.startedAt = now
		// Many senders may have started at once.
		if b.settings.RequestsEndpoints && b.settings.Senders > fleetCallsPerWarmUp {
			b.nextListRequest = now + time.Duration(b.draw(uint64(startupListSpread)))
		}
	}
	if b.timerAt <= now {
		b.timerAt = never
	}
	for _, e := range events {
		switch e := e.(type) {
		case Message:
			b.admit(e)
		case AttemptResult:
			b.handleResult(e)
		case TimerFired: // the caller's clock may be coarser: up to a StepInterval early counts as on time
			if b.timerAt <= now+b.settings.StepInterval {
				b.timerAt = never
			}
		case UsualRate:
			b.restoreUsualRate(e)
		case Observation:
			b.applyObservation(e)
		case RateGrant:
			b.applyRateGrant(e)
		case Withdrawn:
			if m := b.messages[e.Message]; m != nil {
				b.closeMessage(m)
			}
		case EndpointUpdate:
			b.handleEndpointUpdate(e)
		}
	}
	if b.nextListRequest <= now {
		b.nextListRequest = never
		b.actions = append(b.actions, WatchEndpoints{})
	}
	b.wakeAt(b.nextListRequest)
	b.failExpired()
	b.shedLoad()
	b.dispatch()
	b.revokeStale()
	b.closeIdleConns()
	if b.settings.HibernateAfter > 0 {
		b.hibernateIdle()
	}
	if b.nextWake < b.timerAt {
		b.timerAt = max(b.nextWake, now+b.settings.StepInterval)
		b.actions = append(b.actions, SetTimer{b.timerAt})
	}
	return b.actions
}

// wakeAt requests a step at t at the latest.
func (b *Brain) wakeAt(t time.Duration) { b.nextWake = min(b.nextWake, t) }

// draw returns a random number below n (splitmix64).
func (b *Brain) draw(n uint64) uint64 {
	b.random += 0x9e3779b97f4a7c15
	z := b.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return (z ^ z>>31) % n
}

// jitter returns a random time from half of d to one and a half times d, so that senders which were
// rejected together do not retry together.
func (b *Brain) jitter(d time.Duration) time.Duration { return d/2 + time.Duration(b.draw(uint64(d))) }

// randomPhase returns a random fraction of a call, from -0.5 to 0.5, as the initial tokens of a route:
// senders that observe an outage or a slow start at the same time must not send in step.
func (b *Brain) randomPhase() float64 { return float64(b.draw(1000))/1000 - 0.5 }
