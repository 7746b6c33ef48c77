package knowledge

import (
	"cmp"
	"slices"
	"time"
)

// A sender whose own network is broken sees every receiver fail. So health reports are weighed against each other, instead of
// taking the newest.
const (
	minSubjectsJudged = 4   // fewest receivers in a sender's reports by which its own network is judged
	brokenFraction    = 0.5 // fraction of them reported as out at which the sender's own network is blamed and its outage reports are ignored
	maxSources        = 64  // most senders whose reports are stored
)

// Reports holds the health reports of other senders, by sender. It is not safe for concurrent use.
type Reports struct {
	maxSubjects int // of each sender
	bySource    map[Source]map[Subject]Fact
}

// NewReports returns empty Reports for at most maxSubjects subjects of each sender.
func NewReports(maxSubjects int) *Reports {
	return &Reports{maxSubjects, map[Source]map[Subject]Fact{}}
}

// Add adds a report. Only reports of a sender's latest incarnation are kept.
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
	reports := r.bySource[f.Source]
	if reports == nil {
		if len(r.bySource) >= maxSources {
			return
		}
		reports = map[Subject]Fact{}
		r.bySource[f.Source] = reports
	}
	old, ok := reports[f.Subject]
	if !ok && len(reports) >= r.maxSubjects || ok && f.ObservedAt < old.ObservedAt {
		return
	}
	reports[f.Subject] = f
}

// Forget drops all reports of a sender, of any incarnation.
func (r *Reports) Forget(name string) {
	for s := range r.bySource {
		if s.Name == name {
			delete(r.bySource, s)
		}
	}
}

// credibility returns the weight of a sender's outage reports, from 0 to 1. It falls with the fraction of its receivers that the
// sender reports as out.
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
	outFraction := out / all
	if outFraction >= brokenFraction {
		return 0
	}
	return 1 - outFraction
}

// Verdict combines the reports on one subject. It is an outage only if the reports of one outweigh those against it, weighed by
// trust and credibility. The fact is the best of the prevailing side; ok is false if there is no credible report.
func (r *Reports) Verdict(s Subject, now time.Duration) (Fact, bool) {
	var best [2]Fact
	var weight [2]float64
	for source, reports := range r.bySource {
		f, ok := reports[s]
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

// OutageCount returns how many credible senders report a subject as out.
func (r *Reports) OutageCount(s Subject, now time.Duration) int {
	n := 0
	for source, reports := range r.bySource {
		if f, ok := reports[s]; ok && f.State == Unhealthy && f.Trust(now) >= 0.5 && r.credibility(source, now) > 0 {
			n++
		}
	}
	return n
}

// All returns all reports, sorted by subject and sender.
func (r *Reports) All() []Fact {
	var all []Fact
	for _, reports := range r.bySource {
		for _, f := range reports {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(a, b Fact) int {
		return cmp.Or(a.Subject.Compare(b.Subject), cmp.Compare(a.Source.Name, b.Source.Name))
	})
	return all
}
