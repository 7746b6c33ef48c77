package quota

import (
	"slices"
	"time"
)

// Share is what this sender may use of a limit just now.
type Share struct {
	Key       string
	Units     int64         // in any rest
	CoolDown  time.Duration // so that it is Units/Rest a second
	ExpiresAt time.Duration // the loan lapses
	Rotating  bool
}

// Share is of one limit; ok is false if that is not limited.
func (t *Allowances) Share(key string, now time.Duration) (sh Share, ok bool) {
	s := t.entry(key)
	if s == nil {
		return Share{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allowance.expireUsage(now)
	return Share{key, s.allowance.capacity(now), s.limit.CoolDown(t.drift), s.allowance.expiresAt, s.rotating}, true
}

// NextAvailable is when a unit may be used again at the earliest: Never if that takes a loan.
func (t *Allowances) NextAvailable(key string, now time.Duration) time.Duration {
	s := t.entry(key)
	if s == nil {
		return now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, next := s.allowance.Available(now)
	return next
}

// Keys are all limits.
func (t *Allowances) Keys() []string {
	var keys []string
	for k := range *t.entries.Load() {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// AllowanceStatus is a limit as this sender has it.
type AllowanceStatus struct {
	Limit     Limit
	Units     int64
	InUse     int64
	Remaining time.Duration
	Waiting   int64
	Used      uint64
	Rejected  uint64 // calls that were not written for want of a unit
	Rotating  bool
}

// Statuses are all limits, by key.
func (t *Allowances) Statuses(now time.Duration) []AllowanceStatus {
	var all []AllowanceStatus
	for _, s := range *t.entries.Load() {
		s.mu.Lock()
		units, busy, until := s.allowance.Status(now)
		all = append(all, AllowanceStatus{s.limit, units, busy, max(0, until-now), s.waiting.Load(), s.used, s.rejected, s.rotating})
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b AllowanceStatus) int { return byKey(a.Limit, b.Limit) })
	return all
}
