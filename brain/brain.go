package brain

// The decisions of a sender, top to bottom: constants, cap and health, Step and its timer, admission and
// ordering, choice, outcomes. Oracle and window are in brain/restart; the interface is in api.go.
// docs/design.md tells what is the paper's, what is ours, and when each departure acts.

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

const (
	failing    = 0.3  // share of failed calls from which half the cap and a pace hold
	mostFail   = 0.65 // share of failed calls that is an outage
	inRow      = 8    // failures in a row that are an outage, where as many calls come in an overload span
	leastInRow = 2    // and where hardly any come
	recentPer  = 0.1  // weight of the newest call in the recent latency
	healthPer  = 0.06 // weight of the newest call in the mean of failures
	silentBy   = 8    // age of unanswered calls over the middle latency, from which slots are taken back
	slowBy     = 3    // recent latency over the usual, from which a destination is slow

	rateSpan    = 10 * time.Second       // span over which the served rate is seen
	pauseFirst  = 100 * time.Millisecond // first pause after a refusal with no wait told; doubles
	pauseMost   = time.Second            // and its end: about the span over which limits are counted
	probeFirst  = 300 * time.Millisecond // least spacing of calls in an outage
	fleetProbes = 24                     // calls in the time to warm that all senders may send anywhere
	arrivalSpan = time.Minute            // span over which the messages for a destination are counted
	besideOther = 0.2                    // part of the calls of the unaware that those add who saw failures
	retryPause  = 150 * time.Millisecond // pause of one message after a failed attempt; doubles
	paceStep    = 0.1                    // growth of the pace, in our even parts of the limit, by call served
	paceCut     = 0.7                    // the pace after a refusal, or a second near the end of the limit
	paceUnheard = 4                      // seconds without an answer that count in it at most
	plenty      = 0.3                    // share of the allowance left from which the pace may grow
	scarce      = 0.1                    // and below which it is cut
	passedOver  = 2 * time.Second        // how long a message passed over is thought to wait
	anyWorth    = 0.1                    // weight of the worth itself beside its loss by waiting
	holdFull    = 0.95                   // share of the room for messages from which some are refused
	askAgain    = 250 * time.Millisecond // mean pause before a failed request for the list; doubles up to
	askAtMost   = time.Second            // this, as a change is to be heard in 6 s whatever failed
	askInVain   = 6 * time.Second        // after one worked on in vain: all leave discovery room then
	askSpread   = 5 * time.Second        // many that start at once ask in so long: answered within 6 s
	shareSpan   = 3 * time.Second        // span over which a tenant's rate is seen
	shareBeyond = 1.5                    // a tenant's rate over its share from which it is beyond it
	fewConns    = 8                      // connections that any endpoint takes from all senders together
	keepCut     = 4                      // idle connections are kept so many times shorter where they harm
	keepGrow    = 0.002                  // and longer again by this part of the full time, by call served
	never       = time.Duration(math.MaxInt64)
)

// ---- Cap and health of a route: a destination, or one endpoint where routes are apart

// cap is how many calls r may have out. A failing, slow or silent one keeps half.
func (b *Brain) cap(r *route) int {
	half := r.fails > failing || r.recent > slowBy*r.Mean && r.Mean > 0 || b.silent(r, 1)
	return r.window.Room(b.s.Slots, half)
}

// silent: nothing was served since the oldest of n or more calls went out, long ago.
func (b *Brain) silent(r *route, n int) bool {
	return len(r.unanswered) >= n && r.lastServed <= r.unanswered[0].sent &&
		b.now-r.unanswered[0].sent > r.patience()
}

// rate is how many calls a second r may get now, and how many at once. A window alone does not bound
// the rate of quick failures, and a cold destination bears few calls, refused ones too.
func (b *Brain) rate(r *route) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	lent, shared := b.lent[r.of]
	if r.limit > 0 && !(shared && lent.TotalRate <= r.limit) {
		rate, burst = r.pace, max(1, r.pace)
	}
	if shared { // by the fleet: nothing is guessed of what others use
		rate, burst = min(rate, lent.Rate/float64(b.routesOf(r.of))), 1
	}
	switch {
	case r.state == out:
		rate, burst = min(rate, b.bearable(r), 1/probeFirst.Seconds())*b.alone(r), 1
	case r.state == cold:
		rate, burst = min(rate, b.bearable(r)), 1
	case r.fails > failing:
		rate, burst = min(rate, max(1, 1.5*r.rateServed())), 1
	}
	return rate, burst
}

