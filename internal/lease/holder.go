package lease

import (
	"slices"
	"time"
)

// maxOutstanding is how many outstanding requests a holder remembers; a reply to an older one gives no lease.
const maxOutstanding = 8

// Holder is the side of a lease that acts under it. It is not safe for concurrent use.
type Holder struct {
	terms       Terms
	outstanding []time.Duration // send times of the outstanding requests, which also identify them; oldest first
	grants      []grant         // leases that had not expired at the last RecordGrant
}

// grant is a lease that is valid once the log is applied up to requiredIndex.
type grant struct {
	expiresAt     time.Duration
	requiredIndex uint64
}

// NewHolder returns the holder of a process that has just started: it holds no lease.
func NewHolder(t Terms) *Holder { return &Holder{terms: t} }

// Request records that a request is sent now, and returns the time that identifies it. Two requests at the same time have the same identity.
func (h *Holder) Request(now time.Duration) time.Duration {
	// A lease granted for a request older than Duration has already expired.
	h.outstanding = slices.DeleteFunc(slices.Clone(h.outstanding), func(at time.Duration) bool { return now-at >= h.terms.Duration })
	if n := len(h.outstanding); n == 0 || h.outstanding[n-1] < now {
		h.outstanding = append(h.outstanding[max(0, n+1-maxOutstanding):], now)
	}
	return now
}

// RecordGrant records the reply to a request. The lease lasts for duration, at most Terms.Duration, from when the request was sent, and is
// valid once the log is applied up to requiredIndex. A reply to an unknown request is ignored.
func (h *Holder) RecordGrant(requestedAt time.Duration, requiredIndex uint64, duration, now time.Duration) {
	i := slices.Index(h.outstanding, requestedAt)
	if i < 0 {
		return
	}
	h.outstanding = slices.Delete(slices.Clone(h.outstanding), 0, i+1) // replies to earlier requests would give no better lease
	g := grant{requestedAt + min(duration, h.terms.Duration), requiredIndex}
	// A grant is redundant if another expires no earlier and requires no higher index.
	h.grants = slices.DeleteFunc(slices.Clone(h.grants), func(o grant) bool {
		return o.expiresAt <= now || o.expiresAt <= g.expiresAt && o.requiredIndex >= g.requiredIndex
	})
	if g.expiresAt > now && !slices.ContainsFunc(h.grants, func(o grant) bool { return o.expiresAt >= g.expiresAt && o.requiredIndex <= g.requiredIndex }) {
		h.grants = append(h.grants, g)
	}
}

// Until returns the time until which the holder may act with the log applied up to appliedIndex. The holder may not act if that time has
// passed or is 0.
func (h *Holder) Until(appliedIndex uint64) time.Duration {
	until := time.Duration(0)
	for _, g := range h.grants {
		if appliedIndex >= g.requiredIndex {
			until = max(until, g.expiresAt)
		}
	}
	return until
}
