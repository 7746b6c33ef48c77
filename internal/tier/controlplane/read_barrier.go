package controlplane

import (
	"context"
	"sync"
	"time"
)

// readBarrier shares round trips among those who ask for one: each gets one that began after it asked.
type readBarrier struct {
	store Store
	limit time.Duration

	mu      sync.Mutex
	running bool
	next    *barrierCall
}

type barrierCall struct {
	epoch uint64
	done  chan struct{}
	err   error
}

// wait is nil after a round trip to all backups under this epoch that began after the call.
func (c *readBarrier) wait(ctx context.Context, epoch uint64) error {
	c.mu.Lock()
	if c.next != nil && c.next.epoch != epoch {
		c.mu.Unlock()
		return c.store.Confirm(ctx, epoch)
	}
	if c.next == nil {
		c.next = &barrierCall{epoch: epoch, done: make(chan struct{})}
	}
	mine := c.next
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-mine.done:
		return mine.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *readBarrier) run() {
	for {
		c.mu.Lock()
		r := c.next
		c.next = nil
		if r == nil {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), c.limit)
		r.err = c.store.Confirm(ctx, r.epoch)
		cancel()
		close(r.done)
	}
}
