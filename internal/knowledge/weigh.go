package knowledge

import (
	"cmp"
	"slices"
	"time"
)

// Whether a receiver is out is told by several senders, and one whose own line is broken sees every receiver fail. So
// reports on health are weighed against each other, not only by which is the freshest.

const (
	brokenOf    = 4   // receivers of which a sender tells, from which its own line is judged
	brokenShare = 0.5 // share of them that it holds to be out, from which that is its line's doing: it is not believed
	sourcesMost = 64  // senders that are heard at once
)

// Reports is what others tell of health, by sender. It is not for concurrent use.
type Reports struct {
	most int // subjects of each sender
	by   map[Source]map[Subject]Fact
}

// NewReports makes one that holds so many subjects of each sender at most.
func NewReports(most int) *Reports { return &Reports{most, map[Source]map[Subject]Fact{}} }

// Add books a report. Of a sender only its latest life counts.
func (r *Reports) Add(f Fact, now time.Duration) {
	if f.Sort != Health || f.Source.Own() || !f.sound(now) {
		return
	}
	for s := range r.by {
		if s.Name == f.Source.Name && s.Life != f.Source.Life {
			if s.Life > f.Source.Life {
				return
			}
			delete(r.by, s)
		}
	}
	of := r.by[f.Source]
	if of == nil {
		if len(r.by) >= sourcesMost {
			return
		}
		of = map[Subject]Fact{}
		r.by[f.Source] = of
	}
	old, ok := of[f.Subject]
	if !ok && len(of) >= r.most || ok && f.At < old.At {
		return
	}
	of[f.Subject] = f
}

// Forget drops all that a sender told, in whatever life.
func (r *Reports) Forget(name string) {
	for s := range r.by {
		if s.Name == name {
			delete(r.by, s)
		}
	}
}

// standing is how far a sender's reports of outages are believed: less the more of its receivers it holds to be out.
func (r *Reports) standing(s Source, now time.Duration) float64 {
	out, all := 0.0, 0.0
	for _, f := range r.by[s] {
		t := f.Trust(now)
		all += t
		if f.State == Out {
			out += t
		}
	}
	if len(r.by[s]) < brokenOf || all == 0 {
		return 1
	}
	share := out / all
	if share >= brokenShare {
		return 0
	}
	return 1 - share
}

// Verdict is what others' reports come to for one subject: an outage only if the believed reports of it weigh more than
// those that say otherwise. The fact is the freshest of the side that wins; false if nothing is told that is believed.
func (r *Reports) Verdict(s Subject, now time.Duration) (Fact, bool) {
	var best [2]Fact
	var weight [2]float64
	for source, of := range r.by {
		f, ok := of[s]
		if !ok || f.Trust(now) < LeastTrust {
			continue
		}
		side, w := 0, f.Trust(now)
		if f.State == Out {
			side, w = 1, w*r.standing(source, now)
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

// Outs is how many senders that are believed hold a subject to be out.
func (r *Reports) Outs(s Subject, now time.Duration) int {
	n := 0
	for source, of := range r.by {
		if f, ok := of[s]; ok && f.State == Out && f.Trust(now) >= 0.5 && r.standing(source, now) > 0 {
			n++
		}
	}
	return n
}

// All is every report that is held, in order of subjects and senders.
func (r *Reports) All() []Fact {
	var all []Fact
	for _, of := range r.by {
		for _, f := range of {
			all = append(all, f)
		}
	}
	slices.SortFunc(all, func(a, b Fact) int {
		return cmp.Or(a.Subject.Compare(b.Subject), cmp.Compare(a.Source.Name, b.Source.Name))
	})
	return all
}
