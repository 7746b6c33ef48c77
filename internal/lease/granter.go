package lease

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Granter is the leader's side of leases. Each leader creates a new one when it is elected. It is not safe for concurrent use.
type Granter struct {
	terms      Terms
	graceUntil time.Duration // until this time unknown leases of an earlier leader may exist
	issued     map[HolderID][]issuedLease
}

// issuedLease is a granted lease: until it expires its holder may act at minIndex or later. A holder's leases are ordered by expiry, and
// thereby by minIndex.
type issuedLease struct {
	expiresAt time.Duration
	minIndex  uint64
}

// NewGranter returns the granter of a leader that was elected now.
func NewGranter(t Terms, now time.Duration) *Granter {
	return &Granter{terms: t, graceUntil: now + t.GranterDuration(), issued: map[HolderID][]issuedLease{}}
}

// RecordRequest records a request: from now on its holder acts at actingIndex or later under all of its leases.
func (g *Granter) RecordRequest(id HolderID, actingIndex uint64) {
	leases := g.issued[id]
	for i, l := range leases {
		leases[i].minIndex = max(l.minIndex, actingIndex)
	}
	// A lease that expires earlier than the next and whose minIndex is not lower is redundant.
	for len(leases) > 1 && leases[len(leases)-2].minIndex >= leases[len(leases)-1].minIndex {
		leases = slices.Delete(leases, len(leases)-2, len(leases)-1)
	}
	if len(leases) > 0 {
		g.issued[id] = leases
	}
}

// Grant grants a lease now. appliedIndex is the index up to which the granter has applied the log, at a moment after the request at which it
// was certainly the leader. The lease is valid only once its holder has applied the log up to requiredIndex, which the reply must contain.
func (g *Granter) Grant(id HolderID, appliedIndex uint64, now time.Duration) (requiredIndex uint64) {
	l := issuedLease{now + g.terms.GranterDuration(), appliedIndex}
	// The new lease expires last. An earlier lease is redundant unless its minIndex is lower.
	leases := slices.DeleteFunc(g.issued[id], func(o issuedLease) bool { return o.expiresAt <= now || o.minIndex >= l.minIndex })
	g.issued[id] = append(leases, l)
	return appliedIndex
}

// ActiveLease is a holder whose lease may not have expired.
type ActiveLease struct {
	HolderID                // Name is empty for holders of leases that an earlier leader may have granted
	Remaining time.Duration // until it has certainly expired
	MinIndex  uint64        // its holder acts at no lower index
}

// LeasesBelow returns the leases under which a holder may act below an index, the one that expires last first. The fence at that index has
// passed when there are none.
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

// InGracePeriod reports whether leases of an earlier leader may still be active.
func (g *Granter) InGracePeriod(now time.Duration) bool { return now < g.graceUntil }

// ActiveLeases returns all holders whose lease has not expired, the one that expires last first. It removes the other holders.
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
