package quota

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// What is below serves those who explore what can become of a limit: copies, and states written so that equal ones are equal.

// Clone is a purse with the same state.
func (p *Purse) Clone() *Purse {
	c := *p
	c.uses = slices.Clone(p.uses)
	return &c
}

// AppendState writes the state in short, as it matters from now on.
func (p *Purse) AppendState(b []byte, now time.Duration) []byte {
	p.settle(now)
	lent, until := p.lent(now), max(now, p.until)
	if lent == 0 {
		until = now
	}
	for _, v := range []int64{lent, int64(until - now), p.had, p.floor, int64(max(0, p.from-now)), p.out, p.spent} {
		b = binary.AppendVarint(b, v)
	}
	for _, u := range p.uses {
		b = binary.AppendVarint(binary.AppendVarint(b, int64(u.at+p.rest-now)), u.units)
	}
	return append(b, ';')
}

// Clone is a book with the same state.
func (b *Book) Clone() *Book {
	c := *b
	c.by = make(map[lease.HolderID]*account, len(b.by))
	for w, a := range b.by {
		d := *a
		d.loans = slices.Clone(a.loans)
		c.by[w] = &d
	}
	c.shares = maps.Clone(b.shares)
	return &c
}

// AppendState writes the state in short, as it matters from now on.
func (b *Book) AppendState(to []byte, now time.Duration) []byte {
	to = binary.AppendVarint(to, int64(max(0, b.quiet-now)))
	whos := make([]lease.HolderID, 0, len(b.by))
	for w := range b.by {
		whos = append(whos, w)
	}
	slices.SortFunc(whos, func(x, y lease.HolderID) int {
		if x.Name != y.Name {
			return int(x.Name[0]) - int(y.Name[0])
		}
		return int(x.Incarnation) - int(y.Incarnation)
	})
	for _, w := range whos {
		a := b.by[w]
		a.out(now)
		to = binary.AppendUvarint(append(to, w.Name...), w.Incarnation)
		since := func(at time.Duration) int64 { // before that it is all one
			if at == 0 {
				return -1
			}
			return int64(min(now-at, b.terms.Wait()))
		}
		for _, v := range []int64{int64(a.seq), a.resting(now), int64(max(0, a.until-now)), a.want, a.piece, since(a.asked), since(a.since), since(a.got)} {
			to = binary.AppendVarint(to, v)
		}
		for _, l := range a.loans {
			to = binary.AppendVarint(binary.AppendVarint(to, int64(l.until-now)), l.units)
		}
	}
	return append(to, ';')
}
