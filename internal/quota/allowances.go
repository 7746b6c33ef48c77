package quota

import (
	"sync"
	"sync/atomic"
	"time"
)

// Allowances contains a sender's allowance of each limit. It is safe for concurrent use: calls take units in their own goroutines when they
// are written, the event loop updates the backlog, and the Client renews the grants. Each entry has its own mutex, held only for a few
// instructions; the map of entries is replaced, never modified.
type Allowances struct {
	drift   float64
	entries atomic.Pointer[map[string]*allowanceEntry]
	wanted  func(key string) // called when units of a limit are wanted; it does not block
}

// allowanceEntry is the state of one limit; mu guards the fields below it, except waiting.
type allowanceEntry struct {
	mu         sync.Mutex
	limit      Limit
	allowance  *Allowance
	reserved   bool
	missing    int64        // units of the largest call rejected since the last request
	rotating   bool         // there are not enough units for all senders, so the units rotate among them
	waiting    atomic.Int64 // units of the backlog
	largestUse int64        // units of the largest recent message

	used, rejected uint64        // total units used and total calls rejected
	underusedSince time.Duration // start of the underuse of granted units despite a backlog; 0: no underuse
	observedLimit  float64       // calls per second, as reported by the receiver; 0: none was reported
	observedAt     time.Duration
}

// NewAllowances returns allowances without limits. wanted is called, from any goroutine, as soon as units of a limit are wanted.
func NewAllowances(drift float64, wanted func(key string)) *Allowances {
	a := &Allowances{drift: drift, wanted: wanted}
	a.entries.Store(&map[string]*allowanceEntry{})
	return a
}

// SetLimits replaces the limits. reserved reports whether this sender is among those with a reserve of a limit.
func (a *Allowances) SetLimits(all []Limit, reserved func(Limit) bool, now time.Duration) {
	former := *a.entries.Load()
	entries := make(map[string]*allowanceEntry, len(all))
	for _, l := range all {
		e, own := former[l.Key], reserved(l)
		if e == nil {
			e = &allowanceEntry{limit: l, reserved: own, allowance: NewAllowance(l, a.drift, own, now), largestUse: 1}
		} else {
			e.mu.Lock()
			if e.limit != l || e.reserved != own {
				e.limit, e.reserved = l, own
				e.allowance.SetLimit(l, a.drift, own, now)
			}
			e.mu.Unlock()
		}
		entries[l.Key] = e
	}
	a.entries.Store(&entries)
}

func (a *Allowances) entry(key string) *allowanceEntry { return (*a.entries.Load())[key] }

// Usage is the units of one limit that a call uses.
type Usage struct {
	Key   string
	Units int64
}

// Take uses units of several limits, either all or none. If units of a limit are not available, exhausted is the key of the first such
// limit. Limits that do not exist any more are skipped.
func (a *Allowances) Take(uses []Usage, now time.Duration) (ok bool, exhausted string) {
	for i, u := range uses {
		e := a.entry(u.Key)
		if e == nil {
			continue
		}
		e.mu.Lock()
		taken := e.allowance.Take(u.Units, now)
		if taken {
			e.used += uint64(u.Units)
		} else {
			e.rejected++
			e.missing = max(e.missing, u.Units)
		}
		wanted := !taken || e.rotating
		e.mu.Unlock()
		if wanted {
			a.wanted(u.Key)
		}
		if !taken {
			a.Undo(uses[:i], now)
			return false, u.Key
		}
	}
	return true, ""
}

// Release records the end of a call that took these units.
func (a *Allowances) Release(uses []Usage, now time.Duration) {
	for _, u := range uses {
		if e := a.entry(u.Key); e != nil {
			e.mu.Lock()
			e.allowance.Release(u.Units, now)
			e.mu.Unlock()
		}
	}
}

// Undo returns units that were taken for a call which was not written.
func (a *Allowances) Undo(uses []Usage, now time.Duration) {
	for _, u := range uses {
		if e := a.entry(u.Key); e != nil {
			e.mu.Lock()
			e.allowance.Undo(u.Units, now)
			e.used -= uint64(u.Units)
			e.mu.Unlock()
		}
	}
}

// AddWaiting changes the backlog of a limit by units, which may be negative; perMessage is the number of units that one message needs.
func (a *Allowances) AddWaiting(key string, units, perMessage int64) {
	e := a.entry(key)
	if e == nil {
		return
	}
	if n := e.waiting.Add(units); n == units && units > 0 {
		a.wanted(key)
	}
	if units > 0 && perMessage > 1 {
		e.mu.Lock()
		e.largestUse = max(e.largestUse, perMessage)
		e.mu.Unlock()
	}
}

// SetWaiting replaces the backlog of all limits, in units by key.
func (a *Allowances) SetWaiting(waiting map[string]int64) {
	for key, e := range *a.entries.Load() {
		if e.waiting.Swap(waiting[key]) == 0 && waiting[key] > 0 {
			a.wanted(key)
		}
	}
}

// ObserveLimit records a limit that a receiver reported to this sender, in calls per second.
func (a *Allowances) ObserveLimit(key string, perSecond float64, now time.Duration) {
	if e := a.entry(key); e != nil {
		e.mu.Lock()
		e.observedLimit, e.observedAt = perSecond, now
		e.mu.Unlock()
	}
}
