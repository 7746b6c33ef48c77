// Package worker runs parts of the sender beside its loop: each duty is a goroutine that owns its state, and duties are joined
// by bounded rings. What a duty does is a pure step from events to actions; its runner owns the clock and the I/O. Tests run the
// same steps one by one, in an order that a seed draws.
package worker

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Rule is what a ring does with one more when it is full.
type Rule uint8

// The rules.
const (
	Wait       Rule = iota // who puts it waits; Offer says no
	DropOldest             // the oldest goes, and is counted
	Merge                  // a newer one takes the place of one with its key; of one more key the oldest goes, and is counted
)

func (r Rule) String() string { return [...]string{"wait", "drop the oldest", "merge by key"}[r] }

// ErrClosed is that a ring takes nothing more.
var ErrClosed = errors.New("the ring is closed")

// Ring is a bounded queue. It may be used from any goroutine; only Put waits.
type Ring[T any] struct {
	name string
	most int
	rule Rule
	key  func(T) string

	mu     sync.Mutex
	queue  []T // those from head on
	head   int
	at     map[string]int // place of a key, counted from the ring's begin; Merge only
	first  int            // place of queue[head]
	closed bool
	stats  Stats
	ready  chan struct{} // holds a word while there may be something to take
	space  chan struct{} // closed when something was taken; nil: nobody waits
}

// Stats is a ring as a command shows it.
type Stats struct {
	Name     string `json:"name"`
	Capacity int    `json:"capacity"`
	Rule     string `json:"rule"`
	Held     int    `json:"held"`
	High     int    `json:"high"`    // most that were held
	Taken    uint64 `json:"taken"`   // in, whatever became of them
	Dropped  uint64 `json:"dropped"` // by DropOldest, or for want of room for one more key
	Merged   uint64 `json:"merged"`
	Waited   uint64 `json:"waited"` // for room, or turned away by Offer
}

// NewRing makes a ring for most entries, over 0. key is for Merge alone.
func NewRing[T any](name string, most int, rule Rule, key func(T) string) *Ring[T] {
	if most < 1 || (rule == Merge) != (key != nil) {
		panic(fmt.Sprintf("duty: ring %s: capacity %d, rule %s", name, most, rule))
	}
	r := &Ring[T]{name: name, most: most, rule: rule, key: key, ready: make(chan struct{}, 1)}
	if rule == Merge {
		r.at = map[string]int{}
	}
	return r
}

// Offer puts an entry in if that needs no waiting, and reports whether it did. A ring that drops or merges takes each.
func (r *Ring[T]) Offer(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if r.put(v) {
		return true
	}
	r.stats.Waited++
	return false
}

// Put puts an entry in, and waits for room where the rule is to wait.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	for first := true; ; first = false {
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			return ErrClosed
		}
		if r.put(v) {
			r.mu.Unlock()
			return nil
		}
		if first {
			r.stats.Waited++
		}
		if r.space == nil {
			r.space = make(chan struct{})
		}
		space := r.space
		r.mu.Unlock()
		select {
		case <-space:
		case <-ctx.Done():
			return fmt.Errorf("ring %s is full: %w", r.name, ctx.Err())
		}
	}
}

// put does so under the lock; false if there is no room and the rule is to wait.
func (r *Ring[T]) put(v T) bool {
	if r.rule == Merge {
		if place, ok := r.at[r.key(v)]; ok {
			r.queue[r.head+place-r.first] = v
			r.stats.Merged++
			r.stats.Taken++
			return true
		}
	}
	if held := len(r.queue) - r.head; held >= r.most {
		if r.rule == Wait {
			return false
		}
		r.pop()
		r.stats.Dropped++
	}
	if r.rule == Merge {
		r.at[r.key(v)] = r.first + len(r.queue) - r.head
	}
	r.queue = append(r.queue, v)
	r.stats.Taken++
	r.stats.High = max(r.stats.High, len(r.queue)-r.head)
	r.wake()
	return true
}

func (r *Ring[T]) wake() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// pop takes the oldest out; there is one.
func (r *Ring[T]) pop() T {
	v := r.queue[r.head]
	var none T
	r.queue[r.head] = none
	r.head++
	r.first++
	if r.rule == Merge {
		delete(r.at, r.key(v))
	}
	if r.head >= r.most { // the room in front is given back now and then: each entry moves once at most
		r.queue = append(r.queue[:0], r.queue[r.head:]...)
		clear(r.queue[len(r.queue):cap(r.queue)])
		r.head = 0
	}
	return v
}

// Take gives the oldest entries, so many at most; none if there is none.
func (r *Ring[T]) Take(most int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(most, len(r.queue)-r.head)
	if n <= 0 {
		return nil
	}
	out := make([]T, 0, n)
	for range n {
		out = append(out, r.pop())
	}
	if r.space != nil {
		close(r.space)
		r.space = nil
	}
	if len(r.queue) > r.head {
		r.wake()
	}
	return out
}

// Ready gives a word when there may be something to take.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Close lets the ring take nothing more; what it holds can still be taken.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.space != nil {
		close(r.space)
		r.space = nil
	}
}

// Stats is the ring as it is.
func (r *Ring[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Name, s.Capacity, s.Rule, s.Held = r.name, r.most, r.rule.String(), len(r.queue)-r.head
	return s
}
