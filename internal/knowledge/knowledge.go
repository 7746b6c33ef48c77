// Package knowledge holds facts about receivers that senders have observed and exchange. Each fact has the age and amount of its
// evidence and its source. The package merges facts of several sources into one view and computes how far a fact is still trusted.
//
// It reads no clock: times are durations on the holder's own clock, passed in by the caller. Between senders only ages are sent, so
// that clocks need not agree. None of its types is safe for concurrent use. The only I/O is Save and Load of a snapshot (file.go).
//
//	knowledge.go   facts, their trust, and View, which keeps the best fact of each subject and kind
//	changelog.go   ChangeLog: versioned changes of a sender's own facts, for its peers
//	reports.go     Reports: health reports of other senders, weighed against each other
//	codec.go       encoding of facts, in messages and in the snapshot
//	file.go        the snapshot file
package knowledge

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Subject is what a fact is about: a receiver, or one route of it where its endpoints are evaluated separately. Destinations and
// ids of endpoints are the same at every sender; addresses may differ.
type Subject struct {
	Destination uint32
	Endpoint    string // of a separate route; "" for the whole receiver
}

// Compare orders subjects by destination, then by endpoint.
func (s Subject) Compare(o Subject) int {
	return cmp.Or(cmp.Compare(s.Destination, o.Destination), cmp.Compare(s.Endpoint, o.Endpoint))
}

// Kind is a kind of fact. For each subject, a source has one fact of each kind.
type Kind uint8

// The kinds of facts. Their numbers are not stored or sent: the message has a field for each (proto saffronyard.knowledge.v1).
// Operators are shown the quoted names.
const (
	Latency     Kind = iota + 1 // how long calls take ("pace" to operators)
	Concurrency                 // how many concurrent calls were served ("bears")
	RateLimit                   // the rate limit that the receiver reported ("limit")
	RetryAfter                  // the time before which the receiver wants no calls ("wait")
	Health                      // whether the receiver serves calls
)

// kindCount is one more than the highest kind: the length of a table by kind.
const kindCount = int(Health) + 1

var kindNames = [kindCount]string{Latency: "pace", Concurrency: "bears", RateLimit: "limit", RetryAfter: "wait", Health: "health"}

// String returns the name of the kind that operators are shown.
func (k Kind) String() string {
	if int(k) < kindCount && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// State is a receiver's health, ordered from better to worse. The numbers are those of the proto.
type State uint8

// The states. Operators are shown "serves", "cold" and "out".
const (
	Healthy   State = iota + 1 // a call was served
	WarmingUp                  // it serves again after an outage, in slow start
	Unhealthy                  // an outage: calls fail, are refused or go unanswered
)

// String returns the name of the state that operators are shown.
func (s State) String() string {
	if s < Healthy || s > Unhealthy {
		return "unknown"
	}
	return [...]string{Healthy: "serves", WarmingUp: "cold", Unhealthy: "out"}[s]
}

// Value is the value of a fact. Only the fields of its kind are set. Times are on the holder's clock.
type Value struct {
	Mean, Median, Min, Timeout time.Duration // Latency; Timeout is the suitable time-out
	Window                     float64       // Concurrency: concurrent calls that were served
	PerSecond                  float64       // RateLimit: calls a second, over all senders
	Until                      time.Duration // RetryAfter: end of the wait
	State                      State         // Health
	Since                      time.Duration // Health: when the state began
	Rate                       float64       // Health: usual rate of calls served for the source before any outage, in calls a second
}

// Fact is one observation of a subject.
type Fact struct {
	Subject
	Kind
	ObservedAt time.Duration // of the newest evidence, on the holder's clock
	Calls      uint32        // number of calls that the evidence consists of
	Source     Source        // sender that observed it
	Value
}

// Source is the sender that has observed a fact, in one incarnation. The holder's own facts have the zero value.
type Source struct {
	Name        string
	Incarnation uint64 // grows with each start; facts of the holder's earlier processes count as own, too
}

// Own reports whether the holder itself observed the fact, in this process or an earlier one.
func (s Source) Own() bool { return s == Source{} }

// trustHalfLife is the time after which the trust in a fact has halved.
//
// Latency depends on the serving machine and changes with a release, hence an hour. Concurrency and rate limits depend on the
// other senders, hence some minutes. An outage of this deployment lasts 8 to 22 s, so a health report older than that says more
// about the past than about the present.
var trustHalfLife = [kindCount]time.Duration{Latency: time.Hour, Concurrency: 5 * time.Minute, RateLimit: 30 * time.Minute, Health: 15 * time.Second}

// Trust returns how far a fact is trusted at a time, from 1 for one observed now down to 0. A RetryAfter has full trust until its
// end and none after it: it is not an estimate but a request of the receiver.
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

// MinTrust is the trust below which a fact is dropped.
const MinTrust = 0.02

// Better reports whether a takes precedence over b: own facts before those of peers, newer before older, more calls before fewer.
// The order is total over facts that differ in any field, so a merge gives the same result in whatever order facts arrive.
//
// An own fact does not take precedence for ever: it is compared with those of peers as if it were ownFactAdvantage newer. Of two
// RetryAfter facts, the one that ends later takes precedence, whatever their sources.
func Better(a, b *Fact) bool { return compare(a, b) > 0 }

// ownFactAdvantage is how much newer than an own fact a peer's fact must be to take precedence. It is longer than the exchange of
// facts takes, and shorter than an outage.
const ownFactAdvantage = 5 * time.Second

// compare is positive if a is better, negative if b is, and 0 for equal facts.
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
		cmp.Compare(a.Calls, b.Calls), cmp.Compare(a.Value.State, b.Value.State), // the worse health, as the safer assumption
		cmp.Compare(a.Source.Incarnation, b.Source.Incarnation), cmp.Compare(a.Source.Name, b.Source.Name), compareValues(&a.Value, &b.Value))
}

