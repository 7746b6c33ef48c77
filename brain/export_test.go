package brain

import (
	"fmt"
	"slices"
)

// CheckIndexes compares the indexes that each step updates with a scan of all messages, routes and endpoints. The
// decisions depend on them: an entry that is missing in an index is never examined, and the order of an index is that of
// the actions.
func (b *Brain) CheckIndexes() error {
	for _, check := range []func() error{b.checkMessages, b.checkDestinations, b.checkExpiries, b.checkCalls, b.checkConnections} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkMessages checks the counts of pending messages, and the cool-downs of keys.
func (b *Brain) checkMessages() error {
	pending, perDestination := 0, map[*destination]int{}
	for id, m := range b.messages {
		perDestination[m.destination]++
		if !m.ended {
			pending++
		}
		if waits := !m.ended && m.attemptsInFlight == 0; waits != m.waiting {
			return fmt.Errorf("message %d has ended: %v, has %d attempts in flight, and waits: %v", id, m.ended, m.attemptsInFlight, m.waiting)
		}
		if m.destination.removed {
			return fmt.Errorf("message %d is for a removed destination", id)
		}
		if q := m.keyQueue; q != nil && !slices.Contains(q.messages, m) {
			return fmt.Errorf("message %d is not in the queue of its key", id)
		}
	}
	if pending != b.pending {
		return fmt.Errorf("%d messages have not ended, counted %d", pending, b.pending)
	}
	for id, d := range b.destinations {
		if perDestination[d] != d.pending {
			return fmt.Errorf("destination %d has %d messages, counted %d", id, perDestination[d], d.pending)
		}
	}
	for key, q := range b.keyQueues {
		if q.cooldownUntil > b.now && !(q.inCooldownList && slices.Contains(b.coolingDown, q)) {
			return fmt.Errorf("key %d cools down and is not in coolingDown", key)
		}
	}
	return nil
}

// checkDestinations checks the order of destinations, the list of those with waiting messages, and their queues.
func (b *Brain) checkDestinations() error {
	if len(b.destinationOrder) != len(b.destinations) {
		return fmt.Errorf("%d destinations in order, %d by id", len(b.destinationOrder), len(b.destinations))
	}
	if !slices.IsSortedFunc(b.destinationOrder, func(x, y *destination) int { return int(x.sequence) - int(y.sequence) }) {
		return fmt.Errorf("destinations are out of order")
	}
	var active []*destination
	for _, d := range b.destinationOrder {
		if d.waiting > 0 {
			active = append(active, d)
		}
		if err := b.checkQueue(d); err != nil {
			return err
		}
	}
	if !slices.Equal(active, b.active) {
		return fmt.Errorf("%d destinations have waiting messages, %d are active, or the order differs", len(active), len(b.active))
	}
	for id, d := range b.destinations {
		if empty := len(d.endpoints) == 0; empty != (b.emptyDestinations[id] == d) {
			return fmt.Errorf("destination %d has %d endpoints, and is in emptyDestinations: %v", id, len(d.endpoints), !empty)
		}
	}
	return nil
}

// checkQueue checks the messages that wait for d, the sheddable messages of each tenant, and the back-offs.
func (b *Brain) checkQueue(d *destination) error {
	count, newest := 0, map[int]*message{}
	var before *message
	for m := d.firstWaiting; m != nil; before, m = m, m.next {
		count++
		if !m.waiting || m.destination != d || m.previous != before || before != nil && before.queueSequence >= m.queueSequence {
			return fmt.Errorf("message %d has a wrong position in the queue of its destination", m.ID)
		}
		if sheddable := !m.mayHaveRun && !m.Resumed; sheddable != m.sheddable {
			return fmt.Errorf("message %d may be rejected: %v, and is marked as sheddable: %v", m.ID, sheddable, m.sheddable)
		}
		if m.sheddable {
			newest[m.Tenant] = m
		}
		if m.notBefore > b.now && !slices.Contains(d.backoffs, backoffEntry{m.notBefore, m}) {
			return fmt.Errorf("message %d has a back-off, and its destination has no entry for it", m.ID)
		}
	}
	if d.lastWaiting != before || d.waiting != count {
		return fmt.Errorf("a queue has %d messages, counted %d, or its last message differs", count, d.waiting)
	}
	for _, l := range d.tenantQueues {
		if newest[l.tenant] != l.newest {
			return fmt.Errorf("the newest sheddable message of tenant %d differs", l.tenant)
		}
		delete(newest, l.tenant)
	}
	if len(newest) > 0 {
		return fmt.Errorf("%d tenants have sheddable messages and no queue", len(newest))
	}
	return nil
}

// checkExpiries checks that each waiting message is in the heap, due no later than it expires.
func (b *Brain) checkExpiries() error {
	waiting := 0
	for id, m := range b.messages {
		if !m.waiting {
			continue
		}
		waiting++
		if m.heapIndex < 0 || m.heapIndex >= len(b.expiries.messages) || b.expiries.messages[m.heapIndex] != m {
			return fmt.Errorf("message %d waits and is not in the heap", id)
		}
		if at := b.expiresAt(m); at < m.expiryDue {
			return fmt.Errorf("message %d expires at %v, in the heap it is due at %v", id, at, m.expiryDue)
		}
	}
	if waiting != len(b.expiries.messages) {
		return fmt.Errorf("%d messages wait, %d are in the heap", waiting, len(b.expiries.messages))
	}
	for i := 1; i < len(b.expiries.messages); i++ {
		if b.expiries.less(i, (i-1)/2) {
			return fmt.Errorf("the heap is out of order at %d", i)
		}
	}
	return nil
}

// checkCalls checks the calls in flight, by route and in total.
func (b *Brain) checkCalls() error {
	calls := map[*route]map[*call]bool{}
	var routes []*route
	total := 0
	for _, m := range b.messages {
		for _, a := range m.attempts {
			if a.unresolved == 0 || calls[a.route][a.call] {
				continue
			}
			if calls[a.route] == nil {
				calls[a.route] = map[*call]bool{}
				routes = append(routes, a.route)
			}
			calls[a.route][a.call] = true
			total++
		}
	}
	if total != b.callsInFlight {
		return fmt.Errorf("%d calls are in flight, counted %d", total, b.callsInFlight)
	}
	slices.SortFunc(routes, func(x, y *route) int { return int(x.sequence) - int(y.sequence) })
	if !slices.Equal(routes, b.routesInFlight) {
		return fmt.Errorf("%d routes have calls in flight, %d are listed, or the order differs", len(routes), len(b.routesInFlight))
	}
	for _, r := range routes {
		if len(r.inFlight) != len(calls[r]) || r.callsInFlight != len(calls[r]) {
			return fmt.Errorf("route %d has %d calls in flight, %d are listed and %d counted", r.id, len(calls[r]), len(r.inFlight), r.callsInFlight)
		}
		for i, c := range r.inFlight {
			if !calls[r][c] || i > 0 && r.inFlight[i-1].sentAt > c.sentAt {
				return fmt.Errorf("route %d lists a call that is not in flight, or is out of order", r.id)
			}
		}
		if r.recheck {
			return fmt.Errorf("route %d is still to be rechecked after the step", r.id)
		}
	}
	return nil
}

// checkConnections checks the endpoints whose idle connections may have to be closed, and those that left the list.
func (b *Brain) checkConnections() error {
	for id, e := range b.endpoints {
		if e.listed == (b.removedEndpoints[id] == e) {
			return fmt.Errorf("endpoint %d is listed: %v, and in removedEndpoints: %v", id, e.listed, e.listed)
		}
		idle := e.idleSequence > 0 && e.callsInFlight == 0 && b.now < e.idleSince+b.settings.IdleConnTimeout
		if idle && !(e.inIdleList && slices.Contains(b.idleEndpoints, e)) {
			return fmt.Errorf("endpoint %d has an idle connection and is not in idleEndpoints", id)
		}
		if e.idleReduction > 0 && !(e.inReducedList && slices.Contains(b.reducedEndpoints, e)) {
			return fmt.Errorf("endpoint %d has a reduced idle time-out and is not in reducedEndpoints", id)
		}
	}
	return nil
}
