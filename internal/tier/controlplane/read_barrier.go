package controlplane

import (
	"context"
	"sync"
	"time"
)

// readBarrier makes reads linearizable: a state that a primary read before a round trip to all backups was still in force at
// the round trip, as no other primary can have acknowledged anything in between. (Raft calls this ReadIndex, section 6.4 of the
// thesis.) Callers that wait at the same time share a round trip; each gets one that began after its call.
type readBarrier struct {
	store   Store
	timeout time.Duration // of one round trip

	mu      sync.Mutex
	running bool         // run is active
	next    *barrierCall // round trip that has not begun; nil: no caller waits for one
}

// barrierCall is one round trip.
type barrierCall struct {
	epoch uint64
	done  chan struct{} // closed when err is set
	err   error
}

// wait returns nil after a round trip to all backups in this epoch that began after the call, else the store's error or that
// of ctx.
func (b *readBarrier) wait(ctx context.Context, epoch uint64) error {
	b.mu.Lock()
	if b.next != nil && b.next.epoch != epoch {
		b.mu.Unlock()
		return b.store.Confirm(ctx, epoch)
	}
	if b.next == nil {
		b.next = &barrierCall{epoch: epoch, done: make(chan struct{})}
	}
	call := b.next
	if !b.running {
		b.running = true
		go b.run()
	}
	b.mu.Unlock()
	select {
	case <-call.done:
		return call.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes round trips, one after the other, until no caller waits for one. Each ends within the time-out.
func (b *readBarrier) run() {
	for {
		b.mu.Lock()
		call := b.next
		b.next = nil
		if call == nil {
			b.running = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
		call.err = b.store.Confirm(ctx, call.epoch)
		cancel()
		close(call.done)
	}
}
