package quota

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Ask is what a holder says of one limit.
type Ask struct {
	Seq   uint64        // of the holder's questions: one that is not newer than the last says nothing
	Holds int64         // from now on it has no more than this, whatever was lent before
	Rests int64         // and so many beyond that it has let go of, which rest
	Left  time.Duration // for so long yet
	Want  int64         // units that it could use within a rest
	Piece int64         // with less it can do nothing
	Spent int64         // of a day's, in all
}

// Lent is the answer.
type Lent struct {
	Units  int64
	Length time.Duration // of the loan, from before the question
	Turns  bool          // there are not enough for all: it gives a unit back as soon as it has used it
	Again  time.Duration // it is asked again after so long, if it waits for more; 0: as ever
}

// Book is what an authority has lent of one limit.
type Book struct {
	limit Limit
	terms Terms
	quiet time.Duration // until then there may be loans of an earlier authority that it knows nothing of
	by    map[lease.HolderID]*account

	shares map[lease.HolderID]int64 // as cut last
	slack  int64                    // that each who wants some gets beyond its share
	cut    time.Duration
	scarce bool
	stale  bool
}

// account is one process of a sender.
type account struct {
	seq   uint64
	loans []loan // the one that lapses last comes last, and is the smallest that does not lapse before
	rests int64
	until time.Duration // of those
	want  int64
	piece int64
	asked time.Duration // last
	since time.Duration // it waits with less than a piece; 0: it does not
	got   time.Duration // its turn began
}

type loan struct {
	units int64
	until time.Duration
}

const (
	cutEvery = 10 * time.Millisecond // shares are cut anew, at most
	// turnsFor is how long a loan is where units go by turns, in rests: one that can't use its unit gives way soon.
	turnsFor = 1
	spareFor = 100 // one unit in so many is kept for who comes, where there are so many
)

// NewBook makes the book of an authority that begins now; until quiet an earlier one's loans may last.
func NewBook(l Limit, t Terms, quiet time.Duration) *Book {
	return &Book{limit: l, terms: t, quiet: quiet, by: map[lease.HolderID]*account{}, stale: true}
}

// Change takes over what the limit is now. What is lent stays so; too much of it comes back as it is asked for.
func (b *Book) Change(l Limit) { b.limit, b.stale = l, true }

// out is what may be in use or at rest by one, at the most.
func (a *account) out(now time.Duration) (units int64) {
	a.loans = slices.DeleteFunc(a.loans, func(l loan) bool { return l.until <= now })
	for _, l := range a.loans {
		units = max(units, l.units)
	}
	if now < a.until {
		units += a.rests
	}
	return units
}

// asks reports whether one is still heard of.
func (b *Book) asks(a *account, now time.Duration) bool { return now-a.asked < b.terms.Length }

// Ask takes a holder's word and lends. ok is false for one that is not newer than the last: it gets no answer.
func (b *Book) Ask(w lease.HolderID, q Ask, now time.Duration) (l Lent, ok bool) {
	a := b.by[w]
	if a != nil && q.Seq <= a.seq {
		return Lent{}, false
	}
	if a == nil {
		a = &account{}
		b.by[w] = a
		if now < b.quiet && q.Holds > 0 { // lent by an earlier authority, as only what is held is said
			a.loans = []loan{{q.Holds, b.quiet}}
		}
	}
	b.hear(a, q, now)
	shares := b.sharesAt(now)
	was, others := a.out(now)-a.resting(now), b.others(a, now)
	pool := b.limit.Lendable()
	free := max(0, pool-others-a.resting(now))
	// Of what it has it goes on with its share even where too much is out, as after a limit was lowered: the others come down likewise.
	units := min(shares[w], max(free, was))
	if a.want > 0 && now >= b.quiet {
		units = max(units, min(shares[w]+b.slack, free)) // so that it need not ask as soon as it wants a little more
	}
	switch over := was+others+a.resting(now) > pool; {
	case now < b.quiet: // no more than it has, until all is known
		if units = was; over {
			units = min(was, shares[w])
		}
	case !over && !b.hungry(now):
		units = max(units, was) // nobody needs it: what it has stays with it
	}
	length := b.terms.Length
	if b.scarce && now >= b.quiet {
		length = min(length, turnsFor*b.limit.Rest(b.terms.Drift)+cutEvery)
	}
	if units > 0 {
		lasts := Terms{length, b.terms.Drift}.Wait()
		a.loans = slices.DeleteFunc(a.loans, func(o loan) bool { return o.until <= now+lasts+b.tail() && o.units <= units })
		a.loans = append(a.loans, loan{units, now + lasts + b.tail()})
	}
	switch {
	case units >= a.piece:
		if a.since = 0; a.got == 0 {
			a.got = now
		}
	case a.want > 0 && a.since == 0:
		a.since, a.got = now, 0
	case a.want == 0:
		a.since, a.got = 0, 0
	}
	l = Lent{Units: units, Length: length, Turns: b.scarce}
	if a.since > 0 {
		l.Again = b.again(a, now)
	}
	return l, true
}

func (b *Book) tail() time.Duration { return b.limit.Tail(b.terms.Drift) }

