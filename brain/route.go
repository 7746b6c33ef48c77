package brain

import (
	"math"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// routeState is the state of health of a route; doc.go has the transitions.
type routeState uint8

const (
	healthy   routeState = iota
	outage               // probes only
	warmingUp            // slow start after an outage
)

// route is the state of a destination, or of one endpoint where endpoints have routes of their own.
type route struct {
	restart.Oracle
	id          uint32 // of the destination or the endpoint
	destination DestinationID
	sequence    uint64 // in the order of first mention
	removed     bool
	window      restart.Window

	// Calls in flight, and counts of those sent and served.
	callsInFlight    int
	inFlight         []*call // in the order of sending
	overdueCancelled int     // calls cancelled as overdue since one was served
	recheck          bool    // it is in Brain.routesToRecheck
	sentCounter      decayingCounter
	servedCounter    decayingCounter
	lastSentAt       time.Duration
	lastResultAt     time.Duration
	lastServedSentAt time.Duration // latest time of sending among served calls
	firstServed      time.Duration
	lastServed       time.Duration
	recentlyServed   float64 // calls served, decaying over servedRateWindow
	recentLatency    float64 // moving average, s

	// Health.
	state               routeState
	stateSince          time.Duration
	failureRate         float64 // moving average of the share of failed calls
	consecutiveFailures int     // failed calls since one was served
	consecutiveErrors   int     // those of them that were not rejected
	outageSince         time.Duration
	rateBeforeOutage    float64 // calls a second of this sender
	restoredRate        float64 // usual rate in an earlier process
	probesInFlight      int
	lastProbeAt         time.Duration
	otherProbers        int // other senders that probe it
	otherProbersAt      time.Duration
	changeRecorded      bool // it is in Brain.changedRoutes
	loggedAt            time.Duration

	// Waits: no call is sent before closedUntil.
	closedUntil        time.Duration // the end of a retry-after or of a back-off
	retryAfterUntil    time.Duration // the end of a retry-after
	ownRetryAfterUntil time.Duration // the end of a retry-after that this sender received
	backoff            time.Duration // the last back-off after a rejection

	// Rate limit.
	limit      float64 // calls a second of all senders, 0 if unknown
	sendRate   float64 // calls a second of this sender
	tokens     float64 // calls that may be sent now
	refilledAt time.Duration
}

// newRoute creates the route with this id for a destination.
func (b *Brain) newRoute(id uint32, destinationID DestinationID) *route {
	b.lastSequence++
	b.routeCount++
	return &route{
		id:          id,
		destination: destinationID,
		sequence:    b.lastSequence,
		window:      restart.Window{Size: 1},
		tokens:      1,
		refilledAt:  b.now,
		lastServed:  b.now,
		loggedAt:    -never / 2,
	}
}

// maxInFlight returns how many calls may be in flight at r: its window, up to half of the maximum if r
// fails, is slow or does not answer.
func (b *Brain) maxInFlight(r *route) int {
	slow := r.recentLatency > slowLatencies*r.MeanSeconds && r.MeanSeconds > 0
	half := r.failureRate > degradedFailureRate || slow || b.unresponsive(r, 1)
	return r.window.Limit(b.settings.Slots, half)
}

// accepts reports whether a call may be sent to r now. If not, it schedules a step for the time at which one
// may be sent, if that time is known.
func (b *Brain) accepts(r *route) bool {
	if r.state == warmingUp && b.now-r.stateSince > b.settings.SlowStartDuration {
		r.state, r.stateSince = healthy, b.now
		b.recordChange(r)
	}
	if r.state == healthy && b.unresponsive(r, min(maxOutageThreshold/2, b.outageThreshold(r))-1) {
		b.beginOutage(r)
	}
	if b.now < r.closedUntil {
		b.wakeAt(r.closedUntil)
		return false
	}
	if r.state == outage && r.probesInFlight > 0 && b.now-r.lastProbeAt < r.unresponsiveAfter() {
		b.wakeAt(r.lastProbeAt + r.unresponsiveAfter())
		return false
	}
	if r.state != outage && r.callsInFlight >= b.maxInFlight(r) {
		return false
	}
	b.refillTokens(r)
	if r.tokens < 1 {
		if rate, _ := b.allowedRate(r); rate > 0 { // at rate 0 no call is sent until the next grant
			b.wakeAt(b.now + time.Duration((1-r.tokens)/rate*float64(time.Second)) + time.Millisecond)
		}
		return false
	}
	return true
}

// trackCall records a call that was sent, and keeps the routes with calls in flight by sequence.
func (b *Brain) trackCall(r *route, c *call) {
	r.inFlight = append(r.inFlight, c)
	if len(r.inFlight) > 1 {
		return
	}
	i := len(b.routesInFlight)
	for i > 0 && b.routesInFlight[i-1].sequence > r.sequence {
		i--
	}
	b.routesInFlight = append(b.routesInFlight, nil)
	copy(b.routesInFlight[i+1:], b.routesInFlight[i:])
	b.routesInFlight[i] = r
}

// untrackCall removes a call that has ended from those in flight.
func (b *Brain) untrackCall(c *call) {
	r := c.route
	for i, x := range r.inFlight {
		if x == c {
			copy(r.inFlight[i:], r.inFlight[i+1:])
			r.inFlight[len(r.inFlight)-1] = nil
			r.inFlight = r.inFlight[:len(r.inFlight)-1]
			break
		}
	}
	if len(r.inFlight) > 0 {
		return
	}
	for i, x := range b.routesInFlight {
		if x == r {
			copy(b.routesInFlight[i:], b.routesInFlight[i+1:])
			b.routesInFlight[len(b.routesInFlight)-1] = nil
			b.routesInFlight = b.routesInFlight[:len(b.routesInFlight)-1]
			return
		}
	}
}

// isPositive reports whether x can be used as a rate: reports and lists may contain any value.
func isPositive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }
