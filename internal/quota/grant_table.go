package quota

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Request is what a holder says of one limit.
type Request struct {
	Sequence    uint64        // of the holder's questions: one that is not newer than the last says nothing
	Held        int64         // from now on it has no more than this, whatever was lent before
	Cooling     int64         // and so many beyond that it has let go of, which rest
	CoolingTime time.Duration // for so long yet
	Wanted      int64         // units that it could use within a rest
	MinUseful   int64         // with less it can do nothing
	Spent       int64         // of a day's, in all
}

// Grant is the answer.
type Grant struct {
	Units      int64
	Duration   time.Duration // of the loan, from before the question
	Rotating   bool          // there are not enough for all: it gives a unit back as soon as it has used it
	RetryAfter time.Duration // it is asked again after so long, if it waits for more; 0: as ever
}

// GrantTable is what an authority has lent of one limit.
type GrantTable struct {
	limit      Limit
	terms      Terms
	graceUntil time.Duration // until then there may be loans of an earlier authority that it knows nothing of
	clients    map[lease.HolderID]*clientState

	shares      map[lease.HolderID]int64 // as cut last
	slack       int64                    // that each who wants some gets beyond its share
	sharesAt    time.Duration
	scarce      bool
	sharesStale bool
}

// clientState is one process of a sender.
type clientState struct {
	sequence     uint64
	grants       []issuedGrant // the one that lapses last comes last, and is the smallest that does not lapse before
	cooling      int64
	coolUntil    time.Duration // of those
	wanted       int64
	minUseful    int64
	requestedAt  time.Duration // last
	waitingSince time.Duration // it waits with less than a piece; 0: it does not
	turnStart    time.Duration // its turn began
}

type issuedGrant struct {
	units     int64
	expiresAt time.Duration
}

const (
	shareInterval = 10 * time.Millisecond // shares are cut anew, at most
	// turnCoolDowns is how long a loan is where units go by turns, in rests: one that can't use its unit gives way soon.
	turnCoolDowns   = 1
	headroomDivisor = 100 // one unit in so many is kept for who comes, where there are so many
)

// NewGrantTable makes the book of an authority that begins now; until quiet an earlier one's loans may last.
func NewGrantTable(l Limit, t Terms, quiet time.Duration) *GrantTable {
	return &GrantTable{limit: l, terms: t, graceUntil: quiet, clients: map[lease.HolderID]*clientState{}, sharesStale: true}
}

// SetLimit takes over what the limit is now. What is lent stays so; too much of it comes back as it is asked for.
func (b *GrantTable) SetLimit(l Limit) { b.limit, b.sharesStale = l, true }

// outstanding is what may be in use or at rest by one, at the most.
func (a *clientState) outstanding(now time.Duration) (units int64) {
	a.grants = slices.DeleteFunc(a.grants, func(l issuedGrant) bool { return l.expiresAt <= now })
	for _, l := range a.grants {
		units = max(units, l.units)
	}
	if now < a.coolUntil {
		units += a.cooling
	}
	return units
}

// active reports whether one is still heard of.
func (b *GrantTable) active(a *clientState, now time.Duration) bool {
	return now-a.requestedAt < b.terms.Duration
}

// Grant takes a holder's word and lends. ok is false for one that is not newer than the last: it gets no answer.
func (b *GrantTable) Grant(w lease.HolderID, q Request, now time.Duration) (l Grant, ok bool) {
	a := b.clients[w]
	if a != nil && q.Sequence <= a.sequence {
		return Grant{}, false
	}
	if a == nil {
		a = &clientState{}
		b.clients[w] = a
		if now < b.graceUntil && q.Held > 0 { // lent by an earlier authority, as only what is held is said
			a.grants = []issuedGrant{{q.Held, b.graceUntil}}
		}
	}
	b.recordRequest(a, q, now)
	shares := b.currentShares(now)
	was, others := a.outstanding(now)-a.coolingAt(now), b.outstandingOf(a, now)
	pool := b.limit.Grantable()
	free := max(0, pool-others-a.coolingAt(now))
	// Of what it has it goes on with its share even where too much is out, as after a limit was lowered: the others come down likewise.
	units := min(shares[w], max(free, was))
	if a.wanted > 0 && now >= b.graceUntil {
		units = max(units, min(shares[w]+b.slack, free)) // so that it need not ask as soon as it wants a little more
	}
	switch over := was+others+a.coolingAt(now) > pool; {
	case now < b.graceUntil: // no more than it has, until all is known
		if units = was; over {
			units = min(was, shares[w])
		}
	case !over && !b.underserved(now):
		units = max(units, was) // nobody needs it: what it has stays with it
	}
	length := b.terms.Duration
	if b.scarce && now >= b.graceUntil {
		length = min(length, turnCoolDowns*b.limit.CoolDown(b.terms.MaxDrift)+shareInterval)
	}
	if units > 0 {
		lasts := Terms{length, b.terms.MaxDrift}.ServerDuration()
		a.grants = slices.DeleteFunc(a.grants, func(o issuedGrant) bool { return o.expiresAt <= now+lasts+b.reclaimDelay() && o.units <= units })
		a.grants = append(a.grants, issuedGrant{units, now + lasts + b.reclaimDelay()})
	}
	switch {
	case units >= a.minUseful:
		if a.waitingSince = 0; a.turnStart == 0 {
			a.turnStart = now
		}
	case a.wanted > 0 && a.waitingSince == 0:
		a.waitingSince, a.turnStart = now, 0
	case a.wanted == 0:
		a.waitingSince, a.turnStart = 0, 0
	}
	l = Grant{Units: units, Duration: length, Rotating: b.scarce}
	if a.waitingSince > 0 {
		l.RetryAfter = b.retryAfter(a, now)
	}
	return l, true
}

