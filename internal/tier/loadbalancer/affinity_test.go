package loadbalancer

import (
	"testing"

	"gotest.tools/v3/assert"
)

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

// A turn goes to the endpoint that ran the one before, in another zone too, unless that is notably more loaded, out,
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
	a.Retryable, a.CacheTokens = false, 7_000 // a quarter of the memory
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
