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
func (balancer *Balancer) Pick(now time.Duration, a Ask) Choice {
	o := balancer.oracle(a.Route)
	if a.Left <= 0 || o.Seen > 0 && a.Left < o.Quickest {
		return Choice{Verdict: Hopeless}
	}
	s := balancer.services[a.Service]
	if s == nil {
		return Choice{Verdict: NoEndpoint, RetryAfter: balancer.retryAfter(now, &service{}, &a)}
	}
	balancer.turn++
	any := false
	for _, e := range s.list {
		e.watch(now)
		any = any || e.fits(&a)
	}
	if !any {
		return Choice{Verdict: NoEndpoint, RetryAfter: balancer.retryAfter(now, s, &a)}
	}
	e := balancer.place(now, s, &a, o)
	if e == nil {
		return Choice{Verdict: Full, RetryAfter: balancer.retryAfter(now, s, &a)}
	}
	return balancer.send(now, s, e, &a, o)
}

// send starts an attempt. Its time-out is the oracle's where a restart then is allowed, else the time left.
func (balancer *Balancer) send(now time.Duration, s *service, e *endpoint, a *Ask, o *restart.Oracle) Choice {
	c := &Call{at: e, oracle: o, service: s, sent: now, uncut: true, probe: e.ejected}
	choice := Choice{Instance: e.Instance, Address: e.Address, Timeout: a.Left, Call: c}
	if a.First {
		c.weight = 1
	}
	timeout := o.Timeout()
	if c.probe {
		timeout = patience(o) // doubling would leave an outage unwatched
		e.probes++
	}
	if a.Repeatable && timeout < a.Left {
		if a.First && !c.probe && balancer.draw(restart.ExploreIn) == 0 {
			c.weight, choice.Explore = restart.ExploreWeight, true
		} else {
			choice.Timeout, c.uncut = timeout, false
		}
	}
	e.calls++
	e.unanswered = append(e.unanswered, c)
	if a.Tokens > 0 {
		if e.tokens == 0 {
			e.tokens = float64(a.Tokens)
		}
		e.tokens += recentPer * (float64(a.Tokens) - e.tokens)
	}
	return choice
}

// fits reports whether that request may go there at all.
func (e *endpoint) fits(a *Ask) bool {
	return !e.misdirected && (e.CacheTokens == 0 || a.Tokens <= e.CacheTokens)
}

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
func (balancer *Balancer) place(now time.Duration, s *service, a *Ask, o *restart.Oracle) *endpoint {
	if a.First && (a.Left > 2*patience(o) || !a.Repeatable) {
		for i := range s.list {
			e := s.list[(i+balancer.turn)%len(s.list)]
			if e.fits(a) && e.due(now, a) && now >= e.pausedUntil && !slices.Contains(a.Tried, e.Instance) {
				return e
			}
		}
	}
	fresh := func(e *endpoint) bool {
		return !e.ejected && e.fits(a) && !slices.Contains(a.Tried, e.Instance) && e.room(now, a.Priority)
	}
	if e := balancer.choose(now, s, a, fresh); e != nil {
		return e
	}
	if len(a.Tried) > 0 { // once more where it was: a window may have opened, a connection been lost
		retry := func(e *endpoint) bool {
			return !e.ejected && e.fits(a) && times(a.Tried, e.Instance) < 2 && e.room(now, a.Priority)
		}
		if e := balancer.choose(now, s, a, retry); e != nil {
			return e
		}
	}
	for _, e := range s.list {
		if !e.ejected && e.fits(a) { // a healthy one is full, and soon has room
			return nil
		}
	}
	var best *endpoint
	for i := range s.list { // all are out
		e := s.list[(i+balancer.turn)%len(s.list)]
		if !e.fits(a) || !e.room(now, a.Priority) || times(a.Tried, e.Instance) > 1 {
			continue
		}
		if best == nil || e.preferable(best, a) {
			best = e
		}
	}
	return best
}

// preferable compares two that are ejected: the one not tried by this request, the one that answered last.
func (e *endpoint) preferable(than *endpoint, a *Ask) bool {
	if x, y := times(a.Tried, e.Instance), times(a.Tried, than.Instance); x != y {
		return x < y
	}
	if e.calls != than.calls && max(e.calls, than.calls) > 2*min(e.calls, than.calls) {
		return e.calls < than.calls
	}
	if e.bad != than.bad {
		return e.bad < than.bad
	}
	return e.observedAt > than.observedAt
}

// pool sums up some endpoints.
type pool struct {
	n      int
	load   float64 // sum of their costs
	best   *endpoint
	lowest float64 // cost of the best
}

func (p *pool) add(e *endpoint, cost float64) {
	p.n++
	p.load += cost
	if p.best == nil || cost < p.lowest {
		p.best, p.lowest = e, cost
	}
}

