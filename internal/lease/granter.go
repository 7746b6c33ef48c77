package lease

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Granter is the side that grants: the voter that leads, from its election on. Each new leader begins a new one.
type Granter struct {
	terms      Terms
	graceUntil time.Duration // until then there may be leases of an earlier leader, of which this one knows nothing
	issued     map[HolderID][]issuedLease
}

// issuedLease is a lease as granted: until then its holder may act at an index, and no lower one. Those of a holder stand in the
// order of their ends, and of their indexes.
type issuedLease struct {
	expiresAt time.Duration
	minIndex  uint64
}

// NewGranter makes one for a leader that was elected now.
func NewGranter(t Terms, now time.Duration) *Granter {
	return &Granter{terms: t, graceUntil: now + t.GranterDuration(), issued: map[HolderID][]issuedLease{}}
}

// RecordRequest takes a question in: from now on its asker acts at acts or higher, under whatever leases it has.
func (g *Granter) RecordRequest(w HolderID, actingIndex uint64) {
	fs := g.issued[w]
	for i, f := range fs {
		fs[i].minIndex = max(f.minIndex, actingIndex)
	}
	for len(fs) > 1 && fs[len(fs)-2].minIndex >= fs[len(fs)-1].minIndex { // ends sooner and is no lower
		fs = slices.Delete(fs, len(fs)-2, len(fs)-1)
	}
	if len(fs) > 0 {
		g.issued[w] = fs
	}
}

// Grant grants a lease now; applied is how far the granter is, at a moment after the question in which it surely led. The
// lease counts only once its holder has come as far, which is what it is told as need.
func (g *Granter) Grant(w HolderID, applied uint64, now time.Duration) (requiredIndex uint64) {
	n := issuedLease{now + g.terms.GranterDuration(), applied}
	// It lasts longer than those before it: they say more only where they are lower.
	fs := slices.DeleteFunc(g.issued[w], func(f issuedLease) bool { return f.expiresAt <= now || f.minIndex >= n.minIndex })
	fs = append(fs, n)
	g.issued[w] = fs
	return applied
}

// LeasesBelow names those who may act below an index, the one that lapses last first. The fence is passed when there is none.
func (g *Granter) LeasesBelow(index uint64, now time.Duration) []ActiveLease {
	var all []ActiveLease
	if now < g.graceUntil {
		all = append(all, ActiveLease{Remaining: g.graceUntil - now})
	}
	for _, h := range g.ActiveLeases(now) {
		if h.MinIndex < index {
			all = append(all, h)
		}
	}
	return all
}

// InGracePeriod reports whether there may still be leases of an earlier leader.
func (g *Granter) InGracePeriod(now time.Duration) bool { return now < g.graceUntil }

// ActiveLeases names all whose lease has not lapsed, the one that lapses last first, and forgets the others.
func (g *Granter) ActiveLeases(now time.Duration) []ActiveLease {
	var all []ActiveLease
	for w, fs := range g.issued {
		h := ActiveLease{HolderID: w, MinIndex: math.MaxUint64}
		for _, f := range fs {
			if f.expiresAt > now {
				h.Remaining, h.MinIndex = max(h.Remaining, f.expiresAt-now), min(h.MinIndex, f.minIndex)
			}
		}
		if h.Remaining == 0 {
			delete(g.issued, w)
			continue
		}
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b ActiveLease) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return all
}

// ActiveLease is one that a fence waits for.
type ActiveLease struct {
	HolderID                // Name is empty for those that an earlier leader may have granted
	Remaining time.Duration // until its lease has surely lapsed
	MinIndex  uint64        // below which it does not act
}
