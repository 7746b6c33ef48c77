package quota

import (
	"maps"
	"slices"
	"time"
)

// Share is this sender's current share of a limit: it may use Units within any CoolDown.
type Share struct {
	Key       string
	Units     int64         // granted and reserved
	CoolDown  time.Duration // Units/CoolDown is a rate
	ExpiresAt time.Duration // of the grant
	Rotating  bool
}

// Share returns this sender's share of a limit; ok is false if there is no such limit.
func (a *Allowances) Share(key string, now time.Duration) (share Share, ok bool) {
	e := a.entry(key)
	if e == nil {
		return Share{}, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.allowance.expireUsage(now)
	return Share{key, e.allowance.capacity(now), e.limit.CoolDown(a.drift), e.allowance.expiresAt, e.rotating}, true
}

// NextAvailable returns the earliest time at which a unit may be used; Never if that requires another grant.
func (a *Allowances) NextAvailable(key string, now time.Duration) time.Duration {
	e := a.entry(key)
	if e == nil {
		return now
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, next := e.allowance.Available(now)
	return next
}

// Keys returns the keys of all limits, sorted.
func (a *Allowances) Keys() []string {
	return slices.Sorted(maps.Keys(*a.entries.Load()))
}

// AllowanceStatus is the state of a limit at this sender. Counts are in units, except Rejected.
type AllowanceStatus struct {
	Limit     Limit
	Granted   int64
	InUse     int64         // granted units in flight or cooling
	Remaining time.Duration // of the grant
	Waiting   int64         // backlog
	Used      uint64        // by this process
	Rejected  uint64        // calls that were not written because no unit was available
	Rotating  bool
}

// Statuses returns the state of all limits, sorted by key.
func (a *Allowances) Statuses(now time.Duration) []AllowanceStatus {
	var all []AllowanceStatus
	for _, e := range *a.entries.Load() {
		e.mu.Lock()
		granted, inUse, expiresAt := e.allowance.Status(now)
		all = append(all, AllowanceStatus{e.limit, granted, inUse, max(0, expiresAt-now), e.waiting.Load(), e.used, e.rejected, e.rotating})
		e.mu.Unlock()
	}
	slices.SortFunc(all, func(x, y AllowanceStatus) int { return compareKeys(x.Limit, y.Limit) })
	return all
}
