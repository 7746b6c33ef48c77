package quota

import (
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// DailyPool is the owner's state of one daily quota. A unit is used only once per day, so the number of drawn units must survive the end of
// any process: an owner draws units from the replicated log before it grants them, and in a day the log gives all owners together no more
// than the quota. Units that an owner had drawn but not granted when it crashed are lost for the day. So are the units of an expired grant,
// as they may have been used. Draws and grants are small, so that few units are lost.
type DailyPool struct {
	limit     Limit
	terms     Terms
	period    int64
	available int64 // drawn and not granted
	drawing   bool  // a draw was requested and has no result yet
	clients   map[lease.HolderID]*dailyClient
}

// dailyClient is one process of a sender.
type dailyClient struct {
	sequence    uint64
	granted     int64         // units that it may still use
	spent       int64         // units that it has used in total, as of its last request
	expiresAt   time.Duration // of its grant
	wanted      int64
	requestedAt time.Duration
}

// drawDivisor bounds a draw to 1/drawDivisor of a day's quota, to limit the units that are lost when an owner crashes.
const drawDivisor = 100

// NewDailyPool returns an empty pool.
func NewDailyPool(l Limit, t Terms) *DailyPool {
	return &DailyPool{limit: l, terms: t, clients: map[lease.HolderID]*dailyClient{}}
}

// StartPeriod starts a day, unless it has already started. Units granted on the day before may be used until their grant expires.
func (p *DailyPool) StartPeriod(period int64) {
	if period > p.period {
		p.period, p.available, p.drawing = period, 0, false
	}
}

// Grant processes a client's request; ok is false for a request that is not newer than the last one. draw is the number of units to draw
// from the log now; 0 means none.
func (p *DailyPool) Grant(id lease.HolderID, r Request, now time.Duration) (g Grant, draw int64, ok bool) {
	c := p.clients[id]
	if c != nil && r.Sequence <= c.sequence {
		return Grant{}, 0, false
	}
	if c == nil {
		c = &dailyClient{spent: r.Spent}
		p.clients[id] = c
	}
	if now >= c.expiresAt {
		c.granted = 0 // the grant has expired, and its units may have been used
	}
	used := r.Spent - c.spent
	if returned := c.granted - used - r.Held; returned > 0 { // given up, or granted in a reply that was lost
		p.available += returned
	}
	c.sequence, c.spent, c.granted, c.wanted, c.requestedAt = r.Sequence, r.Spent, max(0, min(c.granted, r.Held)), r.Wanted, now
	wanting := int64(0)
	for other, o := range p.clients {
		if now-o.requestedAt > 2*p.terms.ServerDuration() {
			delete(p.clients, other)
		} else if o.wanted > o.granted {
			wanting++
		}
	}
	if need := r.Wanted - c.granted; need > 0 && p.available > 0 {
		units := min(need, max(1, p.available/max(1, wanting)))
		c.granted += units
		p.available -= units
	}
	c.expiresAt = now + p.terms.ServerDuration()
	g = Grant{Units: c.granted, Duration: p.terms.Duration}
	if r.Wanted > c.granted && !p.drawing {
		p.drawing = true
		draw = max(1, min(p.limit.Units/drawDivisor, 4*(r.Wanted-c.granted)))
	}
	return g, draw, true
}

// AddDrawn ends a draw and adds the units that the log gave for it; units is 0 if the day's quota is used up or the draw was rejected.
func (p *DailyPool) AddDrawn(period, units int64) {
	if p.drawing = false; period == p.period {
		p.available += units
	}
}

// Clients returns the state of all clients, sorted by name.
func (p *DailyPool) Clients(now time.Duration) []ClientReport {
	var reports []ClientReport
	for id, c := range p.clients {
		reports = append(reports, ClientReport{HolderID: id, Units: c.granted, Remaining: max(0, c.expiresAt-now), Wanted: c.wanted})
	}
	slices.SortFunc(reports, func(x, y ClientReport) int { return compareHolders(x.HolderID, y.HolderID) })
	return reports
}
