package gateway_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/metrics"
	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// scrape requests the metrics from the readiness address.
func (r *harness) scrape() string {
	r.t.Helper()
	got := tiertest.Do(r.t, r.probe, "GET /metrics HTTP/1.1\r\nHost: probe\r\n\r\n")
	assert.NilError(r.t, got.Err)
	assert.Equal(r.t, got.Status, 200)
	assert.Equal(r.t, got.Header.Get("Content-Type"), metrics.ContentType)
	return got.Body
}

func assertContains(t *testing.T, text string, lines ...string) {
	t.Helper()
	for _, line := range lines {
		assert.Assert(t, strings.Contains(text, line+"\n"), "%q is not in %s", line, text)
	}
}

// The readiness address serves metrics, and the readiness check at any other path or method.
func TestMetrics_AtReadinessAddress(t *testing.T) {
	begun, proceed := make(chan struct{}), make(chan struct{})
	e := tiertest.NewEndpoint(t, "i-1", "s", func(a *tiertest.ReceivedRequest) {
		close(begun)
		<-proceed
		a.Respond(200, "", "done")
	})
	r := startUnconfigured(t)
	assertContains(t, r.scrape(), "saffronyard_gateway_ready 0", "saffronyard_configuration_revision 0", "saffronyard_gateway_calls 0")
	assert.Equal(t, r.readiness(), 503)
	r.configure(r.turnStores.Assign([2]int{0, 1}), e)
	answer := make(chan tiertest.Reply, 1)
	go func() { answer <- r.post("/plain/x", "a-1", "", "b") }()
	<-begun
	text := r.scrape()
	assertContains(t, text, "saffronyard_gateway_ready 1", "saffronyard_configuration_revision 1", "saffronyard_gateway_calls 1")
	assert.Assert(t, !strings.Contains(text, "saffronyard_session_remaining_seconds 0\n"), text)
	assert.Equal(t, r.readiness(), 200)
	post := tiertest.Do(t, r.probe, "POST /metrics HTTP/1.1\r\nHost: probe\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, post.Err)
	assert.Equal(t, post.Body, "") // as any other readiness check
	close(proceed)
	assertAnswer(t, <-answer, 200, "done")
}

// The frontend serves no metrics: any path there may belong to a route.
func TestMetrics_NotAtFrontend(t *testing.T) {
	e := tiertest.NewEndpoint(t, "i-1", "s", echo("i-1"))
	r := startGateway(t, e)
	got := r.do("GET /metrics HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a-1\r\n\r\n")
	assert.NilError(t, got.Err)
	assert.Equal(t, got.Status, 404)
	assert.Assert(t, !strings.Contains(got.Body, "saffronyard_"), got.Body)
}

// Requests are counted by kind and outcome, attempts by outcome.
func TestCounters_Totals(t *testing.T) {
	a, b := breakFirstAttempt(t, func(x *tiertest.ReceivedRequest) { sendEvents(x, 2); x.Reset() })
	r := startGateway(t, a, b)
	assertAnswer(t, r.post("/resumable/x", "a-1", "", "b"), 200, fiveEvents())
	assert.Equal(t, r.do(turnWithBudget("/resumable/x", "a-2", 1, 2)).Status, 402)
	assert.Equal(t, r.post("/none/x", "a-3", "", "b").Status, 404)
	assert.Equal(t, r.post("/plain/x", "a-4", "X-Deadline-Ms: soon\r\n", "b").Status, 400)
	a.SetHandler(func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(503, "X-Not-Executed: full\r\n") })
	b.SetHandler(func(x *tiertest.ReceivedRequest) { x.RespondUnsigned(503, "X-Not-Executed: full\r\n") })
	assertNotExecuted(t, r.post("/once/x", "a-5", "", "b"))
	assertContains(t, r.scrape(),
		`saffronyard_gateway_requests_total{kind="stream",outcome="served"} 1`,
		`saffronyard_gateway_requests_total{kind="turn",outcome="budget_spent"} 1`,
		`saffronyard_gateway_requests_total{kind="none",outcome="not_found"} 1`,
		`saffronyard_gateway_requests_total{kind="idempotent",outcome="rejected"} 1`,
		`saffronyard_gateway_requests_total{kind="non_idempotent",outcome="refused"} 1`,
		`saffronyard_gateway_runs_total{end="broken"} 1`,
		`saffronyard_gateway_runs_total{end="whole"} 1`,
		`saffronyard_gateway_runs_total{end="refused"} 2`,
		`saffronyard_gateway_resumed_total 1`,
		`saffronyard_gateway_first_event_seconds_count 2`)
}
