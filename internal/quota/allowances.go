package quota

import (
	"sync"
	"sync/atomic"
	"time"
)

// Allowances is all purses of a sender. Calls take from it in their own goroutines, at the moment of writing; the loop tells it what waits;
// the asker tops it up. Each purse has a lock of its own, that is held for some instructions.
type Allowances struct {
	drift   float64
	entries atomic.Pointer[map[string]*allowanceEntry]
	wanted  func(key string) // something is wanted of a limit now; it never waits
}

// allowanceEntry is one limit here.
type allowanceEntry struct {
	mu         sync.Mutex
	limit      Limit
	allowance  *Allowance
	reserved   bool
	missing    int64        // units that were not there, since the last question
	rotating   bool         // units go by turns
	waiting    atomic.Int64 // units of the messages that wait
	largestUse int64        // units of the largest of late

	used, rejected uint64 // in all
	underusedSince time.Duration
	observedLimit  float64
	observedAt     time.Duration
}

// NewAllowances makes a till without limits. poke is called, from any goroutine, as soon as units of a limit are wanted.
func NewAllowances(drift float64, wanted func(key string)) *Allowances {
	t := &Allowances{drift: drift, wanted: wanted}
	t.entries.Store(&map[string]*allowanceEntry{})
	return t
}

// SetLimits takes over what is limited now. floor is whether this sender is among those with a floor.
func (t *Allowances) SetLimits(all []Limit, floor func(Limit) bool, now time.Duration) {
	was := *t.entries.Load()
	is := make(map[string]*allowanceEntry, len(all))
	for _, l := range all {
		s, own := was[l.Key], floor(l)
		if s == nil {
			s = &allowanceEntry{limit: l, reserved: own, allowance: NewAllowance(l, t.drift, own, now), largestUse: 1}
		} else {
			s.mu.Lock()
			if s.limit != l || s.reserved != own {
				s.limit, s.reserved = l, own
				s.allowance.SetLimit(l, t.drift, own, now)
			}
			s.mu.Unlock()
		}
		is[l.Key] = s
	}
	t.entries.Store(&is)
}

func (t *Allowances) entry(key string) *allowanceEntry { return (*t.entries.Load())[key] }

// Usage is some units of one limit.
type Usage struct {
	Key   string
	Units int64
}

// Take uses units of several limits, all or none; lacks is one that has none left.
func (t *Allowances) Take(uses []Usage, now time.Duration) (ok bool, lacks string) {
	for i, u := range uses {
		s := t.entry(u.Key)
		if s == nil {
			continue // it is limited no longer
		}
		s.mu.Lock()
		took := s.allowance.Take(u.Units, now)
		if took {
			s.used += uint64(u.Units)
		} else {
			s.rejected++
			s.missing = max(s.missing, u.Units)
		}
		poke := !took || s.rotating
		s.mu.Unlock()
		if poke {
			t.wanted(u.Key)
		}
		if !took {
			t.Undo(uses[:i], now)
			return false, u.Key
		}
	}
	return true, ""
}

// Release is that a call has ended which took these.
func (t *Allowances) Release(uses []Usage, now time.Duration) {
	for _, u := range uses {
		if s := t.entry(u.Key); s != nil {
			s.mu.Lock()
			s.allowance.Release(u.Units, now)
			s.mu.Unlock()
		}
	}
}

// Undo is that these were taken and the call was not written after all.
func (t *Allowances) Undo(uses []Usage, now time.Duration) {
	for _, u := range uses {
		if s := t.entry(u.Key); s != nil {
			s.mu.Lock()
			s.allowance.Undo(u.Units, now)
			s.used -= uint64(u.Units)
			s.mu.Unlock()
		}
	}
}

// AddWaiting notes that messages with so many units more, or fewer, wait for a limit, and what one of them needs.
func (t *Allowances) AddWaiting(key string, units, piece int64) {
	s := t.entry(key)
	if s == nil {
		return
	}
	if n := s.waiting.Add(units); n == units && units > 0 {
		t.wanted(key) // the first
	}
	if units > 0 && piece > 1 {
		s.mu.Lock()
		s.largestUse = max(s.largestUse, piece)
		s.mu.Unlock()
	}
}

// SetWaiting puts what waits in place of what was noted.
func (t *Allowances) SetWaiting(waiting map[string]int64) {
	for key, s := range *t.entries.Load() {
		if s.waiting.Swap(waiting[key]) == 0 && waiting[key] > 0 {
			t.wanted(key)
		}
	}
}

// ObserveLimit is that a receiver told this sender its limit.
func (t *Allowances) ObserveLimit(key string, perSecond float64, now time.Duration) {
	if s := t.entry(key); s != nil {
		s.mu.Lock()
		s.observedLimit, s.observedAt = perSecond, now
		s.mu.Unlock()
	}
}
