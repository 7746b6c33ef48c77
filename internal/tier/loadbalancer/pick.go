package loadbalancer

import (
	"math"
	"slices"
	"time"

	"dockshift.example/dockshift/brain/restart"
)

const (
	boundedFactor  = 1.25 // times the mean load that one endpoint takes for the sake of its cache
	boundedMargin  = 2.0  // requests over the mean that it takes besides: with few out, chance alone gives more than bounded
	homeCostFactor = 1.5  // times the mean load, and
	homeCostMargin = 6.0  // so many requests over it, that the endpoint which holds a session's cache takes
	zoneCostFactor = 1.5  // times the load of another zone's least, and
	zoneCostMargin = 3.0  // so many requests over it, from which our zone's cheapest is passed over
	takesPart      = 0.25 // part of the time of a call after which there may be room
	retryMin       = 20 * time.Millisecond
	retryMax       = 2 * time.Second
	retryPart      = 3 // clients wait up to so small a part of their time left
)

// Pick decides on one attempt.
func (balancer *Balancer) Pick(now time.Duration, ask Ask) Choice {
	oracle := balancer.oracle(ask.Route)
	if ask.Left <= 0 || oracle.Seen > 0 && ask.Left < oracle.Quickest {
		return Choice{Verdict: Hopeless}
	}
	s := balancer.services[ask.Service]
	if s == nil {
		return Choice{Verdict: NoEndpoint, RetryAfter: balancer.retryAfter(now, &service{}, &ask)}
	}
	balancer.turn++
	any := false
	for _, endpoint := range s.list {
		endpoint.watch(now)
		any = any || endpoint.fits(&ask)
	}
	if !any {
		return Choice{Verdict: NoEndpoint, RetryAfter: balancer.retryAfter(now, s, &ask)}
	}
	endpoint := balancer.place(now, s, &ask, oracle)
	if endpoint == nil {
		return Choice{Verdict: Full, RetryAfter: balancer.retryAfter(now, s, &ask)}
	}
	return balancer.send(now, s, endpoint, &ask, oracle)
}

// send starts an attempt. Its time-out is the oracle's where a restart then is allowed, else the time left.
func (balancer *Balancer) send(now time.Duration, service *service, endpoint *endpoint, ask *Ask, oracle *restart.Oracle) Choice {
	call := &Call{at: endpoint, oracle: oracle, service: service, sent: now, uncut: true, probe: endpoint.ejected}
	choice := Choice{Instance: endpoint.Instance, Address: endpoint.Address, Timeout: ask.Left, Call: call}
	if ask.First {
		call.weight = 1
	}
	timeout := oracle.Timeout()
	if call.probe {
		timeout = patience(oracle) // doubling would leave an outage unwatched
		endpoint.probes++
	}
	if ask.Repeatable && timeout < ask.Left {
		if ask.First && !call.probe && balancer.draw(restart.ExploreIn) == 0 {
			call.weight, choice.Explore = restart.ExploreWeight, true
		} else {
			choice.Timeout, call.uncut = timeout, false
		}
	}
	endpoint.calls++
	endpoint.unanswered = append(endpoint.unanswered, call)
	if ask.Tokens > 0 {
		if endpoint.tokens == 0 {
			endpoint.tokens = float64(ask.Tokens)
		}
		endpoint.tokens += recentPer * (float64(ask.Tokens) - endpoint.tokens)
	}
	return choice
}

// fits reports whether that request may go there at all.
func (endpoint *endpoint) fits(ask *Ask) bool {
	return !endpoint.misdirected && (endpoint.CacheTokens == 0 || ask.Tokens <= endpoint.CacheTokens)
}

// times is how often a name stands in a list.
func times(list []string, x string) (n int) {
	for _, y := range list {
		if y == x {
			n++
		}
	}
	return n
}

