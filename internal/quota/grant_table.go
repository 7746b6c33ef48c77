package quota

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// Request is a client's request for one limit.
type Request struct {
	Sequence    uint64        // of the client's requests: a request that is not newer than the last one is ignored
	Held        int64         // from now on the client holds at most this many units, whatever was granted before
	Cooling     int64         // units in addition to Held that it gave up and that still cool down
	CoolingTime time.Duration // until the last of the Cooling units has cooled down
	Wanted      int64         // units that it could use within a cool-down
	MinUseful   int64         // the client can't use fewer units
	Spent       int64         // units of a daily quota used by the client's process in total
}

// Grant is the owner's reply to a Request.
type Grant struct {
	Units      int64
	Duration   time.Duration // counted from before the request
	Rotating   bool          // there are not enough units for all clients: the client gives up units as soon as they are used
	RetryAfter time.Duration // after which a client that waits for more units requests again; 0: its usual interval
}

// GrantTable records the units of a limit that its owner has granted. It is not safe for concurrent use.
type GrantTable struct {
	limit      Limit
	terms      Terms
	graceUntil time.Duration // until this time unknown grants of an earlier owner may exist
	clients    map[lease.HolderID]*clientState

	shares      map[lease.HolderID]int64 // as computed at sharesAt
	slack       int64                    // units that each client with a demand gets in addition to its share
	sharesAt    time.Duration
	scarce      bool // there are not enough units for every client's minUseful, so the units rotate
	sharesStale bool // demands or the limit changed since sharesAt
}

// clientState is the state of one process of a sender, as of its requests.
type clientState struct {
	sequence     uint64
	grants       []issuedGrant // by expiry; each is smaller than those that expire before it
	cooling      int64
	coolUntil    time.Duration // end of the cool-down of the cooling units
	wanted       int64
	minUseful    int64
	requestedAt  time.Duration // of its last request
	waitingSince time.Duration // time since which it holds less than minUseful and wants more; 0: it does not wait
	turnStart    time.Duration // start of its turn with rotating units; 0: it has no turn
}

// issuedGrant is a grant as recorded by the owner; expiresAt includes the reclaim delay.
type issuedGrant struct {
	units     int64
	expiresAt time.Duration
}

const (
	shareInterval = 10 * time.Millisecond // interval for recomputing shares; changed demands are applied at once
	// turnCoolDowns is the duration of a grant of rotating units, in cool-downs. It is short so that a client which can't use its unit soon
	// gives it up to the next client.
	turnCoolDowns     = 1
	maxReturnsCounted = 64  // maximum number of cooling units per client that retryAfter considers
	headroomDivisor   = 100 // 1/headroomDivisor of the units is kept free for new clients, if there are at least headroomDivisor units
)

// NewGrantTable returns the table of a new owner. Grants of an earlier owner may exist until graceUntil.
func NewGrantTable(l Limit, t Terms, graceUntil time.Duration) *GrantTable {
	return &GrantTable{limit: l, terms: t, graceUntil: graceUntil, clients: map[lease.HolderID]*clientState{}, sharesStale: true}
}

// SetLimit replaces the limit. Existing grants stay valid; units in excess of the new limit are reclaimed with the clients' next requests.
func (t *GrantTable) SetLimit(l Limit) { t.limit, t.sharesStale = l, true }

// outstanding returns the maximum number of units that a client may be using or cooling down.
func (c *clientState) outstanding(now time.Duration) (units int64) {
	c.grants = slices.DeleteFunc(c.grants, func(g issuedGrant) bool { return g.expiresAt <= now })
	for _, g := range c.grants {
		units = max(units, g.units)
	}
	if now < c.coolUntil {
		units += c.cooling
	}
	return units
}

// active reports whether a client has sent a request within the duration of a grant.
func (t *GrantTable) active(c *clientState, now time.Duration) bool {
	return now-c.requestedAt < t.terms.Duration
}

// Grant processes a client's request. ok is false for a request that is not newer than the last one: it gets no reply.
func (t *GrantTable) Grant(id lease.HolderID, r Request, now time.Duration) (g Grant, ok bool) {
	c := t.clients[id]
	if c != nil && r.Sequence <= c.sequence {
		return Grant{}, false
	}
	if c == nil {
		c = &clientState{}
		t.clients[id] = c
		if now < t.graceUntil && r.Held > 0 { // granted by an earlier owner: a client reports only units that it holds
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

// unitsFor returns the number of units to grant to a client whose fair share is share.
func (t *GrantTable) unitsFor(c *clientState, share int64, now time.Duration) int64 {
	cooling := c.coolingAt(now)
	has, others := c.outstanding(now)-cooling, t.outstandingExcept(c, now)
	pool := t.limit.Grantable()
	free := max(0, pool-others-cooling)
	exceeded := has+others+cooling > pool
	if now < t.graceUntil { // until all grants are known, the client keeps the units that it has and gets no others
		if exceeded {
			return min(has, share)
		}
		return has
	}
	// Even if too many units are granted, as after the limit was lowered, the client keeps its units up to its share: the other clients
	// are reduced to their shares in the same way.
	units := min(share, max(free, has))
	if c.wanted > 0 {
		units = max(units, min(share+t.slack, free)) // slack saves a new request when the client wants slightly more
	}
	if !exceeded && !t.underserved(now) {
		units = max(units, has) // no other client needs the units that this client has
	}
	return units
}

// recordTurn records whether the client has at least minUseful units, or waits for them.
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

// recordRequest updates a client's state from its request.
func (t *GrantTable) recordRequest(c *clientState, r Request, now time.Duration) {
	for i := range c.grants {
		c.grants[i].units = min(c.grants[i].units, r.Held)
	}
	c.sequence, c.requestedAt = r.Sequence, now
	c.cooling, c.coolUntil = 0, 0
	if r.Cooling > 0 && r.CoolingTime > 0 {
		c.cooling, c.coolUntil = r.Cooling, now+driftBound(r.CoolingTime, t.terms.MaxDrift)
	}
	if c.wanted != r.Wanted || c.minUseful != r.MinUseful {
		t.sharesStale = true
	}
	c.wanted, c.minUseful = r.Wanted, max(1, r.MinUseful)
	if r.Held < c.minUseful && c.turnStart > 0 { // its turn has ended
		c.turnStart, t.sharesStale = 0, true
		if r.Wanted > 0 {
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

// outstandingExcept returns the maximum number of units that all clients except one may be using or cooling down. It removes clients that
// have no outstanding units and have stopped sending requests.
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

// currentShares returns each active client's share of the limit, recomputed at most once per shareInterval unless demands changed.
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
			pool -= c.outstanding(now) // not available to other clients before the grants expire
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
	t.slack = max(0, pool) / 2 / max(1, wanting) // half of the unclaimed units; the other half is for new clients
	return t.shares
}

func compareHolders(x, y lease.HolderID) int {
	return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
}

// underserved reports whether an active client has less than its share, or more units are outstanding than the limit allows.
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

// retryAfter returns the time after which a waiting client should request again: when enough units may have been returned for it and for the
// clients that have waited longer.
func (t *GrantTable) retryAfter(waiting *clientState, now time.Duration) time.Duration {
	before := 0                 // clients that have waited longer
	var returns []time.Duration // when units are returned
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
