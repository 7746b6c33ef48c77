package fleetpolicy

import (
	"cmp"
	"slices"

	"saffronyard.example/saffronyard/internal/quota"
)

// limitIndex holds the limits of a policy by subject, for looking up the limits of a call.
type limitIndex struct {
	bySubject map[subject][]quota.Limit
	shapes    []shape // that occur, sorted
}

// add adds a limit of a subject. It returns false if the subject already has a limit with that key.
func (x *limitIndex) add(s subject, l quota.Limit) bool {
	if slices.ContainsFunc(x.bySubject[s], func(o quota.Limit) bool { return o.Key == l.Key }) {
		return false
	}
	x.bySubject[s] = append(x.bySubject[s], l)
	if !slices.Contains(x.shapes, s.shape) {
		x.shapes = append(x.shapes, s.shape)
	}
	return true
}

// Usages are the units that a call uses of each limit that applies to it. A call that is not about to be written has no
// endpoint yet, so the limits of endpoints are missing for it.
func (p *Policy) Usages(c Call) (uses []quota.Usage) {
	for _, shape := range p.limits.shapes {
		for _, l := range p.limits.bySubject[c.subjectOf(shape)] {
			units := int64(1)
			if l.Kind == quota.Bytes {
				units = max(1, c.Bytes)
			}
			uses = append(uses, quota.Usage{Key: l.Key, Units: units})
		}
	}
	return uses
}

// Limits are all limits, by key.
func (p *Policy) Limits() []quota.Limit {
	var all []quota.Limit
	for _, ls := range p.limits.bySubject {
		all = append(all, ls...)
	}
	slices.SortFunc(all, func(a, b quota.Limit) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// RateLimit is the limit of calls that applies to a destination alone; ok is false if there is none. The destination's calls are paced by it.
func (p *Policy) RateLimit(destination uint32) (l quota.Limit, ok bool) {
	for _, l := range p.limits.bySubject[subject{destination: destination, shape: byDestination}] {
		if l.Kind == quota.Calls {
			return l, true
		}
	}
	return quota.Limit{}, false
}

// names returns the classes and tenants that limits name.
func (x limitIndex) names() (classes, tenants []string) {
	c, t := map[string]bool{}, map[string]bool{}
	for s := range x.bySubject {
		if s.class != "" {
			c[s.class] = true
		}
		if s.tenant != "" {
			t[s.tenant] = true
		}
	}
	return sortedKeys(c), sortedKeys(t)
}
