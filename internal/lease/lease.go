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
	Length time.Duration // at the holder
	Drift  float64       // a clock runs at most so much faster or slower than true time: 0.01 for 1%
}

// DefaultDrift is what clocks are allowed: a hundred times what NTP's kernel discipline steers by at most (500 ppm), twice the 1%
// that the fleet is tested at.
const DefaultDrift = 0.02

// Wait is how long a granter counts a lease. A holder's clock that is slow by the drift runs Length in Length/(1-d) of true
// time, in which a granter's clock that is fast by it shows Length*(1+d)/(1-d).
func (t Terms) Wait() time.Duration {
	return time.Duration(math.Ceil(float64(t.Length) * (1 + t.Drift) / (1 - t.Drift)))
}

// questions is how many unanswered ones a holder remembers: an answer to an older one counts no more.
const questions = 8

// Holder is the side that acts.
type Holder struct {
	terms Terms
	asked []time.Duration // when the unanswered questions went out, which is also what they are known by; the oldest first
	held  []grant         // not lapsed
}

type grant struct {
	until time.Duration
	need  uint64
}

// NewHolder makes one that holds none: a process that has just begun.
func NewHolder(t Terms) *Holder { return &Holder{terms: t} }

// Ask notes that a question goes out now, and gives the time by which its answer is known. Two that go out in one moment are one.
func (h *Holder) Ask(now time.Duration) time.Duration {
	// An answer to one that is as old as a lease gives none.
	h.asked = slices.DeleteFunc(slices.Clone(h.asked), func(at time.Duration) bool { return now-at >= h.terms.Length })
	if n := len(h.asked); n == 0 || h.asked[n-1] < now {
		h.asked = append(h.asked[max(0, n+1-questions):], now)
	}
	return now
}

// Granted takes the answer to a question: the lease counts from when that went out, once the state is applied up to need.
func (h *Holder) Granted(asked time.Duration, need uint64, length, now time.Duration) {
	i := slices.Index(h.asked, asked)
	if i < 0 {
		return
	}
	h.asked = slices.Delete(slices.Clone(h.asked), 0, i+1) // what was asked before is answered no better
	g := grant{asked + min(length, h.terms.Length), need}
	// Of two that end in this order, the one that needs no less says nothing more.
	h.held = slices.DeleteFunc(slices.Clone(h.held), func(o grant) bool { return o.until <= now || o.until <= g.until && o.need >= g.need })
	if g.until > now && !slices.ContainsFunc(h.held, func(o grant) bool { return o.until >= g.until && o.need <= g.need }) {
		h.held = append(h.held, g)
	}
}

// Until is to when the holder may act, its state being applied up to an index; in the past or 0 if it may not.
func (h *Holder) Until(applied uint64) time.Duration {
	until := time.Duration(0)
	for _, g := range h.held {
		if applied >= g.need {
			until = max(until, g.until)
		}
	}
	return until
}

// Who is a holder: one process of a sender.
type Who struct {
	Name string
	Life uint64
}

// Granter is the side that grants: the voter that leads, from its election on. Each new leader begins a new one.
type Granter struct {
	terms Terms
	quiet time.Duration // until then there may be leases of an earlier leader, of which this one knows nothing
	by    map[Who][]floor
}

// floor is a lease as granted: until then its holder may act at an index, and no lower one. Those of a holder stand in the
// order of their ends, and of their indexes.
type floor struct {
	until time.Duration
	index uint64
}

// NewGranter makes one for a leader that was elected now.
func NewGranter(t Terms, now time.Duration) *Granter {
	return &Granter{terms: t, quiet: now + t.Wait(), by: map[Who][]floor{}}
}

// Asked takes a question in: from now on its asker acts at acts or higher, under whatever leases it has.
func (g *Granter) Asked(w Who, acts uint64) {
	fs := g.by[w]
	for i, f := range fs {
		fs[i].index = max(f.index, acts)
	}
	for len(fs) > 1 && fs[len(fs)-2].index >= fs[len(fs)-1].index { // ends sooner and is no lower
		fs = slices.Delete(fs, len(fs)-2, len(fs)-1)
	}
	if len(fs) > 0 {
		g.by[w] = fs
	}
}

// Grant grants a lease now; applied is how far the granter is, at a moment after the question in which it surely led. The
// lease counts only once its holder has come as far, which is what it is told as need.
func (g *Granter) Grant(w Who, applied uint64, now time.Duration) (need uint64) {
	n := floor{now + g.terms.Wait(), applied}
	// It lasts longer than those before it: they say more only where they are lower.
	fs := slices.DeleteFunc(g.by[w], func(f floor) bool { return f.until <= now || f.index >= n.index })
	fs = append(fs, n)
	g.by[w] = fs
	return applied
}

// Holding is one that a fence waits for.
type Holding struct {
	Who                 // Name is empty for those that an earlier leader may have granted
	Left  time.Duration // until its lease has surely lapsed
	Index uint64        // below which it does not act
}

// Below names those who may act below an index, the one that lapses last first. The fence is passed when there is none.
func (g *Granter) Below(index uint64, now time.Duration) []Holding {
	var all []Holding
	if now < g.quiet {
		all = append(all, Holding{Left: g.quiet - now})
	}
	for _, h := range g.Holders(now) {
		if h.Index < index {
			all = append(all, h)
		}
	}
	return all
}

// Quiet reports whether there may still be leases of an earlier leader.
func (g *Granter) Quiet(now time.Duration) bool { return now < g.quiet }

// Holders names all whose lease has not lapsed, the one that lapses last first, and forgets the others.
func (g *Granter) Holders(now time.Duration) []Holding {
	var all []Holding
	for w, fs := range g.by {
		h := Holding{Who: w, Index: math.MaxUint64}
		for _, f := range fs {
			if f.until > now {
				h.Left, h.Index = max(h.Left, f.until-now), min(h.Index, f.index)
			}
		}
		if h.Left == 0 {
			delete(g.by, w)
			continue
		}
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), cmp.Compare(a.Name, b.Name), cmp.Compare(a.Life, b.Life))
	})
	return all
}
