package knowledge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ChangeLog is what a sender has to tell others, with versions: a change that matters to them gets the next one, and who has
// heard all up to a version is told what came after. That a fact grows older is no change, so senders of quiet receivers tell
// each other next to nothing. It is not for concurrent use.
type ChangeLog struct {
	version uint64
	entries map[slot]*changeEntry
}

// changeEntry is a fact and its last change.
type changeEntry struct {
	Fact           // as it is now
	published Fact // as it was last told
	version   uint64
}

// NewChangeLog makes one that has nothing to tell.
func NewChangeLog() *ChangeLog { return &ChangeLog{entries: map[slot]*changeEntry{}} }

// Version is that of the newest change, 0 before any.
func (t *ChangeLog) Version() uint64 { return t.version }

// Update takes all of a sender's own facts; what is not among them any more is not told any more. It reports whether there is
// something new to tell.
func (t *ChangeLog) Update(facts []Fact, now time.Duration) bool {
	seen := make(map[slot]struct{}, len(facts))
	for _, f := range facts {
		if f.Source.Own() && f.Trust(now) >= MinTrust {
			seen[slot{f.Subject, f.Kind}] = struct{}{}
		}
	}
	changed := t.Add(facts, now)
	for at := range t.entries {
		if _, ok := seen[at]; !ok {
			delete(t.entries, at)
		}
	}
	return changed
}

// Add takes some of a sender's own facts, as it comes to know them, and reports whether there is something new to tell.
func (t *ChangeLog) Add(facts []Fact, now time.Duration) bool {
	before := t.version
	for _, f := range facts {
		if !f.Source.Own() || f.Trust(now) < MinTrust {
			continue
		}
		at := slot{f.Subject, f.Kind}
		old := t.entries[at]
		if old != nil && !isSignificant(&old.published, &f) {
			old.Fact = f // whoever begins to listen now hears it at its age
			continue
		}
		t.version++
		t.entries[at] = &changeEntry{f, f, t.version}
	}
	return t.version != before
}

// isSignificant reports whether a fact says something that matters beyond what was told before, or the trust in that has
// fallen so far that it is to be confirmed.
func isSignificant(old, f *Fact) bool {
	differs := func(a, b, by float64) bool { return math.Abs(a-b) > by*max(math.Abs(a), math.Abs(b)) }
	if f.Kind != RetryAfter && f.ObservedAt-old.ObservedAt > trustHalfLife[f.Kind]/2 {
		return true
	}
	switch f.Kind {
	case RetryAfter:
		return f.Until > old.Until+50*time.Millisecond
	case Health:
		return f.State != old.State
	case RateLimit:
		return differs(f.PerSecond, old.PerSecond, 0.1)
	case Concurrency:
		return differs(f.Window, old.Window, 0.5)
	case Latency:
		return differs(f.Median.Seconds(), old.Median.Seconds(), 0.25) || differs(f.Timeout.Seconds(), old.Timeout.Seconds(), 0.25)
	}
	return false
}

// After gives the facts that came after a version, the oldest change first and so many at most, and the version up to which
// that is all.
func (t *ChangeLog) After(version uint64, maxFacts int) (facts []Fact, upTo uint64) {
	var newer []*changeEntry
	for _, e := range t.entries {
		if e.version > version {
			newer = append(newer, e)
		}
	}
	slices.SortFunc(newer, func(a, b *changeEntry) int { return cmp.Compare(a.version, b.version) })
	upTo = t.version
	if len(newer) > maxFacts {
		newer = newer[:maxFacts]
		upTo = newer[maxFacts-1].version
	}
	for _, e := range newer {
		facts = append(facts, e.Fact)
	}
	return facts, upTo
}
