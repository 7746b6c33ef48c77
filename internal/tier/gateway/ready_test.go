package gateway_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func (r *harness) readiness() int {
	r.t.Helper()
	got := tiertest.Do(r.t, r.probe, "GET /saffronyard/readiness HTTP/1.1\r\nHost: probe\r\n\r\n")
	assert.NilError(r.t, got.Err)
	return got.Status
}

func TestReadiness_NeedsAllViews(t *testing.T) {
	r := startUnconfigured(t)
	brought := map[string]func(){
		"configuration": func() { r.consensus.SetConfiguration(configurationOf(1, "")) },
		"endpoints":     func() { r.listEndpoints() },
		"turnstores":    func() { r.consensus.SetPartitionMap(r.turnStores.Assign([2]int{0, 1})) },
	}
	assert.Equal(t, r.readiness(), 503)
	assertNotExecuted(t, r.post("/plain/x", "a-1", "", "b"))
	n := 0
	for name, bring := range brought { // in any order
		bring()
		r.consensus.AwaitAcknowledged(t)
		n++
		want := 503
		if n == len(brought) {
			want = 200
		}
		assert.Equal(t, r.readiness(), want, "%d have come, %s the last", n, name)
	}
}

// A gateway that reaches neither the control plane nor a turn store is not ready, until the control plane answers again.
func TestReadiness_FalseWhileIsolated(t *testing.T) {
	r := startUnconfigured(t, func(s *settings.Settings) { s.ContactWindow = 200 * time.Millisecond })
	r.configure(r.turnStores.Assign([2]int{0, 1}))
	assert.Equal(t, r.readiness(), 200)
	r.consensus.SetInterceptor(func(ctx context.Context, _ *tierv1.WatchRequest, _ func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	for _, store := range r.turnStores.List {
		store.SetUnreachable(true)
	}
	assertNotExecuted(t, r.do(turnRequest("t-1", "", "p", "X-Deadline-Ms: 1000\r\n", "in")))
	tiertest.WaitUntil(t, "not ready", func() bool { return r.readiness() == 503 })
	r.consensus.SetInterceptor(nil)
	tiertest.WaitUntil(t, "ready again", func() bool { return r.readiness() == 200 })
}

func TestShutdown_CompletesRequests(t *testing.T) {
	begun, further := make(chan struct{}), make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", pausedStream(begun, further))
	r := startUnconfigured(t, func(s *settings.Settings) { s.GracePeriod = 10 * time.Second })
	r.configure(r.turnStores.Assign([2]int{0, 1}), e)
	assert.Equal(t, r.readiness(), 200)
	c := tiertest.Connect(t, r.ingress)
	c.Send(turnRequest("t-1", "", "p", "", "in"))
	tiertest.WaitFor(t, "the stream begins", begun)
	r.stop()
	tiertest.WaitUntil(t, "not ready", func() bool { return r.readiness() == 503 })
	// The platform may still send clients: they are served, and told to go.
	tiertest.WaitUntil(t, "clients are told to go", func() bool {
		got := r.post("/none/x", "a-2", "", "b")
		assert.Equal(t, got.Status, 404)
		return got.Close
	})
	close(further)
	assertAnswer(t, c.ReadReply(), 200, events("one", "two"))
	assert.NilError(t, tiertest.WaitFor(t, "it ends", r.done))
	assert.Equal(t, r.readiness(), 503)
}

// A reservation of a request under way is ended before the process does, and control hears that it leaves.
func TestShutdown_ReleasesReservations(t *testing.T) {
	begun, further := make(chan struct{}), make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		say(a, 2)
		close(begun)
		<-further
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
		// It takes until the gateway accepts nothing more.
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
	r.consensus.Await(t, "it is leaving", func(q *tierv1.WatchRequest) bool { return q.Role == "gateway" && q.Draining })
	close(further)
	assert.Assert(t, c.ReadReply().Err != nil)
	tiertest.WaitFor(t, "it ends", r.done)
	select {
	case got := <-ends:
		assert.Equal(t, got.Tokens, uint64(2))
	default:
		t.Fatal("the process has ended, its reservation has not")
	}
}
