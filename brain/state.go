package brain

// What a sender remembers, and plain book-keeping on it. Nothing is decided here: that is brain.go.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

type state uint8

const (
	well state = iota
	out        // an outage: one call at a time, spaced by a growing back-off
	cold       // returned: a ramp until it is warm
)

// fading is a count that fades over a span.
type fading struct {
	n    float64
	when time.Duration
}

func (f *fading) at(now, span time.Duration) float64 {
	return f.n * math.Exp(-(now-f.when).Seconds()/span.Seconds())
}

func (f *fading) add(now, span time.Duration) { f.n, f.when = f.at(now, span)+1, now }

type route struct {
	restart.Oracle
	tried, done fading // calls sent, and served
	name        uint32
	of          DestinationID
	place       uint64 // in the order of making
	gone        bool
	window      restart.Window
	calls       int           // out now
	closedUntil time.Duration // told to wait, or paused
	toldUntil   time.Duration // told to wait
	others      int           // other senders that hold it out
	othersAt    time.Duration // as of then
	askedUntil  time.Duration // that, as far as it was told to us and not to another sender
	news        bool          // it is in the Brain's list of those
	recheck     bool          // something has come up that calls there may not stand against
	pause       time.Duration
	fails       float64 // mean share of failed calls
	bad         int     // calls in a row that were not served
	lost        int     // those of them that were not refused
	recent      float64 // recent latency, s
	lastServed  time.Duration
	sentAt      time.Duration // of the last call
	servedSent  time.Duration // latest sending of a call that was served
	unanswered  []*call       // sent, in order
	takenBack   int           // calls called off since one was served
	served      float64       // calls served, fading over rateSpan
	firstServed time.Duration
	before      float64       // our calls a second before the outage
	past        float64       // and in an earlier process
	outAt       time.Duration // begin of the outage
	state       state
	since       time.Duration // of the state
	probes      int           // calls out that were sent during this outage
	probedAt    time.Duration
	limit       float64       // calls a second that all senders may send, 0 if unknown
	pace        float64       // our part of it
	heardAt     time.Duration // a call ended last
	tokens      float64       // calls that the pace allows now
	filled      time.Duration
	logged      time.Duration
}

func (b *Brain) newRoute(id uint32, of DestinationID) *route {
	b.places++
	b.routes++
	return &route{name: id, of: of, place: b.places, window: restart.Window{Size: 1}, tokens: 1, filled: b.now, lastServed: b.now, logged: -never / 2}
}

type endpoint struct {
	Endpoint
	listed  bool
	route   *route
	calls   int
	recent  float64 // recent latency, s
	fails   float64
	sentAt  time.Duration // last round with a call to it
	crowded time.Duration // by so much its idle connections are kept shorter than its kind's
	idleAt  time.Duration // since then there is no call to it, 0 if no connection may be open
	conns   int           // connections to it that should stand, with a call or without
	room    float64       // calls at once while it takes no more of them; 0: it was never short

	fullUntil, fullPause time.Duration // no connection is opened until then; and the last such pause

	idleNo               uint64 // in the order of becoming idle, 0 if nothing is to be closed
	maybeIdle, inCrowded bool   // in the lists of those
}

type destination struct {
	endpoints []*endpoint
	shared    *route // nil where routes are apart
	apart     bool   // some endpoint has had a route of its own
	held      int    // messages that are not over
	past      float64
	place     uint64 // in the order of first mention
	gone      bool
	touched   time.Duration // last in use
	queued    bool          // to be looked at for folding

	first, last *message // that wait, in the order in which they came to
	count       int
	pauses      pauses // of those
	byTenant    []refusable
}

type call struct {
	route  *route
	at     *endpoint
	sent   time.Duration
	left   int           // messages without an outcome
	probe  bool          // sent during an outage
	booked bool          // its fate has been counted
	idle   time.Duration // how long the connection had had no call, 0 for a fresh one

	messages  []*message
	takenBack bool
	recalled  bool
}

