package loadbalancer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

const (
	loadDecayTime        = 2 * time.Second  // time constant by which a reported load decays, as the calls of others end
	latencySmoothing     = 0.1              // weight of the latest call in the means of latency and tokens
	failureRateSmoothing = 0.06             // weight of the latest call in the share of failures
	failureRateDecayTime = 10 * time.Second // time constant by which that share decays, as a failing endpoint gets few calls
	failingRateThreshold = 0.3              // share of failed calls from which the window is halved
	failurePenalty       = 4.0              // added to the cost factor of an endpoint that always fails
	slowStartPenalty     = 2.0              // cost factor of an endpoint that has just started
	maxLatencyRatio      = 4.0              // bound of the cost factor of a slow endpoint
	ejectThreshold       = 4.0              // weight of consecutive failures that ejects an endpoint

	minUnresponsiveTimeout = 300 * time.Millisecond // a lost SYN is retransmitted within about so long
	minProbeBackoff        = 250 * time.Millisecond // from an ejection to the first probe; doubles with each failed one
	maxProbeBackoff        = 4 * time.Second
	maxSharedProbeBackoff  = time.Second           // of an endpoint that other senders do not probe
	nonRetryableProbeDelay = time.Second           // added before a request that can't be repeated is used as a probe
	minRejectionBackoff    = 25 * time.Millisecond // after a refusal; doubles with each consecutive one
	maxRejectionBackoff    = 500 * time.Millisecond
)

// failureWeights is how much each kind of failure counts towards an ejection.
var failureWeights = map[OutcomeKind]float64{NotSent: 2, Broken: 1.5, TimedOut: 1.5, Stalled: 1.5, Failed: 1}

// endpoint is what a sender has observed of one instance.
type endpoint struct {
	Endpoint
	nameHash            uint64 // hash of Instance, for rendezvous hashing
	listed              bool
	sameZone            bool // as the sender
	misdirected         bool // its address is now that of another instance
	window              restart.Window
	inFlight            int           // under way, of this sender
	awaitingResponse    []*Call       // of these, those without any part of an answer, oldest first
	lastSeenAt          time.Duration // when anything came from it last
	slots               int           // reported, 0 if never
	othersLoad          float64       // requests of other senders, as of loadTime
	queueLimit          int           // how many may wait, as observed at a refusal; -1 if never
	waiting             int           // as of loadTime
	loadReportedAt      time.Duration // of the last report
	latencyRatio        float64       // mean of its latencies, each over the mean of its route
	failureRateEstimate float64       // mean share of failed calls, as of failureTime
	failureRateAt       time.Duration
	meanTokens          float64 // that a request needs of the cache
	slowStartUntil      time.Duration

	reports        *Reports // of the balancer
	ejectionShared bool     // it is ejected by the word of others, and the next news of it is theirs, too

	consecutiveFailureWeight float64 // of the consecutive failures
	ejected                  bool
	probesInFlight           int           // under way
	healthCheckInFlight      bool          // one of them is a health check of the owner
	nextProbeAt              time.Duration // not before
	probeBackoff             time.Duration // from an ejection to the next probe
	rejectionBackoff         time.Duration // after the last refusal
	backoffUntil             time.Duration
}

// newEndpoint makes the record of an endpoint that is listed for the first time.
func newEndpoint(line Endpoint, now time.Duration) *endpoint {
	made := &endpoint{Endpoint: line, nameHash: hash(line.Instance), latencyRatio: 1, queueLimit: -1, lastSeenAt: now}
	// With a window of one, a sender that has just started would refuse requests while nearly all slots are free.
	made.window.Size = max(1, float64(line.Capacity)/2)
	return made
}

// hash returns a well-mixed hash of a name.
func hash(name string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(name))
	return mix(sum.Sum64())
}

// failureRate is the share of failed calls, decayed to now.
func (endpoint *endpoint) failureRate(now time.Duration) float64 {
	return endpoint.failureRateEstimate * math.Exp(-(now-endpoint.failureRateAt).Seconds()/failureRateDecayTime.Seconds())
}

// recordResult updates the share of failed calls by one call: 1 for a failed one, 0 for one served.
func (endpoint *endpoint) recordResult(now time.Duration, failed float64) {
	old := endpoint.failureRate(now)
	endpoint.failureRateEstimate, endpoint.failureRateAt = old+failureRateSmoothing*(failed-old), now
}

