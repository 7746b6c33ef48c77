package knowledge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Telling is what a sender has to tell others, with versions: a change that matters to them gets the next one, and who
// has heard all up to a version is told what came after. Nothing that only grows older is a change, so senders of quiet
// receivers tell each other next to nothing. It is not for concurrent use.
type Telling struct {
	version uint64
	at      map[slot]*told
}

type told struct {
	Fact         // as it is now
	as      Fact // as it was last told
	version uint64
}

// NewTelling makes one that has nothing to tell.
func NewTelling() *Telling { return &Telling{at: map[slot]*told{}} }

// Version is that of the newest change.
func (t *Telling) Version() uint64 { return t.version }

// Update takes all that a sender knows of its own; what is not among it any more is not told any more. It reports
// whether there is something new to tell.
func (t *Telling) Update(facts []Fact, now time.Duration) bool {
	seen := make(map[slot]struct{}, len(facts))
	for _, f := range facts {
		if f.Source.Own() && f.Trust(now) >= LeastTrust {
			seen[slot{f.Subject, f.Sort}] = struct{}{}
		}
	}
	changed := t.Add(facts, now)
	for at := range t.at {
		if _, ok := seen[at]; !ok {
			delete(t.at, at)
		}
	}
	return changed
}

// Add takes some of what a sender knows of its own, as it comes to know it, and reports whether there is something new to
// tell.
func (t *Telling) Add(facts []Fact, now time.Duration) bool {
	before := t.version
	for _, f := range facts {
		if !f.Source.Own() || f.Trust(now) < LeastTrust {
			continue
		}
		at := slot{f.Subject, f.Sort}
		old := t.at[at]
		if old != nil && !news(&old.as, &f) {
			old.Fact = f // whoever begins to listen now hears it at its age
			continue
		}
		t.version++
		t.at[at] = &told{f, f, t.version}
	}
	return t.version != before
}

// news reports whether a fact says something that matters beyond what was told before, or the trust in that has fallen
// so far that it is to be confirmed.
func news(old, f *Fact) bool {
	differs := func(a, b, by float64) bool { return math.Abs(a-b) > by*max(math.Abs(a), math.Abs(b)) }
	if f.Sort != Wait && f.At-old.At > halfLife[f.Sort]/2 {
		return true
	}
	switch f.Sort {
	case Wait:
		return f.Until > old.Until+50*time.Millisecond
	case Health:
		return f.State != old.State
	case Limit:
		return differs(f.PerSecond, old.PerSecond, 0.1)
	case Bears:
		return differs(f.Window, old.Window, 0.5)
	case Pace:
		return differs(f.Median.Seconds(), old.Median.Seconds(), 0.25) || differs(f.Bound.Seconds(), old.Bound.Seconds(), 0.25)
	}
	return false
}

// After gives what came after a version, the oldest first and so many at most, and the version up to which that is all.
func (t *Telling) After(version uint64, most int) (facts []Fact, upTo uint64) {
	var newer []*told
	for _, e := range t.at {
		if e.version > version {
			newer = append(newer, e)
		}
	}
	slices.SortFunc(newer, func(a, b *told) int { return cmp.Compare(a.version, b.version) })
	upTo = t.version
	if len(newer) > most {
		newer = newer[:most]
		upTo = newer[most-1].version
	}
	for _, e := range newer {
		facts = append(facts, e.Fact)
	}
	return facts, upTo
}