type attempt struct {
	*call
	timeout time.Duration
	uncut   bool    // it ran to the time left
	weight  float64 // of its sample, 0 if it gives none
	ended   bool
	doubt   bool // it ended by a time-out or a break
}

type message struct {
	Message
	class     *Class
	dest      *destination
	attempts  []attempt
	out       int // attempts without an outcome
	over      bool
	mayRun    bool
	spared    int           // attempts that were recalled, and so not made
	firstRun  time.Duration // first send that may have run
	ranZone   int
	notBefore time.Duration
	turn      *turn

	number        uint64 // in the order of arrival
	waits, listed bool   // for being sent; and among those that may be refused
	place         uint64 // in the order of coming to wait
	due           time.Duration
	timer         int // its place in the heap

	before, after, beforeSame, afterSame *message
}

// turn is the order of one key.
type turn struct {
	queue     []*message
	restUntil time.Duration
	rests     bool // it is in the list of those
	key       uint64
}

type tenant struct{ recent, usual float64 } // messages a second, over shareSpan and over ten times that

// Brain is one sender's decisions.
type Brain struct {
	lent map[DestinationID]RateGrant // by the fleet

	s         Settings
	random    uint64
	now, wake time.Duration
	alarm     time.Duration // the earliest alarm set, never if none
	acts      []Action
	byID      map[MessageID]*message
	held      int // messages that are not over
	arrivals  uint64
	dests     map[DestinationID]*destination
	order     []*destination // in order of first mention
	endpoints map[EndpointID]*endpoint
	turns     map[uint64]*turn
	resting   []*turn
	restsKept int
	rests     []*turn        // that rest after doubt, with some whose rest is over
	calls     int            // slots in use
	routes    int            // how many there are
	places    uint64         // given to routes and destinations
	all       restart.Oracle // of all routes together, for what is usual here
	takenBack int            // calls called off, without an outcome
	tenants   []tenant
	tenantsAt time.Duration
	askAt     time.Duration
	askPause  time.Duration   // the last one after a failed request for the list, 0 since one was answered
	part      float64         // of the tenants' shares that is ours
	partKnown bool            // until the next message
	idle      []*endpoint     // perhaps with an idle connection
	keep      []time.Duration // how long to keep those, by kind of destination
	started   time.Duration   // first batch
	came      fading          // messages taken

	active     []*destination // with a message that waits, in the order of first mention
	waitings   uint64
	timers     timers // of all that wait
	unanswered []*route
	rechecks   []*route // of which recheck is set
	newsOf     []*route // with a health or a wait that others may want to know
	offers     offers
	usable     []*endpoint
	idles      uint64
	idleKept   int
	crowded    []*endpoint
	looked     []*endpoint
	unlisted   map[EndpointID]*endpoint       // left the list
	bare       map[DestinationID]*destination // without endpoints
	folded     map[DestinationID]*folded
	foldedAt   map[EndpointID]DestinationID // endpoints of those
	quiet      []quietSince
}

// New makes the decisions of one sender that knows nothing yet but its settings.
func New(s Settings, seed uint64) *Brain {
	b := &Brain{s: s, random: seed, now: -never, started: -never, alarm: never, askAt: never, byID: map[MessageID]*message{},
		dests: map[DestinationID]*destination{}, endpoints: map[EndpointID]*endpoint{},
		unlisted: map[EndpointID]*endpoint{}, bare: map[DestinationID]*destination{},
		folded: map[DestinationID]*folded{}, foldedAt: map[EndpointID]DestinationID{},
		turns: map[uint64]*turn{}, tenants: make([]tenant, len(s.Tenants))}
	if s.RequestsEndpoints {
		b.askAt = -never
	}
	return b
}

func (b *Brain) wakeAt(t time.Duration) { b.wake = min(b.wake, t) }

