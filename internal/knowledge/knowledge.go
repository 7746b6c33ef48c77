// Package knowledge is what senders know of receivers and tell each other: facts, each with the age of its evidence, how
// much of it there is, and whose it is. It merges several views into one and says how far a fact is still to be trusted.
//
// It knows no clock: times are spans on the holder's own clock, passed in; between senders only ages travel, so that no two clocks
// need agree. Of its types none is for concurrent use. The only I/O is Save and Load, of a snapshot (file.go).
//
//	knowledge.go   facts, their trust, and View, which keeps the best of each
//	changelog.go   ChangeLog: what a sender has to tell others
//	reports.go     Reports: what others tell of health, weighed against each other
//	codec.go       facts on the wire and in the snapshot
//	file.go        the snapshot's file
package knowledge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Subject is what a fact is about: a receiver, or one route of it where its endpoints are judged apart. Destinations and ids
// of endpoints are the same at every sender; addresses need not be.
type Subject struct {
	Destination uint32
	Endpoint    string // of a route apart; "" for the receiver as a whole
}

// Compare orders subjects by destination, then by endpoint.
func (s Subject) Compare(o Subject) int {
	return cmp.Or(cmp.Compare(s.Destination, o.Destination), cmp.Compare(s.Endpoint, o.Endpoint))
}

// Kind is a kind of fact. A source has one value of each for a subject.
type Kind uint8

// The kinds of facts. Their numbers are those of no file or wire: both have a field for each (proto saffronyard.knowledge.v1).
const (
	Latency     Kind = iota + 1 // how long calls take ("pace" to operators)
	Concurrency                 // how many calls at once were borne ("bears")
	RateLimit                   // the rate limit that the receiver told ("limit")
	RetryAfter                  // when the receiver asked to be called again ("wait")
	Health                      // whether it serves
)

// kindCount is one more than the highest kind: the length of a table by kind.
const kindCount = int(Health) + 1

var kindNames = [kindCount]string{Latency: "pace", Concurrency: "bears", RateLimit: "limit", RetryAfter: "wait", Health: "health"}

