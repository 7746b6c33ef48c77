package gateway_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestShutdown_CompletesRequests(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", pausedStream(begun, proceed))
	r := startUnconfigured(t, func(s *settings.Settings) { s.GracePeriod = 10 * time.Second })
	r.configure(r.turnStores.Assign([2]int{0, 1}), e)
	assert.Equal(t, r.readiness(), 200)
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-1", "", "p", "", "in"))
	tiertest.WaitFor(t, "the stream begins", begun)
	r.stop()
	tiertest.WaitUntil(t, "not ready", func() bool { return r.readiness() == 503 })
	// The platform may still send clients: they are served, with Connection: close.
	tiertest.WaitUntil(t, "answers have Connection: close", func() bool {
		got := r.post("/none/x", "a-2", "", "b")
		assert.Equal(t, got.Status, 404)
		return got.Close
	})
	close(proceed)
	assertAnswer(t, c.ReadReply(), 200, events("one", "two"))
	assert.NilError(t, tiertest.WaitFor(t, "Run returns", r.done))
	assert.Equal(t, r.readiness(), 503)
}

// The reservation of a request in flight is settled before the process ends, and the control plane is notified that the gateway drains.
func TestShutdown_ReleasesReservations(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		beginStream(a, 2)
		close(begun)
		<-proceed
		a.Reset()
	})
	r := startUnconfigured(t, func(s *settings.Settings) { s.GracePeriod = 10 * time.Second })
	r.configure(r.turnStores.Assign([2]int{0, 1}), e)
	ends := make(chan *tierv1.SettleRequest, 100)
	r.turnStores.List[0].SetInterceptor(func(m tiertest.RPC) error {
		q, ok := m.Request.(*tierv1.SettleRequest)
		if !ok {
			return m.Serve()
		}
		// The settlement is delayed until the gateway accepts no connections.
		tiertest.WaitUntil(t, "no listener", func() bool {
			conn, err := net.Dial("tcp", r.ingress)
			if err == nil {
				conn.Close()
			}
			return err != nil
		})
		err := m.Serve()
		if err == nil {
			ends <- q
		}
		return err
	})
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-1", "", "p", "", "in"))
	tiertest.WaitFor(t, "the stream begins", begun)
	r.stop()
	r.controlPlane.Await(t, "the gateway is draining", func(q *tierv1.WatchRequest) bool { return q.Role == "gateway" && q.Draining })
	close(proceed)
	assert.Assert(t, c.ReadReply().Err != nil)
	tiertest.WaitFor(t, "Run returns", r.done)
	select {
	case got := <-ends:
		assert.Equal(t, got.Tokens, uint64(2))
	default:
		t.Fatal("Run returned before the reservation was settled")
	}
}