// usual is the rate of what was counted at a route: that, and one more in the time that a route takes to
// get one in the mean, so that a sender which has seen few yet is not misled by them.
func (b *Brain) usual(n fading) float64 {
	counted := arrivalSpan.Seconds() * (1 - math.Exp(-(b.now-b.started).Seconds()/arrivalSpan.Seconds()))
	each := float64(max(1, b.routes)) * (counted + 1) / (b.came.at(b.now, arrivalSpan) + 1)
	return (n.at(b.now, arrivalSpan) + 1) / (counted + each)
}

// enough is how many failures in a row are an outage: as many calls as we make in an overload span, for a
// sender with few there would not see eight fail before it is over; and more where senders are few.
func (b *Brain) enough(r *route) int {
	n := max(leastInRow+int(b.usual(r.tried)*b.s.OverloadWindow.Seconds()), fleetProbes/max(1, b.s.Senders))
	return min(inRow, n)
}

// bearable is our part of the calls a second that r bears in an outage, when it may return any moment, and
// so long after its return. A sender's part is that of its usual traffic, whatever the number of senders.
// Where we usually get no message in such a time, most others have seen no failure and send as ever: the
// few who have may together send a part of that. Any destination bears a few calls from all of us.
func (b *Brain) bearable(r *route) float64 {
	share := b.s.SlowStartCapacity
	if r.state == cold && b.s.SlowStartDuration > 0 {
		share += (1 - share) * min(1, (b.now-r.since).Seconds()/b.s.SlowStartDuration.Seconds())
	}
	unaware := besideOther / max(math.Expm1(r.before*(b.now-r.outAt).Seconds()), 1e-9)
	few := b.evenPart(fleetProbes / max(b.s.SlowStartDuration.Seconds(), 1))
	return max(few, r.before*max(max(1, b.s.OverloadMultiple)*share, unaware))
}

// open reports whether r may get a call now; if not but later, the alarm is set for then.
func (b *Brain) open(r *route) bool {
	if r.state == cold && b.now-r.since > b.s.SlowStartDuration {
		r.state, r.since = well, b.now
		b.changed(r)
	}
	if r.state == well && b.silent(r, min(inRow/2, b.enough(r))-1) {
		b.goOut(r)
	}
	if b.now < r.closedUntil {
		b.wakeAt(r.closedUntil)
		return false
	}
	if r.state == out && r.probes > 0 && b.now-r.probedAt < r.patience() {
		b.wakeAt(r.probedAt + r.patience())
		return false
	}
	if r.state != out && r.calls >= b.cap(r) {
		return false
	}
	b.fill(r)
	if r.tokens < 1 {
		if rate, _ := b.rate(r); rate > 0 { // else until something is lent
			b.wakeAt(b.now + time.Duration((1-r.tokens)/rate*float64(time.Second)) + time.Millisecond)
		}
		return false
	}
	return true
}

// phase is what a route has of its next call, drawn: senders that fail or begin in step do not go on in step.
func (b *Brain) phase() float64 { return float64(b.draw(1000))/1000 - 0.5 }

// goOut begins an outage. Before a second one the rate was held down by us, so the higher is kept.
func (b *Brain) goOut(r *route) {
	if r.state == well {
		r.before = max(b.usual(r.done), b.evenPart(r.limit), b.earlier(r))
		if r.served > inRow { // enough of them to go by the last seconds
			r.before = max(r.before, r.rateServed())
		}
		r.outAt = b.now
	}
	r.state, r.since, r.probes, r.tokens, r.filled = out, b.now, 0, b.phase(), b.now
	r.window.Size = 1
	b.doubt(r)
	b.changed(r)
	b.log(r, "out: calls fail, are refused or go unanswered; one call at a time")
}

// ---- Step and its timer

// Step takes in all events of a batch, then decides once. The actions are to be carried out in order.
// Time never goes back; a batch dated before the last is taken as of the last.
func (b *Brain) Step(now time.Duration, events []Event) []Action {
	now = max(now, b.now)
	b.now, b.wake, b.acts = now, never, nil
	if b.started == -never {
		b.started = now
		if b.s.RequestsEndpoints && b.s.Senders > fleetProbes { // many may have started at once
			b.askAt = now + time.Duration(b.draw(uint64(askSpread)))
		}
	}
	if b.alarm <= now {
		b.alarm = never
	}
	for _, e := range events {
		switch e := e.(type) {
		case Message:
			b.admit(e)
		case AttemptResult:
			b.ended(e)
		case TimerFired: // the clock may be coarser than ours: one that comes a little early is the one set
			if b.alarm <= now+b.s.StepInterval {
				b.alarm = never
			}
		case UsualRate:
			b.remember(e)
		case Observation:
			b.learnt(e)
		case RateGrant:
			b.granted(e)
		case Withdrawn:
			if m := b.byID[e.Message]; m != nil {
				b.close(m)
			}
		case EndpointUpdate:
			b.heard(e)
		}
	}
	if b.askAt <= now {
		b.askAt = never
		b.acts = append(b.acts, WatchEndpoints{})
	}
	b.wakeAt(b.askAt)
	b.expire()
	b.makeRoom()
	b.sendAll()
	b.recallAll()
	b.closeIdle()
	if b.s.HibernateAfter > 0 {
		b.foldQuiet()
	}
	if b.wake < b.alarm {
		b.alarm = max(b.wake, now+b.s.StepInterval)
		b.acts = append(b.acts, SetTimer{b.alarm})
	}
	return b.acts
}

