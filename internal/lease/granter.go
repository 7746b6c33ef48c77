package lease

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Granter is the side that grants: the leader, from its election on. Each new leader begins a new one. It is not safe for concurrent use.
type Granter struct {
	terms      Terms
	graceUntil time.Duration // until then leases of an earlier leader may exist, which this one does not know of
	issued     map[HolderID][]issuedLease
}

// issuedLease is a lease as granted: until it expires its holder may act at minIndex or later. Those of a holder are ordered by expiry, and
// thereby by minIndex.
type issuedLease struct {
	expiresAt time.Duration
	minIndex  uint64
}

// NewGranter makes the granter of a leader that was elected now.
func NewGranter(t Terms, now time.Duration) *Granter {
	return &Granter{terms: t, graceUntil: now + t.GranterDuration(), issued: map[HolderID][]issuedLease{}}
}

// RecordRequest takes a request in: from now on its holder acts at actingIndex or later, under whatever leases it has.
func (g *Granter) RecordRequest(id HolderID, actingIndex uint64) {
	leases := g.issued[id]
	for i, l := range leases {
		leases[i].minIndex = max(l.minIndex, actingIndex)
	}
	// A lease that expires sooner than the next and is no lower says nothing more.
	for len(leases) > 1 && leases[len(leases)-2].minIndex >= leases[len(leases)-1].minIndex {
		leases = slices.Delete(leases, len(leases)-2, len(leases)-1)
	}
	if len(leases) > 0 {
		g.issued[id] = leases
	}
}

// Grant grants a lease now. appliedIndex is how far the granter has applied the log, at a moment after the request at which it surely
// led. The lease counts only once its holder has come as far: that is the required index to tell it.
func (g *Granter) Grant(id HolderID, appliedIndex uint64, now time.Duration) (requiredIndex uint64) {
	l := issuedLease{now + g.terms.GranterDuration(), appliedIndex}
	// It outlasts those before it: they say more only where they are lower.
	leases := slices.DeleteFunc(g.issued[id], func(o issuedLease) bool { return o.expiresAt <= now || o.minIndex >= l.minIndex })
	g.issued[id] = append(leases, l)
	return appliedIndex
}

// ActiveLease is a holder whose lease may not have expired.
type ActiveLease struct {
	HolderID                // Name is empty for holders of leases that an earlier leader may have granted
	Remaining time.Duration // until it has surely expired
	MinIndex  uint64        // its holder acts at no lower index
}

// LeasesBelow are the leases under which somebody may act below an index, the one that expires last first. The fence at that index has
// passed when there is none.
func (g *Granter) LeasesBelow(index uint64, now time.Duration) []ActiveLease {
	var all []ActiveLease
	if now < g.graceUntil {
		all = append(all, ActiveLease{Remaining: g.graceUntil - now})
	}
	for _, l := range g.ActiveLeases(now) {
		if l.MinIndex < index {
			all = append(all, l)
		}
	}
	return all
}

// InGracePeriod reports whether there may still be leases of an earlier leader.
func (g *Granter) InGracePeriod(now time.Duration) bool { return now < g.graceUntil }

// ActiveLeases are all holders whose lease has not expired, the one that expires last first. It forgets the others.
func (g *Granter) ActiveLeases(now time.Duration) []ActiveLease {
	var all []ActiveLease
	for id, leases := range g.issued {
		active := ActiveLease{HolderID: id, MinIndex: math.MaxUint64}
		for _, l := range leases {
			if l.expiresAt > now {
				active.Remaining, active.MinIndex = max(active.Remaining, l.expiresAt-now), min(active.MinIndex, l.minIndex)
			}
		}
		if active.Remaining == 0 {
			delete(g.issued, id)
			continue
		}
		all = append(all, active)
	}
	slices.SortFunc(all, func(a, b ActiveLease) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}