// draw is the next random number below n (splitmix64).
func (b *Brain) draw(n uint64) uint64 {
	b.random += 0x9e3779b97f4a7c15
	z := b.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return (z ^ z>>31) % n
}

// around is a pause drawn from half of d to half as much again: who was refused together does not come together.
func (b *Brain) around(d time.Duration) time.Duration { return d/2 + time.Duration(b.draw(uint64(d))) }

func (b *Brain) destination(id DestinationID) *destination {
	d := b.dests[id]
	if d == nil {
		if f := b.folded[id]; f != nil {
			return b.unfold(f)
		}
		b.places++
		d = &destination{place: b.places}
		b.dests[id], b.bare[id] = d, d
		b.order = append(b.order, d)
		b.touch(d)
	}
	return d
}

func (b *Brain) drop(id EndpointID) {
	b.unfoldAt(id)
	if e := b.endpoints[id]; e != nil {
		e.listed = false
		b.doubt(e.route)
		d := b.destination(e.Destination)
		d.endpoints = without(d.endpoints, e)
		b.unlisted[id] = e
		if len(d.endpoints) == 0 {
			b.bare[e.Destination] = d
		}
		if d.shared == nil { // a message that was not sent yet goes by the first one's route
			b.retime(d)
		}
	}
}

func (b *Brain) add(line Endpoint) {
	line.Kind, line.Zone = max(0, line.Kind), max(0, line.Zone)
	d := b.destination(line.Destination)
	e := b.endpoints[line.ID]
	if e == nil || e.Destination != line.Destination {
		e = &endpoint{}
		b.endpoints[line.ID] = e
		if line.Kind < len(b.s.Kinds) && b.s.Kinds[line.Kind].PerEndpointRoutes {
			e.route, d.apart = b.newRoute(uint32(line.ID), line.Destination), true
		} else {
			if d.shared == nil {
				d.shared = b.newRoute(uint32(line.Destination), line.Destination)
				d.shared.past = d.past
			}
			e.route = d.shared
		}
	}
	if d.shared == nil { // also of one that was forgotten while its endpoint was not
		d.apart = true
	}
	e.Endpoint, e.listed = line, true
	if b.s.RatingIsLimit && positive(line.Rating) {
		b.learnLimit(e.route, line.Rating)
	}
	d.endpoints = append(d.endpoints, e)
	delete(b.unlisted, line.ID)
	delete(b.bare, line.Destination)
	if d.shared == nil {
		b.retime(d)
	}
}

// remember takes over what an earlier process knew.
func (b *Brain) remember(e UsualRate) {
	if d := b.destination(e.Destination); positive(e.Rate) {
		d.past = e.Rate
		if d.shared != nil {
			d.shared.past = e.Rate
		}
	}
}

// earlier is the rate of an earlier process, which counts for less the more this one has seen itself.
func (b *Brain) earlier(r *route) float64 {
	return r.past * math.Exp(-(b.now-b.started).Seconds()/arrivalSpan.Seconds())
}

// UsualRates tells the calls a second usually served at each destination whose endpoints share one route, for the
// sender to keep: a process that restarts within an outage would else know nothing of what a destination
// bears when it returns.
func (b *Brain) UsualRates() []UsualRate {
	var rates []UsualRate
	for _, d := range b.order {
		if r := d.shared; r != nil {
			rate := r.before
			if r.state == well {
				rate = max(b.usual(r.done), b.earlier(r))
			}
			rates = append(rates, UsualRate{DestinationID(r.name), rate})
		}
	}
	awake := len(rates)
	for _, f := range b.folded {
		rates = append(rates, UsualRate{f.id, float64(f.rate) * trust(b.now-f.at)})
	}
	slices.SortFunc(rates[awake:], func(x, y UsualRate) int { return cmp.Compare(x.Destination, y.Destination) })
	return rates
}

