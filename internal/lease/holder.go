package lease

import (
	"slices"
	"time"
)

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
