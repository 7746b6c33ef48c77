package turnstore

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The endpoint at which an attempt of a program failed is reported to its next attempts for failedEndpointTTL, and to no other
// program.
func TestFailedEndpoints_ReportedForAWhile(t *testing.T) {
	c, k := newPair(t)
	v := c.nodes["a"].turnstore
	begin := func(program, attempt string) []string {
		reply, err := v.Begin(c.ctx, &tierv1.BeginRequest{Program: program, Attempt: attempt})
		assert.NilError(t, err)
		assert.Equal(t, reply.Verdict, ok)
		return reply.AvoidEndpoints
	}
	assert.Equal(t, len(begin("p", "t1")), 0)
	_, err := v.Settle(c.ctx, &tierv1.SettleRequest{Program: "p", Attempt: "t1", FailedEndpoint: "i1"})
	assert.NilError(t, err)
	assert.DeepEqual(t, begin("p", "t2"), []string{"i1"})
	assert.Equal(t, len(begin("q", "u1")), 0)
	c.advance(failedEndpointTTL)
	assert.DeepEqual(t, begin("p", "t3"), []string{"i1"})
	c.advance(time.Nanosecond)
	assert.Equal(t, len(begin("p", "t4")), 0)
	_ = k
}

// Only the newest maxFailedEndpoints endpoints are stored.
func TestFailedEndpoints_Bounded(t *testing.T) {
	s, now := newState(), time.Now()
	s.add(reservedFact("a", 1), now)
	p := s.partition(0)
	for i := range 10 {
		p.recordFailedEndpoint("p", fmt.Sprint("i", i), now)
	}
	p.recordFailedEndpoint("p", "i7", now)
	p.recordFailedEndpoint("p", "", now)
	p.recordFailedEndpoint("unknown", "i1", now)
	assert.DeepEqual(t, p.failedEndpoints("p", now), []string{"i6", "i8", "i9", "i7"})
	assert.Equal(t, len(p.programs), 1)
}