// String is the kind as operators are shown it.
func (k Kind) String() string {
	if int(k) < kindCount && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// State is a receiver's health. The numbers are those of the proto, and the order is from better to worse.
type State uint8

// The states, the better first; operators are shown "serves", "cold" and "out".
const (
	Healthy   State = iota + 1 // a call was served
	WarmingUp                  // it serves again after an outage, and warms up
	Unhealthy                  // an outage: calls fail, are refused or go unanswered
)

// String is the state as operators are shown it.
func (s State) String() string {
	if s < Healthy || s > Unhealthy {
		return "unknown"
	}
	return [...]string{Healthy: "serves", WarmingUp: "cold", Unhealthy: "out"}[s]
}

// Value is what a fact says. Only the fields of its kind are set. Times are on the holder's clock.
type Value struct {
	Mean, Median, Min, Timeout time.Duration // Latency; Timeout is the time-out that fits
	Window                     float64       // Concurrency: calls at once that were borne
	PerSecond                  float64       // RateLimit: calls a second, of all senders
	Until                      time.Duration // RetryAfter: its end
	State                      State         // Health
	Since                      time.Duration // Health: when it came to be so
	Rate                       float64       // Health: calls a second that were usually served for its holder, before any outage
}

// Fact is one piece of knowledge.
type Fact struct {
	Subject
	Kind
	ObservedAt time.Duration // of the newest evidence, on the holder's clock
	Calls      uint32        // how many calls it rests on
	Source     Source        // who observed it
	Value
}

// Source is who has observed what a fact tells: a sender, in one incarnation. Its own facts have the zero value.
type Source struct {
	Name        string
	Incarnation uint64 // grows with each start; that of an own earlier process is an own fact's
}

// Own reports whether the holder observed it itself, in this process or an earlier one.
func (s Source) Own() bool { return s == Source{} }

// trustHalfLife is how long a fact of a kind takes to count half as much.
//
// Latency is a matter of the machine that serves: it changes with a release, so an hour. Concurrency and rate limits depend on
// who else sends: some minutes. An outage of this deployment lasts 8 to 22 s, so what is older than one tells more of the past
// than of now.
var trustHalfLife = [kindCount]time.Duration{Latency: time.Hour, Concurrency: 5 * time.Minute, RateLimit: 30 * time.Minute, Health: 15 * time.Second}

// Trust is how far a fact counts at a time, from 1 for what is observed now to 0. A RetryAfter holds in full until its end,
// and not at all after it: it was not an estimate but a promise asked for.
func (f *Fact) Trust(now time.Duration) float64 {
	if f.Kind == RetryAfter {
		if now < f.Until {
			return 1
		}
		return 0
	}
	if f.Kind == 0 || int(f.Kind) >= kindCount {
		return 0
	}
	age := max(0, now-f.ObservedAt)
	return math.Exp2(-age.Seconds() / trustHalfLife[f.Kind].Seconds())
}

// MinTrust is the trust below which a fact counts for nothing: it is forgotten.
const MinTrust = 0.02

// Better is the order in which facts win: own evidence before hearsay, fresher before staler, better founded before worse. It
// is total over facts that differ in anything, so a merge is the same in whatever order facts come.
//
// Own evidence does not win for ever: it is held against hearsay as if it were ownFactAdvantage fresher. A RetryAfter that
// ends later wins whoever was told it.
func Better(a, b *Fact) bool { return compare(a, b) > 0 }

// ownFactAdvantage is by how much hearsay must be fresher than own evidence to win: longer than the telling takes, and shorter
// than an outage.
const ownFactAdvantage = 5 * time.Second

// compare is above 0 if a is better, below if b is, and 0 for equal facts.
func compare(a, b *Fact) int {
	if a.Kind == RetryAfter {
		if c := cmp.Compare(a.Until, b.Until); c != 0 {
			return c
		}
	}
	at := func(f *Fact) time.Duration {
		if f.Source.Own() {
			return f.ObservedAt + ownFactAdvantage
		}
		return f.ObservedAt
	}
	bool01 := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(at(a), at(b)), cmp.Compare(bool01(a.Source.Own()), bool01(b.Source.Own())),
		cmp.Compare(a.Calls, b.Calls), cmp.Compare(a.Value.State, b.Value.State), // of equals the worse health: it is the safe side
		cmp.Compare(a.Source.Incarnation, b.Source.Incarnation), cmp.Compare(a.Source.Name, b.Source.Name), compareValues(&a.Value, &b.Value))
}

// compareValues orders the values of facts that are equal in everything else.
func compareValues(a, b *Value) int {
	return cmp.Or(cmp.Compare(a.Mean, b.Mean), cmp.Compare(a.Median, b.Median), cmp.Compare(a.Min, b.Min),
		cmp.Compare(a.Timeout, b.Timeout), cmp.Compare(a.Window, b.Window), cmp.Compare(a.PerSecond, b.PerSecond),
		cmp.Compare(a.Until, b.Until), cmp.Compare(a.Since, b.Since), cmp.Compare(a.Rate, b.Rate))
}

// slot is a subject and a kind: where one fact is held.
type slot struct {
	Subject
	Kind
}

// View is what one sender knows: for each subject and kind the best fact, and beside it the best own one, which is all that it
// ever tells others. It is not for concurrent use.
type View struct {
	maxSubjects int // subjects
	best        map[slot]*Fact
	own         map[slot]*Fact
	factCount   map[Subject]int // facts held of each
}

// NewView makes an empty view that holds facts of at most maxSubjects subjects.
func NewView(maxSubjects int) *View {
	return &View{maxSubjects: maxSubjects, best: map[slot]*Fact{}, own: map[slot]*Fact{}, factCount: map[Subject]int{}}
}

