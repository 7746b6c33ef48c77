package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A turn that could not be kept in time charges what its client was handed, not its most.
func TestTurn_NotStoredIsChargedForEventsWritten(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", talk)
	r := startGateway(t, e)
	released := make(chan *tierv1.SettleRequest, 1)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		q, ok := m.Request.(*tierv1.SettleRequest)
		if !ok {
			return m.Serve()
		}
		if q.Attempt == "t-1" && q.Stored {
			return tiertest.ErrMessageLost
		}
		err := m.Serve()
		if err == nil && q.Attempt == "t-1" {
			released <- q
		}
		return err
	})
	const budget = "Budget: 10\r\nX-Token-Usage: 5,%d\r\n"
	got := r.do(turnRequest("t-1", "", "p", "X-Deadline-Ms: 700\r\n"+fmt.Sprintf(budget, 9), "in"))
	assert.Assert(t, got.Err != nil, "looks complete: %+v", got)
	settlement := tiertest.WaitFor(t, "the reservation is released", released)
	assert.Equal(t, settlement.Tokens, uint64(2))
	assert.Equal(t, r.do(turnRequest("t-2", "", "p", fmt.Sprintf(budget, 9), "in")).Status, 402)
	assert.Equal(t, r.do(turnRequest("t-3", "", "p", fmt.Sprintf(budget, 8), "in")).Status, 200)
}

// A stream that lasts longer than its time has its end soon after, though no turn store takes its release.
func TestTurn_OverdueEndsThoughReleaseIsDelayed(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) { say(a, 1); a.AwaitClose() })
	r := startUnconfigured(t, func(s *settings.Settings) { s.ContactWindow = time.Minute })
	r.consensus.SetConfiguration(configurationOf(1, ""))
	r.listEndpoints(e)
	r.consensus.SetPartitionMap(r.turnStores.Assign([2]int{0, 1}))
	r.consensus.AwaitAcknowledged(t)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		if m.Method == "Settle" {
			<-m.Ctx.Done()
			return m.Ctx.Err()
		}
		return m.Serve()
	})
	const deadline = 300 * time.Millisecond
	retryTimingTest(t, func(try int) time.Duration {
		began := time.Now()
		got := r.do(turnRequest(fmt.Sprintf("t-%d", try), "", "p", fmt.Sprintf("X-Deadline-Ms: %d\r\n", deadline.Milliseconds()), "in"))
		assert.Assert(t, got.Err != nil, "looks complete: %+v", got)
		return time.Since(began) - deadline
	})
}
