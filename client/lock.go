package client

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// renewalsPerHold is how often KeepAlive renews within a hold time.
const renewalsPerHold = 3

// acquireRetryInterval is how long AcquireWait waits before it asks again for a lock that another holds.
const acquireRetryInterval = 200 * time.Millisecond

// Lock is a lock that was acquired. It is safe for concurrent use.
type Lock struct {
	client *Client
	name   string
	owner  string
	hold   time.Duration
	fence  uint64

	mu        sync.Mutex // guards what follows
	expiresAt time.Time  // by this process's monotonic clock
}

// lockBody is the body of a call of locks.
type lockBody struct {
	Owner      string `json:"holder"`
	Fence      uint64 `json:"fence,omitempty"`
	HoldTimeMS int64  `json:"hold_time_ms,omitempty"`
}

// Acquire asks once for a lock, for a hold time of a millisecond at least. The owner's name should be unique to this process. The error
// is ErrLocked, a StatusError, or that of ctx.
func (c *Client) Acquire(ctx context.Context, name, owner string, hold time.Duration) (*Lock, error) {
	lock := &Lock{client: c, name: name, owner: owner, hold: hold}
	var r reply
	for { // an answer that comes after the hold time is of no use
		sent := time.Now()
		var err error
		if r, err = c.post(ctx, "Locks.Create", name, lockBody{Owner: owner, HoldTimeMS: hold.Milliseconds()}); err != nil {
			return nil, err
		}
		if lock.expiresAt = sent.Add(hold); time.Now().Before(lock.expiresAt) {
			break
		}
	}
	switch r.status {
	case http.StatusOK:
	case http.StatusConflict:
		return nil, ErrLocked
	default:
		return nil, r.statusError()
	}
	var granted struct {
		Fence uint64 `json:"fence"`
	}
	if err := r.decode(&granted); err != nil {
		return nil, err
	}
	lock.fence = granted.Fence
	return lock, nil
}

// AcquireWait asks for a lock until it gets it or ctx ends.
func (c *Client) AcquireWait(ctx context.Context, name, owner string, hold time.Duration) (*Lock, error) {
	for {
		lock, err := c.Acquire(ctx, name, owner, hold)
		if !errors.Is(err, ErrLocked) {
			return lock, err
		}
		timer := time.NewTimer(min(acquireRetryInterval, hold))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
	}
}

// Fence is the fencing token: higher than that of each owner before.
func (lock *Lock) Fence() uint64 { return lock.fence }

// Valid reports whether the lock is held at this moment.
func (lock *Lock) Valid() bool { return time.Now().Before(lock.ExpiresAt()) }

// ExpiresAt is when the lock is held no more unless it is renewed.
func (lock *Lock) ExpiresAt() time.Time {
	lock.mu.Lock()
	defer lock.mu.Unlock()
	return lock.expiresAt
}

// Renew extends the hold by the hold time from now. The error is ErrLockLost, a StatusError, or that of ctx. It gives up at the end of
// the hold: an answer that comes later counts for nothing.
func (lock *Lock) Renew(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, lock.ExpiresAt())
	defer cancel()
	sent := time.Now()
	r, err := lock.client.post(ctx, "Locks.Heartbeat", lock.name, lockBody{lock.owner, lock.fence, lock.hold.Milliseconds()})
	switch {
	case !lock.Valid():
		return ErrLockLost
	case err != nil:
		return err
	case r.status == http.StatusConflict:
		lock.expire()
		return ErrLockLost
	case r.status != http.StatusOK:
		return r.statusError()
	}
	lock.mu.Lock()
	defer lock.mu.Unlock()
	lock.expiresAt = sent.Add(lock.hold)
	return nil
}

// expire ends the hold at this process.
func (lock *Lock) expire() {
	lock.mu.Lock()
	defer lock.mu.Unlock()
	lock.expiresAt = time.Time{}
}

// Release gives the lock back. It is held no more from the call on, whatever the result.
func (lock *Lock) Release(ctx context.Context) error {
	lock.expire()
	r, err := lock.client.post(ctx, "Locks.Delete", lock.name, lockBody{Owner: lock.owner, Fence: lock.fence})
	if err == nil && r.status != http.StatusOK {
		return r.statusError()
	}
	return err
}

// KeepAlive renews the lock until ctx ends or the lock is lost, and returns ErrLockLost or the error of ctx. Whoever acts under the lock
// asks Valid right before each act.
func (lock *Lock) KeepAlive(ctx context.Context) error {
	ticker := time.NewTicker(max(time.Millisecond, lock.hold/renewalsPerHold))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if err := lock.Renew(ctx); err != nil && !lock.Valid() {
			return ErrLockLost
		}
	}
}

// Lead takes part in an election: it waits for the lock, runs lead while the lock is kept alive, and releases it when lead returns. The
// context of lead ends as soon as the lock is lost. It returns lead's error, ErrLockLost, or that of ctx.
func (c *Client) Lead(ctx context.Context, name, owner string, hold time.Duration, lead func(ctx context.Context, lock *Lock) error) error {
	lock, err := c.AcquireWait(ctx, name, owner, hold)
	if err != nil {
		return err
	}
	leading, stop := context.WithCancelCause(ctx)
	var keepingAlive sync.WaitGroup
	keepingAlive.Go(func() { stop(lock.KeepAlive(leading)) })
	err = lead(leading, lock)
	lost := errors.Is(context.Cause(leading), ErrLockLost)
	stop(nil)
	keepingAlive.Wait()
	if lost {
		return errors.Join(ErrLockLost, err)
	}
	releasing, cancel := context.WithTimeout(context.WithoutCancel(ctx), hold) // after that it is free anyway
	defer cancel()
	return errors.Join(err, lock.Release(releasing))
}
