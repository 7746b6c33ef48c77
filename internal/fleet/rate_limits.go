package fleet

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// RateLimit is how many calls per second this sender may send to a destination, and all senders may. If Limited is false there is no limit, and the
// rates are 0.
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
	l := n.quotas
	l.mu.Lock()
	keys := make([]string, 0, len(l.changed))
	for key := range l.changed {
		keys = append(keys, key)
	}
	clear(l.changed)
	l.mu.Unlock()
	if all {
		keys = append(keys, l.allowances.Keys()...)
	}
	now := n.cfg.Now()
	by := map[uint32]bool{}
	for _, key := range keys {
		var d uint32 // the keys of a destination's own limits begin so
		if _, err := fmt.Sscanf(key, "destination %d", &d); err == nil {
			by[d] = true
		}
	}
	for _, d := range slices.Sorted(maps.Keys(by)) {
		p := RateLimit{Destination: d, Own: math.Inf(1), Fleet: math.Inf(1)}
		for _, q := range v.RateLimits(d) {
			if share, ok := l.allowances.Share(q.Key, now); ok { // the lowest rate counts
				p.Limited = true
				p.Own = min(p.Own, float64(share.Units)/share.CoolDown.Seconds())
				p.Fleet = min(p.Fleet, float64(max(q.Units, q.SlowStartUnits))/q.Span.Seconds())
			}
		}
		if !p.Limited {
			p.Own, p.Fleet = 0, 0
		}
		limits = append(limits, p)
	}
	return limits
}

// OnRateLimits has f called, from any goroutine, when rate limits have changed.
func (n *Node) OnRateLimits(f func()) {
	n.quotas.mu.Lock()
	defer n.quotas.mu.Unlock()
	n.quotas.onChange = f
}

// ObserveLimit takes the limit that a receiver reported to this sender, in calls per second.
func (n *Node) ObserveLimit(destination uint32, perSecond float64) {
	if v := n.gate.current(); v != nil {
		if q, ok := v.Policy.RateLimit(destination); ok && q.Adaptive {
			n.quotas.allowances.ObserveLimit(q.Key, perSecond, n.cfg.Now())
		}
	}
}
