// Package lease is how a sender may act without asking each time, and how a change waits for those who may. It is free of I/O
// and of clocks: each side is given the time of its own machine, and only spans are compared, never two machines' clocks.
//
// A holder counts a lease from before it asked; the granter counts it from when it granted, and longer, by how much two clocks
// may drift apart meanwhile. So a lease ends at its holder first. With each question a holder says from which index of the
// agreed state on it acts. A fence at an index is passed when nobody may act below it any more: each lease that has not
// lapsed belongs to one who acts at that index or a later one, and a lease that is granted later counts only once its holder
// has come as far as the granter was then.
package lease

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Terms are the figures of all leases of a fleet.
type Terms struct {
	Duration time.Duration // at the holder
	MaxDrift float64       // a clock runs at most so much faster or slower than true time: 0.01 for 1%
}

// DefaultDrift is what clocks are allowed: a hundred times what NTP's kernel discipline steers by at most (500 ppm), twice the 1%
// that the fleet is tested at.
const DefaultDrift = 0.02

// GranterDuration is how long a granter counts a lease. A holder's clock that is slow by the drift runs Length in Length/(1-d) of true
// time, in which a granter's clock that is fast by it shows Length*(1+d)/(1-d).
func (t Terms) GranterDuration() time.Duration {
	return time.Duration(math.Ceil(float64(t.Duration) * (1 + t.MaxDrift) / (1 - t.MaxDrift)))
}

// maxOutstanding is how many unanswered ones a holder remembers: an answer to an older one counts no more.
const maxOutstanding = 8

// Holder is the side that acts.
type Holder struct {
	terms       Terms
	outstanding []time.Duration // when the unanswered questions went out, which is also what they are known by; the oldest first
	grants      []grant         // not lapsed
}

type grant struct {
	expiresAt     time.Duration
	requiredIndex uint64
}

// NewHolder makes one that holds none: a process that has just begun.
func NewHolder(t Terms) *Holder { return &Holder{terms: t} }

// Request notes that a question goes out now, and gives the time by which its answer is known. Two that go out in one moment are one.
func (h *Holder) Request(now time.Duration) time.Duration {
	// An answer to one that is as old as a lease gives none.
	h.outstanding = slices.DeleteFunc(slices.Clone(h.outstanding), func(at time.Duration) bool { return now-at >= h.terms.Duration })
	if n := len(h.outstanding); n == 0 || h.outstanding[n-1] < now {
		h.outstanding = append(h.outstanding[max(0, n+1-maxOutstanding):], now)
	}
	return now
}

// RecordGrant takes the answer to a question: the lease counts from when that went out, once the state is applied up to need.
func (h *Holder) RecordGrant(requestedAt time.Duration, requiredIndex uint64, duration, now time.Duration) {
	i := slices.Index(h.outstanding, requestedAt)
	if i < 0 {
		return
	}
	h.outstanding = slices.Delete(slices.Clone(h.outstanding), 0, i+1) // what was asked before is answered no better
	g := grant{requestedAt + min(duration, h.terms.Duration), requiredIndex}
	// Of two that end in this order, the one that needs no less says nothing more.
	h.grants = slices.DeleteFunc(slices.Clone(h.grants), func(o grant) bool {
		return o.expiresAt <= now || o.expiresAt <= g.expiresAt && o.requiredIndex >= g.requiredIndex
	})
	if g.expiresAt > now && !slices.ContainsFunc(h.grants, func(o grant) bool { return o.expiresAt >= g.expiresAt && o.requiredIndex <= g.requiredIndex }) {
		h.grants = append(h.grants, g)
	}
}

// Until is to when the holder may act, its state being applied up to an index; in the past or 0 if it may not.
func (h *Holder) Until(applied uint64) time.Duration {
	until := time.Duration(0)
	for _, g := range h.grants {
		if applied >= g.requiredIndex {
			until = max(until, g.expiresAt)
		}
	}
	return until
}

// HolderID is a holder: one process of a sender.
type HolderID struct {
	Name        string
	Incarnation uint64
}

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

// ActiveLease is one that a fence waits for.
type ActiveLease struct {
	HolderID                // Name is empty for those that an earlier leader may have granted
	Remaining time.Duration // until its lease has surely lapsed
	MinIndex  uint64        // below which it does not act
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
