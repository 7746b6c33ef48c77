package loadbalancer

import (
	"iter"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// Pick decides whether one attempt is sent, and to which endpoint. If the decision is Send, the call counts as in flight until Done.
func (balancer *Balancer) Pick(now time.Duration, request Request) Selection {
	oracle := balancer.routeOracle(request.Route)
	if request.Remaining <= 0 || oracle.Samples > 0 && request.Remaining < oracle.MinLatency {
		return Selection{Decision: DeadlineTooShort}
	}
	listed := balancer.services[request.Service]
	if listed == nil {
		return Selection{Decision: NoEndpoint, RetryAfter: balancer.retryAfter(now, &service{}, &request)}
	}
	balancer.rotation++
	listed.ejectUnresponsive(now)
	pick := &pick{balancer: balancer, now: now, service: listed, request: &request, oracle: oracle}
	if !slices.ContainsFunc(listed.endpoints, pick.accepts) {
		return Selection{Decision: NoEndpoint, RetryAfter: balancer.retryAfter(now, listed, &request)}
	}
	for _, policy := range policies {
		if endpoint := policy.Select(pick); endpoint != nil {
			return pick.startCall(endpoint)
		}
	}
	return Selection{Decision: AtCapacity, RetryAfter: balancer.retryAfter(now, listed, &request)}
}

// pick is the selection of an endpoint for one attempt.
type pick struct {
	balancer *Balancer
	now      time.Duration
	service  *service // that of the request
	request  *Request
	oracle   *restart.Oracle // of the request's route
}

// endpoints iterates over the endpoints of the service. Each pick begins with another one, so that endpoints of equal cost are selected
// in turn.
func (pick *pick) endpoints() iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		all := pick.service.endpoints
		for i := range all {
			if !yield(all[(i+pick.balancer.rotation)%len(all)]) {
				return
			}
		}
	}
}

// accepts reports whether an endpoint is the instance that it is listed as, and its cache is large enough for the request.
func (pick *pick) accepts(endpoint *endpoint) bool {
	return !endpoint.misdirected && (endpoint.CacheTokens == 0 || pick.request.CacheTokens <= endpoint.CacheTokens)
}

// attempts is the number of entries of an endpoint in AttemptedInstances.
func (pick *pick) attempts(endpoint *endpoint) (count int) {
	for _, instance := range pick.request.AttemptedInstances {
		if instance == endpoint.Instance {
			count++
		}
	}
	return count
}

// startCall counts the attempt as in flight at an endpoint. Its time-out is that of the oracle if the request may be retried, else the
// remaining time.
func (pick *pick) startCall(endpoint *endpoint) Selection {
	request, oracle, balancer := pick.request, pick.oracle, pick.balancer
	call := &Call{endpoint: endpoint, oracle: oracle, gapOracle: oracleOf(balancer.gapOracles, request.Route), service: pick.service, sentAt: pick.now,
		runsToDeadline: true, probe: endpoint.ejected, initialTimeout: request.InitialTimeout}
	selection := Selection{Instance: endpoint.Instance, Address: endpoint.Address, Timeout: request.Remaining, Call: call}
	if request.FirstAttempt {
		call.sampleWeight = 1
	}
	timeout := attemptTimeout(oracle, request.InitialTimeout)
	if call.probe {
		timeout = max(minUnresponsiveTimeout, optimalTimeout(oracle, request.InitialTimeout)) // a doubled time-out would leave an outage undetected
		endpoint.probesInFlight++
	}
	if request.Retryable && timeout < request.Remaining {
		if request.FirstAttempt && !call.probe && balancer.draw(restart.ExploreEvery) == 0 {
			call.sampleWeight, selection.Exploratory = restart.ExploreWeight, true
		} else {
			selection.Timeout, call.runsToDeadline = timeout, false
		}
	}
	endpoint.addCall(call, request.CacheTokens)
	return selection
}
