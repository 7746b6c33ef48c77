package controlplane

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
		assert.Assert(t, h.partitionMap() == v, "a stable map was changed")

		// A restart within the TTL changes nothing.
		third.stop()
		h.advance(450 * time.Millisecond)
		third = h.join(roleTurnStore, "v3", func(p *testProcess) { p.request.Incarnation = "again" })
		h.advance(2 * time.Second)
		assert.Assert(t, h.partitionMap() == v)

		// The expiry of the session changes the map.
		third.stop()
		h.advance(time.Second)
		for _, p := range h.partitionMap().Partitions {
			assert.Assert(t, !slices.Contains(replicaFolders(p), "v3.1"))
		}

		// When the machine returns with another disk, it gets replicas again.
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

		// A session with the old folder is ignored.
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
