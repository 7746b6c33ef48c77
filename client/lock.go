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

// acquireRetryInterval is the pause of AcquireWait before it retries while another owner holds the lock.
const acquireRetryInterval = 200 * time.Millisecond

// Lock is an acquired lock. It is safe for concurrent use.
type Lock struct {
	client *Client
	name   string
	owner  string
	hold   time.Duration
	fence  uint64

	mu        sync.Mutex // guards expiresAt
	expiresAt time.Time  // by this process's monotonic clock
}

// lockBody is the request body of the lock calls.
type lockBody struct {
	Owner      string `json:"holder"`
	Fence      uint64 `json:"fence,omitempty"`
	HoldTimeMS int64  `json:"hold_time_ms,omitempty"`
}

// Acquire tries once to acquire a lock, for a hold time of at least one millisecond. The owner's name should be unique to this
// process. The error is ErrLocked, a StatusError, or that of ctx.
func (c *Client) Acquire(ctx context.Context, name, owner string, hold time.Duration) (*Lock, error) {
	lock := &Lock{client: c, name: name, owner: owner, hold: hold}
	var r reply
	for { // a response that arrives after the hold time is discarded: the lock may have expired
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

// AcquireWait acquires a lock. While another owner holds the lock, it retries until ctx ends.
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

// Fence returns the fencing token. It is higher than the tokens of all previous owners.
func (lock *Lock) Fence() uint64 { return lock.fence }

// Valid reports whether the lock is held at this moment.
func (lock *Lock) Valid() bool { return time.Now().Before(lock.ExpiresAt()) }

// ExpiresAt returns when the lock expires unless it is renewed.
func (lock *Lock) ExpiresAt() time.Time {
	lock.mu.Lock()
	defer lock.mu.Unlock()
	return lock.expiresAt
}

// Renew extends the hold: the lock then expires one hold time after this call. The error is ErrLockLost, a StatusError, or that of
// ctx. Renew gives up at the end of the current hold: a response that arrives later is ignored.
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

// expire marks the lock as no longer held by this process.
func (lock *Lock) expire() {
	lock.mu.Lock()
	defer lock.mu.Unlock()
	lock.expiresAt = time.Time{}
}

// Release releases the lock. From the start of the call the lock counts as no longer held, whatever the result.
func (lock *Lock) Release(ctx context.Context) error {
	lock.expire()
	r, err := lock.client.post(ctx, "Locks.Delete", lock.name, lockBody{Owner: lock.owner, Fence: lock.fence})
	if err == nil && r.status != http.StatusOK {
		return r.statusError()
	}
	return err
}

// KeepAlive renews the lock until ctx ends or the lock is lost, and returns ErrLockLost or the error of ctx. Callers should check
// Valid immediately before each operation that the lock protects.
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

// Lead takes part in an election: it waits for the lock, calls lead while it keeps the lock alive, and releases the lock when lead
// returns. The context of lead ends as soon as the lock is lost. It returns the error of lead, ErrLockLost, or that of ctx.
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
	releasing, cancel := context.WithTimeout(context.WithoutCancel(ctx), hold) // after the hold time the lock expires anyway
	defer cancel()
	return errors.Join(err, lock.Release(releasing))
}
