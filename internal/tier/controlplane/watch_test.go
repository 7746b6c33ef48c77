package controlplane

import (
	"math"
	"slices"
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
		n, err := service.Watch(h.ctx, all) // one that looks for the primary
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
		// Without a word from the store, the next tick finds out.
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

func TestReconcile_MapOfTurnStores(t *testing.T) {
	withHarness(t, func(h *harness) {
		first := h.join(roleTurnStore, "v1", nil)
		h.advance(time.Second)
		assert.Equal(t, len(h.partitionMap().GetPartitions()), 0)
		h.join(roleTurnStore, "v2", nil)
		h.advance(200 * time.Millisecond)
		third := h.join(roleTurnStore, "v3", nil)
		h.advance(time.Second)
		v := h.partitionMap()
		assert.Equal(t, len(v.Partitions), partitionCount)
		assert.Equal(t, len(v.StoreNodes), 3)
		assert.Equal(t, first.acknowledged().PartitionMapVersion, v.Version)
		h.advance(5 * time.Second)
		assert.Assert(t, h.partitionMap() == v, "a map at rest was changed")

		// A restart within the time changes nothing.
		third.stop()
		h.advance(450 * time.Millisecond)
		third = h.join(roleTurnStore, "v3", func(p *testProcess) { p.request.Incarnation = "again" })
		h.advance(2 * time.Second)
		assert.Assert(t, h.partitionMap() == v)

		// Silence does.
		third.stop()
		h.advance(time.Second)
		for _, p := range h.partitionMap().Partitions {
			assert.Assert(t, !slices.Contains(replicaFolders(p), "v3.1"))
		}

		// Back with another disk, it gets its share.
		h.join(roleTurnStore, "v3", func(p *testProcess) { p.request.Folder, p.request.Incarnation = "v3.2", "third" })
		h.advance(20 * time.Second)
		load := map[string]int{}
		for _, p := range h.partitionMap().Partitions {
			for _, folder := range replicaFolders(p) {
				load[folder]++
			}
			assert.Equal(t, len(p.Backups), 1)
		}
		assert.Assert(t, load["v3.2"] >= 21, "%v", load)

		// The old folder never counts again.
		old := h.join(roleTurnStore, "v3", func(p *testProcess) { p.request.Incarnation = "old" })
		v = h.partitionMap()
		h.advance(5 * time.Second)
		assert.Assert(t, h.partitionMap() == v)
		old.stop()
	})
}

func TestReconcile_NoStoreLostWithinTakeoverGrace(t *testing.T) {
	withHarness(t, func(h *harness) {
		var all []*testProcess
		for _, n := range []string{"v1", "v2", "v3"} {
			all = append(all, h.join(roleTurnStore, n, nil))
		}
		h.advance(2 * time.Second)
		v := h.partitionMap()
		assert.Equal(t, len(v.Partitions), partitionCount)
		h.store.set(func() { h.store.primary = false })
		for _, p := range all {
			p.stop()
		}
		h.advance(5 * time.Second)
		h.store.set(func() { h.store.primary, h.store.epoch = true, h.store.epoch+1<<12 })
		h.advance(time.Second)
		for _, n := range []string{"v1", "v2", "v3"} {
			h.join(roleTurnStore, n, nil)
		}
		h.advance(5 * time.Second)
		assert.Equal(t, h.partitionMap().Version, v.Version)
	})
}

func TestStatus(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		h.join(roleGateway, "e1", nil)
		h.join(roleTurnStore, "v1", nil)
		s, err := h.plane.Sessions().Status(h.ctx, &tierv1.StatusRequest{})
		assert.NilError(t, err)
		assert.Assert(t, s.Primary)
		assert.Equal(t, s.Revision, int64(3))
		assert.Equal(t, len(s.Sessions), 2)
		assert.Equal(t, s.Sessions[0].Configuration, s.Configuration)
	})
}
