package knowledge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ChangeLog is the log of a sender's own facts with versions, for its peers. Each significant change gets the next version, and a
// peer that has everything up to a version is sent the changes after it. Ageing of a fact is no change, so senders whose receivers
// do not change exchange almost nothing. It is not safe for concurrent use.
type ChangeLog struct {
	version uint64
	entries map[slot]*changeEntry
}

// changeEntry is a fact and its last change.
type changeEntry struct {
	Fact           // current
	published Fact // as of its version
	version   uint64
}

// NewChangeLog returns an empty ChangeLog.
func NewChangeLog() *ChangeLog { return &ChangeLog{entries: map[slot]*changeEntry{}} }

// Version returns the version of the newest change, 0 before any.
func (l *ChangeLog) Version() uint64 { return l.version }

// Update replaces the facts by all of a sender's own facts; entries that are not among them are dropped. It reports whether there is
// a significant change.
func (l *ChangeLog) Update(facts []Fact, now time.Duration) bool {
	seen := make(map[slot]struct{}, len(facts))
	for _, f := range facts {
		if f.Source.Own() && f.Trust(now) >= MinTrust {
			seen[slot{f.Subject, f.Kind}] = struct{}{}
		}
	}
	changed := l.Add(facts, now)
	for at := range l.entries {
		if _, ok := seen[at]; !ok {
			delete(l.entries, at)
		}
	}
	return changed
}

// Add adds some of a sender's own facts as they are observed, and reports whether there is a significant change.
func (l *ChangeLog) Add(facts []Fact, now time.Duration) bool {
	before := l.version
	for _, f := range facts {
		if !f.Source.Own() || f.Trust(now) < MinTrust {
			continue
		}
		at := slot{f.Subject, f.Kind}
		old := l.entries[at]
		if old != nil && !isSignificant(&old.published, &f) {
			old.Fact = f // a peer that starts to follow now gets the current fact
			continue
		}
		l.version++
		l.entries[at] = &changeEntry{f, f, l.version}
	}
	return l.version != before
}

// isSignificant reports whether a fact must be published: it differs enough from the published one, or confirms it after so long that
// the trust of peers in the published one has fallen.
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

// After returns at most maxFacts facts that changed after version, the oldest change first, and the version up to which they are
// complete.
func (l *ChangeLog) After(version uint64, maxFacts int) (facts []Fact, upTo uint64) {
	var newer []*changeEntry
	for _, e := range l.entries {
		if e.version > version {
			newer = append(newer, e)
		}
	}
	slices.SortFunc(newer, func(a, b *changeEntry) int { return cmp.Compare(a.version, b.version) })
	upTo = l.version
	if len(newer) > maxFacts {
		newer = newer[:maxFacts]
		upTo = newer[maxFacts-1].version
	}
	for _, e := range newer {
		facts = append(facts, e.Fact)
	}
	return facts, upTo
}
