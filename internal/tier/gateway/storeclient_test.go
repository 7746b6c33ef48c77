package gateway_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// A new map ends a call to a turn store that says nothing: the turn need not wait for it.
func TestStoreClient_NewMapEndsCallToUnresponsiveStore(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", streamTwoEvents)
	r := startGateway(t, e)
	asked := make(chan context.Context, 100)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		asked <- m.Ctx
		<-m.Ctx.Done()
		return m.Ctx.Err()
	})
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-1", "", "p", "", "in"))
	call := tiertest.WaitFor(t, "the turn store is asked", asked)
	r.controlPlane.SetPartitionMap(r.turnStores.Assign([2]int{1, 2}))
	assertAnswer(t, c.ReadReply(), 200, events(twoEvents("t-1")...))
	until, ok := call.Deadline()
	assert.Assert(t, ok && errors.Is(call.Err(), context.Canceled), "ended by %v, its time by %v", call.Err(), time.Until(until))
}
