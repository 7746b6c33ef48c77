package brain

import (
	"cmp"
	"slices"
)

// tenantQueue lists the sheddable messages of one tenant that wait for a destination, newest first.
type tenantQueue struct {
	tenant int
	newest *message
	count  int
}

// enqueue puts m at the end of the queue of its destination.
func (b *Brain) enqueue(m *message) {
	d := m.destination
	if d.waiting == 0 {
		b.activate(d)
	}
	b.lastQueueSequence++
	m.waiting, m.queueSequence = true, b.lastQueueSequence
	m.previous, m.next = d.lastWaiting, nil
	if d.lastWaiting != nil {
		d.lastWaiting.next = m
	} else {
		d.firstWaiting = m
	}
	d.lastWaiting = m
	d.waiting++
	if !m.mayHaveRun && !m.Resumed {
		queue := d.tenantQueue(m.Tenant)
		m.previousOfTenant, m.nextOfTenant = queue.newest, nil
		if queue.newest != nil {
			queue.newest.nextOfTenant = m
		}
		queue.newest = m
		queue.count++
		m.sheddable = true
	}
	if m.notBefore > b.now {
		d.backoffs.next(b.now) // drops back-offs that are over
		d.backoffs.add(backoffEntry{m.notBefore, m})
	}
	m.expiryDue = b.expiresAt(m)
	b.expiries.add(m)
}

// dequeue removes m from the queue of its destination.
func (b *Brain) dequeue(m *message) {
	if !m.waiting {
		return
	}
	d := m.destination
	m.waiting = false
	if m.previous != nil {
		m.previous.next = m.next
	} else {
		d.firstWaiting = m.next
	}
	if m.next != nil {
		m.next.previous = m.previous
	} else {
		d.lastWaiting = m.previous
	}
	m.previous, m.next = nil, nil
	d.waiting--
	if m.sheddable {
		queue := d.tenantQueue(m.Tenant)
		if m.previousOfTenant != nil {
			m.previousOfTenant.nextOfTenant = m.nextOfTenant
		}
		if m.nextOfTenant != nil {
			m.nextOfTenant.previousOfTenant = m.previousOfTenant
		} else {
			queue.newest = m.previousOfTenant
		}
		m.previousOfTenant, m.nextOfTenant, m.sheddable = nil, nil, false
		queue.count--
	}
	if d.waiting == 0 {
		d.backoffs, d.tenantQueues = nil, nil
		b.deactivate(d)
	}
	b.expiries.remove(m)
}

// tenantQueue returns the queue of a tenant, and creates it if there is none.
func (d *destination) tenantQueue(tenant int) *tenantQueue {
	for i := range d.tenantQueues {
		if d.tenantQueues[i].tenant == tenant {
			return &d.tenantQueues[i]
		}
	}
	d.tenantQueues = append(d.tenantQueues, tenantQueue{tenant: tenant})
	return &d.tenantQueues[len(d.tenantQueues)-1]
}

// shedCandidates returns the newest sheddable message of each tenant, in the order in which they were
// queued. Where endpoints have routes of their own, messages of a tenant may differ in their routes, so all
// are returned.
func (d *destination) shedCandidates() []*message {
	var list []*message
	if d.hasEndpointRoutes {
		for m := d.firstWaiting; m != nil; m = m.next {
			if !m.mayHaveRun && !m.Resumed {
				list = append(list, m)
			}
		}
		return list
	}
	for _, l := range d.tenantQueues {
		if l.newest != nil {
			list = append(list, l.newest)
		}
	}
	slices.SortFunc(list, func(x, y *message) int { return cmp.Compare(x.queueSequence, y.queueSequence) })
	return list
}

// activate inserts d into Brain.active, in the order of first mention.
func (b *Brain) activate(d *destination) {
	i := b.activeIndex(d)
	b.active = append(b.active, nil)
	copy(b.active[i+1:], b.active[i:])
	b.active[i] = d
}

func (b *Brain) deactivate(d *destination) {
	i := b.activeIndex(d)
	copy(b.active[i:], b.active[i+1:])
	b.active[len(b.active)-1] = nil
	b.active = b.active[:len(b.active)-1]
}

// activeIndex returns the index of d in Brain.active, or the index at which to insert it.
func (b *Brain) activeIndex(d *destination) int {
	low, high := 0, len(b.active)
	for low < high {
		if mid := (low + high) / 2; b.active[mid].sequence < d.sequence {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// pruneSlack is how many entries beyond twice those left at the last pruning a list may have before it is
// pruned again.
const pruneSlack = 64

// shrink frees most of the capacity of a list that was much longer once, so that a burst does not hold
// memory for good.
func shrink[T any](list []T) []T {
	if cap(list) > 1024 && len(list) < cap(list)/8 {
		return append(make([]T, 0, 2*len(list)), list...)
	}
	return list
}
