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

func newEndpoint(line Endpoint, now time.Duration) *endpoint {
	e := &endpoint{Endpoint: line, key: hash(line.Instance), slow: 1, queue: -1, observedAt: now}
	// One at a time would have a sender that starts refuse while nearly all places are free.
	e.window.Size = max(1, float64(line.Capacity)/2)
	return e
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64())
}

// failed is the share of failed calls.
func (e *endpoint) failed(now time.Duration) float64 {
	return e.fails * math.Exp(-(now-e.failsAt).Seconds()/failSpan.Seconds())
}

// judge books a call in it: 1 for a failed one, 0 for one served.
func (e *endpoint) judge(now time.Duration, bad float64) {
	old := e.failed(now)
	e.fails, e.failsAt = old+healthPer*(bad-old), now
}

// capacity is how many requests it works on at once.
func (e *endpoint) capacity() int { return max(1, cmp.Or(e.slots, e.Capacity)) }

// load is how many requests it has: ours, and those of others as told, which fade.
func (e *endpoint) load(now time.Duration) float64 {
	return float64(e.calls) + e.others*math.Exp(-(now-e.loadAt).Seconds()/loadFadeSpan.Seconds())
}

// taken is the part of its places, or of its memory, that is taken with so many more.
func (e *endpoint) taken(now time.Duration, more float64) float64 {
	load := e.load(now) + more
	part := load / float64(e.capacity())
	if e.CacheTokens > 0 {
		part = max(part, load*e.tokens/float64(e.CacheTokens))
	}
	return part
}

// cost is what one more request there costs: the part that is then taken, more where it is slow, fails or is cold.
func (e *endpoint) cost(now time.Duration) float64 { return e.taken(now, 1) * e.penalty(now) }

func (e *endpoint) penalty(now time.Duration) float64 {
	penalty := min(slowMax, max(1/slowMax, e.slow)) * (1 + failCost*e.failed(now))
	if now < e.coldUntil {
		penalty *= coldCost
	}
	return penalty
}

// room reports whether it bears one more. Those that are less urgent leave an eighth to the others.
func (e *endpoint) room(now time.Duration, priority int) bool {
	room := e.window.Room(e.capacity(), e.failed(now) > failing)
	if priority > 0 {
		room -= room / 8
	}
	if e.calls >= room || now < e.pausedUntil {
		return false
	}
	atCapacity := now-e.loadAt < loadFadeSpan/4 && e.queue >= 0 && e.waiting > 0 && e.waiting >= e.queue
	return !atCapacity || e.load(now) < float64(e.capacity()+e.queue)
}

// updateLoad takes in what it says of itself, with our calls counted as of then.
func (e *endpoint) updateLoad(now time.Duration, l Load, refused bool) {
	if l.Running < 0 || l.Waiting < 0 || l.Slots < 0 {
		return
	}
	if l.Slots > 0 {
		e.slots = l.Slots
	}
	e.others, e.waiting, e.loadAt = max(0, float64(l.Running+l.Waiting-e.calls)), l.Waiting, now
	if refused {
		if l.Slots > 0 && l.Running >= l.Slots {
			e.queue = l.Waiting
		}
		return
	}
	if e.queue >= 0 { // it holds more than it did when it refused
		e.queue = max(e.queue, l.Waiting)
	}
	// What says that it is half empty bears half.
	if slots := e.capacity(); l.Waiting == 0 && 2*l.Running < slots {
		e.window.Size = max(e.window.Size, float64(slots)/2-e.others)
	}
}

// answered notes that a part of the answer has come: from then on silence on this call is no sign of failure.
func (e *endpoint) answered(now time.Duration, c *Call) {
	e.observedAt = max(e.observedAt, now)
	e.forget(c)
}

func (e *endpoint) forget(c *Call) {
	if i := slices.Index(e.unanswered, c); i >= 0 {
		e.unanswered = slices.Delete(e.unanswered, i, i+1)
	}
}

// patience is how long a call of that route may be unanswered before it counts as silence.
func patience(o *restart.Oracle) time.Duration {
	return max(patienceMin, min(o.Optimum(), restart.FirstTimeout))
}

// watch finds silence: nothing has come from the endpoint since the oldest of some calls went out, long ago.
func (e *endpoint) watch(now time.Duration) {
	if e.ejected || len(e.unanswered) == 0 {
		return
	}
	oldest := e.unanswered[0]
	quiet, limit := now-max(oldest.sent, e.observedAt), patience(oldest.oracle)
	if quiet > limit && len(e.unanswered) >= silentCalls || quiet > silentFactor*limit {
		e.eject(now)
	}
}

// eject begins an outage, or has the next try wait longer.
func (e *endpoint) eject(now time.Duration) {
	e.ejected = true
	e.backoff = min(max(2*e.backoff, probeFirst), probeMax)
	e.probeAt = now + e.backoff
}

// restore ends it.
func (e *endpoint) restore() { e.ejected, e.bad, e.backoff = false, 0, 0 }

// due reports whether one that is out may be tried by that attempt.
func (e *endpoint) due(now time.Duration, a *Ask) bool {
	at := e.probeAt
	if !a.Repeatable {
		at += probeUnrepeatable
	}
	return e.ejected && e.probes == 0 && now >= at
}

// meter is a count that fades over a span.
type meter struct {
	n    float64
	when time.Duration
}

const meterSpan = time.Second

func (m *meter) at(now time.Duration) float64 {
	return m.n * math.Exp(-(now-m.when).Seconds()/meterSpan.Seconds())
}

func (m *meter) add(now time.Duration) { m.n, m.when = m.at(now)+1, now }
