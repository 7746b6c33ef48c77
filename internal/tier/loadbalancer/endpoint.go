package loadbalancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"dockshift.example/dockshift/brain/restart"
)

const (
	loadFadeSpan   = 2 * time.Second  // over which a reported load fades: others' calls end
	recentPer      = 0.1              // weight of the newest call in the latency that is seen
	healthPer      = 0.06             // and in the share of failures
	failSpan       = 10 * time.Second // over which that fades by itself, as who fails gets few calls
	failing        = 0.3              // share of failed calls from which half the window holds
	failCost       = 4.0              // how much dearer an endpoint is that always fails
	coldCost       = 2.0              // and one that has just started
	slowMax        = 4.0              // and a slow one at most
	ejectThreshold = 4.0              // weight of failures in a row that is an outage
	silentCalls    = 2                // calls that must be unanswered for silence
	silentFactor   = 4                // times the patience after which one call is enough

	patienceMin       = 300 * time.Millisecond // opening packets that are lost come again in about so long
	probeFirst        = 250 * time.Millisecond // pause before an ejected endpoint is probed; doubles
	probeMax          = 4 * time.Second        // up to so much
	probeUnrepeatable = time.Second            // so long after, also with a request that can't be repeated
	pauseFirst        = 25 * time.Millisecond  // pause after a refusal; doubles with each in a row
	pauseMax          = 500 * time.Millisecond
)

// weightOf is how much a failure says of its endpoint's health.
var weightOf = map[Kind]float64{NotSent: 2, Broken: 1.5, TimedOut: 1.5, Failed: 1}

// endpoint is what is known of one instance.
type endpoint struct {
	Endpoint
	key         uint64 // hash of the instance
	listed      bool
	local       bool // in our zone
	misdirected bool // its address is another's
	window      restart.Window
	calls       int     // out now
	unanswered  []*Call // of these, those without any part of an answer, in order of sending
	observedAt  time.Duration
	slots       int     // reported, 0 if not
	others      float64 // load that is not ours, as reported
	queue       int     // how many may wait, as seen at a refusal; -1 if never seen
	waiting     int     // reported
	loadAt      time.Duration
	slow        float64 // latency, over the mean of the routes
	fails       float64 // mean share of failed calls, as of failsAt
	failsAt     time.Duration
	tokens      float64 // mean need of a request
	coldUntil   time.Duration

	bad         float64 // weight of the failures in a row
	ejected     bool
	probes      int           // calls out that try whether it is back,
	checked     bool          // of which one is the owner's own
	probeAt     time.Duration // when it may be tried again
	backoff     time.Duration
	pause       time.Duration
	pausedUntil time.Duration
}

// newEndpoint makes what is kept of an endpoint that has come onto the list.
func newEndpoint(line Endpoint, now time.Duration) *endpoint {
	e := &endpoint{Endpoint: line, key: hash(line.Instance), slow: 1, queue: -1, observedAt: now}
	// One at a time would have a sender that starts refuse while nearly all places are free.
	e.window.Size = max(1, float64(line.Capacity)/2)
	return e
}

// hash is a well-mixed hash of a name.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64())
}

// failed is the share of failed calls.
func (endpoint *endpoint) failed(now time.Duration) float64 {
	return endpoint.fails * math.Exp(-(now-endpoint.failsAt).Seconds()/failSpan.Seconds())
}

// judge books a call in it: 1 for a failed one, 0 for one served.
func (endpoint *endpoint) judge(now time.Duration, bad float64) {
	old := endpoint.failed(now)
	endpoint.fails, endpoint.failsAt = old+healthPer*(bad-old), now
}

// capacity is how many requests it works on at once.
func (endpoint *endpoint) capacity() int { return max(1, cmp.Or(endpoint.slots, endpoint.Capacity)) }

// load is how many requests it has: ours, and those of others as the endpoint reported them, which fade.
func (endpoint *endpoint) load(now time.Duration) float64 {
	return float64(endpoint.calls) + endpoint.others*math.Exp(-(now-endpoint.loadAt).Seconds()/loadFadeSpan.Seconds())
}

// taken is the part of its places, or of its memory, that is taken with so many more.
func (endpoint *endpoint) taken(now time.Duration, more float64) float64 {
	load := endpoint.load(now) + more
	part := load / float64(endpoint.capacity())
	if endpoint.CacheTokens > 0 {
		part = max(part, load*endpoint.tokens/float64(endpoint.CacheTokens))
	}
	return part
}

// cost is what one more request there costs: the part that is then taken, more where it is slow, fails or is cold.
func (endpoint *endpoint) cost(now time.Duration) float64 {
	return endpoint.taken(now, 1) * endpoint.penalty(now)
}

