package brain

import "time"

// message is a Message that has not ended, or that has attempts in flight.
type message struct {
	Message
	class       *Class
	destination *destination
	arrival     uint64 // number in the order of arrival
	ended       bool

	attempts         []attempt
	attemptsInFlight int
	revokedAttempts  int // attempts that were revoked, which do not count
	mayHaveRun       bool
	firstRunAt       time.Duration // time of sending of the first attempt that may have run
	firstRunZone     int
	notBefore        time.Duration // end of the back-off after the last attempt
	keyQueue         *keyQueue     // nil if it is not ordered

	// Valid while it waits to be sent, in the queue of its destination.
	waiting                        bool
	sheddable                      bool   // it may be rejected, and is also in the queue of its tenant
	queueSequence                  uint64 // number in the order of queueing
	previous, next                 *message
	previousOfTenant, nextOfTenant *message
	expiryDue                      time.Duration // key in Brain.expiries
	heapIndex                      int
}

// call is a request to an endpoint, with the attempts of one or more messages.
type call struct {
	route            *route
	endpoint         *endpoint
	sentAt           time.Duration
	messages         []*message
	unresolved       int           // messages without a result
	probe            bool          // sent during an outage
	recorded         bool          // its outcome is counted in the health of the route
	connIdleFor      time.Duration // how long its connection had been idle, 0 for a new one
	overdueCancelled bool
	revoked          bool
}

// attempt is the part of one message in a call.
type attempt struct {
	*call
	timeout      time.Duration
	toDeadline   bool    // its time-out is the time left to the deadline
	sampleWeight float64 // of its latency sample, 0 if it gives none
	ended        bool
	uncertain    bool // it timed out or its connection was lost
}

// attemptCount returns the number of attempts that count, including those of earlier processes.
func (m *message) attemptCount() int { return m.PriorAttempts + len(m.attempts) - m.revokedAttempts }

// route returns the route of the last attempt, or the first route of the destination.
func (m *message) route() *route {
	if n := len(m.attempts); n > 0 {
		return m.attempts[n-1].route
	}
	if m.destination.sharedRoute != nil || len(m.destination.endpoints) == 0 {
		return orEmptyRoute(m.destination.sharedRoute)
	}
	return m.destination.endpoints[0].route
}

func orEmptyRoute(r *route) *route {
	if r == nil {
		return &route{}
	}
	return r
}

// admit queues a new message.
func (b *Brain) admit(msg Message) {
	if msg.Class < 0 || msg.Class >= len(b.settings.Classes) {
		b.actions = append(b.actions, Fail{msg.ID}) // whether it may be repeated is unknown
		return
	}
	m := &message{
		Message:      msg,
		class:        &b.settings.Classes[msg.Class],
		destination:  b.destination(msg.Destination),
		mayHaveRun:   msg.MayHaveRun,
		firstRunAt:   msg.FirstRunAt,
		firstRunZone: msg.FirstRunZone,
	}
	b.messages[m.ID] = m
	b.lastArrival++
	b.pending++
	m.arrival = b.lastArrival
	m.destination.pending++
	b.touch(m.destination)
	b.arrivalCounter.add(b.now, usualRateWindow)
	if m.class.Ordered && m.OrderingKey != 0 {
		if m.keyQueue = b.keyQueues[m.OrderingKey]; m.keyQueue == nil {
			m.keyQueue = &keyQueue{key: m.OrderingKey}
			b.keyQueues[m.OrderingKey] = m.keyQueue
		}
		m.keyQueue.messages = append(m.keyQueue.messages, m)
		if m.mayHaveRun { // an attempt from before a restart may still be running
			b.startCooldown(m.keyQueue)
		}
	}
	b.enqueue(m)
	if m.Tenant >= 0 && m.Tenant < len(b.tenants) {
		b.decayTenantRates()
		b.tenants[m.Tenant].recentRate += 1 / tenantRateWindow.Seconds()
		b.tenants[m.Tenant].usualRate += 1 / (usualTenantRateWindows * tenantRateWindow.Seconds())
	}
}

// closeMessage ends a message; its attempts may still be in flight.
func (b *Brain) closeMessage(m *message) {
	if !m.ended {
		m.ended = true
		b.pending--
		b.dequeue(m)
	}
	if m.attemptsInFlight > 0 {
		b.scheduleRecheck(m.attempts[len(m.attempts)-1].route)
	}
	if m.attemptsInFlight == 0 && b.messages[m.ID] == m {
		m.destination.pending--
		delete(b.messages, m.ID)
		if q := m.keyQueue; q != nil {
			q.messages = removeFirst(q.messages, m)
			b.releaseKeyQueue(q)
		}
	}
}

// clearMayHaveRun is called when the last attempt is known not to have run. It clears mayHaveRun if no
// earlier attempt may have run.
func (b *Brain) clearMayHaveRun(m *message) {
	last := len(m.attempts) - 1
	if m.firstRunAt == m.attempts[last].sentAt {
		m.mayHaveRun = false
	}
}