// heard takes in news of the list, or asks for it again later. Discovery is one for all senders, and calls
// that it works on and can't answer in time cost it as much: if all ask again at once, none is answered. One
// that is turned away at once, or that never came there, costs it nothing.
func (b *Brain) heard(n EndpointUpdate) {
	if !n.Failed {
		b.askPause = 0
		b.news(n)
	} else if b.s.RequestsEndpoints {
		pause := min(max(2*b.askPause, askAgain), askAtMost)
		if n.Overloaded {
			pause = askInVain
		}
		b.askPause = max(b.askPause, pause)
		b.askAt = b.now + b.around(b.askPause)
	}
}

// ---- Admission and ordering

// lapses is when m, which waits, can no longer be served in time or not lawfully be sent.
func (b *Brain) lapses(m *message) time.Duration {
	if b.s.MaxAttempts > 0 && m.tries() >= b.s.MaxAttempts {
		return -never
	}
	quickest := m.route().Quickest
	last := m.Deadline - max(quickest, b.s.StepInterval)
	if m.mayRun && m.class.Idempotency != Idempotent {
		if m.class.Idempotency != IdempotentByKey {
			return -never
		}
		last = min(last, m.firstRun+m.class.IdempotencyKeyTTL-quickest-b.s.StepInterval)
	}
	return last
}

// expire fails what cannot be served any more, in time: too little time left for the quickest call
// served there, no attempt left, or a repeat that would not be lawful.
func (b *Brain) expire() {
	gone, next := b.lapsed()
	slices.SortFunc(gone, func(x, y *message) int { return cmp.Compare(x.number, y.number) })
	for _, m := range gone {
		b.acts = append(b.acts, Fail{m.ID})
		b.close(m)
	}
	b.wakeAt(next)
	for len(b.resting) > 0 && (len(b.resting[0].queue) > 0 || b.resting[0].restUntil <= b.now) {
		if t := b.resting[0]; len(t.queue) == 0 {
			delete(b.turns, t.key)
		}
		b.resting = b.resting[1:]
	}
}

// makeRoom refuses, when the room for messages is nearly full, the newest message of the destination
// with the longest queue, of a tenant beyond its share first: its client can come back, and others would
// be turned away unseen.
func (b *Brain) makeRoom() {
	for b.s.MaxPending > 0 && float64(b.held) > holdFull*float64(b.s.MaxPending) {
		var victim *message
		longest := 0.0
		for _, d := range b.active {
			for _, m := range d.newest() {
				w := b.tenantWorth(m.Tenant)
				if wait := float64(d.count) / (0.1 + m.route().rateServed()) / (w * w); wait >= longest {
					victim, longest = m, wait
				}
			}
		}
		if victim == nil {
			return
		}
		hold := time.Duration(0)
		if b.s.SendsRetryAfter {
			hold = b.s.MaxRetryAfter
		}
		b.acts = append(b.acts, Reject{victim.ID, hold})
		b.close(victim)
	}
}

// worth is what m is worth if served at the time.
func (b *Brain) worth(m *message, at time.Duration) float64 {
	c := m.class
	late := at - (m.Deadline - c.Deadline) - c.LatencyTarget
	w := c.Value * b.tenantWorth(m.Tenant)
	switch {
	case at >= m.Deadline:
		return 0
	case late <= 0:
		return w
	case b.s.ExponentialDecay:
		return w * max(c.LateValue, math.Exp2(-late.Seconds()/c.LatencyTarget.Seconds()))
	}
	return w * (1 - (1-c.LateValue)*late.Seconds()/(c.Deadline-c.LatencyTarget).Seconds())
}