// compareValues orders the values of facts that are equal in everything else.
func compareValues(a, b *Value) int {
	return cmp.Or(cmp.Compare(a.Mean, b.Mean), cmp.Compare(a.Median, b.Median), cmp.Compare(a.Min, b.Min),
		cmp.Compare(a.Timeout, b.Timeout), cmp.Compare(a.Window, b.Window), cmp.Compare(a.PerSecond, b.PerSecond),
		cmp.Compare(a.Until, b.Until), cmp.Compare(a.Since, b.Since), cmp.Compare(a.Rate, b.Rate))
}

// slot is the key of a fact in a View: its subject and kind.
type slot struct {
	Subject
	Kind
}

// View is the knowledge of one sender: for each subject and kind the best fact, and also the best own fact. It sends only own facts
// to others. It is not safe for concurrent use.
type View struct {
	maxSubjects int
	best        map[slot]*Fact
	own         map[slot]*Fact
	factCount   map[Subject]int // number of facts stored of each
}

// NewView makes an empty view that holds facts of at most maxSubjects subjects.
func NewView(maxSubjects int) *View {
	return &View{maxSubjects: maxSubjects, best: map[slot]*Fact{}, own: map[slot]*Fact{}, factCount: map[Subject]int{}}
}

// valid reports whether the values of a fact are possible. Facts that are not valid are rejected, whatever their source.
func (f *Fact) valid(now time.Duration) bool {
	const longest = 24 * time.Hour
	finite := func(x, most float64) bool { return x >= 0 && x <= most } // false for NaN
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

// Add adds a fact and reports whether it became the best of its subject and kind. It ignores a fact that is not valid, is no longer
// trusted, or whose subject would exceed maxSubjects.
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
			own := f
			v.put(v.own, at, &own)
		}
	}
	if old := v.best[at]; old != nil && !Better(&f, old) {
		return false
	}
	v.put(v.best, at, &f)
	return true
}

// put stores a fact in one of the two maps.
func (v *View) put(in map[slot]*Fact, at slot, f *Fact) {
	if in[at] == nil {
		v.factCount[at.Subject]++
	}
	in[at] = f
}

// Forget drops the facts that are no longer trusted. This also bounds how long the facts of a sender that is gone for good are
// kept.
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
	for at, f := range v.own { // once a peer's fact is dropped, the own fact is the best
		if v.best[at] == nil {
			v.put(v.best, at, f)
		}
	}
}

// Subjects returns the number of subjects with at least one fact.
func (v *View) Subjects() int { return len(v.factCount) }

// Facts returns the best facts, sorted by subject and kind.
func (v *View) Facts() []Fact { return sortedFacts(v.best) }

// OwnFacts returns the facts that this sender sends to others: only its own observations, none received from peers. So no fact
// returns to its source as evidence of another sender, and none circulates among senders after its source is gone.
func (v *View) OwnFacts() []Fact { return sortedFacts(v.own) }

// FactsOf returns the best facts of one subject, sorted by kind.
func (v *View) FactsOf(s Subject) []Fact {
	var facts []Fact
	for k := Latency; int(k) < kindCount; k++ {
		if f := v.best[slot{s, k}]; f != nil {
			facts = append(facts, *f)
		}
	}
	return facts
}

// sortedFacts returns the facts of a map, sorted by subject and kind.
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