func (b *GrantTable) reclaimDelay() time.Duration { return b.limit.ReclaimDelay(b.terms.MaxDrift) }

// recordRequest books what a holder says.
func (b *GrantTable) recordRequest(a *clientState, q Request, now time.Duration) {
	for i := range a.grants {
		a.grants[i].units = min(a.grants[i].units, q.Held)
	}
	a.sequence, a.requestedAt = q.Sequence, now
	a.cooling, a.coolUntil = 0, 0
	if q.Cooling > 0 && q.CoolingTime > 0 {
		a.cooling, a.coolUntil = q.Cooling, now+driftBound(q.CoolingTime, b.terms.MaxDrift)
	}
	if a.wanted != q.Wanted || a.minUseful != q.MinUseful {
		b.sharesStale = true
	}
	a.wanted, a.minUseful = q.Wanted, max(1, q.MinUseful)
	if q.Held < a.minUseful && a.turnStart > 0 { // its turn is over
		a.turnStart, b.sharesStale = 0, true
		if q.Wanted > 0 {
			a.waitingSince = now
		}
	}
}

func (a *clientState) coolingAt(now time.Duration) int64 {
	if now < a.coolUntil {
		return a.cooling
	}
	return 0
}

// outstandingOf is what all but one may have.
func (b *GrantTable) outstandingOf(but *clientState, now time.Duration) (units int64) {
	for w, a := range b.clients {
		if a == but {
			continue
		}
		out := a.outstanding(now)
		if units += out; out == 0 && now-a.requestedAt > 2*b.terms.ServerDuration() {
			delete(b.clients, w)
		}
	}
	return units
}

// currentShares cuts the limit by what is wanted, now and then.
func (b *GrantTable) currentShares(now time.Duration) map[lease.HolderID]int64 {
	if !b.sharesStale && now-b.sharesAt < shareInterval {
		return b.shares
	}
	b.sharesAt, b.sharesStale = now, false
	whos := make([]lease.HolderID, 0, len(b.clients))
	pool := b.limit.Grantable()
	for w, a := range b.clients {
		if b.active(a, now) {
			whos = append(whos, w)
		} else {
			pool -= a.outstanding(now) // until that lapses it is nobody's
		}
	}
	if pool >= headroomDivisor {
		pool -= pool / headroomDivisor
	}
	slices.SortFunc(whos, func(x, y lease.HolderID) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	all, pieces := make([]Demand, len(whos)), int64(0)
	turn := b.limit.CoolDown(b.terms.MaxDrift)
	for i, w := range whos {
		a := b.clients[w]
		all[i] = Demand{Units: min(a.wanted, b.limit.Grantable()), MinUseful: a.minUseful, WaitingSince: a.waitingSince, HasTurn: a.turnStart > 0 && now-a.turnStart < turn}
		if a.wanted > 0 {
			pieces += a.minUseful
		}
	}
	b.scarce = pieces > max(0, pool)
	cut := FairShares(max(0, pool), all)
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

// underserved reports whether anybody has less than its share, or more is out than there is.
func (b *GrantTable) underserved(now time.Duration) bool {
	out := int64(0)
	for w, a := range b.clients {
		has := a.outstanding(now)
		if out += has; b.active(a, now) && has < b.shares[w] {
			return true
		}
	}
	return out > b.limit.Grantable()
}

// retryAfter is after how long one that waits is asked again: as soon as a unit comes back that it may be given.
func (b *GrantTable) retryAfter(waits *clientState, now time.Duration) time.Duration {
	before := 0 // those that have waited longer
	var back []time.Duration
	for _, a := range b.clients {
		if a != waits && a.waitingSince > 0 && b.active(a, now) && a.waitingSince < waits.waitingSince {
			before++
		}
		if a.cooling > 0 && a.coolUntil > now {
			for range min(a.cooling, 64) {
				back = append(back, a.coolUntil)
			}
		}
		if n := len(a.grants); n > 0 && a != waits {
			back = append(back, a.grants[n-1].expiresAt)
		}
	}
	slices.Sort(back)
	if before < len(back) {
		return max(0, back[before]-now) + time.Millisecond
	}
	return time.Duration(before) * b.limit.CoolDown(b.terms.MaxDrift) / time.Duration(2*max(1, b.limit.Grantable()))
}
