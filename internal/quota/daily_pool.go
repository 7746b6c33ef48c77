package quota

import (
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// DailyPool is what an owner has of one daily quota. A day's units are used once and don't come back, so what outlasts every process is how
// many were drawn: an owner draws some from the replicated log before it grants them, and the log gives no more than the quota in a day,
// whoever draws. Units that an owner had drawn and not granted when it died are lost for the day, and so are those of a grant that expired:
// they may have been used. Both are kept few.
type DailyPool struct {
	limit     Limit
	terms     Terms
	period    int64
	available int64 // drawn, and not granted
	drawing   bool  // a draw was asked for and not answered yet
	clients   map[lease.HolderID]*dailyClient
}

// dailyClient is one process of a sender.
type dailyClient struct {
	sequence    uint64
	granted     int64         // units that it may use yet
	spent       int64         // units that it has used in all, as its last request told
	expiresAt   time.Duration // of its grant
	wanted      int64
	requestedAt time.Duration
}

// drawDivisor bounds a draw to this fraction of a day's quota: an owner that dies loses no more.
const drawDivisor = 100

// NewDailyPool makes an empty pool.
func NewDailyPool(l Limit, t Terms) *DailyPool {
	return &DailyPool{limit: l, terms: t, clients: map[lease.HolderID]*dailyClient{}}
}

// StartPeriod begins a day, unless it has begun. What is granted of the day before may be used until the grant expires.
func (p *DailyPool) StartPeriod(period int64) {
	if period > p.period {
		p.period, p.available, p.drawing = period, 0, false
	}
}

// Grant takes a client's request and answers it; ok is false for one that is not newer than the last. draw is how many units are to be drawn
// from the log now; 0: none.
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
		c.granted = 0 // it expired, and may have been used
	}
	used := r.Spent - c.spent
	if back := c.granted - used - r.Held; back > 0 { // given up, or granted by c reply that was lost
		p.available += back
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
		give := min(need, max(1, p.available/max(1, wanting)))
		c.granted += give
		p.available -= give
	}
	c.expiresAt = now + p.terms.ServerDuration()
	g = Grant{Units: c.granted, Duration: p.terms.Duration}
	if r.Wanted > c.granted && !p.drawing {
		p.drawing = true
		draw = max(1, min(p.limit.Units/drawDivisor, 4*(r.Wanted-c.granted)))
	}
	return g, draw, true
}

// AddDrawn adds what the log gave for a draw; 0 units if the day's quota is used up, or the draw was rejected.
func (p *DailyPool) AddDrawn(period, units int64) {
	if p.drawing = false; period == p.period {
		p.available += units
	}
}

// Clients shows all clients, by name.
func (p *DailyPool) Clients(now time.Duration) []ClientReport {
	var reports []ClientReport
	for id, c := range p.clients {
		reports = append(reports, ClientReport{HolderID: id, Units: c.granted, Remaining: max(0, c.expiresAt-now), Wanted: c.wanted})
	}
	slices.SortFunc(reports, func(x, y ClientReport) int { return compareHolders(x.HolderID, y.HolderID) })
	return reports
}
