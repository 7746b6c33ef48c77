package gateway_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest"
)

// After an attempt failed at an endpoint the next one of its program goes elsewhere, also through another gateway and though its line
// has its home there.
func TestAttempts_AvoidInstanceOfLastFailure(t *testing.T) {
	a := tiertest.NewEndpoint(t, "i-a", "s", talk)
	b := tiertest.NewEndpoint(t, "i-b", "s", talk)
	first, second := startTwoGateways(t, a, b)
	assertAnswer(t, first.do(turnRequest("t-1", "", "p", "", "in;")), 200, events(said("t-1")...))
	home, other := a, b
	if len(b.Requests()) > 0 {
		home, other = b, a
	}
	home.SetHandler(resetOf("t-2"))
	assert.Equal(t, first.do(turnRequest("t-2", "t-1", "p", "", "in;")).Status, 502)
	for i, r := range []*harness{second, first} {
		assertAnswer(t, r.do(turnRequest(fmt.Sprint("t-2-", i), "t-1", "p", "", "in;")), 200, events(said(fmt.Sprint("t-2-", i))...))
	}
	assert.Equal(t, len(home.Requests()), 2)
	assert.Equal(t, len(other.Requests()), 2)
}
