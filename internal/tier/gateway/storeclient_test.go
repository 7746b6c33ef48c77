package gateway_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// A new partition map cancels a call to a turn store that does not answer, so that the turn need not wait for the call's time-out.
func TestStoreClient_NewMapEndsCallToUnresponsiveStore(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	calls := make(chan context.Context, 100)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		calls <- m.Ctx
		<-m.Ctx.Done()
		return m.Ctx.Err()
	})
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-1", "", "p", "", "in"))
	call := tiertest.WaitFor(t, "the turn store is called", calls)
	r.controlPlane.SetPartitionMap(r.turnStores.Assign([2]int{1, 2}))
	assertAnswer(t, c.ReadReply(), 200, events(twoEvents("t-1")...))
	until, ok := call.Deadline()
	assert.Assert(t, ok && errors.Is(call.Err(), context.Canceled), "ended by %v, %v before its deadline", call.Err(), time.Until(until))
}
