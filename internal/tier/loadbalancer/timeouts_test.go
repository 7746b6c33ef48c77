package loadbalancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/brain/restart"
)

// The time-out is the optimum of the estimate where a retry is allowed, else the remaining time, which it never exceeds.
func TestTimeout_FollowsOptimum(t *testing.T) {
	r := newHarness(t, 1, 8)
	r.serve(60, newRequest(), 50*ms)
	var direct restart.Oracle
	for range 60 {
		direct.AddSample(50*ms, 1, false)
	}
	want := direct.Optimum()
	assert.Assert(t, want < time.Second)
	explored := 0
	for range 40 {
		c := r.send(newRequest())
		if c.Exploratory {
			explored++
			assert.Equal(t, c.Timeout, 10*time.Second)
		} else {
			assert.Equal(t, c.Timeout, want)
		}
		r.balancer.Done(r.now, c.Call, Outcome{Kind: Canceled})
	}
	assert.Assert(t, explored < 10)
	a := newRequest()
	a.Retryable = false
	assert.Equal(t, r.send(a).Timeout, a.Remaining)
	a = newRequest()
	a.Remaining = 60 * ms
	assert.Equal(t, r.send(a).Timeout, a.Remaining)
	a.Route, a.Remaining = "other", 10*time.Second // each route has an estimate of its own
	assert.Assert(t, r.send(a).Timeout >= restart.FirstTimeout)
}

// An expiry doubles the time-out until a first attempt is served again; retries give no sample.
func TestTimeout_DoublesUntilFreshSample(t *testing.T) {
	r := newHarness(t, 1, 8)
	r.serve(60, newRequest(), 50*ms)
	repeat := newRequest()
	repeat.FirstAttempt = false
	base := r.send(repeat)
	r.now += base.Timeout
	r.balancer.Done(r.now, base.Call, Outcome{Kind: TimedOut})
	again := r.send(repeat)
	assert.Equal(t, again.Timeout, 2*base.Timeout)
	seen := r.balancer.routeOracles["r"].Samples
	r.balancer.Done(r.now+ms, again.Call, Outcome{Kind: Served, Latency: ms})
	assert.Equal(t, r.balancer.routeOracles["r"].Samples, seen)
	assert.Equal(t, r.send(repeat).Timeout, 2*base.Timeout)
	r.serve(1, newRequest(), 50*ms)
	assert.Equal(t, r.send(repeat).Timeout, base.Timeout)
}

func TestTimeout_ExploresOneInTwenty(t *testing.T) {
	r := newHarness(t, 1, 8)
	r.serve(60, newRequest(), 50*ms)
	explored := 0
	for range 2000 {
		c := r.send(newRequest())
		if c.Exploratory {
			explored++
			assert.Equal(t, c.Call.sampleWeight, float64(restart.ExploreWeight))
		}
		r.balancer.Done(r.now, c.Call, Outcome{Kind: Canceled})
	}
	assert.Assert(t, explored > 60 && explored < 140, "%d", explored)
}
