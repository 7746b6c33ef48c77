package controlplane

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestWatch_FirstCallOfIncarnationConfirmed(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		service := h.plane.Sessions()
		confirms := h.store.confirmCount()
		n, err := service.Watch(h.ctx, &tierv1.WatchRequest{Node: "e1", Role: roleGateway, Incarnation: "a", PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary)
		assert.Equal(t, bodyOf(n.Configuration), string(configuration(3, "s")))
		assert.Equal(t, n.Members.List[0].Folder, "c1")
		assert.Equal(t, h.store.confirmCount(), confirms+1)
		n, err = service.Watch(h.ctx, &tierv1.WatchRequest{Node: "e1", Role: roleGateway, Incarnation: "a", ConfigurationVersion: n.Configuration.Version, PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary && n.Configuration == nil)
		assert.Equal(t, h.store.confirmCount(), confirms+1)
		h.store.set(func() { h.store.unconfirmed = true })
		n, err = service.Watch(h.ctx, &tierv1.WatchRequest{Node: "e2", Role: roleGateway, Incarnation: "b", PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, !n.IsPrimary && n.Configuration == nil)
	})
}

func TestWatch_FirstCallsShareReadBarrier(t *testing.T) {
	withHarness(t, func(h *harness) {
		before := h.store.confirmCount()
		for _, node := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
			h.join(roleGateway, node, func(p *testProcess) { p.request.MembersVersion = math.MaxUint64 })
		}
		assert.Assert(t, h.store.confirmCount()-before <= 6)
		assert.Assert(t, h.store.confirmCount()-before >= 1)
	})
}

func TestWatch_LongPoll(t *testing.T) {
	withHarness(t, func(h *harness) {
		service := h.plane.Sessions()
		all := &tierv1.WatchRequest{Node: "e1", Incarnation: "a", ConfigurationVersion: math.MaxUint64, EndpointsVersion: math.MaxUint64,
			PartitionMapVersion: math.MaxUint64, MembersVersion: math.MaxUint64}
		began := time.Now()
		n, err := service.Watch(h.ctx, all) // a search for the primary
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary && time.Since(began) == 0)
		all.PollTimeoutMs = 400
		n, err = service.Watch(h.ctx, all)
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary && time.Since(began) == 400*time.Millisecond)
		all.MembersVersion = 1
		n, err = service.Watch(h.ctx, all)
		assert.NilError(t, err)
		assert.Assert(t, n.Members != nil && time.Since(began) == 400*time.Millisecond)
	})
}

func TestWatch_LongPollEndsOutOfTouch(t *testing.T) {
	withHarness(t, func(h *harness) {
		p := h.join(roleGateway, "e1", nil)
		h.store.set(func() { h.store.primary = false })
		synctest.Wait()
		assert.Equal(t, countNotPrimary(p), 1)
		h.store.set(func() { h.store.primary, h.store.epoch = true, h.store.epoch+1<<12 })
		h.advance(200 * time.Millisecond)
		assertStatus(t, h.replace(0, 3), 200)
		assert.Equal(t, countReceived(p), 1)
		// Without a signal from the store, Run notices the change at its next tick.
		h.store.mu.Lock()
		h.store.primary = false
		h.store.mu.Unlock()
		h.advance(250 * time.Millisecond)
		assert.Assert(t, countNotPrimary(p) >= 2)
	})
}

func TestWatch_NewPrimaryShowsReplicatedState(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		p := h.join(roleGateway, "e1", nil)
		before := p.acknowledged().ConfigurationVersion
		h.store.set(func() {
			h.store.epoch += 1 << 12
			h.store.failPut = func(map[string][]byte) (bool, bool) { return true, true }
			h.store.sequence++
			h.store.values[keyConfiguration], h.store.sequences[keyConfiguration] = configuration(9, "s"), h.store.sequence
		})
		h.advance(time.Second)
		assert.Equal(t, countReceived(p), 1)
		h.store.set(func() { h.store.failPut = nil })
		h.advance(time.Second)
		assert.Equal(t, countReceived(p), 2)
		assert.Assert(t, p.acknowledged().ConfigurationVersion > before)
		assertStatus(t, h.replace(3, 10), 412)
		assertStatus(t, h.replace(9, 10), 200)
	})
}
