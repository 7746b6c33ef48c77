package worker

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// OverflowPolicy is what a ring does with one more when it is full.
type OverflowPolicy uint8

// The rules.
const (
	Block      OverflowPolicy = iota // who puts it waits; Offer says no
	DropOldest                       // the oldest goes, and is counted
	MergeByKey                       // a newer one takes the place of one with its key; of one more key the oldest goes, and is counted
)

func (r OverflowPolicy) String() string {
	return [...]string{"wait", "drop the oldest", "merge by key"}[r]
}

// ErrClosed is that a ring takes nothing more.
var ErrClosed = errors.New("the ring is closed")

// RingBuffer is a bounded queue. It may be used from any goroutine; only Put waits.
type RingBuffer[T any] struct {
	name     string
	capacity int
	policy   OverflowPolicy
	key      func(T) string

	mu           sync.Mutex
	queue        []T // those from head on
	head         int
	positions    map[string]int // place of a key, counted from the ring's begin; Merge only
	headPosition int            // place of queue[head]
	closed       bool
	stats        Stats
	ready        chan struct{} // holds a word while there may be something to take
	spaceFreed   chan struct{} // closed when something was taken; nil: nobody waits
}

// Stats is a ring as a command shows it.
type Stats struct {
	Name          string `json:"name"`
	Capacity      int    `json:"capacity"`
	Policy        string `json:"rule"`
	Length        int    `json:"held"`
	HighWatermark int    `json:"high"`    // most that were held
	Accepted      uint64 `json:"taken"`   // in, whatever became of them
	Dropped       uint64 `json:"dropped"` // by DropOldest, or for want of room for one more key
	Merged        uint64 `json:"merged"`
	Blocked       uint64 `json:"waited"` // for room, or turned away by Offer
}

// NewRingBuffer makes a ring for most entries, over 0. key is for Merge alone.
func NewRingBuffer[T any](name string, capacity int, policy OverflowPolicy, key func(T) string) *RingBuffer[T] {
	if capacity < 1 || (policy == MergeByKey) != (key != nil) {
		panic(fmt.Sprintf("duty: ring %s: capacity %d, rule %s", name, capacity, policy))
	}
	r := &RingBuffer[T]{name: name, capacity: capacity, policy: policy, key: key, ready: make(chan struct{}, 1)}
	if policy == MergeByKey {
		r.positions = map[string]int{}
	}
	return r
}

// Offer puts an entry in if that needs no waiting, and reports whether it did. A ring that drops or merges takes each.
func (r *RingBuffer[T]) Offer(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if r.put(v) {
		return true
	}
	r.stats.Blocked++
	return false
}

// Put puts an entry in, and waits for room where the rule is to wait.
func (r *RingBuffer[T]) Put(ctx context.Context, v T) error {
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
			r.stats.Blocked++
		}
		if r.spaceFreed == nil {
			r.spaceFreed = make(chan struct{})
		}
		space := r.spaceFreed
		r.mu.Unlock()
		select {
		case <-space:
		case <-ctx.Done():
			return fmt.Errorf("ring %s is full: %w", r.name, ctx.Err())
		}
	}
}

// put does so under the lock; false if there is no room and the rule is to wait.
func (r *RingBuffer[T]) put(v T) bool {
	if r.policy == MergeByKey {
		if place, ok := r.positions[r.key(v)]; ok {
			r.queue[r.head+place-r.headPosition] = v
			r.stats.Merged++
			r.stats.Accepted++
			return true
		}
	}
	if held := len(r.queue) - r.head; held >= r.capacity {
		if r.policy == Block {
			return false
		}
		r.pop()
		r.stats.Dropped++
	}
	if r.policy == MergeByKey {
		r.positions[r.key(v)] = r.headPosition + len(r.queue) - r.head
	}
	r.queue = append(r.queue, v)
	r.stats.Accepted++
	r.stats.HighWatermark = max(r.stats.HighWatermark, len(r.queue)-r.head)
	r.wake()
	return true
}

func (r *RingBuffer[T]) wake() {
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// pop takes the oldest out; there is one.
func (r *RingBuffer[T]) pop() T {
	v := r.queue[r.head]
	var none T
	r.queue[r.head] = none
	r.head++
	r.headPosition++
	if r.policy == MergeByKey {
		delete(r.positions, r.key(v))
	}
	if r.head >= r.capacity { // the room in front is given back now and then: each entry moves once at most
		r.queue = append(r.queue[:0], r.queue[r.head:]...)
		clear(r.queue[len(r.queue):cap(r.queue)])
		r.head = 0
	}
	return v
}

// Take gives the oldest entries, so many at most; none if there is none.
func (r *RingBuffer[T]) Take(most int) []T {
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
	if r.spaceFreed != nil {
		close(r.spaceFreed)
		r.spaceFreed = nil
	}
	if len(r.queue) > r.head {
		r.wake()
	}
	return out
}

// Ready gives a word when there may be something to take.
func (r *RingBuffer[T]) Ready() <-chan struct{} { return r.ready }

// Close lets the ring take nothing more; what it holds can still be taken.
func (r *RingBuffer[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.spaceFreed != nil {
		close(r.spaceFreed)
		r.spaceFreed = nil
	}
}

// Stats is the ring as it is.
func (r *RingBuffer[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Name, s.Capacity, s.Policy, s.Length = r.name, r.capacity, r.policy.String(), len(r.queue)-r.head
	return s
}
