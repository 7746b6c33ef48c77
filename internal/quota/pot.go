package quota

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Pot is what an authority has of one day's quota. A day's units are used once and don't come back, so what outlasts every process is how
// many were drawn: an authority draws some from the agreed log before it lends them, and the log gives no more than the quota in a day,
// whoever draws. What an authority that dies had drawn and not lent is lost for the day, and so is what lapses at a holder:
// it may have been used. Both are kept small.
type Pot struct {
	limit   Limit
	terms   Terms
	period  int64
	free    int64 // drawn, and not lent
	drawing bool
	by      map[lease.HolderID]*pouch
}

// pouch is one process of a sender.
type pouch struct {
	seq   uint64
	lent  int64         // that it may use yet
	spent int64         // that it has told to have used, in all
	until time.Duration // its loan lapses
	want  int64
	asked time.Duration
}

// drawnAtOnce is into how many parts a day's quota is drawn at the most: what dies with an authority is one of them, or less.
const drawnAtOnce = 100

// NewPot makes a pot with nothing in it.
func NewPot(l Limit, t Terms) *Pot { return &Pot{limit: l, terms: t, by: map[lease.HolderID]*pouch{}} }

// Begin begins a day, unless it has begun. What is lent from the one before may be used until it lapses.
func (p *Pot) Begin(period int64) {
	if period > p.period {
		p.period, p.free, p.drawing = period, 0, false
	}
}

// Ask takes a holder's word and lends. draw is how many units are to be drawn from the log now; 0: none.
func (p *Pot) Ask(w lease.HolderID, q Ask, now time.Duration) (l Lent, draw int64, ok bool) {
	a := p.by[w]
	if a != nil && q.Seq <= a.seq {
		return Lent{}, 0, false
	}
	if a == nil {
		a = &pouch{spent: q.Spent}
		p.by[w] = a
	}
	if now >= a.until {
		a.lent = 0 // lost: it may have been used
	}
	used := q.Spent - a.spent
	if back := a.lent - used - q.Holds; back > 0 { // given back, or never heard to be lent
		p.free += back
	}
	a.seq, a.spent, a.lent, a.want, a.asked = q.Seq, q.Spent, max(0, min(a.lent, q.Holds)), q.Want, now
	wanting := int64(0)
	for who, o := range p.by {
		if now-o.asked > 2*p.terms.Wait() {
			delete(p.by, who)
		} else if o.want > o.lent {
			wanting++
		}
	}
	if need := q.Want - a.lent; need > 0 && p.free > 0 {
		give := min(need, max(1, p.free/max(1, wanting)))
		a.lent += give
		p.free -= give
	}
	a.until = now + p.terms.Wait()
	l = Lent{Units: a.lent, Length: p.terms.Length}
	if q.Want > a.lent && !p.drawing {
		p.drawing = true
		draw = max(1, min(p.limit.Units/drawnAtOnce, 4*(q.Want-a.lent)))
	}
	return l, draw, true
}

// Drawn is what the log gave; none if the day's quota is used up, or the word was refused.
func (p *Pot) Drawn(period, units int64) {
	if p.drawing = false; period == p.period {
		p.free += units
	}
}

// Lines are all holders, by name.
func (p *Pot) Lines(now time.Duration) []Line {
	var lines []Line
	for w, a := range p.by {
		lines = append(lines, Line{HolderID: w, Units: a.lent, Left: max(0, a.until-now), Want: a.want})
	}
	slices.SortFunc(lines, func(x, y Line) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return lines
}