func (p *pool) mean() float64 { return p.load / float64(max(1, p.n)) }

// choose picks among the endpoints that are allowed: in our zone unless it is notably loaded, by rendezvous where
// requests share a cache and the least loaded otherwise.
func (balancer *Balancer) choose(now time.Duration, s *service, a *Ask, allowed func(*endpoint) bool) *endpoint {
	var own, far pool
	for i := range s.list {
		e := s.list[(i+balancer.turn)%len(s.list)]
		if !allowed(e) {
			continue
		}
		if e.local {
			own.add(e, e.cost(now))
		} else {
			far.add(e, e.cost(now))
		}
	}
	if e := balancer.home(now, a, allowed, &own, &far); e != nil {
		return e
	}
	switch {
	case own.n == 0 && far.n == 0:
		return nil
	case far.n == 0:
		return balancer.within(now, s, a, allowed, &own, true, own.mean())
	case own.n == 0:
		return balancer.within(now, s, a, allowed, &far, false, far.mean())
	}
	if own.lowest <= zoneCostFactor*far.lowest+zoneCostMargin/float64(own.best.capacity()) {
		return balancer.within(now, s, a, allowed, &own, true, own.mean())
	}
	return balancer.within(now, s, a, allowed, &far, false, far.mean())
}

// home is the endpoint that ran what the request goes on from, unless it is notably more loaded than the others: what it
// holds in its cache would have to be prefilled elsewhere.
func (balancer *Balancer) home(now time.Duration, a *Ask, allowed func(*endpoint) bool, own, far *pool) *endpoint {
	e := balancer.endpoints[a.Home]
	if a.Home == "" || e == nil || !e.listed || e.Draining || e.Service != a.Service || !allowed(e) {
		return nil
	}
	mean := (own.load + far.load) / float64(max(1, own.n+far.n))
	// A session that moves is read again elsewhere and evicts what others have cached there: the likelier, the more is taken.
	displaced := mean * min(1, mean)
	if e.cost(now) > max(homeCostFactor*mean, mean+displaced+homeCostMargin/float64(e.capacity())) {
		return nil
	}
	return e
}

// within picks in one of the pools.
func (balancer *Balancer) within(now time.Duration, s *service, a *Ask, allowed func(*endpoint) bool, p *pool, local bool, mean float64) *endpoint {
	if key, sticky := affinity(a); sticky && a.Home == "" {
		if e := balancer.rendezvous(now, s, key, allowed, local, mean); e != nil {
			return e
		}
	}
	return p.best
}

// affinity is the key of the requests that share a cache with this one.
func affinity(a *Ask) (key uint64, ok bool) {
	if a.Affinity != "" {
		return hash(a.Affinity), true
	}
	if n := len(a.Prefix); n > 0 {
		return hash(a.Prefix[n-1]), true
	}
	return 0, false
}

// rendezvous is the endpoint with the highest weight for the key (highest random weight hashing, by capacity), of those
// in our zone or outside it whose load is within bounds of the mean. One that comes or goes moves only its own keys.
func (balancer *Balancer) rendezvous(now time.Duration, s *service, key uint64, allowed func(*endpoint) bool, local bool, mean float64) *endpoint {
	var best *endpoint
	highest := 0.0
	for _, e := range s.list {
		if e.local != local || !allowed(e) || e.cost(now) > max(boundedFactor*mean, mean+boundedMargin/float64(e.capacity())) {
			continue
		}
		unit := (float64(mix(key^e.key)>>11) + 0.5) / (1 << 53)
		if weight := float64(e.capacity()) / -math.Log(unit); weight > highest {
			best, highest = e, weight
		}
	}
	return best
}

// retryAfter is when there may be room: a part of the time that a call takes, by Little's law from those out and the
// rate of those served, spread so that those refused together don't come together. It is kept within the aim, so that
// the new try may be in time, and within what clients wait.
func (balancer *Balancer) retryAfter(now time.Duration, s *service, a *Ask) time.Duration {
	calls, paused := 0, retryMax
	for _, e := range s.list {
		calls += e.calls
		paused = min(paused, max(0, e.pausedUntil-now))
	}
	takes := float64(calls) / max(s.served.at(now)/meterSpan.Seconds(), 1)
	wait := time.Duration(takes * takesPart * float64(time.Second))
	if len(s.list) > 0 {
		wait = max(wait, paused)
	}
	wait = wait/2 + time.Duration(balancer.draw(uint64(wait)+1))
	longest := min(retryMax, a.Left/retryPart)
	if a.Aim > 0 {
		longest = min(longest, a.Aim)
	}
	return max(min(wait, longest), retryMin)
}
