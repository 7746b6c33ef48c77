package brain

import (
	"cmp"
	"slices"
	"time"
)

// Books by what is due: what a step has to look at, and nothing else. Nothing is decided here. The order in
// which things are found is part of the decisions and is kept: destinations in the order of first mention,
// messages in the order in which they came to wait.

// timers is a heap of messages by the time at which they are due. A message knows its place, so that it can be
// moved and taken out.
type timers struct{ items []*message }

func (h *timers) less(i, j int) bool { return h.items[i].due < h.items[j].due }

func (h *timers) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].timer, h.items[j].timer = i, j
}

func (h *timers) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *timers) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// add puts m in, due at its time.
func (h *timers) add(m *message) {
	m.timer = len(h.items)
	h.items = append(h.items, m)
	h.up(m.timer)
}

// remove takes m out.
func (h *timers) remove(m *message) {
	i, last := m.timer, len(h.items)-1
	if i != last {
		h.swap(i, last)
	}
	h.items[last] = nil
	h.items = shrink(h.items[:last])
	if i != last {
		h.up(i)
		h.down(i)
	}
	m.timer = -1
}

// move puts m at the place of another time.
func (h *timers) move(m *message, due time.Duration) {
	m.due = due
	h.up(m.timer)
	h.down(m.timer)
}

// shrink gives the room of a list back that was much longer once: a burst is not held for good.
func shrink[T any](list []T) []T {
	if cap(list) > 1024 && len(list) < cap(list)/8 {
		return append(make([]T, 0, 2*len(list)), list...)
	}
	return list
}

// pause is an entry of a destination's heap of pauses: m may not be sent before at. Entries are left in when a
// message goes, and passed over when they come up.
type pause struct {
	at time.Duration
	m  *message
}

type pauses []pause

func (h *pauses) add(p pause) {
	*h = append(*h, p)
	for i := len(*h) - 1; i > 0; {
		parent := (i - 1) / 2
		if (*h)[i].at >= (*h)[parent].at {
			return
		}
		(*h)[i], (*h)[parent] = (*h)[parent], (*h)[i]
		i = parent
	}
}

func (h *pauses) pop() {
	last := len(*h) - 1
	(*h)[0] = (*h)[last]
	(*h)[last] = pause{}
	*h = (*h)[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return
		}
		if child+1 < last && (*h)[child+1].at < (*h)[child].at {
			child++
		}
		if (*h)[child].at >= (*h)[i].at {
			return
		}
		(*h)[i], (*h)[child] = (*h)[child], (*h)[i]
		i = child
	}
}

// next is the earliest pause after now of a message that waits.
func (h *pauses) next(now time.Duration) (time.Duration, bool) {
	for len(*h) > 0 {
		if p := (*h)[0]; p.at > now && p.m.waits && p.m.notBefore == p.at {
			return p.at, true
		}
		h.pop()
	}
	return 0, false
}

// rest lets a key rest after an attempt that may still run.
func (b *Brain) rest(t *turn) {
	t.restUntil = max(t.restUntil, b.now+b.s.OrderingCooldown)
	if !t.rests {
		t.rests = true
		b.rests = append(b.rests, t)
	}
	if len(b.rests) > 2*b.restsKept+64 {
		b.endRests()
	}
}

// endRests takes out the keys whose rest is over.
func (b *Brain) endRests() {
	kept := b.rests[:0]
	for _, t := range b.rests {
		if t.restUntil <= b.now {
			t.rests = false
			continue
		}
		kept = append(kept, t)
	}
	clear(b.rests[len(kept):])
	b.rests, b.restsKept = shrink(kept), len(kept)
}

// wakeForPauses sets the alarm for the messages of a destination that is closed: each would set it for the end of
// its own pause, or of its key's rest if it is the key's first and was not sent yet.
func (b *Brain) wakeForPauses(d *destination) {
	if at, ok := d.pauses.next(b.now); ok {
		b.wakeAt(at)
	}
	b.endRests()
	for _, t := range b.rests {
		if len(t.queue) == 0 {
			continue
		}
		if m := t.queue[0]; m.waits && m.dest == d && m.notBefore <= b.now && len(m.attempts) == 0 {
			b.wakeAt(t.restUntil)
		}
	}
}