// capacity is how many requests the endpoint runs at once.
func (endpoint *endpoint) capacity() int { return max(1, cmp.Or(endpoint.slots, endpoint.Capacity)) }

// load is how many requests the endpoint has: those of this sender, and those of others by the last report, decayed to now.
func (endpoint *endpoint) load(now time.Duration) float64 {
	return float64(endpoint.inFlight) + endpoint.othersLoad*math.Exp(-(now-endpoint.loadReportedAt).Seconds()/loadDecayTime.Seconds())
}

// utilization is the part of the endpoint's slots, or of its cache if that is more, that is in use with so many more requests.
func (endpoint *endpoint) utilization(now time.Duration, more float64) float64 {
	load := endpoint.load(now) + more
	part := load / float64(endpoint.capacity())
	if endpoint.CacheTokens > 0 {
		part = max(part, load*endpoint.meanTokens/float64(endpoint.CacheTokens))
	}
	return part
}

// cost is what one more request there costs: the utilization with it, raised where the endpoint is slow, fails or is cold.
func (endpoint *endpoint) cost(now time.Duration) float64 {
	return endpoint.utilization(now, 1) * endpoint.penalty(now)
}

// penalty is the factor by which the cost is raised.
func (endpoint *endpoint) penalty(now time.Duration) float64 {
	penalty := min(maxLatencyRatio, max(1/maxLatencyRatio, endpoint.latencyRatio)) * (1 + failurePenalty*endpoint.failureRate(now))
	if now < endpoint.slowStartUntil {
		penalty *= slowStartPenalty
	}
	return penalty
}

// hasCapacity reports whether the endpoint may get one more request. Requests below the highest priority leave an eighth of the
// window free.
func (endpoint *endpoint) hasCapacity(now time.Duration, priority int) bool {
	room := endpoint.window.Room(endpoint.capacity(), endpoint.failureRate(now) > failingRateThreshold)
	if priority > 0 {
		room -= room / 8
	}
	if endpoint.inFlight >= room || now < endpoint.backoffUntil {
		return false
	}
	atCapacity := now-endpoint.loadReportedAt < loadDecayTime/4 && endpoint.queueLimit >= 0 && endpoint.waiting > 0 && endpoint.waiting >= endpoint.queueLimit
	return !atCapacity || endpoint.load(now) < float64(endpoint.capacity()+endpoint.queueLimit)
}

// updateLoad records a load report. Which of the reported requests are this sender's is counted by its calls now under way.
func (endpoint *endpoint) updateLoad(now time.Duration, load Load, refused bool) {
	if load.Running < 0 || load.Waiting < 0 || load.Slots < 0 {
		return
	}
	if load.Slots > 0 {
		endpoint.slots = load.Slots
	}
	endpoint.othersLoad, endpoint.waiting, endpoint.loadReportedAt = max(0, float64(load.Running+load.Waiting-endpoint.inFlight)), load.Waiting, now
	if refused {
		if load.Slots > 0 && load.Running >= load.Slots {
			endpoint.queueLimit = load.Waiting
		}
		return
	}
	if endpoint.queueLimit >= 0 { // its queue is longer than at the last refusal
		endpoint.queueLimit = max(endpoint.queueLimit, load.Waiting)
	}
	// An endpoint that reports less than half of its slots as running can take half of them.
	if slots := endpoint.capacity(); load.Waiting == 0 && 2*load.Running < slots {
		endpoint.window.Size = max(endpoint.window.Size, float64(slots)/2-endpoint.othersLoad)
	}
}

// responseStarted records that a part of a call's answer has come: from then on its call does not count as unanswered.
func (endpoint *endpoint) responseStarted(now time.Duration, call *Call) {
	endpoint.lastSeenAt = max(endpoint.lastSeenAt, now)
	endpoint.removeAwaiting(call)
}

// removeAwaiting removes a call from those without any answer.
func (endpoint *endpoint) removeAwaiting(call *Call) {
	if i := slices.Index(endpoint.awaitingResponse, call); i >= 0 {
		endpoint.awaitingResponse = slices.Delete(endpoint.awaitingResponse, i, i+1)
	}
}

