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
	turnCoolDowns     = 1
	maxReturnsCounted = 64  // units of one client's cool-down, for retryAfter
	headroomDivisor   = 100 // one unit in so many is kept free for new clients, where there are so many
)

// NewGrantTable makes the table of an owner that begins now; until graceUntil grants of an earlier owner may last.
func NewGrantTable(l Limit, t Terms, graceUntil time.Duration) *GrantTable {
	return &GrantTable{limit: l, terms: t, graceUntil: graceUntil, clients: map[lease.HolderID]*clientState{}, sharesStale: true}
}

// SetLimit replaces the limit. What is granted stays granted; where that is too much, it comes back with the clients' requests.
func (t *GrantTable) SetLimit(l Limit) { t.limit, t.sharesStale = l, true }

// outstanding is how many units a client may be using or cooling down at the most.
func (c *clientState) outstanding(now time.Duration) (units int64) {
	c.grants = slices.DeleteFunc(c.grants, func(l issuedGrant) bool { return l.expiresAt <= now })
	for _, l := range c.grants {
		units = max(units, l.units)
	}
	if now < c.coolUntil {
		units += c.cooling
	}
	return units
}

// active reports whether a client still sends requests.
func (t *GrantTable) active(c *clientState, now time.Duration) bool {
	return now-c.requestedAt < t.terms.Duration
}

// Grant takes a client's request and answers it. ok is false for a request that is not newer than the last: it gets no answer.
func (t *GrantTable) Grant(id lease.HolderID, r Request, now time.Duration) (g Grant, ok bool) {
	c := t.clients[id]
	if c != nil && r.Sequence <= c.sequence {
		return Grant{}, false
	}
	if c == nil {
		c = &clientState{}
		t.clients[id] = c
		if now < t.graceUntil && r.Held > 0 { // granted by an earlier owner: a client claims only what it holds
			c.grants = []issuedGrant{{r.Held, t.graceUntil}}
		}
	}
	t.recordRequest(c, r, now)
	shares := t.currentShares(now)
	units := t.unitsFor(c, shares[id], now)
	duration := t.terms.Duration
	if t.scarce && now >= t.graceUntil {
		duration = min(duration, turnCoolDowns*t.limit.CoolDown(t.terms.MaxDrift)+shareInterval)
	}
	if units > 0 {
		expiresAt := now + Terms{duration, t.terms.MaxDrift}.ServerDuration() + t.reclaimDelay()
		c.grants = slices.DeleteFunc(c.grants, func(o issuedGrant) bool { return o.expiresAt <= expiresAt && o.units <= units })
		c.grants = append(c.grants, issuedGrant{units, expiresAt})
	}
	c.recordTurn(units, now)
	g = Grant{Units: units, Duration: duration, Rotating: t.scarce}
	if c.waitingSince > 0 {
		g.RetryAfter = t.retryAfter(c, now)
	}
	return g, true
}

// unitsFor is how many units a client is granted, of which share is its due.
func (t *GrantTable) unitsFor(c *clientState, share int64, now time.Duration) int64 {
	cooling := c.coolingAt(now)
	has, others := c.outstanding(now)-cooling, t.outstandingExcept(c, now)
	pool := t.limit.Grantable()
	free := max(0, pool-others-cooling)
	exceeded := has+others+cooling > pool
	if now < t.graceUntil { // it keeps what it has, until all grants are known
		if exceeded {
			return min(has, share)
		}
		return has
	}
	// It keeps its share of what it has even where too much is granted, as after a limit was lowered: the others come down likewise.
	units := min(share, max(free, has))
	if c.wanted > 0 {
		units = max(units, min(share+t.slack, free)) // so that it need not ask again as soon as it wants a little more
	}
	if !exceeded && !t.underserved(now) {
		units = max(units, has) // nobody else needs it: it keeps what it has
	}
	return units
}

// recordTurn records whether the client has what it needs at least, or waits.
func (c *clientState) recordTurn(granted int64, now time.Duration) {
	switch {
	case granted >= c.minUseful:
		if c.waitingSince = 0; c.turnStart == 0 {
			c.turnStart = now
		}
	case c.wanted > 0 && c.waitingSince == 0:
		c.waitingSince, c.turnStart = now, 0
	case c.wanted == 0:
		c.waitingSince, c.turnStart = 0, 0
	}
}

func (t *GrantTable) reclaimDelay() time.Duration { return t.limit.ReclaimDelay(t.terms.MaxDrift) }

