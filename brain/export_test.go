package brain

import (
	"fmt"
	"slices"
)

// CheckIndexes compares the indexes that a step keeps up to date with what a scan of all messages, routes and endpoints
// finds. The decisions rest on them: what is missing in one is never looked at, and their order is that of the actions.
func (b *Brain) CheckIndexes() error {
	for _, check := range []func() error{b.checkMessages, b.checkDestinations, b.checkExpiries, b.checkCalls, b.checkConnections} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkMessages: counts of what is pending, and the rests of keys.
func (b *Brain) checkMessages() error {
	pending, perDestination := 0, map[*destination]int{}
	for id, m := range b.messages {
		perDestination[m.destination]++
		if !m.ended {
			pending++
		}
		if waits := !m.ended && m.attemptsInFlight == 0; waits != m.waiting {
			return fmt.Errorf("message %d is over: %v, with %d calls out, and waits: %v", id, m.ended, m.attemptsInFlight, m.waiting)
		}
		if m.destination.removed {
			return fmt.Errorf("message %d is for a destination that is gone", id)
		}
		if q := m.keyQueue; q != nil && !slices.Contains(q.messages, m) {
			return fmt.Errorf("message %d is not in the queue of its key", id)
		}
	}
	if pending != b.pending {
		return fmt.Errorf("%d messages are not over, counted %d", pending, b.pending)
	}
	for id, d := range b.destinations {
		if perDestination[d] != d.pending {
			return fmt.Errorf("destination %d has %d messages, counted %d", id, perDestination[d], d.pending)
		}
	}
	for key, q := range b.keyQueues {
		if q.cooldownUntil > b.now && !(q.inCooldownList && slices.Contains(b.coolingDown, q)) {
			return fmt.Errorf("key %d rests and is not among those", key)
		}
	}
	return nil
}

// checkDestinations: the order of destinations, those with waiting messages, and the queues of those.
func (b *Brain) checkDestinations() error {
	if len(b.destinationOrder) != len(b.destinations) {
		return fmt.Errorf("%d destinations in order, %d by name", len(b.destinationOrder), len(b.destinations))
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
		return fmt.Errorf("%d destinations have waiting messages, %d are listed, or in another order", len(active), len(b.active))
	}
	for id, d := range b.destinations {
		if empty := len(d.endpoints) == 0; empty != (b.emptyDestinations[id] == d) {
			return fmt.Errorf("destination %d has %d endpoints, and is among those without: %v", id, len(d.endpoints), !empty)
		}
	}
	return nil
}

// checkQueue: the messages that wait for d, those of each tenant that may be refused, and their pauses.
func (b *Brain) checkQueue(d *destination) error {
	count, newest := 0, map[int]*message{}
	var before *message
	for m := d.firstWaiting; m != nil; before, m = m, m.next {
		count++
		if !m.waiting || m.destination != d || m.previous != before || before != nil && before.queueSequence >= m.queueSequence {
			return fmt.Errorf("message %d stands wrong in the queue of its destination", m.ID)
		}
		if sheddable := !m.mayHaveRun && !m.Resumed; sheddable != m.sheddable {
			return fmt.Errorf("message %d may be refused: %v, and is among those: %v", m.ID, sheddable, m.sheddable)
		}
		if m.sheddable {
			newest[m.Tenant] = m
		}
		if m.notBefore > b.now && !slices.Contains(d.backoffs, backoffEntry{m.notBefore, m}) {
			return fmt.Errorf("message %d pauses, and its destination has no entry of it", m.ID)
		}
	}
	if d.lastWaiting != before || d.waiting != count {
		return fmt.Errorf("a queue has %d messages, counted %d, or another end", count, d.waiting)
	}
	for _, l := range d.tenantQueues {
		if newest[l.tenant] != l.newest {
			return fmt.Errorf("the newest message of tenant %d that may be refused is another", l.tenant)
		}
		delete(newest, l.tenant)
	}
	if len(newest) > 0 {
		return fmt.Errorf("%d tenants have messages that may be refused, and no entry", len(newest))
	}
	return nil
}

// checkExpiries: each waiting message is in the heap, at a time not later than that at which it expires.
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

// checkCalls: the calls in flight, by route and in all.
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
		return fmt.Errorf("%d calls are out, counted %d", total, b.callsInFlight)
	}
	slices.SortFunc(routes, func(x, y *route) int { return int(x.sequence) - int(y.sequence) })
	if !slices.Equal(routes, b.routesInFlight) {
		return fmt.Errorf("%d routes have calls out, %d are listed, or in another order", len(routes), len(b.routesInFlight))
	}
	for _, r := range routes {
		if len(r.inFlight) != len(calls[r]) || r.callsInFlight != len(calls[r]) {
			return fmt.Errorf("route %d has %d calls out, %d are listed and %d counted", r.id, len(calls[r]), len(r.inFlight), r.callsInFlight)
		}
		for i, c := range r.inFlight {
			if !calls[r][c] || i > 0 && r.inFlight[i-1].sentAt > c.sentAt {
				return fmt.Errorf("route %d lists a call that is not out, or out of order", r.id)
			}
		}
		if r.recheck {
			return fmt.Errorf("route %d is still to be looked at after the step", r.id)
		}
	}
	return nil
}

// checkConnections: the endpoints whose idle connections may have to be closed, and those that left the list.
func (b *Brain) checkConnections() error {
	for id, e := range b.endpoints {
		if e.listed == (b.removedEndpoints[id] == e) {
			return fmt.Errorf("endpoint %d is listed: %v, and among those that left the list: %v", id, e.listed, e.listed)
		}
		idle := e.idleSequence > 0 && e.callsInFlight == 0 && b.now < e.idleSince+b.settings.IdleConnTimeout
		if idle && !(e.inIdleList && slices.Contains(b.idleEndpoints, e)) {
			return fmt.Errorf("endpoint %d has an idle connection and is not among those", id)
		}
		if e.idleReduction > 0 && !(e.inReducedList && slices.Contains(b.reducedEndpoints, e)) {
			return fmt.Errorf("endpoint %d keeps its idle connections shorter and is not among those", id)
		}
	}
	return nil
}
