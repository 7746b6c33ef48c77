package brain

import "time"

// keyQueue holds the messages with one ordering key, in the order of arrival. Only the first one is sent.
type keyQueue struct {
	key            uint64
	messages       []*message
	cooldownUntil  time.Duration
	inCooldownList bool // it is in Brain.coolingDown
	inReleasedList bool // it is in Brain.releasedKeyQueues
}

// releaseKeyQueue schedules the deletion of q for when it is empty and has cooled down. A queue must be in
// the list at most once: a second entry would outlast the queue, and delete a newer queue of the same key.
func (b *Brain) releaseKeyQueue(q *keyQueue) {
	if !q.inReleasedList {
		q.inReleasedList = true
		b.releasedKeyQueues = append(b.releasedKeyQueues, q)
	}
}

// deleteReleasedKeyQueues deletes the queues that are empty and have cooled down, up to the first queue that
// is empty but has not cooled down.
func (b *Brain) deleteReleasedKeyQueues() {
	for len(b.releasedKeyQueues) > 0 {
		q := b.releasedKeyQueues[0]
		if len(q.messages) == 0 && q.cooldownUntil > b.now {
			return
		}
		if len(q.messages) == 0 {
			delete(b.keyQueues, q.key)
		}
		q.inReleasedList = false
		b.releasedKeyQueues = b.releasedKeyQueues[1:]
	}
}

// startCooldown delays the next message of a key after an attempt that may still be running.
func (b *Brain) startCooldown(q *keyQueue) {
	q.cooldownUntil = max(q.cooldownUntil, b.now+b.settings.OrderingCooldown)
	if !q.inCooldownList {
		q.inCooldownList = true
		b.coolingDown = append(b.coolingDown, q)
	}
	if len(b.coolingDown) > 2*b.cooldownsAfterPruning+pruneSlack {
		b.pruneCooldowns()
	}
}

// pruneCooldowns removes the keys whose cool-down is over from Brain.coolingDown.
func (b *Brain) pruneCooldowns() {
	remaining := b.coolingDown[:0]
	for _, q := range b.coolingDown {
		if q.cooldownUntil <= b.now {
			q.inCooldownList = false
			continue
		}
		remaining = append(remaining, q)
	}
	clear(b.coolingDown[len(remaining):])
	b.coolingDown, b.cooldownsAfterPruning = shrink(remaining), len(remaining)
}