// place finds the endpoint, nil if all are full: one that is ejected and due to be probed, else a healthy one that was not
// tried yet, else the least bad.
func (balancer *Balancer) place(now time.Duration, service *service, ask *Ask, oracle *restart.Oracle) *endpoint {
	if ask.First && (ask.Left > 2*patience(oracle) || !ask.Repeatable) {
		for i := range service.list {
			endpoint := service.list[(i+balancer.turn)%len(service.list)]
			if endpoint.fits(ask) && endpoint.due(now, ask) && now >= endpoint.pausedUntil && !slices.Contains(ask.Tried, endpoint.Instance) {
				return endpoint
			}
		}
	}
	fresh := func(endpoint *endpoint) bool {
		return !endpoint.ejected && endpoint.fits(ask) && !slices.Contains(ask.Tried, endpoint.Instance) && endpoint.room(now, ask.Priority)
	}
	if endpoint := balancer.choose(now, service, ask, fresh); endpoint != nil {
		return endpoint
	}
	if len(ask.Tried) > 0 { // once more where it was: a window may have opened, a connection been lost
		retry := func(endpoint *endpoint) bool {
			return !endpoint.ejected && endpoint.fits(ask) && times(ask.Tried, endpoint.Instance) < 2 && endpoint.room(now, ask.Priority)
		}
		if endpoint := balancer.choose(now, service, ask, retry); endpoint != nil {
			return endpoint
		}
	}
	for _, endpoint := range service.list {
		if !endpoint.ejected && endpoint.fits(ask) { // a healthy one is full, and soon has room
			return nil
		}
	}
	var best *endpoint
	for i := range service.list { // all are out
		endpoint := service.list[(i+balancer.turn)%len(service.list)]
		if !endpoint.fits(ask) || !endpoint.room(now, ask.Priority) || times(ask.Tried, endpoint.Instance) > 1 {
			continue
		}
		if best == nil || endpoint.preferable(best, ask) {
			best = endpoint
		}
	}
	return best
}

// preferable compares two that are ejected: the one not tried by this request, the one that answered last.
func (endpoint *endpoint) preferable(than *endpoint, ask *Ask) bool {
	if x, y := times(ask.Tried, endpoint.Instance), times(ask.Tried, than.Instance); x != y {
		return x < y
	}
	if endpoint.calls != than.calls && max(endpoint.calls, than.calls) > 2*min(endpoint.calls, than.calls) {
		return endpoint.calls < than.calls
	}
	if endpoint.bad != than.bad {
		return endpoint.bad < than.bad
	}
	return endpoint.observedAt > than.observedAt
}

// pool sums up some endpoints.
type pool struct {
	n      int
	load   float64 // sum of their costs
	best   *endpoint
	lowest float64 // cost of the best
}

// add counts an endpoint in.
func (pool *pool) add(endpoint *endpoint, cost float64) {
	pool.n++
	pool.load += cost
	if pool.best == nil || cost < pool.lowest {
		pool.best, pool.lowest = endpoint, cost
	}
}

// mean is the mean cost; 0 of none.
func (pool *pool) mean() float64 { return pool.load / float64(max(1, pool.n)) }

// choose picks among the endpoints that are allowed: in our zone unless it is notably loaded, by rendezvous where
// requests share a cache and the least loaded otherwise.
func (balancer *Balancer) choose(now time.Duration, service *service, ask *Ask, allowed func(*endpoint) bool) *endpoint {
	var own, far pool
	for i := range service.list {
		endpoint := service.list[(i+balancer.turn)%len(service.list)]
		if !allowed(endpoint) {
			continue
		}
		if endpoint.local {
			own.add(endpoint, endpoint.cost(now))
		} else {
			far.add(endpoint, endpoint.cost(now))
		}
	}
	if endpoint := balancer.home(now, ask, allowed, &own, &far); endpoint != nil {
		return endpoint
	}
	switch {
	case own.n == 0 && far.n == 0:
		return nil
	case far.n == 0:
		return balancer.within(now, service, ask, allowed, &own, true, own.mean())
	case own.n == 0:
		return balancer.within(now, service, ask, allowed, &far, false, far.mean())
	}
	if own.lowest <= zoneCostFactor*far.lowest+zoneCostMargin/float64(own.best.capacity()) {
		return balancer.within(now, service, ask, allowed, &own, true, own.mean())
	}
	return balancer.within(now, service, ask, allowed, &far, false, far.mean())
}

