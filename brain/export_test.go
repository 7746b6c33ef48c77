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
	held, perDestination := 0, map[*destination]int{}
	for id, m := range b.byID {
		perDestination[m.dest]++
		if !m.over {
			held++
		}
		if waits := !m.over && m.out == 0; waits != m.waits {
			return fmt.Errorf("message %d is over: %v, with %d calls out, and waits: %v", id, m.over, m.out, m.waits)
		}
		if m.dest.gone {
			return fmt.Errorf("message %d is for a destination that is gone", id)
		}
		if t := m.turn; t != nil && !slices.Contains(t.queue, m) {
			return fmt.Errorf("message %d is not in the queue of its key", id)
		}
	}
	if held != b.held {
		return fmt.Errorf("%d messages are not over, counted %d", held, b.held)
	}
	for id, d := range b.dests {
		if perDestination[d] != d.held {
			return fmt.Errorf("destination %d has %d messages, counted %d", id, perDestination[d], d.held)
		}
	}
	for key, t := range b.turns {
		if t.restUntil > b.now && !(t.rests && slices.Contains(b.rests, t)) {
			return fmt.Errorf("key %d rests and is not among those", key)
		}
	}
	return nil
}

// checkDestinations: the order of destinations, those with waiting messages, and the queues of those.
func (b *Brain) checkDestinations() error {
	if len(b.order) != len(b.dests) {
		return fmt.Errorf("%d destinations in order, %d by name", len(b.order), len(b.dests))
	}
	if !slices.IsSortedFunc(b.order, func(x, y *destination) int { return int(x.place) - int(y.place) }) {
		return fmt.Errorf("destinations are out of order")
	}
	var active []*destination
	for _, d := range b.order {
		if d.count > 0 {
			active = append(active, d)
		}
		if err := b.checkQueue(d); err != nil {
			return err
		}
	}
	if !slices.Equal(active, b.active) {
		return fmt.Errorf("%d destinations have waiting messages, %d are listed, or in another order", len(active), len(b.active))
	}
	for id, d := range b.dests {
		if bare := len(d.endpoints) == 0; bare != (b.bare[id] == d) {
			return fmt.Errorf("destination %d has %d endpoints, and is among those without: %v", id, len(d.endpoints), !bare)
		}
	}
	return nil
}

// checkQueue: the messages that wait for d, those of each tenant that may be refused, and their pauses.
func (b *Brain) checkQueue(d *destination) error {
	count, newest := 0, map[int]*message{}
	var before *message
	for m := d.first; m != nil; before, m = m, m.after {
		count++
		if !m.waits || m.dest != d || m.before != before || before != nil && before.place >= m.place {
			return fmt.Errorf("message %d stands wrong in the queue of its destination", m.ID)
		}
		if refusable := !m.mayRun && !m.Resumed; refusable != m.listed {
			return fmt.Errorf("message %d may be refused: %v, and is among those: %v", m.ID, refusable, m.listed)
		}
		if m.listed {
			newest[m.Tenant] = m
		}
		if m.notBefore > b.now && !slices.Contains(d.pauses, pause{m.notBefore, m}) {
			return fmt.Errorf("message %d pauses, and its destination has no entry of it", m.ID)
		}
	}
	if d.last != before || d.count != count {
		return fmt.Errorf("a queue has %d messages, counted %d, or another end", count, d.count)
	}
	for _, l := range d.byTenant {
		if newest[l.tenant] != l.last {
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
	for id, m := range b.byID {
		if !m.waits {
			continue
		}
		waiting++
		if m.timer < 0 || m.timer >= len(b.timers.items) || b.timers.items[m.timer] != m {
			return fmt.Errorf("message %d waits and is not in the heap", id)
		}
		// A pace that is learnt from others sets the quickest time of a route without a change of the heap, which
		// is then late by no more than that time.
		if at := b.lapses(m); at < m.due && at+m.route().Quickest < m.due {
			return fmt.Errorf("message %d expires at %v, in the heap it is due at %v", id, at, m.due)
		}
	}
	if waiting != len(b.timers.items) {
		return fmt.Errorf("%d messages wait, %d are in the heap", waiting, len(b.timers.items))
	}
	for i := 1; i < len(b.timers.items); i++ {
		if b.timers.less(i, (i-1)/2) {
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
	for _, m := range b.byID {
		for _, a := range m.attempts {
			if a.left == 0 || calls[a.route][a.call] {
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
	if total != b.calls {
		return fmt.Errorf("%d calls are out, counted %d", total, b.calls)
	}
	slices.SortFunc(routes, func(x, y *route) int { return int(x.place) - int(y.place) })
	if !slices.Equal(routes, b.unanswered) {
		return fmt.Errorf("%d routes have calls out, %d are listed, or in another order", len(routes), len(b.unanswered))
	}
	for _, r := range routes {
		if len(r.unanswered) != len(calls[r]) || r.calls != len(calls[r]) {
			return fmt.Errorf("route %d has %d calls out, %d are listed and %d counted", r.name, len(calls[r]), len(r.unanswered), r.calls)
		}
		for i, c := range r.unanswered {
			if !calls[r][c] || i > 0 && r.unanswered[i-1].sent > c.sent {
				return fmt.Errorf("route %d lists a call that is not out, or out of order", r.name)
			}
		}
		if r.recheck {
			return fmt.Errorf("route %d is still to be looked at after the step", r.name)
		}
	}
	return nil
}

// checkConnections: the endpoints whose idle connections may have to be closed, and those that left the list.
func (b *Brain) checkConnections() error {
	for id, e := range b.endpoints {
		if e.listed == (b.unlisted[id] == e) {
			return fmt.Errorf("endpoint %d is listed: %v, and among those that left the list: %v", id, e.listed, e.listed)
		}
		idle := e.idleNo > 0 && e.calls == 0 && b.now < e.idleAt+b.s.IdleConnTimeout
		if idle && !(e.maybeIdle && slices.Contains(b.idle, e)) {
			return fmt.Errorf("endpoint %d has an idle connection and is not among those", id)
		}
		if e.crowded > 0 && !(e.inCrowded && slices.Contains(b.crowded, e)) {
			return fmt.Errorf("endpoint %d keeps its idle connections shorter and is not among those", id)
		}
	}
	return nil
}
