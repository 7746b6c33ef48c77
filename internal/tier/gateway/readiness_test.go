package gateway_test

import (
	"context"
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
	updates := map[string]func(){
		"configuration": func() { r.controlPlane.SetConfiguration(configurationOf(1, "")) },
		"endpoints":     func() { r.listEndpoints() },
		"turnstores":    func() { r.controlPlane.SetPartitionMap(r.turnStores.Assign([2]int{0, 1})) },
	}
	assert.Equal(t, r.readiness(), 503)
	assertNotExecuted(t, r.post("/plain/x", "a-1", "", "b"))
	n := 0
	for name, publish := range updates { // in any order
		publish()
		r.controlPlane.AwaitAcknowledged(t)
		n++
		want := 503
		if n == len(updates) {
			want = 200
		}
		assert.Equal(t, r.readiness(), want, "%d views published, %s last", n, name)
	}
}

// A gateway that reaches neither the control plane nor a turn store is not ready, until the control plane answers again.
func TestReadiness_FalseWhileIsolated(t *testing.T) {
	r := startUnconfigured(t, func(s *settings.Settings) { s.ContactWindow = 200 * time.Millisecond })
	r.configure(r.turnStores.Assign([2]int{0, 1}))
	assert.Equal(t, r.readiness(), 200)
	r.controlPlane.SetInterceptor(func(ctx context.Context, _ *tierv1.WatchRequest, _ func() (*tierv1.WatchReply, error)) (*tierv1.WatchReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	for _, store := range r.turnStores.List {
		store.SetUnreachable(true)
	}
	assertNotExecuted(t, r.do(turnRequest("t-1", "", "p", "X-Deadline-Ms: 1000\r\n", "in")))
	tiertest.WaitUntil(t, "not ready", func() bool { return r.readiness() == 503 })
	r.controlPlane.SetInterceptor(nil)
	tiertest.WaitUntil(t, "ready again", func() bool { return r.readiness() == 200 })
}
