package loadbalancer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// If requests can't be retried, the owner probes ejected endpoints by health checks.
func TestHealthChecks_RestoreEjectedEndpoint(t *testing.T) {
	r := newHarness(t, 1, 8)
	for range 2 {
		r.balancer.Done(r.now, r.send(newSessionRequest(1)).Call, Outcome{Kind: NotSent})
	}
	assert.Equal(t, len(r.balancer.StartHealthChecks(r.now)), 0)
	r.now += minProbeBackoff
	assert.Assert(t, r.send(newSessionRequest(1)).Instance != "i0")
	for _, healthy := range []bool{false, true} {
		r.now += maxProbeBackoff
		due := r.balancer.StartHealthChecks(r.now)
		assert.Equal(t, len(due), 1)
		assert.Equal(t, due[0].Instance, "i0")
		assert.Equal(t, len(r.balancer.StartHealthChecks(r.now)), 0)
		r.balancer.RecordHealthCheck(r.now, "i0", healthy)
	}
	assert.Equal(t, r.send(newSessionRequest(1)).Instance, "i0")
}