// penalty is the factor by which its cost is raised.
func (endpoint *endpoint) penalty(now time.Duration) float64 {
	penalty := min(slowMax, max(1/slowMax, endpoint.slow)) * (1 + failCost*endpoint.failed(now))
	if now < endpoint.coldUntil {
		penalty *= coldCost
	}
	return penalty
}

// room reports whether it bears one more. Those that are less urgent leave an eighth to the others.
func (endpoint *endpoint) room(now time.Duration, priority int) bool {
	room := endpoint.window.Room(endpoint.capacity(), endpoint.failed(now) > failing)
	if priority > 0 {
		room -= room / 8
	}
	if endpoint.calls >= room || now < endpoint.pausedUntil {
		return false
	}
	atCapacity := now-endpoint.loadAt < loadFadeSpan/4 && endpoint.queue >= 0 && endpoint.waiting > 0 && endpoint.waiting >= endpoint.queue
	return !atCapacity || endpoint.load(now) < float64(endpoint.capacity()+endpoint.queue)
}

// updateLoad takes in what it says of itself, with our calls counted as of then.
func (endpoint *endpoint) updateLoad(now time.Duration, load Load, refused bool) {
	if load.Running < 0 || load.Waiting < 0 || load.Slots < 0 {
		return
	}
	if load.Slots > 0 {
		endpoint.slots = load.Slots
	}
	endpoint.others, endpoint.waiting, endpoint.loadAt = max(0, float64(load.Running+load.Waiting-endpoint.calls)), load.Waiting, now
	if refused {
		if load.Slots > 0 && load.Running >= load.Slots {
			endpoint.queue = load.Waiting
		}
		return
	}
	if endpoint.queue >= 0 { // it holds more than it did when it refused
		endpoint.queue = max(endpoint.queue, load.Waiting)
	}
	// What says that it is half empty bears half.
	if slots := endpoint.capacity(); load.Waiting == 0 && 2*load.Running < slots {
		endpoint.window.Size = max(endpoint.window.Size, float64(slots)/2-endpoint.others)
	}
}

// answered notes that a part of the answer has come: from then on silence on this call is no sign of failure.
func (endpoint *endpoint) answered(now time.Duration, call *Call) {
	endpoint.observedAt = max(endpoint.observedAt, now)
	endpoint.forget(call)
}

// forget takes a call from those without any answer.
func (endpoint *endpoint) forget(call *Call) {
	if i := slices.Index(endpoint.unanswered, call); i >= 0 {
		endpoint.unanswered = slices.Delete(endpoint.unanswered, i, i+1)
	}
}

// patience is how long a call of that route may be unanswered before it counts as silence.
func patience(oracle *restart.Oracle) time.Duration {
	return max(patienceMin, min(oracle.Optimum(), restart.FirstTimeout))
}

// watch finds silence: nothing has come from the endpoint since the oldest of some calls went out, long ago.
func (endpoint *endpoint) watch(now time.Duration) {
	if endpoint.ejected || len(endpoint.unanswered) == 0 {
		return
	}
	oldest := endpoint.unanswered[0]
	quiet, limit := now-max(oldest.sent, endpoint.observedAt), patience(oldest.oracle)
	if quiet > limit && len(endpoint.unanswered) >= silentCalls || quiet > silentFactor*limit {
		endpoint.eject(now)
	}
}

// eject begins an outage, or has the next try wait longer.
func (endpoint *endpoint) eject(now time.Duration) {
	endpoint.ejected = true
	endpoint.backoff = min(max(2*endpoint.backoff, probeFirst), probeMax)
	endpoint.probeAt = now + endpoint.backoff
}

// restore ends it.
func (endpoint *endpoint) restore() { endpoint.ejected, endpoint.bad, endpoint.backoff = false, 0, 0 }

// due reports whether one that is out may be tried by that attempt.
func (endpoint *endpoint) due(now time.Duration, ask *Ask) bool {
	at := endpoint.probeAt
	if !ask.Repeatable {
		at += probeUnrepeatable
	}
	return endpoint.ejected && endpoint.probes == 0 && now >= at
}

// meter is a count that fades over a span.
type meter struct {
	n    float64
	when time.Duration
}

const meterSpan = time.Second

// at is the count as it has faded by then.
func (meter *meter) at(now time.Duration) float64 {
	return meter.n * math.Exp(-(now-meter.when).Seconds()/meterSpan.Seconds())
}

// add counts one.
func (meter *meter) add(now time.Duration) { meter.n, meter.when = meter.at(now)+1, now }