// unresponsiveTimeout is how long a call may be unanswered before its endpoint counts as silent: the time-out of its route before any doubling,
// whether or not the call itself may be restarted.
func (call *Call) unresponsiveTimeout() time.Duration {
	return unresponsiveTimeout(call.oracle, call.initialTimeout)
}

// unresponsiveTimeout is the same for a route whose time-out is first while few samples are known. For a stream it is never less than that: its
// first piece may wait for a place at an endpoint that is sound, and how long others have waited in a calm time tells nothing of it.
func unresponsiveTimeout(oracle *restart.Oracle, first time.Duration) time.Duration {
	return max(minUnresponsiveTimeout, first, min(optimalTimeout(oracle, first), restart.FirstTimeout))
}

// ejectUnresponsive ejects the endpoints that are silent, as long as that leaves half of them: where most do not answer in time, they are
// overloaded or the sender's own links are at fault, and to be without them would make it worse.
func (service *service) ejectUnresponsive(now time.Duration) {
	for _, endpoint := range service.endpoints {
		if endpoint.unresponsive(now) && service.mayEject() {
			endpoint.ejectAndReport(now)
		}
	}
}

// mayEject reports whether one more endpoint may be ejected with half of them left.
func (service *service) mayEject() bool {
	ejected := 0
	for _, endpoint := range service.endpoints {
		if endpoint.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(service.endpoints)
}

// unresponsive reports whether the endpoint, which is not ejected, is silent: nothing has come from it since the oldest unanswered call was sent,
// for longer than the patience. One call is enough: a sender of many has few calls at any one endpoint, other endpoints are at hand,
// and the first piece of an answer restores it.
func (endpoint *endpoint) unresponsive(now time.Duration) bool {
	if endpoint.ejected || len(endpoint.awaitingResponse) == 0 {
		return false
	}
	oldest := endpoint.awaitingResponse[0]
	return now-max(oldest.sentAt, endpoint.lastSeenAt) > oldest.unresponsiveTimeout()
}

// ejectAndReport takes the endpoint out by what was observed here.
func (endpoint *endpoint) ejectAndReport(now time.Duration) {
	endpoint.eject(now)
	endpoint.reports.Ejected = append(endpoint.reports.Ejected, endpoint.Instance)
}

// eject takes the endpoint out of the choice until a probe is served. If it is out already, the next probe waits longer.
func (endpoint *endpoint) eject(now time.Duration) {
	endpoint.ejected = true
	longest := maxProbeBackoff
	if endpoint.ejectionShared { // others wait for what the probe finds
		longest = maxSharedProbeBackoff
	}
	endpoint.probeBackoff = min(max(2*endpoint.probeBackoff, minProbeBackoff), longest)
	endpoint.nextProbeAt = now + endpoint.probeBackoff
}

// restore ends an ejection.
func (endpoint *endpoint) restore() {
	if endpoint.ejected && endpoint.ejectionShared {
		endpoint.ejectionShared = false
		endpoint.reports.Restored = append(endpoint.reports.Restored, endpoint.Instance)
	}
	endpoint.ejected, endpoint.consecutiveFailureWeight, endpoint.probeBackoff = false, 0, 0
}

// probeDue reports whether the endpoint is ejected and an attempt may now be sent there as a probe.
func (endpoint *endpoint) probeDue(now time.Duration, ask *Request) bool {
	due := endpoint.nextProbeAt
	if !ask.Retryable {
		due += nonRetryableProbeDelay
	}
	return endpoint.ejected && endpoint.probesInFlight == 0 && now >= due
}

// rateDecayTime is the time constant of a rateMeter.
const rateDecayTime = time.Second

// rateMeter counts events, each with a weight that decays over rateSpan.
type rateMeter struct {
	count     float64
	countedAt time.Duration
}

// decayed is the count as of now.
func (meter *rateMeter) decayed(now time.Duration) float64 {
	return meter.count * math.Exp(-(now-meter.countedAt).Seconds()/rateDecayTime.Seconds())
}

// add counts one event.
func (meter *rateMeter) add(now time.Duration) {
	meter.count, meter.countedAt = meter.decayed(now)+1, now
}