// tenantWorth is the worth of a tenant's messages as a fraction: beyond its share, the mean of those
// within and those beyond. Our part of the share is judged by what tenants usually send us.
func (b *Brain) tenantWorth(i int) float64 {
	if i < 0 || i >= len(b.tenants) || b.s.Senders == 0 {
		return 1
	}
	if !b.partKnown {
		parts := make([]float64, 0, len(b.tenants))
		for j, t := range b.tenants {
			parts = append(parts, t.usual/max(b.s.Tenants[j].Allowance, 1e-9))
		}
		sort.Float64s(parts) // the middle one: a tenant that surges does not widen its own share
		b.part, b.partKnown = min(1, max(1/float64(b.s.Senders), parts[len(parts)/2])), true
	}
	beyond := b.tenants[i].recent / max(shareBeyond*b.part*b.s.Tenants[i].Allowance, 1e-9)
	if beyond <= 1 {
		return 1
	}
	return (1 + (beyond-1)*b.s.OverShareValue) / beyond
}

// index orders messages for a scarce slot: the worth that a message loses if passed over, and a little of
// its worth, for the slot time that it is likely to hold. Calls failed since one was served count against it.
func (b *Brain) index(m *message, r *route) float64 {
	takes := max(r.recent, r.Mean, 0.05)
	done := b.now + time.Duration(takes*float64(time.Second))
	w := b.worth(m, done)
	lost := float64(r.lost) * math.Exp(-(b.now-r.sentAt).Seconds()/passedOver.Seconds())
	return (w - b.worth(m, done+passedOver) + anyWorth*w) * (1 - r.fails) / (takes * (1 + lost))
}

// ---- Choice

// sendAll fills the free slots, the best message first.
func (b *Brain) sendAll() {
	b.offers = b.offers[:0]
	for _, d := range b.active {
		if o := b.offer(d); o.m != nil {
			b.offers = append(b.offers, o)
		}
	}
	b.offers.init()
	all := b.offers
	for len(b.offers) > 0 {
		if b.s.Slots > 0 && b.calls >= b.s.Slots {
			b.takeBack(len(b.offers))
			break
		}
		best := b.offers[0]
		b.sendCall(best.m, best.e)
		if b.offers[0] = b.offer(best.d); b.offers[0].m == nil {
			last := len(b.offers) - 1
			b.offers[0] = b.offers[last]
			b.offers = b.offers[:last]
		}
		b.offers.down(0)
	}
	clear(all) // what is sent or over is not held here
}

// offer is the message that d would have sent next, and where to.
func (b *Brain) offer(d *destination) (best offer) {
	if d.count == 0 || len(d.endpoints) == 0 {
		return best
	}
	b.usable = b.usable[:0]
	closed := d.shared != nil && !b.open(d.shared)
	for _, e := range d.endpoints {
		full := b.batch(e) > 1 && e.sentAt == b.now && e.calls > 0 // further sends would join that call
		if !full && b.fits(e) && (e.route == d.shared && !closed || e.route != d.shared && b.open(e.route)) {
			b.usable = append(b.usable, e)
		}
	}
	if len(b.usable) == 0 { // none can go, so only their pauses and the rests of their keys matter
		b.wakeForPauses(d)
		return best
	}
	for m := d.first; m != nil; m = m.after {
		if !b.ready(m) {
			continue
		}
		if e := b.pick(m, b.usable); e != nil {
			x := b.index(m, e.route)
			if best.m == nil || b.precedes(m, e, x, best.m, best.index) {
				best = offer{d, m, e, x}
			}
		}
	}
	return best
}

// takeBack calls off overdue calls while messages wait for slots, the longest overdue first. A call that
// may not be repeated holds its slot to the deadline otherwise, and a few hung destinations, or calls lost
// here and there, would take all slots. It hurts where a call would have been answered.
func (b *Brain) takeBack(waiting int) {
	for b.s.MayCancel && b.takenBack < waiting {
		var victim *call
		longest := time.Duration(0)
		for _, r := range b.unanswered {
			for _, c := range r.unanswered {
				over := b.now - c.sent - b.haste(c)
				if over > longest && !c.takenBack {
					victim, longest = c, over
				}
			}
		}
		if victim == nil {
			return
		}
		victim.takenBack = true
		victim.route.takenBack++
		b.takenBack++
		for _, m := range victim.messages {
			if n := len(m.attempts) - 1; !m.attempts[n].ended {
				b.acts = append(b.acts, Cancel{m.ID, n})
			}
		}
	}
}