// refusable is the messages of a destination and tenant that wait and may be refused, in the order in which
// they came to wait.
type refusable struct {
	tenant int
	last   *message
	count  int
}

// wait lets m wait for being sent, behind those that do.
func (b *Brain) wait(m *message) {
	d := m.dest
	if d.count == 0 {
		b.activate(d)
	}
	b.waitings++
	m.waits, m.place = true, b.waitings
	m.before, m.after = d.last, nil
	if d.last != nil {
		d.last.after = m
	} else {
		d.first = m
	}
	d.last = m
	d.count++
	if !m.mayRun && !m.Resumed {
		l := d.refusables(m.Tenant)
		m.beforeSame, m.afterSame = l.last, nil
		if l.last != nil {
			l.last.afterSame = m
		}
		l.last = m
		l.count++
		m.listed = true
	}
	if m.notBefore > b.now {
		d.pauses.next(b.now) // those that are over go
		d.pauses.add(pause{m.notBefore, m})
	}
	m.due = b.lapses(m)
	b.timers.add(m)
}

// leave takes m from those that wait.
func (b *Brain) leave(m *message) {
	if !m.waits {
		return
	}
	d := m.dest
	m.waits = false
	if m.before != nil {
		m.before.after = m.after
	} else {
		d.first = m.after
	}
	if m.after != nil {
		m.after.before = m.before
	} else {
		d.last = m.before
	}
	m.before, m.after = nil, nil
	d.count--
	if m.listed {
		l := d.refusables(m.Tenant)
		if m.beforeSame != nil {
			m.beforeSame.afterSame = m.afterSame
		}
		if m.afterSame != nil {
			m.afterSame.beforeSame = m.beforeSame
		} else {
			l.last = m.beforeSame
		}
		m.beforeSame, m.afterSame, m.listed = nil, nil, false
		l.count--
	}
	if d.count == 0 {
		d.pauses, d.byTenant = nil, nil
		b.deactivate(d)
	}
	b.timers.remove(m)
}

func (d *destination) refusables(tenant int) *refusable {
	for i := range d.byTenant {
		if d.byTenant[i].tenant == tenant {
			return &d.byTenant[i]
		}
	}
	d.byTenant = append(d.byTenant, refusable{tenant: tenant})
	return &d.byTenant[len(d.byTenant)-1]
}

// activate puts d among the destinations with a message that waits, which stand in the order of first mention.
func (b *Brain) activate(d *destination) {
	i := b.find(d)
	b.active = append(b.active, nil)
	copy(b.active[i+1:], b.active[i:])
	b.active[i] = d
}

func (b *Brain) deactivate(d *destination) {
	i := b.find(d)
	copy(b.active[i:], b.active[i+1:])
	b.active[len(b.active)-1] = nil
	b.active = b.active[:len(b.active)-1]
}

