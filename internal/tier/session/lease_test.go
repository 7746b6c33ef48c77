package session_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// leaseLength is the lease length of a session with the settings of tiertest, whose contact window is 4 s.
const leaseLength = 2400 * time.Millisecond

// currentUntil samples during span whether the session's updates are current. It returns the time until they were not, or span if
// they always were.
func (h *harness) currentUntil(span time.Duration) time.Duration {
	const every = 20 * time.Millisecond
	for began := time.Now(); time.Since(began) < span; {
		if !h.client.Current() {
			return time.Since(began)
		}
		<-time.After(every)
	}
	return span
}

// withActiveSession calls f, in virtual time, with a session that has delivered an endpoint list.
func withActiveSession(t *testing.T, f func(h *harness, c *tiertest.ControlPlane)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		c := h.primary(1)
		c.SetEndpoints(&tierv1.Endpoint{Instance: "i-1"})
		h.run()
		c.AwaitAcknowledged(t)
		<-time.After(5 * time.Second)
		f(h, c)
	})
}

func TestCurrent_ActiveSession(t *testing.T) {
	withActiveSession(t, func(h *harness, c *tiertest.ControlPlane) {
		assert.Equal(t, h.currentUntil(time.Minute), time.Minute)
	})
}

// A session that loses single calls stays current.
func TestCurrent_SingleLostCalls(t *testing.T) {
	withActiveSession(t, func(h *harness, c *tiertest.ControlPlane) {
		var calls atomic.Int64
		c.SetInterceptor(func(ctx context.Context, q *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
			if isLongPoll(q) && calls.Add(1)%2 == 0 {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return serve()
		})
		assert.Equal(t, h.currentUntil(time.Minute), time.Minute)
	})
}

// A process whose session makes no progress, because the process is paused or overloaded, must not act on its updates beyond the
// lease. It may do so again after an answer of the primary.
func TestCurrent_PausedProcess(t *testing.T) {
	withActiveSession(t, func(h *harness, c *tiertest.ControlPlane) {
		const pause = 10 * time.Second
		var paused atomic.Bool
		resumed := make(chan struct{})
		c.SetInterceptor(func(_ context.Context, q *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
			if isLongPoll(q) && !paused.Swap(true) {
				<-time.After(pause) // a paused process does not detect the time-out of its call either
				close(resumed)
			}
			return serve()
		})
		lasted := h.currentUntil(pause)
		assert.Assert(t, lasted <= leaseLength+time.Second, "current for %v", lasted) // a call may have begun before the pause
		<-resumed
		<-time.After(100 * time.Millisecond)
		assert.Assert(t, h.client.Current(), "not current after an answer of the primary")
	})
}

// A partitioned process continues to act on its updates, however long the partition lasts.
func TestCurrent_PartitionedProcess(t *testing.T) {
	withActiveSession(t, func(h *harness, c *tiertest.ControlPlane) {
		c.SetInterceptor(func(ctx context.Context, _ *tierv1.WatchRequest, _ func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		assert.Equal(t, h.currentUntil(time.Minute), time.Minute)
	})
}

// A process that reaches the primary but receives no updates from it must not be current beyond its lease, also if it was
// partitioned before.
func TestCurrent_PrimaryReachableWithoutUpdates(t *testing.T) {
	for name, partition := range map[string]time.Duration{"without a partition": 0, "after a partition": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withActiveSession(t, func(h *harness, c *tiertest.ControlPlane) {
				partitionedUntil := time.Now().Add(partition)
				c.SetInterceptor(func(ctx context.Context, q *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
					if isLongPoll(q) || time.Now().Before(partitionedUntil) {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					return serve()
				})
				lasted := h.currentUntil(partition + 20*time.Second)
				assert.Assert(t, lasted >= partition && lasted <= partition+leaseLength+2*time.Second, "current for %v", lasted)
			})
		})
	}
}

// The first call after a loss has the largest answer, as do the first calls of all sessions after a takeover. Its time-out must
// be as long as that of other calls.
func TestSession_SlowFirstAnswerAfterLoss(t *testing.T) {
	const took = time.Second // less than the sum of a sixth and a tenth of the contact window
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		c := h.primary(1)
		c.SetEndpoints(&tierv1.Endpoint{Instance: "i-1"})
		c.SetInterceptor(func(ctx context.Context, q *tierv1.WatchRequest, serve func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
			if isLongPoll(q) {
				select {
				case <-time.After(took):
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			return serve()
		})
		h.run()
		<-time.After(took + 100*time.Millisecond)
		assert.DeepEqual(t, h.recorded(), []string{"endpoints 1"})
	})
}
