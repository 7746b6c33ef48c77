package brain

import (
	"cmp"
	"slices"
	"time"
)

// expiresAt returns when a waiting message m can no longer be served in time, or may no longer be repeated:
// -never if m has no attempt left or may not be repeated at all.
func (b *Brain) expiresAt(m *message) time.Duration {
	if b.settings.MaxAttempts > 0 && m.attemptCount() >= b.settings.MaxAttempts {
		return -never
	}
	minLatency := m.route().MinLatency
	latest := m.Deadline - max(minLatency, b.settings.StepInterval)
	if m.mayHaveRun && m.class.Idempotency != Idempotent {
		if m.class.Idempotency != IdempotentByKey {
			return -never
		}
		latest = min(latest, m.firstRunAt+m.class.IdempotencyKeyTTL-minLatency-b.settings.StepInterval)
	}
	return latest
}

// failExpired fails the messages that have expired, in the order of arrival, and deletes the queues of
// ordering keys that are no longer used.
func (b *Brain) failExpired() {
	expired, next := b.takeExpired()
	slices.SortFunc(expired, func(x, y *message) int { return cmp.Compare(x.arrival, y.arrival) })
	for _, m := range expired {
		b.actions = append(b.actions, Fail{m.ID})
		b.closeMessage(m)
	}
	b.wakeAt(next)
	b.deleteReleasedKeyQueues()
}

// takeExpired removes the expired messages from their queues and returns them, with the time at which the
// next message expires; never if no message is left.
func (b *Brain) takeExpired() (expired []*message, next time.Duration) {
	for len(b.expiries.messages) > 0 {
		m := b.expiries.messages[0]
		if due := b.expiresAt(m); due != m.expiryDue { // its time has become later
			b.expiries.move(m, due)
			continue
		}
		if m.expiryDue > b.now {
			return expired, m.expiryDue
		}
		b.dequeue(m)
		expired = append(expired, m)
	}
	return expired, never
}

// rescheduleExpiries updates the waiting messages of d in Brain.expiries. It must be called where they may
// expire earlier than before; a message that expires later is moved when its old time has come.
func (b *Brain) rescheduleExpiries(d *destination) {
	for m := d.firstWaiting; m != nil; m = m.next {
		b.expiries.move(m, b.expiresAt(m))
	}
}

// expiryHeap is a binary heap of messages by expiryDue. Each message stores its index, so that it can be
// moved and removed.
type expiryHeap struct{ messages []*message }

func (h *expiryHeap) less(i, j int) bool { return h.messages[i].expiryDue < h.messages[j].expiryDue }

func (h *expiryHeap) swap(i, j int) {
	h.messages[i], h.messages[j] = h.messages[j], h.messages[i]
	h.messages[i].heapIndex, h.messages[j].heapIndex = i, j
}

func (h *expiryHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *expiryHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.messages) {
			return
		}
		if child+1 < len(h.messages) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// add inserts m by its expiryDue.
func (h *expiryHeap) add(m *message) {
	m.heapIndex = len(h.messages)
	h.messages = append(h.messages, m)
	h.up(m.heapIndex)
}

// remove deletes m from the heap.
func (h *expiryHeap) remove(m *message) {
	i, last := m.heapIndex, len(h.messages)-1
	if i != last {
		h.swap(i, last)
	}
	h.messages[last] = nil
	h.messages = shrink(h.messages[:last])
	if i != last {
		h.up(i)
		h.down(i)
	}
	m.heapIndex = -1
}

// move changes the time at which m is due.
func (h *expiryHeap) move(m *message, due time.Duration) {
	m.expiryDue = due
	h.up(m.heapIndex)
	h.down(m.heapIndex)
}
