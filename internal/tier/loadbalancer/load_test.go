package loadbalancer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/brain/restart"
)

// The window starts at half of the slots, grows by one with each success up to three quarters, is halved by a refusal once
// for all calls that were under way, and never falls below one.
func TestPick_ConcurrencyWindow(t *testing.T) {
	r := newHarness(t, 1, 20)
	r.balancer.SetEndpoints(r.now, r.list[:1])
	fill := func() (out []Selection) {
		for {
			c := r.balancer.Pick(r.now, newRequest())
			if c.Decision != Send {
				assert.Equal(t, c.Decision, AtCapacity)
				assert.Assert(t, c.RetryAfter > 0 && c.RetryAfter <= newRequest().Remaining/3, c.RetryAfter)
				return out
			}
			out = append(out, c)
		}
	}
	out := fill()
	assert.Equal(t, len(out), 10)
	for range 20 {
		for _, c := range out {
			r.balancer.Done(r.now+ms, c.Call, Outcome{Kind: Served, Latency: ms})
		}
		r.now += 2 * ms
		out = fill()
		assert.Assert(t, float64(len(out)) < restart.Share*20)
	}
	assert.Equal(t, len(out), 14)
	r.now += ms
	for _, c := range out {
		r.balancer.Done(r.now, c.Call, Outcome{Kind: Rejected})
	}
	assert.Equal(t, len(fill()), 0) // it has just said that it is full
	r.now += maxRejectionBackoff
	out = fill()
	assert.Equal(t, len(out), 7)
	for range 10 {
		r.now += time.Second
		for _, c := range out {
			r.balancer.Done(r.now, c.Call, Outcome{Kind: Rejected})
		}
		r.now += time.Second
		out = fill()
	}
	assert.Equal(t, len(out), 1)
	// An endpoint that reports less than half of its slots as running can take half of them.
	r.balancer.Done(r.now, out[0].Call, Outcome{Kind: Served, Latency: ms, Load: &Load{Running: 1, Slots: 20}})
	assert.Assert(t, len(fill()) >= 9)
}

// Requests of a lower priority leave some room for those of the highest.
func TestPick_ReservesCapacityForHighestPriority(t *testing.T) {
	r := newHarness(t, 1, 96)
	a := newRequest()
	a.Priority = 2
	for r.balancer.Pick(r.now, a).Decision == Send {
	}
	assert.Equal(t, r.balancer.Pick(r.now, a).Decision, AtCapacity)
	r.send(newRequest())
}

// A session's endpoint gets no more than its bounded part; the sender's zone comes first, until it is loaded.
func TestAffinityPolicy_BoundedLoadAndZones(t *testing.T) {
	r := newHarness(t, 3, 96)
	zones, at := map[string]int{}, map[string]int{}
	send := func(a Request) {
		c := r.send(a)
		r.balancer.ResponseStarted(r.now, c.Call)
		zones[r.balancer.endpoints[c.Instance].Zone]++
		at[c.Instance]++
	}
	minCalls := func(zone string) int {
		n := 1 << 20
		for i, e := range r.balancer.endpoints {
			if e.Zone == zone {
				n = min(n, at[i])
			}
		}
		return n
	}
	for i := range 6 { // so few that the sender's zone is not loaded
		send(newSessionRequest(i))
	}
	assert.Equal(t, zones["a"], 6)
	for range 96 { // one session: it is held together, within bounds
		send(newSessionRequest(1))
	}
	for i, n := range at {
		assert.Assert(t, n <= 24, "%s: %d", i, n)
	}
	for i := range 300 {
		send(newSessionRequest(i))
		// The lowest load in the sender's zone exceeds that of other zones by the zone factor and margin, and by no more.
		for _, far := range []string{"b", "c", "d"} {
			assert.Assert(t, float64(minCalls("a")) <= zoneCostFactor*float64(minCalls(far)+1)+zoneCostMargin+1, "%v", at)
		}
	}
	assert.Assert(t, zones["a"] > zones["b"] && zones["a"] > zones["c"] && zones["a"] > zones["d"], "%v", zones)
	assert.Assert(t, zones["b"] > 20 && zones["c"] > 20 && zones["d"] > 20, "%v", zones)
}

// Requests without a session go to the endpoint with the lowest load, in the sender's zone as long as that isn't loaded; load of
// other senders is reported.
func TestLeastCostPolicy(t *testing.T) {
	r := newHarness(t, 2, 16)
	r.balancer.ReportLoad(r.now, "i0", Load{Running: 3, Slots: 16}) // in zone a there are i0 and i4
	for range 3 {
		assert.Equal(t, r.send(newRequest()).Instance, "i4")
	}
	r.balancer.ReportLoad(r.now, "i0", Load{Running: 16, Waiting: 2, Slots: 16})
	r.balancer.ReportLoad(r.now, "i4", Load{Running: 16, Waiting: 2, Slots: 16})
	assert.Assert(t, r.balancer.endpoints[r.send(newRequest()).Instance].Zone != "a")
}

// A slower endpoint gets fewer requests.
func TestLeastCostPolicy_SlowerEndpointGetsFewer(t *testing.T) {
	r := newHarness(t, 2, 16)
	got := map[string]int{}
	for range 100 {
		var out []Selection
		for range 6 {
			out = append(out, r.send(newRequest()))
		}
		r.now += 60 * ms
		for _, c := range out {
			took := 20 * ms
			if c.Instance == "i0" {
				took = 60 * ms
			}
			got[c.Instance]++
			r.balancer.Done(r.now, c.Call, Outcome{Kind: Served, Latency: took})
		}
	}
	assert.Assert(t, got["i0"] > 0 && 3*got["i0"] < 2*got["i4"], "%v", got)
}