// precedes orders two messages of one destination. Where it is out, one goes first that can wait for an
// answer some times slower than usual: those about to run out of time lose most by waiting, but what answers
// slowly would be cut off by each of them and never be seen to answer. In an outage a message that may be
// repeated tries the destination, as one that may not is lost with the call.
func (b *Brain) precedes(m *message, e *endpoint, x float64, than *message, thanX float64) bool {
	if e.room > 0 && b.opens(e) && m.tries() != than.tries() { // it may be for nothing
		return m.tries() < than.tries()
	}
	if e.route.state == out {
		slow := time.Duration(slowBy * max(e.route.Mean, e.route.recent) * float64(time.Second))
		enough := b.now + max(probeFirst, slow)
		short := m.Deadline < enough
		if short != (than.Deadline < enough) {
			return !short
		}
	}
	otherIsNot := than.class.Idempotency == NonIdempotent
	if e.route.state == out && (m.class.Idempotency == NonIdempotent) != otherIsNot {
		return otherIsNot
	}
	return x > thanX
}

// keepFor is how long idle connections to e are kept, and to all of its kind. It is not known how many an
// endpoint takes: that shows in connects that fail, and none is kept there then. What a sender with few calls
// sees at one holds for the kind, as others see the same; one with many has seen for itself. Of the few that
// an endpoint takes at the least each of many senders has a part only, and keeps its own for as much less.
func (b *Brain) keepFor(e *endpoint) (kept time.Duration, kind *time.Duration) {
	few := min(1, b.evenPart(fewConns))
	for len(b.keep) <= e.Kind {
		b.keep = append(b.keep, time.Duration(few*float64(b.s.IdleConnTimeout)))
	}
	kept, kind = b.s.IdleConnTimeout, &b.keep[e.Kind]
	if b.enough(e.route) < inRow/2 || few < 1 {
		kept = *kind
	}
	return max(0, kept-e.crowded), kind
}

// closeIdle shuts connections that have been idle for longer than they are kept.
func (b *Brain) closeIdle() {
	for _, e := range b.keptShorter() {
		keep, _ := b.keepFor(e)
		until := e.idleAt + keep
		switch {
		case e.calls > 0 || b.now >= e.idleAt+b.s.IdleConnTimeout:
			e.idleNo = 0
		case b.now >= until:
			b.acts = append(b.acts, CloseIdleConns{e.ID})
			e.idleAt, e.idleNo, e.conns = 0, 0, 0
		case keep < b.s.IdleConnTimeout:
			b.wakeAt(until)
		}
	}
}

// fits: as far as connections go, a call may go to e now. One that has refused a connection takes no more of
// them than stood then, and a little more with each call served; those are used for what waits, one call
// after the other, before another is tried for.
func (b *Brain) fits(e *endpoint) bool {
	if e.room == 0 || !b.opens(e) {
		return true
	}
	if float64(e.calls+1) > e.room {
		return false
	}
	if b.now < e.fullUntil {
		b.wakeAt(e.fullUntil)
		return false
	}
	return true
}

// opens: a call to e now needs a new connection.
func (b *Brain) opens(e *endpoint) bool {
	return e.calls >= e.conns || e.calls == 0 && b.now >= e.idleAt+b.s.IdleConnTimeout
}

// full books that e had no room for a connection. All senders are refused at once, and each comes again at a
// time of its own.
func (b *Brain) full(e *endpoint) {
	e.room = max(1, float64(e.calls))
	if b.now >= e.fullUntil {
		e.fullPause = min(max(2*e.fullPause, pauseFirst), pauseMost)
		e.fullUntil = b.now + b.around(e.fullPause)
	}
	e.recent = max(e.recent, e.route.recent) // one that was never called would be taken for the quickest
}

// ready: m may be sent now, as far as m itself goes.
func (b *Brain) ready(m *message) bool {
	if b.now < m.notBefore {
		b.wakeAt(m.notBefore)
		return false
	}
	if t := m.turn; t != nil {
		if t.queue[0] != m {
			return false
		}
		if b.now < t.restUntil && len(m.attempts) == 0 {
			b.wakeAt(t.restUntil)
			return false
		}
	}
	return true
}

