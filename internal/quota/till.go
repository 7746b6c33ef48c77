package quota

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Till is all purses of a sender. Calls take from it in their own goroutines, at the moment of writing; the loop tells it what waits;
// the asker tops it up. Each purse has a lock of its own, that is held for some instructions.
type Till struct {
	drift float64
	slots atomic.Pointer[map[string]*slot]
	poke  func(key string) // something is wanted of a limit now; it never waits
}

// slot is one limit here.
type slot struct {
	mu      sync.Mutex
	limit   Limit
	purse   *Purse
	floor   bool
	lacked  int64        // units that were not there, since the last question
	turns   bool         // units go by turns
	waiting atomic.Int64 // units of the messages that wait
	most    int64        // units of the largest of late

	used, refused uint64 // in all
	idle          time.Duration
	told          float64
	toldAt        time.Duration
}

// NewTill makes a till without limits. poke is called, from any goroutine, as soon as units of a limit are wanted.
func NewTill(drift float64, poke func(key string)) *Till {
	t := &Till{drift: drift, poke: poke}
	t.slots.Store(&map[string]*slot{})
	return t
}

// Limits takes over what is limited now. floor is whether this sender is among those with a floor.
func (t *Till) Limits(all []Limit, floor func(Limit) bool, now time.Duration) {
	was := *t.slots.Load()
	is := make(map[string]*slot, len(all))
	for _, l := range all {
		s, own := was[l.Key], floor(l)
		if s == nil {
			s = &slot{limit: l, floor: own, purse: NewPurse(l, t.drift, own, now), most: 1}
		} else {
			s.mu.Lock()
			if s.limit != l || s.floor != own {
				s.limit, s.floor = l, own
				s.purse.Change(l, t.drift, own, now)
			}
			s.mu.Unlock()
		}
		is[l.Key] = s
	}
	t.slots.Store(&is)
}

func (t *Till) slot(key string) *slot { return (*t.slots.Load())[key] }

// Use is some units of one limit.
type Use struct {
	Key   string
	Units int64
}

// Take uses units of several limits, all or none; lacks is one that has none left.
func (t *Till) Take(uses []Use, now time.Duration) (ok bool, lacks string) {
	for i, u := range uses {
		s := t.slot(u.Key)
		if s == nil {
			continue // it is limited no longer
		}
		s.mu.Lock()
		took := s.purse.Take(u.Units, now)
		if took {
			s.used += uint64(u.Units)
		} else {
			s.refused++
			s.lacked = max(s.lacked, u.Units)
		}
		poke := !took || s.turns
		s.mu.Unlock()
		if poke {
			t.poke(u.Key)
		}
		if !took {
			t.Undo(uses[:i], now)
			return false, u.Key
		}
	}
	return true, ""
}

// Over is that a call has ended which took these.
func (t *Till) Over(uses []Use, now time.Duration) {
	for _, u := range uses {
		if s := t.slot(u.Key); s != nil {
			s.mu.Lock()
			s.purse.Over(u.Units, now)
			s.mu.Unlock()
		}
	}
}

// Undo is that these were taken and the call was not written after all.
func (t *Till) Undo(uses []Use, now time.Duration) {
	for _, u := range uses {
		if s := t.slot(u.Key); s != nil {
			s.mu.Lock()
			s.purse.Undo(u.Units, now)
			s.used -= uint64(u.Units)
			s.mu.Unlock()
		}
	}
}

// Wait notes that messages with so many units more, or fewer, wait for a limit, and what one of them needs.
func (t *Till) Wait(key string, units, piece int64) {
	s := t.slot(key)
	if s == nil {
		return
	}
	if n := s.waiting.Add(units); n == units && units > 0 {
		t.poke(key) // the first
	}
	if units > 0 && piece > 1 {
		s.mu.Lock()
		s.most = max(s.most, piece)
		s.mu.Unlock()
	}
}

// Recount puts what waits in place of what was noted.
func (t *Till) Recount(waiting map[string]int64) {
	for key, s := range *t.slots.Load() {
		if s.waiting.Swap(waiting[key]) == 0 && waiting[key] > 0 {
			t.poke(key)
		}
	}
}

// Told is that a receiver told this sender its limit.
func (t *Till) Told(key string, perSecond float64, now time.Duration) {
	if s := t.slot(key); s != nil {
		s.mu.Lock()
		s.told, s.toldAt = perSecond, now
		s.mu.Unlock()
	}
}

// Share is what this sender may use of a limit just now.
type Share struct {
	Key   string
	Units int64         // in any rest
	Rest  time.Duration // so that it is Units/Rest a second
	Until time.Duration // the loan lapses
	Turns bool
}

// Share is of one limit; ok is false if that is not limited.
func (t *Till) Share(key string, now time.Duration) (sh Share, ok bool) {
	s := t.slot(key)
	if s == nil {
		return Share{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.purse.settle(now)
	return Share{key, s.purse.allowed(now), s.limit.Rest(t.drift), s.purse.until, s.turns}, true
}

// Next is when a unit may be used again at the earliest: Never if that takes a loan.
func (t *Till) Next(key string, now time.Duration) time.Duration {
	s := t.slot(key)
	if s == nil {
		return now
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, next := s.purse.Free(now)
	return next
}

// Keys are all limits.
func (t *Till) Keys() []string {
	var keys []string
	for k := range *t.slots.Load() {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Stand is a limit as this sender has it.
type Stand struct {
	Limit   Limit
	Units   int64
	Busy    int64
	Left    time.Duration
	Waiting int64
	Used    uint64
	Refused uint64 // calls that were not written for want of a unit
	Turns   bool
}

// Stands are all limits, by key.
func (t *Till) Stands(now time.Duration) []Stand {
	var all []Stand
	for _, s := range *t.slots.Load() {
		s.mu.Lock()
		units, busy, until := s.purse.Holds(now)
		all = append(all, Stand{s.limit, units, busy, max(0, until-now), s.waiting.Load(), s.used, s.refused, s.turns})
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b Stand) int { return byKey(a.Limit, b.Limit) })
	return all
}
