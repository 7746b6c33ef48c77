package loadbalancer

import (
	"math"
	"slices"
)

const (
	boundedLoadFactor = 1.25 // an endpoint is selected for its cache up to this multiple of the mean cost,
	boundedLoadMargin = 2.0  // or up to this many requests above the mean: with few in flight, chance alone exceeds the factor
	stickyCostFactor  = 1.5  // the sticky endpoint is selected up to this multiple of the mean cost,
	stickyCostMargin  = 6.0  // or up to this many requests above the mean, plus the cost of displaced prefixes
	zoneCostFactor    = 1.5  // the sender's zone is preferred up to this multiple of the lowest cost in other zones,
	zoneCostMargin    = 3.0  // plus this many requests
)

// selectionPolicy is one way to select an endpoint.
type selectionPolicy interface {
	// Select returns an endpoint for the attempt, or nil if the policy has none.
	Select(pick *pick) *endpoint
}

// policies are all policies, in the order in which Pick tries them.
var policies = []selectionPolicy{probePolicy{}, unattemptedPolicy{}, retryPolicy{}, allEjectedPolicy{}}

// probePolicy selects an ejected endpoint that is due to be probed, for a first attempt. A retryable request must leave time for
// another attempt if the probe fails.
type probePolicy struct{}

// Select implements selectionPolicy.
func (probePolicy) Select(pick *pick) *endpoint {
	request := pick.request
	if !request.FirstAttempt || request.Remaining <= 2*unresponsiveTimeout(pick.oracle, request.InitialTimeout) && request.Retryable {
		return nil
	}
	for endpoint := range pick.endpoints() {
		if pick.accepts(endpoint) && endpoint.probeDue(pick.now, request) && pick.now >= endpoint.backoffUntil &&
			!slices.Contains(request.AttemptedInstances, endpoint.Instance) {
			return endpoint
		}
	}
	return nil
}

// unattemptedPolicy selects a healthy endpoint with capacity that the request was not sent to yet.
type unattemptedPolicy struct{}

// Select implements selectionPolicy.
func (unattemptedPolicy) Select(pick *pick) *endpoint {
	return pick.selectHealthy(0)
}

// retryPolicy selects a healthy endpoint with capacity that the request was sent to at most once. A second attempt there may succeed:
// the endpoint's window may have opened since the first one, or the first one may have failed only because a connection was lost.
type retryPolicy struct{}

// Select implements selectionPolicy.
func (retryPolicy) Select(pick *pick) *endpoint {
	if len(pick.request.AttemptedInstances) == 0 {
		return nil
	}
	return pick.selectHealthy(1)
}

// allEjectedPolicy selects the endpoint that is most likely to be healthy if all are ejected.
type allEjectedPolicy struct{}

// Select implements selectionPolicy.
func (allEjectedPolicy) Select(pick *pick) *endpoint {
	var best *endpoint
	for endpoint := range pick.endpoints() {
		if !endpoint.ejected && pick.accepts(endpoint) {
			return nil // a healthy endpoint is at its limit, and will have capacity soon
		}
		if !pick.accepts(endpoint) || !endpoint.hasCapacity(pick.now, pick.request.Priority) || pick.attempts(endpoint) > 1 {
			continue
		}
		if best == nil || pick.preferable(endpoint, best) {
			best = endpoint
		}
	}
	return best
}

// preferable reports whether the first of two ejected endpoints is preferred to the second. The criteria are, in this order: fewer
// attempts of the request, less than half as many calls in flight, a lower weight of consecutive failures, a later last response.
func (pick *pick) preferable(endpoint, other *endpoint) bool {
	if attempts, otherAttempts := pick.attempts(endpoint), pick.attempts(other); attempts != otherAttempts {
		return attempts < otherAttempts
	}
	if endpoint.inFlight != other.inFlight && max(endpoint.inFlight, other.inFlight) > 2*min(endpoint.inFlight, other.inFlight) {
		return endpoint.inFlight < other.inFlight
	}
	if endpoint.consecutiveFailureWeight != other.consecutiveFailureWeight {
		return endpoint.consecutiveFailureWeight < other.consecutiveFailureWeight
	}
	return endpoint.lastSeenAt > other.lastSeenAt
}

// selectHealthy selects one of the healthy endpoints with capacity that the request was sent to at most maxAttempts times, or nil. It
// prefers the sticky endpoint. Otherwise it selects in the sender's zone, unless that is notably more loaded than others, by
// rendezvous hashing if requests share a cache, else by lowest cost.
func (pick *pick) selectHealthy(maxAttempts int) *endpoint {
	candidates := &candidates{pick: pick, maxAttempts: maxAttempts, local: zoneCandidates{sameZone: true}}
	for endpoint := range pick.endpoints() {
		if candidates.eligible(endpoint) {
			candidates.add(endpoint)
		}
	}
	for _, policy := range candidatePolicies {
		if endpoint := policy.Select(candidates); endpoint != nil {
			return endpoint
		}
	}
	return nil
}

// candidatePolicy is one way to select one of the candidates.
type candidatePolicy interface {
	// Select returns one of the candidates, or nil if the policy has none.
	Select(candidates *candidates) *endpoint
}

// candidatePolicies are all policies, in the order in which selectHealthy tries them.
var candidatePolicies = []candidatePolicy{stickyPolicy{}, affinityPolicy{}, leastCostPolicy{}}

