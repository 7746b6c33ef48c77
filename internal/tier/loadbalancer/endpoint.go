package loadbalancer

import (
	"cmp"
	"math"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

const (
	loadDecayTime        = 2 * time.Second  // time constant of the decay of a reported load, as the calls of other senders end
	latencySmoothing     = 0.1              // weight of the latest call in the means of latency and tokens
	failureRateSmoothing = 0.06             // weight of the latest call in the failure rate
	failureRateDecayTime = 10 * time.Second // time constant of the decay of that rate, as a failing endpoint gets few calls
	failingRateThreshold = 0.3              // failure rate above which the maximum of the window is halved
	failurePenalty       = 4.0              // added to the cost factor of an endpoint that always fails
	slowStartPenalty     = 2.0              // cost factor of an endpoint in its slow start
	maxLatencyRatio      = 4.0              // bound of the cost factor of a slow endpoint
)

// endpoint is one instance with the sender's observations of it.
type endpoint struct {
	Endpoint
	nameHash            uint64 // hash of Instance, for rendezvous hashing
	listed              bool
	sameZone            bool // as the sender
	misdirected         bool // its address is now that of another instance
	window              restart.Window
	inFlight            int           // calls of this sender
	awaitingResponse    []*Call       // calls in flight that have received no part of a response, oldest first
	lastSeenAt          time.Duration // when anything was last received from it
	slots               int           // reported; 0: never
	othersLoad          float64       // requests of other senders, as of loadReportedAt
	queueLimit          int           // length of its queue at a rejection for lack of slots, or the longest since; -1: not observed
	waiting             int           // requests in its queue, as of loadReportedAt
	loadReportedAt      time.Duration // of the last report
	latencyRatio        float64       // moving mean of its latencies, each divided by the mean of its route
	failureRateEstimate float64       // moving mean of failed calls (1) and served ones (0), as of failureRateAt
	failureRateAt       time.Duration
	meanTokens          float64 // moving mean of the cache tokens that a request needs
	slowStartUntil      time.Duration

	reports        *Reports // of the balancer
	ejectionShared bool     // other senders have reported its ejection; its restoration must be reported to them

	consecutiveFailureWeight float64 // sum of the weights of the consecutive failures
	ejected                  bool
	probesInFlight           int
	healthCheckInFlight      bool          // one of these probes is a health check of the owner
	nextProbeAt              time.Duration // earliest time of the next probe
	probeBackoff             time.Duration // from an ejection to the next probe
	rejectionBackoff         time.Duration // after the last rejection; doubles with each
	backoffUntil             time.Duration // no calls before this time, after a rejection
}

// newEndpoint returns an endpoint that is listed for the first time.
func newEndpoint(entry Endpoint, now time.Duration) *endpoint {
	made := &endpoint{Endpoint: entry, nameHash: hash(entry.Instance), latencyRatio: 1, queueLimit: -1, lastSeenAt: now}
	// With a window of one, a sender that has just started would reject requests while nearly all slots are free.
	made.window.Size = max(1, float64(entry.Capacity)/2)
	return made
}

// failureRate is the failure rate, 0 to 1, decayed to now.
func (endpoint *endpoint) failureRate(now time.Duration) float64 {
	return endpoint.failureRateEstimate * math.Exp(-(now-endpoint.failureRateAt).Seconds()/failureRateDecayTime.Seconds())
}

// recordResult updates the failure rate by one call: 1 for a failed one, 0 for one served.
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

// utilization is the fraction of the endpoint's slots that is in use with the given number of additional requests, or the fraction
// of its cache if that is greater.
func (endpoint *endpoint) utilization(now time.Duration, more float64) float64 {
	load := endpoint.load(now) + more
	part := load / float64(endpoint.capacity())
	if endpoint.CacheTokens > 0 {
		part = max(part, load*endpoint.meanTokens/float64(endpoint.CacheTokens))
	}
	return part
}

// cost is the cost of one more request at the endpoint: the utilization with that request, times the penalty.
func (endpoint *endpoint) cost(now time.Duration) float64 {
	return endpoint.utilization(now, 1) * endpoint.penalty(now)
}

// penalty is the factor of the cost for an endpoint that is slow, fails or is in its slow start.
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
	available := endpoint.window.Limit(endpoint.capacity(), endpoint.failureRate(now) > failingRateThreshold)
	if priority > 0 {
		available -= available / 8
	}
	if endpoint.inFlight >= available || now < endpoint.backoffUntil {
		return false
	}
	atCapacity := now-endpoint.loadReportedAt < loadDecayTime/4 && endpoint.queueLimit >= 0 && endpoint.waiting > 0 && endpoint.waiting >= endpoint.queueLimit
	return !atCapacity || endpoint.load(now) < float64(endpoint.capacity()+endpoint.queueLimit)
}

// addCall counts a call as in flight. tokens is the number of cache tokens that it needs; 0: unknown.
func (endpoint *endpoint) addCall(call *Call, tokens int64) {
	endpoint.inFlight++
	endpoint.awaitingResponse = append(endpoint.awaitingResponse, call)
	if tokens <= 0 {
		return
	}
	if endpoint.meanTokens == 0 {
		endpoint.meanTokens = float64(tokens)
	}
	endpoint.meanTokens += latencySmoothing * (float64(tokens) - endpoint.meanTokens)
}

// updateLoad records a load report. The reported requests beyond this sender's calls now in flight count as those of other senders.
func (endpoint *endpoint) updateLoad(now time.Duration, load Load, rejected bool) {
	if load.Running < 0 || load.Waiting < 0 || load.Slots < 0 {
		return
	}
	if load.Slots > 0 {
		endpoint.slots = load.Slots
	}
	endpoint.othersLoad, endpoint.waiting, endpoint.loadReportedAt = max(0, float64(load.Running+load.Waiting-endpoint.inFlight)), load.Waiting, now
	if rejected {
		if load.Slots > 0 && load.Running >= load.Slots {
			endpoint.queueLimit = load.Waiting
		}
		return
	}
	if endpoint.queueLimit >= 0 { // the queue has room for at least the requests reported as waiting
		endpoint.queueLimit = max(endpoint.queueLimit, load.Waiting)
	}
	// An endpoint that reports less than half of its slots as running can take half of them.
	if slots := endpoint.capacity(); load.Waiting == 0 && 2*load.Running < slots {
		endpoint.window.Size = max(endpoint.window.Size, float64(slots)/2-endpoint.othersLoad)
	}
}
