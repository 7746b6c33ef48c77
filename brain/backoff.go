package brain

import "time"

const (
	// minRetryBackoff is the back-off of a message after its first failed attempt; it doubles.
	minRetryBackoff = 150 * time.Millisecond
	// maxRetryDoublings bounds how often that back-off doubles.
	maxRetryDoublings = 4
)

// backoffEntry is a message with the time before which it must not be sent. Entries of messages that no
// longer wait stay in the heap and are skipped when they reach the top.
type backoffEntry struct {
	until   time.Duration
	message *message
}

// backoffHeap is a binary heap of the back-offs of the messages that wait for a destination.
type backoffHeap []backoffEntry

func (h *backoffHeap) add(p backoffEntry) {
	*h = append(*h, p)
	for i := len(*h) - 1; i > 0; {
		parent := (i - 1) / 2
		if (*h)[i].until >= (*h)[parent].until {
			return
		}
		(*h)[i], (*h)[parent] = (*h)[parent], (*h)[i]
		i = parent
	}
}

func (h *backoffHeap) pop() {
	last := len(*h) - 1
	(*h)[0] = (*h)[last]
	(*h)[last] = backoffEntry{}
	*h = (*h)[:last]
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return
		}
		if child+1 < last && (*h)[child+1].until < (*h)[child].until {
			child++
		}
		if (*h)[child].until >= (*h)[i].until {
			return
		}
		(*h)[i], (*h)[child] = (*h)[child], (*h)[i]
		i = child
	}
}

// next returns the earliest end of a back-off after now, and whether there is one.
func (h *backoffHeap) next(now time.Duration) (time.Duration, bool) {
	for len(*h) > 0 {
		if p := (*h)[0]; p.until > now && p.message.waiting && p.message.notBefore == p.until {
			return p.until, true
		}
		h.pop()
	}
	return 0, false
}

// wakeForBackoffs schedules the next step for a destination to which nothing can be sent now: at the end
// of the first back-off, and of the cool-down of an ordering key whose first message was not sent yet.
func (b *Brain) wakeForBackoffs(d *destination) {
	if at, ok := d.backoffs.next(b.now); ok {
		b.wakeAt(at)
	}
	b.pruneCooldowns()
	for _, q := range b.coolingDown {
		if len(q.messages) == 0 {
			continue
		}
		m := q.messages[0]
		if m.waiting && m.destination == d && m.notBefore <= b.now && len(m.attempts) == 0 {
			b.wakeAt(q.cooldownUntil)
		}
	}
}