// pick is the endpoint for m with the least work of ours, by its recent latency and failures.
func (b *Brain) pick(m *message, usable []*endpoint) *endpoint {
	var best *endpoint
	least := 0.0
	for _, e := range usable {
		keptInZone := m.class.Idempotency == IdempotentByKey && m.class.IdempotencyKeyZonal
		if m.mayRun && keptInZone && e.Zone != m.ranZone {
			continue
		}
		cost := float64(e.calls+1) * max(e.recent, 0.02) / max(0.05, 1-e.fails)
		if e.room > 0 && b.opens(e) { // a connection may not be had there
			cost *= 2
		}
		if e.Zone != b.s.Zone {
			cost *= 1 + 10*b.s.CrossZoneCost
		}
		if e.Zone < len(b.s.ZoneFees) && e.route != m.dest.shared {
			cost *= 1 + 10*b.s.ZoneFees[e.Zone]
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}

// sendCall sends m, and with it, where messages share calls, the best others that may go along.
func (b *Brain) sendCall(m *message, e *endpoint) {
	r := e.route
	c := &call{route: r, at: e, sent: b.now, probe: r.state == out}
	if e.calls == 0 && e.idleAt > 0 && b.now < e.idleAt+b.s.IdleConnTimeout {
		c.idle = b.now - e.idleAt
	}
	b.calls++
	r.calls++
	e.calls++
	e.conns = max(e.conns, e.calls)
	e.sentAt = b.now
	if c.probe {
		r.probes++
		r.probedAt = b.now
		b.doubt(r)
	}
	r.tokens--
	r.tried.add(b.now, arrivalSpan)
	r.sentAt = b.now
	b.unansweredAt(r, c)
	b.send(m, c)
	for n := 1; n < b.batch(e) && !c.probe; n++ {
		var next *message
		for o := m.dest.first; o != nil; o = o.after {
			fits := b.ready(o) && b.pick(o, []*endpoint{e}) != nil
			if fits && (next == nil || b.index(o, r) > b.index(next, r)) {
				next = o
			}
		}
		if next == nil {
			break
		}
		b.send(next, c)
	}
}

// send starts an attempt. Its time-out is the oracle's where a restart then is lawful, else the time left.
func (b *Brain) send(m *message, c *call) {
	r := c.route
	left := m.Deadline - b.now
	tau := r.Timeout()
	if c.probe {
		tau = max(r.patience(), probeFirst) // doubling would leave an outage unwatched
	}
	a := attempt{call: c, timeout: left, uncut: true}
	first := m.tries() == 0
	if first {
		a.weight = 1
	}
	restartable := m.class.Idempotency == Idempotent
	if m.class.Idempotency == IdempotentByKey {
		tau = min(tau, m.class.IdempotencyKeyTTL/2) // a repeat needs time to be served in the window
		from := b.now
		if m.mayRun {
			from = m.firstRun
		}
		restartable = b.now+tau+2*b.s.StepInterval+r.Quickest < from+m.class.IdempotencyKeyTTL
	}
	if b.s.MaxAttempts > 0 && m.tries()+1 >= b.s.MaxAttempts {
		restartable = false
	}
	if restartable && tau < left {
		if first && !c.probe && b.draw(restart.ExploreIn) == 0 {
			a.weight = restart.ExploreWeight
		} else {
			a.timeout, a.uncut = tau, false
		}
	}
	if !m.mayRun {
		m.mayRun, m.firstRun, m.ranZone = true, b.now, c.at.Zone
	}
	m.attempts = append(m.attempts, a)
	m.out++
	c.left++
	c.messages = append(c.messages, m)
	b.leave(m)
	b.acts = append(b.acts, Send{m.ID, c.at.ID, a.timeout})
}

// patience is how old an unanswered call may be before it counts as silence. Calls that came back from
// a hang lengthen the time-out; silence is judged as if they had not.
func (r *route) patience() time.Duration { return min(r.Optimum(), restart.FirstTimeout) }

// haste is the patience for taking slots back: some times the usual latency, which for a route with few
// samples is that of all routes, if a call sent later was served there already. It doubles with each
// call taken back there until one is served: what turns slow then gets the time to show it.
func (b *Brain) haste(c *call) time.Duration {
	r := c.route
	b.all.Optimum()
	usual := b.all.Median
	if r.Seen >= restart.FewSamples {
		usual = r.Median
	} else if b.all.Seen < restart.FewSamples || r.servedSent <= c.sent {
		return r.patience()
	}
	usual = max(silentBy*usual, time.Duration(slowBy*r.recent*float64(time.Second)), probeFirst)
	return min(r.patience(), usual<<min(r.takenBack, 4))
}

// recallAll looks again at the calls of routes where something has come up since they were sent. Their
// connections may take seconds to come up, and what a call was sent by may not hold when it could be written.
func (b *Brain) recallAll() {
	for _, r := range b.rechecks {
		r.recheck = false
		for _, c := range r.unanswered {
			why, recall := b.fallen(c)
			if !recall || c.recalled {
				continue
			}
			c.recalled = true
			for _, m := range c.messages {
				if n := len(m.attempts) - 1; !m.attempts[n].ended {
					b.acts = append(b.acts, Revoke{m.ID, n, why})
				}
			}
		}
	}
	b.rechecks = b.rechecks[:0]
}

// fallen: c would not be sent now, if it had not been.
func (b *Brain) fallen(c *call) (why RevokeReason, is bool) {
	switch r := c.route; {
	case !c.at.listed:
		return EndpointRemoved, true
	case b.now < r.toldUntil:
		return RetryAfterReceived, true
	case r.state == out && (c.sent < r.since || c.sent < r.probedAt):
		return RouteOutage, true
	}
	return MessagesEnded, !slices.ContainsFunc(c.messages, func(m *message) bool { return !m.over })
}

// ---- Outcomes

func (b *Brain) ended(e AttemptResult) {
	m := b.byID[e.Message]
	if m == nil || e.Attempt < 0 || e.Attempt >= len(m.attempts) || m.attempts[e.Attempt].ended {
		return
	}
	a := &m.attempts[e.Attempt]
	a.ended, a.doubt = true, e.Outcome == TimedOut || e.Outcome == ConnectionLost
	e.Elapsed = max(0, e.Elapsed)
	m.out--
	b.touch(m.dest)
	if a.left--; a.left == 0 {
		b.calls--
		a.route.calls--
		if a.takenBack {
			b.takenBack--
		}
		a.at.calls--
		if e.ConnLimitReached || a.doubt || e.Outcome == ConnectFailed || e.Outcome == Cancelled {
			a.at.conns--
		}
		if a.at.calls == 0 {
			b.becomesIdle(a.at)
		}
		b.answered(a.call)
		if a.probe && a.sent >= a.route.since && a.route.state == out {
			a.route.probes--
		}
	}
	if e.LimitReported && positive(e.Limit) {
		b.learnLimit(a.route, e.Limit)
	}
	if e.RetryAfter > 0 { // each outcome of a shared call may tell a later end
		a.route.askedUntil = max(a.route.askedUntil, b.now+e.RetryAfter+time.Millisecond)
		b.toWait(a.route, a.route.askedUntil)
		b.changed(a.route)
	}
	if !a.booked && e.Outcome != NotSent {
		a.booked = true
		b.judge(m, a, e)
	}
	a.route.heardAt = b.now
	b.learn(m, a, e)
	switch e.Outcome {
	case Rejected, ConnectFailed, NotSent:
		if e.Revoked { // else recalls would use up its attempts
			m.spared++
		}
		b.neverRan(m)
	case TimedOut, ConnectionLost, Cancelled:
		if m.turn != nil {
			b.rest(m.turn)
		}
	}
	if e.Final || m.over {
		b.close(m)
		return
	}
	if m.out == 0 {
		if e.Outcome != TimedOut && !e.ConnLimitReached {
			m.notBefore = b.now + retryPause<<min(len(m.attempts)-1, 4)
		}
		b.wait(m)
	}
}

// learn gives the oracle its sample: served first attempts only (Karn); an expiry doubles.
func (b *Brain) learn(m *message, a *attempt, e AttemptResult) {
	switch {
	case e.Outcome == Served && a.weight > 0:
		first := a.route.Quickest == 0
		a.route.Sample(e.Elapsed, a.weight, false)
		if first { // those that wait have less time from now on
			b.retime(m.dest)
		}
		b.all.Sample(e.Elapsed, a.weight, false)
		a.route.Fresh()
	case e.Outcome == TimedOut && a.uncut && a.weight > 0:
		a.route.Sample(0, a.weight, true)
	case e.Outcome == TimedOut && !a.uncut:
		a.route.Expired(a.sent, b.now)
	}
}

// evenPart is what falls to each sender of something that all of them share.
func (b *Brain) evenPart(all float64) float64 { return all / float64(max(1, b.s.Senders)) }

// even is our even part of a limit; among many senders, where that is far below one call and those who have
// messages there are few at a time, up to a call in the time over which limits are counted.
func (b *Brain) even(limit float64) float64 {
	n := float64(max(1, b.s.Senders))
	return min(limit, max(b.evenPart(limit), min(1, n/fleetProbes)/pauseMost.Seconds()))
}

// learnLimit takes a told limit; our pace starts at an even part of it.
func (b *Brain) learnLimit(r *route, limit float64) {
	if r.limit == 0 {
		r.pace = b.even(limit)
	} else {
		r.pace *= limit / r.limit
	}
	r.limit = limit
}

// judge books a call's fate with its route and endpoint.
func (b *Brain) judge(m *message, a *attempt, e AttemptResult) {
	r := a.route
	bad := 0.0
	if e.Outcome != Served && e.Outcome != Rejected || e.ConnLimitReached {
		bad = 1
	}
	a.at.fails += healthPer * (bad - a.at.fails)
	if e.Outcome != Rejected {
		r.fails += healthPer * (bad - r.fails)
		r.lost++
	}
	if e.Outcome == Served {
		b.judgeServed(m, a, e)
		return
	}
	if e.Outcome == ConnectFailed || e.ConnLimitReached { // it may hold all the connections that it takes
		_, kind := b.keepFor(a.at)
		*kind /= keepCut
		b.crowd(a.at, b.s.IdleConnTimeout)
	}
	if e.ConnLimitReached { // which says nothing of calls
		b.full(a.at)
		return
	}
	usedUp := e.Outcome == Rejected && e.LimitReported && positive(e.Limit) && !(e.Remaining >= plenty)
	if !usedUp {
		r.bad++
	}
	switch {
	case e.Outcome == Rejected:
		b.refused(r, a, e)
	case e.Outcome == TimedOut && r.Doubled():
		r.window.Halve(a.sent, b.now)
	}
	// Refusals come in runs where a limit is met, too: there it takes a while without any served.
	long := e.Outcome != Rejected || b.now-r.lastServed > b.s.OverloadWindow/2
	lasting := r.bad >= b.enough(r) && long || r.fails > mostFail
	if r.state == well && lasting || r.state == cold && r.bad >= b.enough(r)/2+1 && long {
		b.goOut(r)
	}
}

func (b *Brain) judgeServed(m *message, a *attempt, e AttemptResult) {
	r := a.route
	s := e.Elapsed.Seconds()
	for _, recent := range []*float64{&r.recent, &a.at.recent} {
		if *recent == 0 {
			*recent = s
		}
		*recent += recentPer * (s - *recent)
	}
	more := time.Duration(keepGrow * float64(b.s.IdleConnTimeout))
	_, kind := b.keepFor(a.at)
	*kind = min(b.s.IdleConnTimeout, *kind+more)
	b.crowd(a.at, max(0, a.at.crowded-more))
	if a.at.fullPause = 0; a.at.room > 0 {
		a.at.room += paceStep
	}
	if a.at.crowded == 0 { // it is long since it was short of room
		a.at.room = 0
	}
	// Quickly served after a try on a connection that had been idle was not: such are dropped unseen.
	if n := len(m.attempts); n > 1 && m.attempts[n-2].idle > 0 && m.attempts[n-2].doubt && s < slowBy*r.Mean {
		*kind = min(*kind, m.attempts[n-2].idle/2)
		b.crowd(a.at, max(a.at.crowded, b.s.IdleConnTimeout-*kind))
	}
	b.countServed(r)
	r.servedSent = max(r.servedSent, a.sent)
	r.bad, r.lost, r.pause, r.takenBack = 0, 0, 0, 0
	if r.state == out {
		r.state, r.since, r.window.Size, r.tokens, r.filled = cold, b.now, 1, 0, b.now
		if b.enough(r) >= inRow/2 {
			b.crowd(a.at, 0) // an outage as such: its connects did not fail for a full table
		}
		r.fails = min(r.fails, failing)
		b.changed(r)
		b.log(r, "answers again; warming up")
	}
	r.window.Served(r.calls, b.s.Slots)
	if r.limit > 0 && (e.Limit == 0 || e.Remaining > plenty) {
		step := paceStep * b.even(r.limit)
		if e.Limit == 0 {
			step *= 2 // no allowance to use up: the listed rate is a capacity
		}
		r.pace = min(r.limit, r.pace+step)
	} else if r.limit > 0 && e.Remaining < scarce { // refusals may use it up, too
		b.slower(r, 0)
	}
}

// slower cuts the pace, below the rate in use, and the more the longer nothing was heard of the limit.
// All together at half of their even parts leave it room to fill up.
func (b *Brain) slower(r *route, least float64) {
	part := b.evenPart(r.limit)
	used := max(b.usual(r.tried), r.rateServed(), part)
	cut := math.Pow(paceCut, max(least, min(paceUnheard, (b.now-r.heardAt).Seconds())))
	r.pace = max(min(r.pace, used)*cut, part/2)
}

// refused closes the route for the told wait, or for a growing pause if none was told.
func (b *Brain) refused(r *route, a *attempt, e AttemptResult) {
	r.window.Halve(a.sent, b.now)
	b.slower(r, 1)
	if e.RetryAfter > 0 {
		if e.RetryAfter > b.s.OverloadWindow && r.state != out {
			b.goOut(r) // shut for longer than any limit is counted over: it comes back cold
		}
		return
	}
	r.pause = min(max(2*r.pause, pauseFirst), pauseMost)
	r.closedUntil = max(r.closedUntil, b.now+r.pause)
}