// hear books what a holder says.
func (b *Book) hear(a *account, q Ask, now time.Duration) {
	for i := range a.loans {
		a.loans[i].units = min(a.loans[i].units, q.Holds)
	}
	a.seq, a.asked = q.Seq, now
	a.rests, a.until = 0, 0
	if q.Rests > 0 && q.Left > 0 {
		a.rests, a.until = q.Rests, now+slowest(q.Left, b.terms.Drift)
	}
	if a.want != q.Want || a.piece != q.Piece {
		b.stale = true
	}
	a.want, a.piece = q.Want, max(1, q.Piece)
	if q.Holds < a.piece && a.got > 0 { // its turn is over
		a.got, b.stale = 0, true
		if q.Want > 0 {
			a.since = now
		}
	}
}

func (a *account) resting(now time.Duration) int64 {
	if now < a.until {
		return a.rests
	}
	return 0
}

// others is what all but one may have.
func (b *Book) others(but *account, now time.Duration) (units int64) {
	for w, a := range b.by {
		if a == but {
			continue
		}
		out := a.out(now)
		if units += out; out == 0 && now-a.asked > 2*b.terms.Wait() {
			delete(b.by, w)
		}
	}
	return units
}

// sharesAt cuts the limit by what is wanted, now and then.
func (b *Book) sharesAt(now time.Duration) map[lease.HolderID]int64 {
	if !b.stale && now-b.cut < cutEvery {
		return b.shares
	}
	b.cut, b.stale = now, false
	whos := make([]lease.HolderID, 0, len(b.by))
	pool := b.limit.Lendable()
	for w, a := range b.by {
		if b.asks(a, now) {
			whos = append(whos, w)
		} else {
			pool -= a.out(now) // until that lapses it is nobody's
		}
	}
	if pool >= spareFor {
		pool -= pool / spareFor
	}
	slices.SortFunc(whos, func(x, y lease.HolderID) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	all, pieces := make([]Demand, len(whos)), int64(0)
	turn := b.limit.Rest(b.terms.Drift)
	for i, w := range whos {
		a := b.by[w]
		all[i] = Demand{Units: min(a.want, b.limit.Lendable()), Piece: a.piece, Since: a.since, Busy: a.got > 0 && now-a.got < turn}
		if a.want > 0 {
			pieces += a.piece
		}
	}
	b.scarce = pieces > max(0, pool)
	cut := Shares(max(0, pool), all)
	b.shares = make(map[lease.HolderID]int64, len(whos))
	wanting := int64(0)
	for i, w := range whos {
		b.shares[w] = cut[i]
		if pool -= cut[i]; all[i].Units > 0 {
			wanting++
		}
	}
	b.slack = max(0, pool) / 2 / max(1, wanting) // half of what nobody wants: the other half is for who comes
	return b.shares
}

// hungry reports whether anybody has less than its share, or more is out than there is.
func (b *Book) hungry(now time.Duration) bool {
	out := int64(0)
	for w, a := range b.by {
		has := a.out(now)
		if out += has; b.asks(a, now) && has < b.shares[w] {
			return true
		}
	}
	return out > b.limit.Lendable()
}

// again is after how long one that waits is asked again: as soon as a unit comes back that it may be given.
func (b *Book) again(waits *account, now time.Duration) time.Duration {
	before := 0 // those that have waited longer
	var back []time.Duration
	for _, a := range b.by {
		if a != waits && a.since > 0 && b.asks(a, now) && a.since < waits.since {
			before++
		}
		if a.rests > 0 && a.until > now {
			for range min(a.rests, 64) {
				back = append(back, a.until)
			}
		}
		if n := len(a.loans); n > 0 && a != waits {
			back = append(back, a.loans[n-1].until)
		}
	}
	slices.Sort(back)
	if before < len(back) {
		return max(0, back[before]-now) + time.Millisecond
	}
	return time.Duration(before) * b.limit.Rest(b.terms.Drift) / time.Duration(2*max(1, b.limit.Lendable()))
}

// Out is what may be in use or at rest now, at the most; it is what the limit is held against.
func (b *Book) Out(now time.Duration) int64 { return b.others(nil, now) }

// Line is one process of a sender in a book.
type Line struct {
	lease.HolderID
	Units int64         // lent
	Rests int64         // let go of, and at rest
	Left  time.Duration // until all of it is free at the latest
	Want  int64
	Waits time.Duration // for how long it has had less than it can use
}

// Lines are all of them, by name.
func (b *Book) Lines(now time.Duration) []Line {
	lines := make([]Line, 0, len(b.by))
	for w, a := range b.by {
		l := Line{HolderID: w, Rests: a.resting(now), Units: a.out(now) - a.resting(now), Want: a.want}
		for _, o := range a.loans {
			l.Left = max(l.Left, o.until-now)
		}
		if l.Rests > 0 {
			l.Left = max(l.Left, a.until-now)
		}
		if a.since > 0 {
			l.Waits = now - a.since
		}
		lines = append(lines, l)
	}
	slices.SortFunc(lines, func(x, y Line) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return lines
}

// empty reports whether nothing is known of anybody: the book may be forgotten.
func (b *Book) empty(now time.Duration) bool {
	return now >= b.quiet && b.Out(now) == 0 && len(b.by) == 0
}
