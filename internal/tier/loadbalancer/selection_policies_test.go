package loadbalancer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A turn goes to the endpoint that ran the preceding turn, even in another zone, unless that endpoint is notably more loaded, ejected,
// draining or gone.
func TestStickyPolicy(t *testing.T) {
	r := newHarness(t, 3, 96)
	a := newRequest()
	a.Retryable, a.StickyInstance = false, "i1"
	for range 5 {
		c := r.send(a)
		assert.Equal(t, c.Instance, "i1")
		r.balancer.ResponseStarted(r.now, c.Call)
	}
	for range 5 {
		r.balancer.ResponseStarted(r.now, r.send(a).Call)
	}
	assert.Assert(t, r.send(a).Instance != "i1") // ten calls are in flight there, and none at others
	r.now += loadDecayTime
	a.StickyInstance = "i2"
	assert.Equal(t, r.send(a).Instance, "i2")
	r.list[2].Draining = true
	r.balancer.SetEndpoints(r.now, r.list)
	assert.Assert(t, r.send(a).Instance != "i2")
	a.StickyInstance = "i77"
	r.send(a)
}

// While the caches of engines are in use, a session stays longer at the endpoint that has cached its prompt: another endpoint would
// prefill it again and evict cached prefixes of other sessions. The session still leaves an endpoint that is far more loaded than the
// others.
func TestStickyPolicy_CacheInUse(t *testing.T) {
	r := newHarness(t, 1, 8)
	for i := range r.list {
		r.list[i].CacheTokens = 28_000
	}
	r.balancer.SetEndpoints(r.now, r.list)
	a := newRequest()
	a.Retryable, a.CacheTokens = false, 7_000 // a quarter of the cache
	for _, entry := range r.list {
		a.StickyInstance = entry.Instance
		c := r.send(a)
		assert.Equal(t, c.Instance, entry.Instance)
		r.balancer.ResponseStarted(r.now, c.Call)
	}
	for _, test := range []struct {
		running int // at the sticky endpoint; the others run four each
		stays   bool
	}{{9, true}, {24, false}} {
		for _, entry := range r.list[1:] {
			r.balancer.ReportLoad(r.now, entry.Instance, Load{Running: 4, Slots: 8})
		}
		r.balancer.ReportLoad(r.now, "i0", Load{Running: test.running, Slots: 8})
		a.StickyInstance = "i0"
		c := r.send(a)
		assert.Equal(t, c.Instance == "i0", test.stays, "%d running", test.running)
		r.balancer.Done(r.now, c.Call, Outcome{Kind: Canceled})
	}
}

// Different senders send a session to the same endpoint. While other endpoints are replaced, a session stays at its endpoint or moves
// to a new one.
func TestAffinityPolicy_StableThroughRelease(t *testing.T) {
	r, other := newHarness(t, 6, 96), newHarness(t, 6, 96)
	previous := map[int]string{}
	for i := range 200 {
		previous[i] = r.serveSession(i)
		assert.Equal(t, other.serveSession(i), previous[i])
	}
	draining := map[string]bool{}
	list := append([]Endpoint(nil), r.list...)
	for i := 0; i < len(r.list); i += 8 { // half of the endpoints in the sender's zone, which are every fourth in the list
		list[i].Draining = true
		draining[list[i].Instance] = true
		fresh := r.list[i]
		fresh.Instance, fresh.Address = "new "+fresh.Instance, "10.0.1."+fresh.Instance
		list = append(list, fresh)
	}
	r.balancer.SetEndpoints(r.now, list)
	stayed, remaining := 0, 0
	for i := range 200 {
		now := r.serveSession(i)
		assert.Assert(t, !draining[now], "a draining endpoint was picked")
		if !draining[previous[i]] {
			remaining++
			if now == previous[i] {
				stayed++
			} else {
				assert.Equal(t, now[:3], "new", "the session moved to an endpoint that is not new")
			}
		}
	}
	assert.Assert(t, remaining > 60)
	assert.Assert(t, float64(stayed) > 0.35*float64(remaining), "%d of %d", stayed, remaining) // half go to the three new ones
}

// A session's endpoint gets no more than its bounded load. The sender's zone is preferred until it is loaded.
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
	for range 96 { // one session: its requests go to the same endpoint, within the bound
		send(newSessionRequest(1))
	}
	for i, n := range at {
		assert.Assert(t, n <= 24, "%s: %d", i, n)
	}
	for i := range 300 {
		send(newSessionRequest(i))
		// The lowest load in the sender's zone exceeds that of other zones by the zone factor and margin, and by no more.
		for _, remote := range []string{"b", "c", "d"} {
			assert.Assert(t, float64(minCalls("a")) <= zoneCostFactor*float64(minCalls(remote)+1)+zoneCostMargin+1, "%v", at)
		}
	}
	assert.Assert(t, zones["a"] > zones["b"] && zones["a"] > zones["c"] && zones["a"] > zones["d"], "%v", zones)
	assert.Assert(t, zones["b"] > 20 && zones["c"] > 20 && zones["d"] > 20, "%v", zones)
}

// Requests without a session go to the endpoint with the lowest load, in the sender's zone as long as that isn't loaded. The load
// includes the reported requests of other senders.
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