// candidates are the endpoints that a request may go to.
type candidates struct {
	pick          *pick
	maxAttempts   int            // how often the request may have been sent to a candidate before
	local, remote zoneCandidates // in the sender's zone, and in others
}

// eligible reports whether the request may go to an endpoint.
func (candidates *candidates) eligible(endpoint *endpoint) bool {
	pick := candidates.pick
	return !endpoint.ejected && pick.accepts(endpoint) && pick.attempts(endpoint) <= candidates.maxAttempts &&
		endpoint.hasCapacity(pick.now, pick.request.Priority)
}

// add adds an eligible endpoint.
func (candidates *candidates) add(endpoint *endpoint) {
	zone := &candidates.remote
	if endpoint.sameZone {
		zone = &candidates.local
	}
	zone.add(endpoint, endpoint.cost(candidates.pick.now))
}

// preferredZone returns the candidates of the sender's zone, or those of the other zones if it has none or is notably more loaded. It
// returns nil if there is no candidate.
func (candidates *candidates) preferredZone() *zoneCandidates {
	local, remote := &candidates.local, &candidates.remote
	switch {
	case local.count == 0 && remote.count == 0:
		return nil
	case remote.count == 0:
		return local
	case local.count == 0:
		return remote
	case local.lowestCost <= zoneCostFactor*remote.lowestCost+zoneCostMargin/float64(local.cheapest.capacity()):
		return local
	default:
		return remote
	}
}

// zoneCandidates sums up the candidates in the sender's zone, or those in all other zones.
type zoneCandidates struct {
	sameZone   bool
	count      int
	totalCost  float64
	cheapest   *endpoint
	lowestCost float64 // that of the cheapest
}

// add adds a candidate with its cost.
func (zone *zoneCandidates) add(endpoint *endpoint, cost float64) {
	zone.count++
	zone.totalCost += cost
	if zone.cheapest == nil || cost < zone.lowestCost {
		zone.cheapest, zone.lowestCost = endpoint, cost
	}
}

// meanCost is the mean cost of the candidates, 0 if there are none.
func (zone *zoneCandidates) meanCost() float64 {
	return zone.totalCost / float64(max(1, zone.count))
}

// stickyPolicy selects the endpoint that ran the preceding request, unless it is notably more loaded than the others. Another endpoint
// would have to prefill the prompt that this one has cached.
type stickyPolicy struct{}

// Select implements candidatePolicy.
func (stickyPolicy) Select(candidates *candidates) *endpoint {
	pick := candidates.pick
	instance := pick.request.StickyInstance
	endpoint := pick.balancer.endpoints[instance]
	if instance == "" || endpoint == nil || !endpoint.listed || endpoint.Draining || endpoint.Service != pick.request.Service || !candidates.eligible(endpoint) {
		return nil
	}
	local, remote := &candidates.local, &candidates.remote
	mean := (local.totalCost + remote.totalCost) / float64(max(1, local.count+remote.count))
	// A session that moves is prefilled again and evicts cached prefixes of other sessions. The more of the caches is in use, the more
	// likely that is.
	displaced := mean * min(1, mean)
	if endpoint.cost(pick.now) > max(stickyCostFactor*mean, mean+displaced+stickyCostMargin/float64(endpoint.capacity())) {
		return nil
	}
	return endpoint
}

// affinityPolicy selects the same endpoint for all requests that share a cache, in the preferred zone: the one with the highest
// weight for their key (weighted rendezvous hashing, Thaler and Ravishankar 1998) among those whose cost is within bounds of the
// mean (bounded loads, Mirrokni et al. 2018). An endpoint that is added or removed moves only its own keys.
type affinityPolicy struct{}

// Select implements candidatePolicy.
func (affinityPolicy) Select(candidates *candidates) *endpoint {
	pick, zone := candidates.pick, candidates.preferredZone()
	key, found := affinityKey(pick.request)
	if zone == nil || !found || pick.request.StickyInstance != "" {
		return nil
	}
	mean := zone.meanCost()
	var best *endpoint
	highest := 0.0
	for _, endpoint := range pick.service.endpoints {
		if endpoint.sameZone != zone.sameZone || !candidates.eligible(endpoint) ||
			endpoint.cost(pick.now) > max(boundedLoadFactor*mean, mean+boundedLoadMargin/float64(endpoint.capacity())) {
			continue
		}
		unit := (float64(mix(key^endpoint.nameHash)>>11) + 0.5) / (1 << 53)
		if weight := float64(endpoint.capacity()) / -math.Log(unit); weight > highest {
			best, highest = endpoint, weight
		}
	}
	return best
}

// affinityKey returns the key of the requests that share a cache with the given one; ok is false if it has none.
func affinityKey(request *Request) (key uint64, ok bool) {
	if request.AffinityKey != "" {
		return hash(request.AffinityKey), true
	}
	if n := len(request.PromptPrefixes); n > 0 {
		return hash(request.PromptPrefixes[n-1]), true
	}
	return 0, false
}

// leastCostPolicy selects the cheapest endpoint of the preferred zone.
type leastCostPolicy struct{}

// Select implements candidatePolicy.
func (leastCostPolicy) Select(candidates *candidates) *endpoint {
	if zone := candidates.preferredZone(); zone != nil {
		return zone.cheapest
	}
	return nil
}
