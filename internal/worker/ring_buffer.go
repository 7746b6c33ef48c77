package worker

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// OverflowPolicy is what a full ring buffer does with one more entry.
type OverflowPolicy uint8

// The overflow policies.
const (
	Block      OverflowPolicy = iota // Put waits for space; Offer returns false
	DropOldest                       // the oldest entry is dropped and counted
	MergeByKey                       // an entry replaces the one with its key; for a new key the oldest entry is dropped and counted
)

// String returns the policy as commands show it.
func (r OverflowPolicy) String() string {
	return [...]string{"wait", "drop the oldest", "merge by key"}[r]
}

// ErrClosed reports that a ring buffer is closed and accepts no more entries.
var ErrClosed = errors.New("the ring buffer is closed")

// RingBuffer is a bounded queue. It is safe for concurrent use; only Put blocks.
type RingBuffer[T any] struct {
	name     string
	capacity int
	policy   OverflowPolicy
	key      func(T) string

	mu           sync.Mutex
	queue        []T // the entries from head on
	head         int
	positions    map[string]int // position of each key's entry, counted from the first entry ever put in; MergeByKey only
	headPosition int            // position of queue[head]
	closed       bool
	stats        Stats
	ready        chan struct{} // holds a token while there may be entries
	spaceFreed   chan struct{} // closed when entries are taken; nil: no Put waits
}

// Stats is a ring buffer as commands show it.
type Stats struct {
	Name          string `json:"name"`
	Capacity      int    `json:"capacity"`
	Policy        string `json:"rule"`
	Length        int    `json:"held"`
	HighWatermark int    `json:"high"`
	Accepted      uint64 `json:"taken"`   // entries put in, including those dropped or merged
	Dropped       uint64 `json:"dropped"` // under DropOldest, or under MergeByKey to free space for a new key
	Merged        uint64 `json:"merged"`
	Blocked       uint64 `json:"waited"` // Puts that waited for space, and Offers that returned false
}

// NewRingBuffer makes a ring buffer for at least one entry. key is given for MergeByKey and no other policy.
func NewRingBuffer[T any](name string, capacity int, policy OverflowPolicy, key func(T) string) *RingBuffer[T] {
	if capacity < 1 || (policy == MergeByKey) != (key != nil) {
		panic(fmt.Sprintf("worker: ring buffer %s: capacity %d is below 1, or policy %s does not match the key function", name, capacity, policy))
	}
	r := &RingBuffer[T]{name: name, capacity: capacity, policy: policy, key: key, ready: make(chan struct{}, 1)}
	if policy == MergeByKey {
		r.positions = map[string]int{}
	}
	return r
}

// Offer puts an entry in without waiting, and reports whether that was possible. Policies other than Block accept each entry while the ring
// buffer is open.
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

// Put puts an entry in, and waits for space under Block. The error is ErrClosed, or wraps the context's.
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
			return fmt.Errorf("ring buffer %s is full: %w", r.name, ctx.Err())
		}
	}
}

// put puts an entry in with mu held; false if there is no space and the policy is Block.
func (r *RingBuffer[T]) put(v T) bool {
	if r.policy == MergeByKey {
		if position, ok := r.positions[r.key(v)]; ok {
			r.queue[r.head+position-r.headPosition] = v
			r.stats.Merged++
			r.stats.Accepted++
			return true
		}
	}
	if length := len(r.queue) - r.head; length >= r.capacity {
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

// pop removes and returns the oldest entry. The ring buffer must not be empty.
func (r *RingBuffer[T]) pop() T {
	v := r.queue[r.head]
	var zero T
	r.queue[r.head] = zero
	r.head++
	r.headPosition++
	if r.policy == MergeByKey {
		delete(r.positions, r.key(v))
	}
	if r.head >= r.capacity { // the space before head is reclaimed only now, so that each entry moves at most once
		r.queue = append(r.queue[:0], r.queue[r.head:]...)
		clear(r.queue[len(r.queue):cap(r.queue)])
		r.head = 0
	}
	return v
}

// Take takes out the oldest entries, up to limit; nil if there is none.
func (r *RingBuffer[T]) Take(limit int) []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(limit, len(r.queue)-r.head)
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

// Ready receives a token when there may be entries to take.
func (r *RingBuffer[T]) Ready() <-chan struct{} { return r.ready }

// Close makes the ring buffer reject further entries; the entries in it can still be taken.
func (r *RingBuffer[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.spaceFreed != nil {
		close(r.spaceFreed)
		r.spaceFreed = nil
	}
}

// Stats returns the current statistics of the ring buffer.
func (r *RingBuffer[T]) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.stats
	s.Name, s.Capacity, s.Policy, s.Length = r.name, r.capacity, r.policy.String(), len(r.queue)-r.head
	return s
}
