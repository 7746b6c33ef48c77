package brain

import (
	"saffronyard.example/saffronyard/brain/restart"
)

// candidate is the message that a destination would send next, and its endpoint.
type candidate struct {
	destination *destination
	message     *message
	endpoint    *endpoint
	priority    float64
}

// dispatch fills the free slots, the message with the highest priority first.
func (b *Brain) dispatch() {
	b.candidates = b.candidates[:0]
	for _, d := range b.active {
		if c := b.bestCandidate(d); c.message != nil {
			b.candidates = append(b.candidates, c)
		}
	}
	b.candidates.init()
	used := b.candidates
	for len(b.candidates) > 0 {
		if b.settings.Slots > 0 && b.callsInFlight >= b.settings.Slots {
			b.cancelOverdue(len(b.candidates))
			break
		}
		best := b.candidates[0]
		b.startCall(best.message, best.endpoint)
		if b.candidates[0] = b.bestCandidate(best.destination); b.candidates[0].message == nil {
			last := len(b.candidates) - 1
			b.candidates[0] = b.candidates[last]
			b.candidates = b.candidates[:last]
		}
		b.candidates.down(0)
	}
	clear(used) // so that messages that were sent are not kept in memory
}

// bestCandidate returns what d would send next; its message is nil if nothing can be sent now.
func (b *Brain) bestCandidate(d *destination) (best candidate) {
	if d.waiting == 0 || len(d.endpoints) == 0 {
		return best
	}
	b.usableEndpoints = b.usableEndpoints[:0]
	closed := d.sharedRoute != nil && !b.accepts(d.sharedRoute)
	for _, e := range d.endpoints {
		// A further send would join the call to e of this step, which startCall has filled.
		full := b.maxBatch(e) > 1 && e.lastSentAt == b.now && e.callsInFlight > 0
		if full || !b.hasConnCapacity(e) {
			continue
		}
		if e.route == d.sharedRoute && !closed || e.route != d.sharedRoute && b.accepts(e.route) {
			b.usableEndpoints = append(b.usableEndpoints, e)
		}
	}
	if len(b.usableEndpoints) == 0 { // nothing can be sent, so only back-offs and cool-downs matter
		b.wakeForBackoffs(d)
		return best
	}
	for m := d.firstWaiting; m != nil; m = m.next {
		if !b.ready(m) {
			continue
		}
		if e := b.selectEndpoint(m, b.usableEndpoints); e != nil {
			priority := b.priority(m, e.route)
			if best.message == nil || b.precedes(m, best.message, e, priority, best.priority) {
				best = candidate{d, m, e, priority}
			}
		}
	}
	return best
}

// ready reports whether the back-off and the ordering key of m allow it to be sent now.
func (b *Brain) ready(m *message) bool {
	if b.now < m.notBefore {
		b.wakeAt(m.notBefore)
		return false
	}
	if q := m.keyQueue; q != nil {
		if q.messages[0] != m {
			return false
		}
		if b.now < q.cooldownUntil && len(m.attempts) == 0 {
			b.wakeAt(q.cooldownUntil)
			return false
		}
	}
	return true
}

// startCall sends m, together with the messages of the highest priority that fit into the same call.
func (b *Brain) startCall(m *message, e *endpoint) {
	r := e.route
	c := &call{route: r, endpoint: e, sentAt: b.now, probe: r.state == outage}
	if e.callsInFlight == 0 && e.idleSince > 0 && b.now < e.idleSince+b.settings.IdleConnTimeout {
		c.connIdleFor = b.now - e.idleSince
	}
	b.callsInFlight++
	r.callsInFlight++
	e.callsInFlight++
	e.openConns = max(e.openConns, e.callsInFlight)
	e.lastSentAt = b.now
	if c.probe {
		r.probesInFlight++
		r.lastProbeAt = b.now
		b.scheduleRecheck(r)
	}
	r.tokens--
	r.sentCounter.add(b.now, usualRateWindow)
	r.lastSentAt = b.now
	b.trackCall(r, c)
	b.startAttempt(m, c)
	for n := 1; n < b.maxBatch(e) && !c.probe; n++ {
		var next *message
		for o := m.destination.firstWaiting; o != nil; o = o.next {
			fits := b.ready(o) && b.selectEndpoint(o, []*endpoint{e}) != nil
			if fits && (next == nil || b.priority(o, r) > b.priority(next, r)) {
				next = o
			}
		}
		if next == nil {
			break
		}
		b.startAttempt(next, c)
	}
}

// startAttempt sends m in the call c. The time-out is that of the oracle if a repeat would be allowed then,
// otherwise the time left to the deadline.
func (b *Brain) startAttempt(m *message, c *call) {
	r := c.route
	timeLeft := m.Deadline - b.now
	timeout := r.Timeout()
	if c.probe {
		timeout = max(r.unresponsiveAfter(), minProbeInterval) // doubling would make probes too rare
	}
	a := attempt{call: c, timeout: timeLeft, toDeadline: true}
	first := m.attemptCount() == 0
	if first {
		a.sampleWeight = 1
	}
	restartable := m.class.Idempotency == Idempotent
	if m.class.Idempotency == IdempotentByKey {
		timeout = min(timeout, m.class.IdempotencyKeyTTL/2) // a repeat must be served within the TTL, too
		from := b.now
		if m.mayHaveRun {
			from = m.firstRunAt
		}
		restartable = b.now+timeout+2*b.settings.StepInterval+r.MinLatency < from+m.class.IdempotencyKeyTTL
	}
	if b.settings.MaxAttempts > 0 && m.attemptCount()+1 >= b.settings.MaxAttempts {
		restartable = false
	}
	if restartable && timeout < timeLeft {
		if first && !c.probe && b.draw(restart.ExploreEvery) == 0 {
			a.sampleWeight = restart.ExploreWeight
		} else {
			a.timeout, a.toDeadline = timeout, false
		}
	}
	if !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, b.now, c.endpoint.Zone
	}
	m.attempts = append(m.attempts, a)
	m.attemptsInFlight++
	c.unresolved++
	c.messages = append(c.messages, m)
	b.dequeue(m)
	b.actions = append(b.actions, Send{m.ID, c.endpoint.ID, a.timeout})
}

// candidateHeap is a binary heap: the highest priority first, and equal priorities by sequence of the
// destination.
type candidateHeap []candidate

func (h candidateHeap) less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].destination.sequence < h[j].destination.sequence
}

func (h candidateHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

func (h candidateHeap) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}