// recordRequest records what a client says.
func (t *GrantTable) recordRequest(c *clientState, q Request, now time.Duration) {
	for i := range c.grants {
		c.grants[i].units = min(c.grants[i].units, q.Held)
	}
	c.sequence, c.requestedAt = q.Sequence, now
	c.cooling, c.coolUntil = 0, 0
	if q.Cooling > 0 && q.CoolingTime > 0 {
		c.cooling, c.coolUntil = q.Cooling, now+driftBound(q.CoolingTime, t.terms.MaxDrift)
	}
	if c.wanted != q.Wanted || c.minUseful != q.MinUseful {
		t.sharesStale = true
	}
	c.wanted, c.minUseful = q.Wanted, max(1, q.MinUseful)
	if q.Held < c.minUseful && c.turnStart > 0 { // its turn ended
		c.turnStart, t.sharesStale = 0, true
		if q.Wanted > 0 {
			c.waitingSince = now
		}
	}
}

func (c *clientState) coolingAt(now time.Duration) int64 {
	if now < c.coolUntil {
		return c.cooling
	}
	return 0
}

// outstandingExcept is how many units all clients but one may be using or cooling down. It forgets clients that are gone.
func (t *GrantTable) outstandingExcept(except *clientState, now time.Duration) (units int64) {
	for id, c := range t.clients {
		if c == except {
			continue
		}
		out := c.outstanding(now)
		if units += out; out == 0 && now-c.requestedAt > 2*t.terms.ServerDuration() {
			delete(t.clients, id)
		}
	}
	return units
}

// currentShares is each active client's share of the limit, computed anew at most every shareInterval unless demands changed.
func (t *GrantTable) currentShares(now time.Duration) map[lease.HolderID]int64 {
	if !t.sharesStale && now-t.sharesAt < shareInterval {
		return t.shares
	}
	t.sharesAt, t.sharesStale = now, false
	active := make([]lease.HolderID, 0, len(t.clients))
	pool := t.limit.Grantable()
	for id, c := range t.clients {
		if t.active(c, now) {
			active = append(active, id)
		} else {
			pool -= c.outstanding(now) // nobody's until it expires
		}
	}
	if pool >= headroomDivisor {
		pool -= pool / headroomDivisor
	}
	slices.SortFunc(active, compareHolders)
	demands, needed := make([]Demand, len(active)), int64(0)
	turn := t.limit.CoolDown(t.terms.MaxDrift)
	for i, id := range active {
		c := t.clients[id]
		demands[i] = Demand{Units: min(c.wanted, t.limit.Grantable()), MinUseful: c.minUseful, WaitingSince: c.waitingSince, HasTurn: c.turnStart > 0 && now-c.turnStart < turn}
		if c.wanted > 0 {
			needed += c.minUseful
		}
	}
	t.scarce = needed > max(0, pool)
	shares := FairShares(max(0, pool), demands)
	t.shares = make(map[lease.HolderID]int64, len(active))
	wanting := int64(0)
	for i, id := range active {
		t.shares[id] = shares[i]
		if pool -= shares[i]; demands[i].Units > 0 {
			wanting++
		}
	}
	t.slack = max(0, pool) / 2 / max(1, wanting) // half of what nobody wants: the other half is for new clients
	return t.shares
}

func compareHolders(x, y lease.HolderID) int {
	return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
}

// underserved reports whether a client has less than its share, or more units are outstanding than there are.
func (t *GrantTable) underserved(now time.Duration) bool {
	outstanding := int64(0)
	for id, c := range t.clients {
		has := c.outstanding(now)
		if outstanding += has; t.active(c, now) && has < t.shares[id] {
			return true
		}
	}
	return outstanding > t.limit.Grantable()
}

// retryAfter is when a client that waits asks again: as soon as a unit may have come back that is then its turn.
func (t *GrantTable) retryAfter(waiting *clientState, now time.Duration) time.Duration {
	before := 0                 // clients that have waited longer
	var returns []time.Duration // when units come back
	for _, c := range t.clients {
		if c != waiting && c.waitingSince > 0 && t.active(c, now) && c.waitingSince < waiting.waitingSince {
			before++
		}
		if c.cooling > 0 && c.coolUntil > now {
			for range min(c.cooling, maxReturnsCounted) {
				returns = append(returns, c.coolUntil)
			}
		}
		if n := len(c.grants); n > 0 && c != waiting {
			returns = append(returns, c.grants[n-1].expiresAt)
		}
	}
	slices.Sort(returns)
	if before < len(returns) {
		return max(0, returns[before]-now) + time.Millisecond
	}
	return time.Duration(before) * t.limit.CoolDown(t.terms.MaxDrift) / time.Duration(2*max(1, t.limit.Grantable()))
}