// find is the place of d in the list of active ones, or where it belongs.
func (b *Brain) find(d *destination) int {
	low, high := 0, len(b.active)
	for low < high {
		if mid := (low + high) / 2; b.active[mid].place < d.place {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// retime puts the times of all that wait for d right, where they may have become earlier.
func (b *Brain) retime(d *destination) {
	for m := d.first; m != nil; m = m.after {
		b.timers.move(m, b.lapses(m))
	}
}

// lapsed takes out the messages that lapse by now, and tells when the next one does; never if none will.
func (b *Brain) lapsed() (gone []*message, next time.Duration) {
	for len(b.timers.items) > 0 {
		m := b.timers.items[0]
		if due := b.lapses(m); due != m.due { // it has become later
			b.timers.move(m, due)
			continue
		}
		if m.due > b.now {
			return gone, m.due
		}
		b.leave(m)
		gone = append(gone, m)
	}
	return gone, never
}

// unansweredAt books a call that goes out, and keeps the routes with such a call in the order in which they came to be.
func (b *Brain) unansweredAt(r *route, c *call) {
	r.unanswered = append(r.unanswered, c)
	if len(r.unanswered) > 1 {
		return
	}
	i := len(b.unanswered)
	for i > 0 && b.unanswered[i-1].place > r.place {
		i--
	}
	b.unanswered = append(b.unanswered, nil)
	copy(b.unanswered[i+1:], b.unanswered[i:])
	b.unanswered[i] = r
}

// answered takes a call from those that are out at its route.
func (b *Brain) answered(c *call) {
	r := c.route
	for i, x := range r.unanswered {
		if x == c {
			copy(r.unanswered[i:], r.unanswered[i+1:])
			r.unanswered[len(r.unanswered)-1] = nil
			r.unanswered = r.unanswered[:len(r.unanswered)-1]
			break
		}
	}
	if len(r.unanswered) > 0 {
		return
	}
	for i, x := range b.unanswered {
		if x == r {
			copy(b.unanswered[i:], b.unanswered[i+1:])
			b.unanswered[len(b.unanswered)-1] = nil
			b.unanswered = b.unanswered[:len(b.unanswered)-1]
			return
		}
	}
}

// offer is a message that a destination would have sent next.
type offer struct {
	d     *destination
	m     *message
	e     *endpoint
	index float64
}

// offers is a heap: the highest index first, among equals the destination that was mentioned first.
type offers []offer

func (h offers) less(i, j int) bool {
	return h[i].index > h[j].index || h[i].index == h[j].index && h[i].d.place < h[j].d.place
}

func (h offers) down(i int) {
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

func (h offers) init() {
	for i := len(h)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// becomesIdle notes that e has no call any more.
func (b *Brain) becomesIdle(e *endpoint) {
	b.idles++
	e.idleAt, e.idleNo = b.now, b.idles
	if !e.maybeIdle {
		e.maybeIdle = true
		b.idle = append(b.idle, e)
	}
	// Those that have a call again, or whose connections have ended by themselves, are not waited for.
	if len(b.idle) > 2*b.idleKept+64 {
		kept := b.idle[:0]
		for _, e := range b.idle {
			if e.idleNo == 0 || e.calls > 0 || b.now >= e.idleAt+b.s.IdleConnTimeout {
				e.maybeIdle, e.idleNo = false, 0
				continue
			}
			kept = append(kept, e)
		}
		clear(b.idle[len(kept):])
		b.idle, b.idleKept = shrink(kept), len(kept)
	}
}

// keptShorter is the endpoints whose idle connections may have to be closed before they end by themselves, in
// the order of becoming idle: the crowded ones, or all while connections of some kind are kept shorter.
func (b *Brain) keptShorter() []*endpoint {
	b.looked = b.looked[:0]
	for _, k := range b.keep {
		if k < b.s.IdleConnTimeout {
			for _, e := range b.idle {
				if e.idleNo > 0 {
					b.looked = append(b.looked, e)
				}
			}
			return inOrder(b.looked)
		}
	}
	kept := b.crowded[:0]
	for _, e := range b.crowded {
		if e.crowded == 0 {
			e.inCrowded = false
			continue
		}
		kept = append(kept, e)
		if e.idleNo > 0 {
			b.looked = append(b.looked, e)
		}
	}
	clear(b.crowded[len(kept):])
	b.crowded = kept
	return inOrder(b.looked)
}

func inOrder(list []*endpoint) []*endpoint {
	slices.SortFunc(list, func(x, y *endpoint) int { return cmp.Compare(x.idleNo, y.idleNo) })
	return list
}

// newest is, for each tenant with a message of d that may be refused, the one that came to wait last, in that
// order. Where routes are apart messages differ by more, so all are looked at.
func (d *destination) newest() []*message {
	var list []*message
	if d.apart {
		for m := d.first; m != nil; m = m.after {
			if !m.mayRun && !m.Resumed {
				list = append(list, m)
			}
		}
		return list
	}
	for _, l := range d.byTenant {
		if l.last != nil {
			list = append(list, l.last)
		}
	}
	slices.SortFunc(list, func(x, y *message) int { return cmp.Compare(x.place, y.place) })
	return list
}

// crowd sets by how much e's idle connections are kept shorter.
func (b *Brain) crowd(e *endpoint, by time.Duration) {
	e.crowded = by
	if by > 0 && !e.inCrowded {
		e.inCrowded = true
		b.crowded = append(b.crowded, e)
	}
}
