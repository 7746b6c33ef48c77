package loadbalancer

import (
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

const (
	boundedLoadFactor          = 1.25 // bound of the load of an endpoint chosen for its cache, times the mean, and
	boundedLoadMargin          = 2.0  // requests over the mean: where few are under way, chance alone exceeds the factor
	stickyCostFactor           = 1.5  // bound of the cost of a home endpoint, times the mean, and
	stickyCostMargin           = 6.0  // requests over the mean
	zoneCostFactor             = 1.5  // bound of the lowest cost in the sender's zone, times the lowest in other zones, and
	zoneCostMargin             = 3.0  // requests over that
	retryAfterCallFraction     = 0.25 // part of the time of a call after which there may be room
	minRetryAfter              = 20 * time.Millisecond
	maxRetryAfter              = 2 * time.Second
	retryAfterRemainingDivisor = 3 // a client is asked to wait for up to this part of its time left
)

// Pick decides on one attempt. Where the verdict is Send, the call counts as under way until Done.
func (balancer *Balancer) Pick(now time.Duration, ask Request) Selection {
	oracle := balancer.routeOracle(ask.Route)
	if ask.Remaining <= 0 || oracle.Seen > 0 && ask.Remaining < oracle.Quickest {
		return Selection{Decision: DeadlineTooShort}
	}
	listed := balancer.services[ask.Service]
	if listed == nil {
		return Selection{Decision: NoEndpoint, RetryAfter: balancer.retryAfter(now, &service{}, &ask)}
	}
	balancer.rotation++
	accepted := false
	listed.ejectUnresponsive(now)
	for _, endpoint := range listed.endpoints {
		accepted = accepted || endpoint.accepts(&ask)
	}
	if !accepted {
		return Selection{Decision: NoEndpoint, RetryAfter: balancer.retryAfter(now, listed, &ask)}
	}
	endpoint := balancer.findEndpoint(now, listed, &ask, oracle)
	if endpoint == nil {
		return Selection{Decision: AtCapacity, RetryAfter: balancer.retryAfter(now, listed, &ask)}
	}
	return balancer.startCall(now, listed, endpoint, &ask, oracle)
}

// startCall counts an attempt as under way. Its time-out is the oracle's where it may be restarted then, else the time left.
func (balancer *Balancer) startCall(now time.Duration, service *service, endpoint *endpoint, ask *Request, oracle *restart.Oracle) Selection {
	call := &Call{endpoint: endpoint, oracle: oracle, gapOracle: oracleOf(balancer.gapOracles, ask.Route), service: service, sentAt: now, runsToDeadline: true, probe: endpoint.ejected,
		initialTimeout: ask.InitialTimeout}
	choice := Selection{Instance: endpoint.Instance, Address: endpoint.Address, Timeout: ask.Remaining, Call: call}
	if ask.FirstAttempt {
		call.sampleWeight = 1
	}
	timeout := attemptTimeout(oracle, ask.InitialTimeout)
	if call.probe {
		timeout = max(minUnresponsiveTimeout, optimalTimeout(oracle, ask.InitialTimeout)) // a doubled time-out would leave an outage undetected
		endpoint.probesInFlight++
	}
	if ask.Retryable && timeout < ask.Remaining {
		if ask.FirstAttempt && !call.probe && balancer.draw(restart.ExploreIn) == 0 {
			call.sampleWeight, choice.Exploratory = restart.ExploreWeight, true
		} else {
			choice.Timeout, call.runsToDeadline = timeout, false
		}
	}
	endpoint.inFlight++
	endpoint.awaitingResponse = append(endpoint.awaitingResponse, call)
	if ask.CacheTokens > 0 {
		if endpoint.meanTokens == 0 {
			endpoint.meanTokens = float64(ask.CacheTokens)
		}
		endpoint.meanTokens += latencySmoothing * (float64(ask.CacheTokens) - endpoint.meanTokens)
	}
	return choice
}

// accepts reports whether a request may be sent to the endpoint at all.
func (endpoint *endpoint) accepts(ask *Request) bool {
	return !endpoint.misdirected && (endpoint.CacheTokens == 0 || ask.CacheTokens <= endpoint.CacheTokens)
}

// occurrences counts a name in a list.
func occurrences(list []string, name string) (count int) {
	for _, entry := range list {
		if entry == name {
			count++
		}
	}
	return count
}

// findEndpoint chooses an endpoint, or nil if all are full: an ejected one that is due to be probed, else a healthy one that
// was not tried yet, else a healthy one to retry, else, if all are ejected, the preferable one of these.
func (balancer *Balancer) findEndpoint(now time.Duration, service *service, ask *Request, oracle *restart.Oracle) *endpoint {
	if endpoint := balancer.findProbe(now, service, ask, oracle); endpoint != nil {
		return endpoint
	}
	if endpoint := balancer.findHealthy(now, service, ask); endpoint != nil {
		return endpoint
	}
	for _, endpoint := range service.endpoints {
		if !endpoint.ejected && endpoint.accepts(ask) { // a healthy one is full, and soon has room
			return nil
		}
	}
	return balancer.findEjected(now, service, ask)
}

// findProbe returns an ejected endpoint that is due to be probed, where the attempt leaves time for another one if it fails.
func (balancer *Balancer) findProbe(now time.Duration, service *service, ask *Request, oracle *restart.Oracle) *endpoint {
	if !ask.FirstAttempt || ask.Remaining <= 2*unresponsiveTimeout(oracle, ask.InitialTimeout) && ask.Retryable {
		return nil
	}
	for i := range service.endpoints {
		endpoint := service.endpoints[(i+balancer.rotation)%len(service.endpoints)]
		if endpoint.accepts(ask) && endpoint.probeDue(now, ask) && now >= endpoint.backoffUntil && !slices.Contains(ask.AttemptedInstances, endpoint.Instance) {
			return endpoint
		}
	}
	return nil
}

// findHealthy returns an endpoint that has room and was not tried yet, else one that was tried once: its window may have
// opened since, or only a connection was lost.
func (balancer *Balancer) findHealthy(now time.Duration, service *service, ask *Request) *endpoint {
	fresh := func(endpoint *endpoint) bool {
		return !endpoint.ejected && endpoint.accepts(ask) && !slices.Contains(ask.AttemptedInstances, endpoint.Instance) && endpoint.hasCapacity(now, ask.Priority)
	}
	if endpoint := balancer.choose(now, service, ask, fresh); endpoint != nil {
		return endpoint
	}
	if len(ask.AttemptedInstances) == 0 {
		return nil
	}
	retry := func(endpoint *endpoint) bool {
		return !endpoint.ejected && endpoint.accepts(ask) && occurrences(ask.AttemptedInstances, endpoint.Instance) < 2 && endpoint.hasCapacity(now, ask.Priority)
	}
	return balancer.choose(now, service, ask, retry)
}

// findEjected returns the preferable one of the endpoints where all are ejected.
func (balancer *Balancer) findEjected(now time.Duration, service *service, ask *Request) *endpoint {
	var best *endpoint
	for i := range service.endpoints {
		endpoint := service.endpoints[(i+balancer.rotation)%len(service.endpoints)]
		if !endpoint.accepts(ask) || !endpoint.hasCapacity(now, ask.Priority) || occurrences(ask.AttemptedInstances, endpoint.Instance) > 1 {
			continue
		}
		if best == nil || endpoint.preferable(best, ask) {
			best = endpoint
		}
	}
	return best
}

// preferable reports whether, of two ejected endpoints, the first is to be preferred: the one that this request tried less
// often, that has notably fewer calls, that failed less, that answered last.
func (endpoint *endpoint) preferable(other *endpoint, ask *Request) bool {
	if tried, otherTried := occurrences(ask.AttemptedInstances, endpoint.Instance), occurrences(ask.AttemptedInstances, other.Instance); tried != otherTried {
		return tried < otherTried
	}
	if endpoint.inFlight != other.inFlight && max(endpoint.inFlight, other.inFlight) > 2*min(endpoint.inFlight, other.inFlight) {
		return endpoint.inFlight < other.inFlight
	}
	if endpoint.consecutiveFailureWeight != other.consecutiveFailureWeight {
		return endpoint.consecutiveFailureWeight < other.consecutiveFailureWeight
	}
	return endpoint.lastSeenAt > other.lastSeenAt
}

// candidates sums up the endpoints that a choice is made from.
type candidates struct {
	count      int
	totalCost  float64
	cheapest   *endpoint
	lowestCost float64 // that of the cheapest
}

// add takes an endpoint in.
func (candidates *candidates) add(endpoint *endpoint, cost float64) {
	candidates.count++
	candidates.totalCost += cost
	if candidates.cheapest == nil || cost < candidates.lowestCost {
		candidates.cheapest, candidates.lowestCost = endpoint, cost
	}
}

// meanCost is 0 where there is no candidate.
func (candidates *candidates) meanCost() float64 {
	return candidates.totalCost / float64(max(1, candidates.count))
}

// choose picks one of the endpoints that are allowed, or nil: the home endpoint if there is one, else one in the sender's zone
// unless that is notably more loaded than others, by rendezvous hashing where requests share a cache, and else the cheapest.
func (balancer *Balancer) choose(now time.Duration, service *service, ask *Request, allowed func(*endpoint) bool) *endpoint {
	var own, far candidates
	for i := range service.endpoints {
		endpoint := service.endpoints[(i+balancer.rotation)%len(service.endpoints)]
		if !allowed(endpoint) {
			continue
		}
		if endpoint.sameZone {
			own.add(endpoint, endpoint.cost(now))
		} else {
			far.add(endpoint, endpoint.cost(now))
		}
	}
	if endpoint := balancer.homeEndpoint(now, ask, allowed, &own, &far); endpoint != nil {
		return endpoint
	}
	switch {
	case own.count == 0 && far.count == 0:
		return nil
	case far.count == 0:
		return balancer.chooseWithin(now, service, ask, allowed, &own, true)
	case own.count == 0:
		return balancer.chooseWithin(now, service, ask, allowed, &far, false)
	}
	if own.lowestCost <= zoneCostFactor*far.lowestCost+zoneCostMargin/float64(own.cheapest.capacity()) {
		return balancer.chooseWithin(now, service, ask, allowed, &own, true)
	}
	return balancer.chooseWithin(now, service, ask, allowed, &far, false)
}

// homeEndpoint is the endpoint that ran the request before this one, or nil if it is notably more loaded than the others. What
// it holds in its cache would have to be prefilled elsewhere.
func (balancer *Balancer) homeEndpoint(now time.Duration, ask *Request, allowed func(*endpoint) bool, own, far *candidates) *endpoint {
	endpoint := balancer.endpoints[ask.StickyInstance]
	if ask.StickyInstance == "" || endpoint == nil || !endpoint.listed || endpoint.Draining || endpoint.Service != ask.Service || !allowed(endpoint) {
		return nil
	}
	mean := (own.totalCost + far.totalCost) / float64(max(1, own.count+far.count))
	// A session that moves is prefilled again and evicts what others have cached there: the likelier, the more is in use.
	displaced := mean * min(1, mean)
	if endpoint.cost(now) > max(stickyCostFactor*mean, mean+displaced+stickyCostMargin/float64(endpoint.capacity())) {
		return nil
	}
	return endpoint
}

// chooseWithin picks one of the candidates, which are those in the sender's zone, or those outside it.
func (balancer *Balancer) chooseWithin(now time.Duration, service *service, ask *Request, allowed func(*endpoint) bool, candidates *candidates, sameZone bool) *endpoint {
	if key, found := affinityKey(ask); found && ask.StickyInstance == "" {
		if endpoint := balancer.rendezvous(now, service, key, allowed, sameZone, candidates.meanCost()); endpoint != nil {
			return endpoint
		}
	}
	return candidates.cheapest
}

// affinityKey is the key of the requests that share a cache with this one, if there is one.
func affinityKey(ask *Request) (key uint64, ok bool) {
	if ask.AffinityKey != "" {
		return hash(ask.AffinityKey), true
	}
	if n := len(ask.PromptPrefixes); n > 0 {
		return hash(ask.PromptPrefixes[n-1]), true
	}
	return 0, false
}

// rendezvous is the endpoint with the highest weight for the key (highest random weight hashing, by capacity), of those in
// the sender's zone or of those outside it whose cost is within bounds of the mean. Nil if there is none. An endpoint that
// is added or removed moves only its own keys.
func (balancer *Balancer) rendezvous(now time.Duration, service *service, key uint64, allowed func(*endpoint) bool, sameZone bool, mean float64) *endpoint {
	var best *endpoint
	highest := 0.0
	for _, endpoint := range service.endpoints {
		if endpoint.sameZone != sameZone || !allowed(endpoint) || endpoint.cost(now) > max(boundedLoadFactor*mean, mean+boundedLoadMargin/float64(endpoint.capacity())) {
			continue
		}
		unit := (float64(mix(key^endpoint.nameHash)>>11) + 0.5) / (1 << 53)
		if weight := float64(endpoint.capacity()) / -math.Log(unit); weight > highest {
			best, highest = endpoint, weight
		}
	}
	return best
}

// retryAfter is after how long there may be room: a part of the time that a call takes, by Little's law from the calls under
// way and the rate of those served, with jitter so that requests refused together are not retried together. It is kept
// within the target latency, so that the retry may be in time, and within a part of the time left.
func (balancer *Balancer) retryAfter(now time.Duration, service *service, ask *Request) time.Duration {
	calls, paused := 0, maxRetryAfter
	for _, endpoint := range service.endpoints {
		calls += endpoint.inFlight
		paused = min(paused, max(0, endpoint.backoffUntil-now))
	}
	callSeconds := float64(calls) / max(service.servedRate.decayed(now)/rateDecayTime.Seconds(), 1)
	wait := time.Duration(callSeconds * retryAfterCallFraction * float64(time.Second))
	if len(service.endpoints) > 0 {
		wait = max(wait, paused)
	}
	wait = wait/2 + time.Duration(balancer.draw(uint64(wait)+1))
	limit := min(maxRetryAfter, ask.Remaining/retryAfterRemainingDivisor)
	if ask.LatencyTarget > 0 {
		limit = min(limit, ask.LatencyTarget)
	}
	return max(min(wait, limit), minRetryAfter)
}
