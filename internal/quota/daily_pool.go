package quota

import (
	"cmp"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/lease"
)

// DailyPool is what an authority has of one day's quota. A day's units are used once and don't come back, so what outlasts every process is how
// many were drawn: an authority draws some from the agreed log before it lends them, and the log gives no more than the quota in a day,
// whoever draws. What an authority that dies had drawn and not lent is lost for the day, and so is what lapses at a holder:
// it may have been used. Both are kept small.
type DailyPool struct {
	limit     Limit
	terms     Terms
	period    int64
	available int64 // drawn, and not lent
	drawing   bool
	clients   map[lease.HolderID]*dailyClient
}

// dailyClient is one process of a sender.
type dailyClient struct {
	sequence    uint64
	granted     int64         // that it may use yet
	spent       int64         // that it has told to have used, in all
	expiresAt   time.Duration // its loan lapses
	wanted      int64
	requestedAt time.Duration
}

// drawDivisor is into how many parts a day's quota is drawn at the most: what dies with an authority is one of them, or less.
const drawDivisor = 100

// NewDailyPool makes a pot with nothing in it.
func NewDailyPool(l Limit, t Terms) *DailyPool {
	return &DailyPool{limit: l, terms: t, clients: map[lease.HolderID]*dailyClient{}}
}

// StartPeriod begins a day, unless it has begun. What is lent from the one before may be used until it lapses.
func (p *DailyPool) StartPeriod(period int64) {
	if period > p.period {
		p.period, p.available, p.drawing = period, 0, false
	}
}

// Grant takes a holder's word and lends. draw is how many units are to be drawn from the log now; 0: none.
func (p *DailyPool) Grant(w lease.HolderID, q Request, now time.Duration) (l Grant, draw int64, ok bool) {
	a := p.clients[w]
	if a != nil && q.Sequence <= a.sequence {
		return Grant{}, 0, false
	}
	if a == nil {
		a = &dailyClient{spent: q.Spent}
		p.clients[w] = a
	}
	if now >= a.expiresAt {
		a.granted = 0 // lost: it may have been used
	}
	used := q.Spent - a.spent
	if back := a.granted - used - q.Held; back > 0 { // given back, or never heard to be lent
		p.available += back
	}
	a.sequence, a.spent, a.granted, a.wanted, a.requestedAt = q.Sequence, q.Spent, max(0, min(a.granted, q.Held)), q.Wanted, now
	wanting := int64(0)
	for who, o := range p.clients {
		if now-o.requestedAt > 2*p.terms.ServerDuration() {
			delete(p.clients, who)
		} else if o.wanted > o.granted {
			wanting++
		}
	}
	if need := q.Wanted - a.granted; need > 0 && p.available > 0 {
		give := min(need, max(1, p.available/max(1, wanting)))
		a.granted += give
		p.available -= give
	}
	a.expiresAt = now + p.terms.ServerDuration()
	l = Grant{Units: a.granted, Duration: p.terms.Duration}
	if q.Wanted > a.granted && !p.drawing {
		p.drawing = true
		draw = max(1, min(p.limit.Units/drawDivisor, 4*(q.Wanted-a.granted)))
	}
	return l, draw, true
}

// AddDrawn is what the log gave; none if the day's quota is used up, or the word was refused.
func (p *DailyPool) AddDrawn(period, units int64) {
	if p.drawing = false; period == p.period {
		p.available += units
	}
}

// Clients are all holders, by name.
func (p *DailyPool) Clients(now time.Duration) []ClientReport {
	var lines []ClientReport
	for w, a := range p.clients {
		lines = append(lines, ClientReport{HolderID: w, Units: a.granted, Remaining: max(0, a.expiresAt-now), Wanted: a.wanted})
	}
	slices.SortFunc(lines, func(x, y ClientReport) int {
		return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return lines
}