// home is the endpoint that ran what the request goes on from, unless it is notably more loaded than the others: what it
// holds in its cache would have to be prefilled elsewhere.
func (balancer *Balancer) home(now time.Duration, ask *Ask, allowed func(*endpoint) bool, own, far *pool) *endpoint {
	endpoint := balancer.endpoints[ask.Home]
	if ask.Home == "" || endpoint == nil || !endpoint.listed || endpoint.Draining || endpoint.Service != ask.Service || !allowed(endpoint) {
		return nil
	}
	mean := (own.load + far.load) / float64(max(1, own.n+far.n))
	// A session that moves is read again elsewhere and evicts what others have cached there: the likelier, the more is taken.
	displaced := mean * min(1, mean)
	if endpoint.cost(now) > max(homeCostFactor*mean, mean+displaced+homeCostMargin/float64(endpoint.capacity())) {
		return nil
	}
	return endpoint
}

// within picks in one of the pools.
func (balancer *Balancer) within(now time.Duration, service *service, ask *Ask, allowed func(*endpoint) bool, pool *pool, local bool, mean float64) *endpoint {
	if key, sticky := affinity(ask); sticky && ask.Home == "" {
		if endpoint := balancer.rendezvous(now, service, key, allowed, local, mean); endpoint != nil {
			return endpoint
		}
	}
	return pool.best
}

// affinity is the key of the requests that share a cache with this one.
func affinity(ask *Ask) (key uint64, ok bool) {
	if ask.Affinity != "" {
		return hash(ask.Affinity), true
	}
	if n := len(ask.Prefix); n > 0 {
		return hash(ask.Prefix[n-1]), true
	}
	return 0, false
}

// rendezvous is the endpoint with the highest weight for the key (highest random weight hashing, by capacity), of those
// in our zone or outside it whose load is within bounds of the mean. One that comes or goes moves only its own keys.
func (balancer *Balancer) rendezvous(now time.Duration, service *service, key uint64, allowed func(*endpoint) bool, local bool, mean float64) *endpoint {
	var best *endpoint
	highest := 0.0
	for _, endpoint := range service.list {
		if endpoint.local != local || !allowed(endpoint) || endpoint.cost(now) > max(boundedFactor*mean, mean+boundedMargin/float64(endpoint.capacity())) {
			continue
		}
		unit := (float64(mix(key^endpoint.key)>>11) + 0.5) / (1 << 53)
		if weight := float64(endpoint.capacity()) / -math.Log(unit); weight > highest {
			best, highest = endpoint, weight
		}
	}
	return best
}

// retryAfter is when there may be room: a part of the time that a call takes, by Little's law from those out and the
// rate of those served, spread so that those refused together don't come together. It is kept within the aim, so that
// the new try may be in time, and within what clients wait.
func (balancer *Balancer) retryAfter(now time.Duration, service *service, ask *Ask) time.Duration {
	calls, paused := 0, retryMax
	for _, e := range service.list {
		calls += e.calls
		paused = min(paused, max(0, e.pausedUntil-now))
	}
	takes := float64(calls) / max(service.served.at(now)/meterSpan.Seconds(), 1)
	wait := time.Duration(takes * takesPart * float64(time.Second))
	if len(service.list) > 0 {
		wait = max(wait, paused)
	}
	wait = wait/2 + time.Duration(balancer.draw(uint64(wait)+1))
	longest := min(retryMax, ask.Left/retryPart)
	if ask.Aim > 0 {
		longest = min(longest, ask.Aim)
	}
	return max(min(wait, longest), retryMin)
}
