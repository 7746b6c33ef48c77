package knowledge

import (
	"cmp"
	"slices"
	"time"
)

// A sender whose own network is broken sees every receiver fail. So reports on health are weighed against each other, not only
// by which is the freshest.
const (
	minSubjectsJudged = 4   // receivers of which a sender tells, from which its own network is judged
	brokenFraction    = 0.5 // fraction of them that it holds to be out, from which that is its network's doing: it is not believed
	maxSources        = 64  // senders whose reports are held at once
)

// Reports is what other senders tell of receivers' health, by sender. It is not for concurrent use.
type Reports struct {
	maxSubjects int // subjects of each sender
	bySource    map[Source]map[Subject]Fact
}

// NewReports makes one that holds reports of at most maxSubjects subjects of each sender.
func NewReports(maxSubjects int) *Reports {
	return &Reports{maxSubjects, map[Source]map[Subject]Fact{}}
}

// Add takes a report in. Of a sender only its latest incarnation counts.
func (r *Reports) Add(f Fact, now time.Duration) {
	if f.Kind != Health || f.Source.Own() || !f.valid(now) {
		return
	}
	for s := range r.bySource {
		if s.Name == f.Source.Name && s.Incarnation != f.Source.Incarnation {
			if s.Incarnation > f.Source.Incarnation {
				return
			}
			delete(r.bySource, s)
		}
	}
	of := r.bySource[f.Source]
	if of == nil {
		if len(r.bySource) >= maxSources {
			return
		}
		of = map[Subject]Fact{}
		r.bySource[f.Source] = of
	}
	old, ok := of[f.Subject]
	if !ok && len(of) >= r.maxSubjects || ok && f.ObservedAt < old.ObservedAt {
		return
	}
	of[f.Subject] = f
}

// Forget drops all that a sender told, in whatever incarnation.
func (r *Reports) Forget(name string) {
	for s := range r.bySource {
		if s.Name == name {
			delete(r.bySource, s)
		}
	}
}

// credibility is how far a sender's reports of outages are believed, from 0 to 1: less the more of its receivers it holds to
// be out of service.
func (r *Reports) credibility(s Source, now time.Duration) float64 {
	out, all := 0.0, 0.0
	for _, f := range r.bySource[s] {
		t := f.Trust(now)
		all += t
		if f.State == Unhealthy {
			out += t
		}
	}
	if len(r.bySource[s]) < minSubjectsJudged || all == 0 {
		return 1
	}
	share := out / all
	if share >= brokenFraction {
		return 0
	}
	return 1 - share
}

// Verdict is what others' reports come to for one subject: an outage only if the believed reports of it weigh more than those
// that say otherwise. The fact is the freshest of the side that wins; false if nothing is told that is believed.
func (r *Reports) Verdict(s Subject, now time.Duration) (Fact, bool) {
	var best [2]Fact
	var weight [2]float64
	for source, of := range r.bySource {
		f, ok := of[s]
		if !ok || f.Trust(now) < MinTrust {
			continue
		}
		side, w := 0, f.Trust(now)
		if f.State == Unhealthy {
			side, w = 1, w*r.credibility(source, now)
		}
		if w == 0 {
			continue
		}
		if weight[side] == 0 || Better(&f, &best[side]) {
			best[side] = f
		}
		weight[side] += w
	}
	switch {
	case weight[1] > weight[0]:
		return best[1], true
	case weight[0] > 0:
		return best[0], true
	}
	return Fact{}, false
}

// OutageCount is how many senders that are believed hold a subject to be out of service.
func (r *Reports) OutageCount(s Subject, now time.Duration) int {
	n := 0
	for source, of := range r.bySource {
		if f, ok := of[s]; ok && f.State == Unhealthy && f.Trust(now) >= 0.5 && r.credibility(source, now) > 0 {
			n++
		}
	}
	return n
}

// All is every report that is held, in the order of subjects and senders.
func (r *Reports) All() []Fact {
	var all []Fact
	for _, of := range r.bySource {
		for _, f := range of {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(a, b Fact) int {
		return cmp.Or(a.Subject.Compare(b.Subject), cmp.Compare(a.Source.Name, b.Source.Name))
	})
	return all
}