// valid reports whether a fact can be: what is not is not taken in, whoever tells it.
func (f *Fact) valid(now time.Duration) bool {
	const longest = 24 * time.Hour
	finite := func(x, most float64) bool { return x >= 0 && x <= most } // neither NaN
	switch f.Kind {
	case Latency:
		return f.Calls > 0 && f.Min >= 0 && f.Min <= f.Timeout && f.Mean > 0 && f.Mean <= time.Hour && f.Median >= 0 &&
			f.Median <= time.Hour && f.Timeout > 0 && f.Timeout <= time.Hour && f.ObservedAt <= now
	case Concurrency:
		return f.Window >= 1 && finite(f.Window, 1e6) && f.ObservedAt <= now
	case RateLimit:
		return f.PerSecond > 0 && finite(f.PerSecond, 1e6) && f.ObservedAt <= now
	case RetryAfter:
		return f.Until-now <= longest && f.ObservedAt <= now
	case Health:
		return f.State >= Healthy && f.State <= Unhealthy && f.Since <= f.ObservedAt && f.ObservedAt <= now && now-f.Since <= 30*longest && finite(f.Rate, 1e6)
	}
	return false
}

// Add takes a fact in and reports whether it changed what is known. What is not valid, no longer trusted, or over the room for
// subjects changes nothing.
func (v *View) Add(f Fact, now time.Duration) bool {
	if !f.valid(now) || f.Trust(now) < MinTrust {
		return false
	}
	if _, known := v.factCount[f.Subject]; !known && len(v.factCount) >= v.maxSubjects {
		return false
	}
	at := slot{f.Subject, f.Kind}
	if f.Source.Own() {
		if old := v.own[at]; old == nil || Better(&f, old) {
			held := f
			v.put(v.own, at, &held)
		}
	}
	if old := v.best[at]; old != nil && !Better(&f, old) {
		return false
	}
	v.put(v.best, at, &f)
	return true
}

// put holds a fact in one of the two maps.
func (v *View) put(in map[slot]*Fact, at slot, f *Fact) {
	if in[at] == nil {
		v.factCount[at.Subject]++
	}
	in[at] = f
}

// Forget drops what is trusted no more. So the knowledge of a sender that is gone for good does not outlive it by more than
// its trust.
func (v *View) Forget(now time.Duration) {
	for _, in := range []map[slot]*Fact{v.best, v.own} {
		for at, f := range in {
			if f.Trust(now) >= MinTrust {
				continue
			}
			delete(in, at)
			if v.factCount[at.Subject]--; v.factCount[at.Subject] == 0 {
				delete(v.factCount, at.Subject)
			}
		}
	}
	for at, f := range v.own { // hearsay that has gone leaves the own fact to stand
		if v.best[at] == nil {
			v.put(v.best, at, f)
		}
	}
}

// Subjects is of how many subjects anything is known.
func (v *View) Subjects() int { return len(v.factCount) }

// Facts is all that is known, in the order of subjects and kinds.
func (v *View) Facts() []Fact { return sortedFacts(v.best) }

// OwnFacts is what this sender tells others: what it observed itself, and nothing that it heard. So nothing comes back to its
// source as another's evidence, and no rumour outlives who began it.
func (v *View) OwnFacts() []Fact { return sortedFacts(v.own) }

// FactsOf is what is known of one subject, in the order of kinds.
func (v *View) FactsOf(s Subject) []Fact {
	var facts []Fact
	for k := Latency; int(k) < kindCount; k++ {
		if f := v.best[slot{s, k}]; f != nil {
			facts = append(facts, *f)
		}
	}
	return facts
}

// sortedFacts is the facts of a map in the order of subjects and kinds.
func sortedFacts(in map[slot]*Fact) []Fact {
	facts := make([]Fact, 0, len(in))
	for _, f := range in {
		facts = append(facts, *f)
	}
	slices.SortFunc(facts, func(a, b Fact) int {
		return cmp.Or(a.Subject.Compare(b.Subject), cmp.Compare(a.Kind, b.Kind))
	})
	return facts
}
