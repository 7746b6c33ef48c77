package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
)

// RateLimit is the number of calls per second to a destination that this sender may send (Own), and that all senders together may send (Fleet).
// If Limited is false there is no limit, and the rates are 0.
type RateLimit struct {
	Destination uint32
	Limited     bool
	Own, Fleet  float64
}

// RateLimits are the rate limits that changed since the last call, and, if all is set, those of all limited destinations.
func (n *Node) RateLimits(all bool) (limits []RateLimit) {
	v := n.gate.current()
	if v == nil {
		return nil
	}
	keys := n.quotas.takeChanged()
	if all {
		keys = append(keys, n.quotas.allowances.Keys()...)
	}
	now := n.cfg.Now()
	destinations := map[uint32]struct{}{}
	for _, key := range keys {
		var d uint32 // keys of the limits on a destination begin with "destination" and its id
		if _, err := fmt.Sscanf(key, "destination %d", &d); err == nil {
			destinations[d] = struct{}{}
		}
	}
	for _, d := range slices.Sorted(maps.Keys(destinations)) {
		limits = append(limits, n.quotas.rateLimit(v, d, now))
	}
	return limits
}

// takeChanged returns and clears the keys of limits whose share changed since the last call.
func (q *quotaNode) takeChanged() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	keys := slices.Collect(maps.Keys(q.changed))
	clear(q.changed)
	return keys
}

// rateLimit is the lowest rate of a destination's limits.
func (q *quotaNode) rateLimit(v *fleetpolicy.View, destination uint32, now time.Duration) RateLimit {
	r := RateLimit{Destination: destination, Own: math.Inf(1), Fleet: math.Inf(1)}
	for _, l := range v.RateLimits(destination) {
		if share, ok := q.allowances.Share(l.Key, now); ok {
			r.Limited = true
			r.Own = min(r.Own, float64(share.Units)/share.CoolDown.Seconds())
			r.Fleet = min(r.Fleet, float64(max(l.Units, l.SlowStartUnits))/l.Span.Seconds())
		}
	}
	if !r.Limited {
		r.Own, r.Fleet = 0, 0
	}
	return r
}

// OnRateLimits sets the function that is called, from any goroutine, when rate limits have changed.
func (n *Node) OnRateLimits(f func()) {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.onChange = f
}

// ObserveLimit records the limit that a receiver reported to this sender, in calls per second.
func (n *Node) ObserveLimit(destination uint32, perSecond float64) {
	if v := n.gate.current(); v != nil {
		if q, ok := v.Policy.RateLimit(destination); ok && q.Adaptive {
			n.quotas.allowances.ObserveLimit(q.Key, perSecond, n.cfg.Now())
		}
	}
}
