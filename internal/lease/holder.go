package lease

import (
	"slices"
	"time"
)

// maxOutstanding is how many unanswered requests a holder remembers; an answer to an older one gives no lease.
const maxOutstanding = 8

// Holder is the side that acts. It is not safe for concurrent use.
type Holder struct {
	terms       Terms
	outstanding []time.Duration // when the unanswered requests went out, which also identifies them; oldest first
	grants      []grant         // that have not expired
}

// grant is a lease that counts once the log is applied up to requiredIndex.
type grant struct {
	expiresAt     time.Duration
	requiredIndex uint64
}

// NewHolder makes the holder of a process that has just begun: it holds no lease.
func NewHolder(t Terms) *Holder { return &Holder{terms: t} }

// Request records that a request goes out now, and returns the time that identifies it. Two requests of one moment are one.
func (h *Holder) Request(now time.Duration) time.Duration {
	// The answer to a request that is as old as a lease is long gives none.
	h.outstanding = slices.DeleteFunc(slices.Clone(h.outstanding), func(at time.Duration) bool { return now-at >= h.terms.Duration })
	if n := len(h.outstanding); n == 0 || h.outstanding[n-1] < now {
		h.outstanding = append(h.outstanding[max(0, n+1-maxOutstanding):], now)
	}
	return now
}

// RecordGrant takes the answer to a request: the lease counts from when that went out, for duration or Terms.Duration if that is shorter,
// once the log is applied up to requiredIndex. An answer to an unknown request is ignored.
func (h *Holder) RecordGrant(requestedAt time.Duration, requiredIndex uint64, duration, now time.Duration) {
	i := slices.Index(h.outstanding, requestedAt)
	if i < 0 {
		return
	}
	h.outstanding = slices.Delete(slices.Clone(h.outstanding), 0, i+1) // answers to earlier requests would be no better
	g := grant{requestedAt + min(duration, h.terms.Duration), requiredIndex}
	// A grant that ends no later and requires no less than another says nothing more.
	h.grants = slices.DeleteFunc(slices.Clone(h.grants), func(o grant) bool {
		return o.expiresAt <= now || o.expiresAt <= g.expiresAt && o.requiredIndex >= g.requiredIndex
	})
	if g.expiresAt > now && !slices.ContainsFunc(h.grants, func(o grant) bool { return o.expiresAt >= g.expiresAt && o.requiredIndex <= g.requiredIndex }) {
		h.grants = append(h.grants, g)
	}
}

// Until is until when the holder may act with the log applied up to an index; a time that is past, or 0, means that it may not.
func (h *Holder) Until(appliedIndex uint64) time.Duration {
	until := time.Duration(0)
	for _, g := range h.grants {
		if appliedIndex >= g.requiredIndex {
			until = max(until, g.expiresAt)
		}
	}
	return until
}
