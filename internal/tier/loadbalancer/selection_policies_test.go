package loadbalancer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A turn goes to the endpoint that ran the one before, in another zone too, unless that is notably more loaded, ejected,
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
	assert.Assert(t, r.send(a).Instance != "i1") // ten are out there, and none elsewhere
	r.now += loadDecayTime
	a.StickyInstance = "i2"
	assert.Equal(t, r.send(a).Instance, "i2")
	r.list[2].Draining = true
	r.balancer.SetEndpoints(r.now, r.list)
	assert.Assert(t, r.send(a).Instance != "i2")
	a.StickyInstance = "i77"
	r.send(a)
}

// Where the caches of engines are in use, a session stays longer at the endpoint that holds its own: elsewhere it would be
// prefilled again, and would evict what others have cached there. It still leaves one that is far more loaded than the others.
func TestStickyPolicy_CacheInUse(t *testing.T) {
	r := newHarness(t, 1, 8)
	for i := range r.list {
		r.list[i].CacheTokens = 28_000
	}
	r.balancer.SetEndpoints(r.now, r.list)
	a := newRequest()
	a.Retryable, a.CacheTokens = false, 7_000 // a quarter of the cache
	for _, line := range r.list {
		a.StickyInstance = line.Instance
		c := r.send(a)
		assert.Equal(t, c.Instance, line.Instance)
		r.balancer.ResponseStarted(r.now, c.Call)
	}
	for _, of := range []struct {
		running int // at home; the others have four each
		stays   bool
	}{{9, true}, {24, false}} {
		for _, line := range r.list[1:] {
			r.balancer.ReportLoad(r.now, line.Instance, Load{Running: 4, Slots: 8})
		}
		r.balancer.ReportLoad(r.now, "i0", Load{Running: of.running, Slots: 8})
		a.StickyInstance = "i0"
		c := r.send(a)
		assert.Equal(t, c.Instance == "i0", of.stays, "%d running", of.running)
		r.balancer.Done(r.now, c.Call, Outcome{Kind: Canceled})
	}
}

// Sessions stay where they are while others of the endpoints are replaced, whatever sender they come to; they move
// only off those that go.
func TestAffinityPolicy_StableThroughRelease(t *testing.T) {
	r, other := newHarness(t, 6, 96), newHarness(t, 6, 96)
	was := map[int]string{}
	for i := range 200 {
		was[i] = r.serveSession(i)
		assert.Equal(t, other.serveSession(i), was[i])
	}
	going := map[string]bool{}
	list := append([]Endpoint(nil), r.list...)
	for i := 0; i < len(r.list); i += 8 { // half of those in our zone, which are each fourth
		list[i].Draining = true
		going[list[i].Instance] = true
		fresh := r.list[i]
		fresh.Instance, fresh.Address = "new "+fresh.Instance, "10.0.1."+fresh.Instance
		list = append(list, fresh)
	}
	r.balancer.SetEndpoints(r.now, list)
	stayed, could := 0, 0
	for i := range 200 {
		now := r.serveSession(i)
		assert.Assert(t, !going[now], "a draining endpoint was picked")
		if !going[was[i]] {
			could++
			if now == was[i] {
				stayed++
			} else {
				assert.Equal(t, now[:3], "new", "it moved for no reason")
			}
		}
	}
	assert.Assert(t, could > 60)
	assert.Assert(t, float64(stayed) > 0.35*float64(could), "%d of %d", stayed, could) // three new ones beside three: half go there
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
	for range 96 { // one session: it stays together, within bounds
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