func without[T comparable](list []T, x T) []T {
	for i, y := range list {
		if y == x {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// route is the one that m was sent to last, or the first of its destination.
func (m *message) route() *route {
	if n := len(m.attempts); n > 0 {
		return m.attempts[n-1].route
	}
	if m.dest.shared != nil || len(m.dest.endpoints) == 0 {
		return orEmpty(m.dest.shared)
	}
	return m.dest.endpoints[0].route
}

func orEmpty(r *route) *route {
	if r == nil {
		return &route{}
	}
	return r
}

func (b *Brain) batch(e *endpoint) int {
	if e.Kind < len(b.s.Kinds) {
		return max(1, b.s.Kinds[e.Kind].MaxBatch)
	}
	return 1
}

func (b *Brain) log(r *route, text string) {
	if b.now-r.logged >= 5*time.Second {
		r.logged = b.now
		b.acts = append(b.acts, Log{fmt.Sprintf("%d %s", r.name, text)})
	}
}

func (b *Brain) fadeTenants() {
	b.partKnown = false
	dt := (b.now - b.tenantsAt).Seconds()
	b.tenantsAt = b.now
	for i := range b.tenants {
		b.tenants[i].recent *= math.Exp(-dt / shareSpan.Seconds())
		b.tenants[i].usual *= math.Exp(-dt / (10 * shareSpan.Seconds()))
	}
}

// news takes in the list. What drains or is gone gets nothing new from this batch on.
func (b *Brain) news(n EndpointUpdate) {
	listed := map[EndpointID]bool{}
	for _, e := range n.Endpoints {
		listed[e.ID] = e.Ready
		if b.asFolded(e) {
			continue
		}
		b.drop(e.ID)
		if e.Ready {
			b.add(e)
		}
	}
	if n.Complete {
		for id := range b.foldedAt {
			if !listed[id] {
				b.unfoldAt(id)
			}
		}
		for _, d := range b.order {
			for _, e := range append([]*endpoint(nil), d.endpoints...) {
				if !listed[e.ID] {
					b.drop(e.ID)
				}
			}
		}
	}
	b.forget()
}

// forgetAfter is how long something that left the list is remembered: longer than any outage or wait.
const forgetAfter = 2 * time.Minute

// forget drops what has left the list for good, as ids are ever new: endpoints without a call, their own
// routes, and destinations without endpoints or messages. A route may be told to wait, and a destination
// may get new endpoints, so these are remembered for a while.
func (b *Brain) forget() {
	past := func(r *route) bool {
		return r.calls == 0 && b.now >= r.closedUntil && b.now-max(r.sentAt, r.filled) > forgetAfter
	}
	for id, e := range b.unlisted {
		if e.calls > 0 {
			continue
		}
		if d := b.dests[e.Destination]; d == nil || e.route != d.shared {
			if !past(e.route) {
				continue
			}
			b.forgetRoute(e.route)
		}
		delete(b.endpoints, id)
		delete(b.unlisted, id)
	}
	some := false
	for id, d := range b.bare {
		if d.held > 0 || d.shared != nil && !past(d.shared) {
			continue
		}
		delete(b.dests, id)
		delete(b.bare, id)
		b.forgetRoute(d.shared)
		d.gone, some = true, true
	}
	if some {
		b.order = shrink(slices.DeleteFunc(b.order, func(d *destination) bool { return d.gone }))
	}
}

func (b *Brain) forgetRoute(r *route) {
	if r != nil && !r.gone {
		r.gone = true
		b.routes--
	}
}

// positive reports whether x is of use as a figure: a report or a list may hold anything.
func positive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func (b *Brain) admit(msg Message) {
	if msg.Class < 0 || msg.Class >= len(b.s.Classes) {
		b.acts = append(b.acts, Fail{msg.ID}) // nothing is known of what it may do
		return
	}
	m := &message{Message: msg, class: &b.s.Classes[msg.Class], dest: b.destination(msg.Destination),
		mayRun: msg.MayHaveRun, firstRun: msg.FirstRunAt, ranZone: msg.FirstRunZone}
	b.byID[m.ID] = m
	b.arrivals++
	b.held++
	m.number = b.arrivals
	m.dest.held++
	b.touch(m.dest)
	b.came.add(b.now, arrivalSpan)
	if m.class.Ordered && m.OrderingKey != 0 {
		if m.turn = b.turns[m.OrderingKey]; m.turn == nil {
			m.turn = &turn{key: m.OrderingKey}
			b.turns[m.OrderingKey] = m.turn
		}
		m.turn.queue = append(m.turn.queue, m)
		if m.mayRun { // an attempt from before a restart may be running yet
			b.rest(m.turn)
		}
	}
	b.wait(m)
	if m.Tenant >= 0 && m.Tenant < len(b.tenants) {
		b.fadeTenants()
		b.tenants[m.Tenant].recent += 1 / shareSpan.Seconds()
		b.tenants[m.Tenant].usual += 1 / (10 * shareSpan.Seconds())
	}
}

// close ends a message for us; its attempts may still be out.
func (b *Brain) close(m *message) {
	if !m.over {
		m.over = true
		b.held--
		b.leave(m)
	}
	if m.out > 0 {
		b.doubt(m.attempts[len(m.attempts)-1].route)
	}
	if m.out == 0 && b.byID[m.ID] == m {
		m.dest.held--
		delete(b.byID, m.ID)
		if t := m.turn; t != nil {
			t.queue = without(t.queue, m)
			b.resting = append(b.resting, t)
		}
	}
}

// tries counts the attempts made, those before a restart too.
func (m *message) tries() int { return m.PriorAttempts + len(m.attempts) - m.spared }

// doubt has the calls that are out at r looked at again in this step.
func (b *Brain) doubt(r *route) {
	if !r.recheck && len(r.unanswered) > 0 {
		r.recheck = true
		b.rechecks = append(b.rechecks, r)
	}
}

// neverRan looks again for the first attempt that may have run.
func (b *Brain) neverRan(m *message) {
	last := len(m.attempts) - 1
	if m.firstRun == m.attempts[last].sent {
		m.mayRun = false
	}
}

func (b *Brain) countServed(r *route) {
	if r.served == 0 {
		r.firstServed = b.now
	}
	r.served = r.served*math.Exp(-(b.now-r.lastServed).Seconds()/rateSpan.Seconds()) + 1
	r.lastServed = b.now
	r.done.add(b.now, arrivalSpan)
}

// rateServed is the rate of calls served as of the last of them.
func (r *route) rateServed() float64 {
	seen := max(r.lastServed-r.firstServed, time.Second).Seconds()
	return r.served / (rateSpan.Seconds() * (1 - math.Exp(-seen/rateSpan.Seconds())))
}

// routesOf is how many routes a destination has.
func (b *Brain) routesOf(id DestinationID) int {
	if d := b.dests[id]; d != nil && d.shared == nil {
		return max(1, len(d.endpoints))
	}
	return 1
}

// granted books what the fleet lends.
func (b *Brain) granted(g RateGrant) {
	if !g.Limited {
		delete(b.lent, g.Destination)
		return
	}
	if b.lent == nil {
		b.lent = map[DestinationID]RateGrant{}
	}
	if d := b.dests[g.Destination]; d != nil && d.shared != nil && b.lent[g.Destination].Rate == 0 && g.Rate > 0 {
		d.shared.tokens = max(d.shared.tokens, 1) // it may be used at once
	}
	b.lent[g.Destination] = g
}

// fill books the calls that the rate has allowed since the last look.
func (b *Brain) fill(r *route) {
	rate, burst := b.rate(r)
	if math.IsInf(rate, 1) {
		r.tokens = 1
	} else {
		r.tokens = min(burst, r.tokens+rate*(b.now-r.filled).Seconds())
	}
	r.filled = b.now
}
