package quota

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Request is what a client says of one limit.
type Request struct {
	Sequence    uint64        // of the client's requests: one that is not newer than the last is ignored
	Held        int64         // from now on it holds no more units than this, whatever was granted before
	Cooling     int64         // units beyond those that it gave up and that still cool down
	CoolingTime time.Duration // until the last of those has cooled down
	Wanted      int64         // units that it could use within a cool-down
	MinUseful   int64         // with fewer units it can do nothing
	Spent       int64         // of a daily quota, by its process in all
}

// Grant is the owner's answer.
type Grant struct {
	Units      int64
	Duration   time.Duration // counted from before the request
	Rotating   bool          // there are not enough units for all clients: one is given up as soon as it is used
	RetryAfter time.Duration // when a client that waits for more asks again; 0: at its usual interval
}

// GrantTable is what the owner of a limit has granted of it. It is not safe for concurrent use.
type GrantTable struct {
	limit      Limit
	terms      Terms
	graceUntil time.Duration // until then grants of an earlier owner may exist, which this one does not know of
	clients    map[lease.HolderID]*clientState

	shares      map[lease.HolderID]int64 // as computed at sharesAt
	slack       int64                    // that each client which wants some gets beyond its share
	sharesAt    time.Duration
	scarce      bool // there are not enough units for what each client needs at least: they rotate
	sharesStale bool // demands or the limit changed since
}

// clientState is one process of a sender, as its requests told.
type clientState struct {
	sequence     uint64
	grants       []issuedGrant // by expiry; each is smaller than those that expire before it
	cooling      int64
	coolUntil    time.Duration // of the cooling units
	wanted       int64
	minUseful    int64
	requestedAt  time.Duration // of its last request
	waitingSince time.Duration // it holds less than minUseful and wants more; 0: it does not
	turnStart    time.Duration // of its turn at rotating units; 0: it has none
}

// issuedGrant is a grant as the owner counts it, reclaim delay included.
type issuedGrant struct {
	units     int64
	expiresAt time.Duration
}

const (
	shareInterval = 10 * time.Millisecond // at which shares are computed anew, unless demands changed
	// turnCoolDowns is how long a grant of rotating units lasts, in cool-downs: a client that can't use its unit gives way soon.
	turnCoolDowns   = 1
	headroomDivisor = 100 // one unit in so many is kept free for new clients, where there are so many
)

// NewGrantTable makes the table of an owner that begins now; until graceUntil grants of an earlier owner may last.
func NewGrantTable(l Limit, t Terms, quiet time.Duration) *GrantTable {
	return &GrantTable{limit: l, terms: t, graceUntil: quiet, clients: map[lease.HolderID]*clientState{}, sharesStale: true}
}

// SetLimit replaces the limit. What is granted stays granted; where that is too much, it comes back with the clients' requests.
func (b *GrantTable) SetLimit(l Limit) { b.limit, b.sharesStale = l, true }

// outstanding is how many units a client may be using or cooling down at the most.
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

// active reports whether a client still sends requests.
func (b *GrantTable) active(a *clientState, now time.Duration) bool {
	return now-a.requestedAt < b.terms.Duration
}

// Grant takes a client's request and answers it. ok is false for a request that is not newer than the last: it gets no answer.
func (b *GrantTable) Grant(w lease.HolderID, q Request, now time.Duration) (l Grant, ok bool) {
	a := b.clients[w]
	if a != nil && q.Sequence <= a.sequence {
		return Grant{}, false
	}
	if a == nil {
		a = &clientState{}
		b.clients[w] = a
		if now < b.graceUntil && q.Held > 0 { // granted by an earlier owner: a client claims only what it holds
			a.grants = []issuedGrant{{q.Held, b.graceUntil}}
		}
	}
	b.recordRequest(a, q, now)
	shares := b.currentShares(now)
	was, others := a.outstanding(now)-a.coolingAt(now), b.outstandingExcept(a, now)
	pool := b.limit.Grantable()
	free := max(0, pool-others-a.coolingAt(now))
	// It keeps its share of what it has even where too much is granted, as after a limit was lowered: the others come down likewise.
	units := min(shares[w], max(free, was))
	if a.wanted > 0 && now >= b.graceUntil {
		units = max(units, min(shares[w]+b.slack, free)) // so that it need not ask again as soon as it wants a little more
	}
	switch over := was+others+a.coolingAt(now) > pool; {
	case now < b.graceUntil: // it keeps what it has, until all grants are known
		if units = was; over {
			units = min(was, shares[w])
		}
	case !over && !b.underserved(now):
		units = max(units, was) // nobody else needs it: it keeps what it has
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

// recordRequest records what a client says.
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
	if q.Held < a.minUseful && a.turnStart > 0 { // its turn ended
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

// outstandingExcept is how many units all clients but one may be using or cooling down. It forgets clients that are gone.
func (b *GrantTable) outstandingExcept(but *clientState, now time.Duration) (units int64) {
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

// currentShares is each active client's share of the limit, computed anew at most every shareInterval unless demands changed.
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
			pool -= a.outstanding(now) // nobody's until it expires
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
	b.slack = max(0, pool) / 2 / max(1, wanting) // half of what nobody wants: the other half is for new clients
	return b.shares
}

// underserved reports whether a client has less than its share, or more units are outstanding than there are.
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

// retryAfter is when a client that waits asks again: as soon as a unit may have come back that is then its turn.
func (b *GrantTable) retryAfter(waits *clientState, now time.Duration) time.Duration {
	before := 0 // clients that have waited longer
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
