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
	withHarness(t, func(r *harness) {
		assertStatus(t, r.replace(0, 3), 200)
		service := r.plane.Sessions()
		confirms := r.store.confirmCount()
		n, err := service.Watch(r.ctx, &tierv1.WatchRequest{Node: "e1", Role: roleGateway, Incarnation: "a", PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary)
		assert.Equal(t, bodyOf(n.Configuration), string(configuration(3, "s")))
		assert.Equal(t, n.Members.List[0].Folder, "c1")
		assert.Equal(t, r.store.confirmCount(), confirms+1)
		n, err = service.Watch(r.ctx, &tierv1.WatchRequest{Node: "e1", Role: roleGateway, Incarnation: "a", ConfigurationVersion: n.Configuration.Version, PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary && n.Configuration == nil)
		assert.Equal(t, r.store.confirmCount(), confirms+1)
		r.store.set(func() { r.store.unconfirmed = true })
		n, err = service.Watch(r.ctx, &tierv1.WatchRequest{Node: "e2", Role: roleGateway, Incarnation: "b", PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, !n.IsPrimary && n.Configuration == nil)
	})
}

func TestWatch_FirstCallsShareReadBarrier(t *testing.T) {
	withHarness(t, func(r *harness) {
		before := r.store.confirmCount()
		for _, node := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
			r.join(roleGateway, node, func(p *testProcess) { p.request.MembersVersion = math.MaxUint64 })
		}
		assert.Assert(t, r.store.confirmCount()-before <= 6)
		assert.Assert(t, r.store.confirmCount()-before >= 1)
	})
}

func TestWatch_LongPoll(t *testing.T) {
	withHarness(t, func(r *harness) {
		service := r.plane.Sessions()
		all := &tierv1.WatchRequest{Node: "e1", Incarnation: "a", ConfigurationVersion: math.MaxUint64, EndpointsVersion: math.MaxUint64,
			PartitionMapVersion: math.MaxUint64, MembersVersion: math.MaxUint64}
		began := time.Now()
		n, err := service.Watch(r.ctx, all) // one that looks for the primary
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary && time.Since(began) == 0)
		all.PollTimeoutMs = 400
		n, err = service.Watch(r.ctx, all)
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary && time.Since(began) == 400*time.Millisecond)
		all.MembersVersion = 1
		n, err = service.Watch(r.ctx, all)
		assert.NilError(t, err)
		assert.Assert(t, n.Members != nil && time.Since(began) == 400*time.Millisecond)
	})
}

func TestWatch_LongPollEndsOutOfTouch(t *testing.T) {
	withHarness(t, func(r *harness) {
		p := r.join(roleGateway, "e1", nil)
		r.store.set(func() { r.store.primary = false })
		synctest.Wait()
		assert.Equal(t, countNotPrimary(p), 1)
		r.store.set(func() { r.store.primary, r.store.epoch = true, r.store.epoch+1<<12 })
		r.advance(200 * time.Millisecond)
		assertStatus(t, r.replace(0, 3), 200)
		assert.Equal(t, countReceived(p), 1)
		// Without a word from the store, the next tick finds out.
		r.store.mu.Lock()
		r.store.primary = false
		r.store.mu.Unlock()
		r.advance(250 * time.Millisecond)
		assert.Assert(t, countNotPrimary(p) >= 2)
	})
}

func TestWatch_NewPrimaryShowsReplicatedState(t *testing.T) {
	withHarness(t, func(r *harness) {
		assertStatus(t, r.replace(0, 3), 200)
		p := r.join(roleGateway, "e1", nil)
		before := p.acknowledged().ConfigurationVersion
		r.store.set(func() {
			r.store.epoch += 1 << 12
			r.store.failPut = func(map[string][]byte) (bool, bool) { return true, true }
			r.store.sequence++
			r.store.values[keyConfiguration], r.store.sequences[keyConfiguration] = configuration(9, "s"), r.store.sequence
		})
		r.advance(time.Second)
		assert.Equal(t, countReceived(p), 1)
		r.store.set(func() { r.store.failPut = nil })
		r.advance(time.Second)
		assert.Equal(t, countReceived(p), 2)
		assert.Assert(t, p.acknowledged().ConfigurationVersion > before)
		assertStatus(t, r.replace(3, 10), 412)
		assertStatus(t, r.replace(9, 10), 200)
	})
}

func TestReconcile_MapOfTurnStores(t *testing.T) {
	withHarness(t, func(r *harness) {
		first := r.join(roleTurnStore, "v1", nil)
		r.advance(time.Second)
		assert.Equal(t, len(r.partitionMap().GetPartitions()), 0)
		r.join(roleTurnStore, "v2", nil)
		r.advance(200 * time.Millisecond)
		third := r.join(roleTurnStore, "v3", nil)
		r.advance(time.Second)
		v := r.partitionMap()
		assert.Equal(t, len(v.Partitions), partitionCount)
		assert.Equal(t, len(v.StoreNodes), 3)
		assert.Equal(t, first.acknowledged().PartitionMapVersion, v.Version)
		r.advance(5 * time.Second)
		assert.Assert(t, r.partitionMap() == v, "a map at rest was changed")

		// A restart within the time changes nothing.
		third.stop()
		r.advance(450 * time.Millisecond)
		third = r.join(roleTurnStore, "v3", func(p *testProcess) { p.request.Incarnation = "again" })
		r.advance(2 * time.Second)
		assert.Assert(t, r.partitionMap() == v)

		// Silence does.
		third.stop()
		r.advance(time.Second)
		for _, p := range r.partitionMap().Partitions {
			assert.Assert(t, !slices.Contains(replicaFolders(p), "v3.1"))
		}

		// Back with another disk, it gets its share.
		r.join(roleTurnStore, "v3", func(p *testProcess) { p.request.Folder, p.request.Incarnation = "v3.2", "third" })
		r.advance(20 * time.Second)
		load := map[string]int{}
		for _, p := range r.partitionMap().Partitions {
			for _, folder := range replicaFolders(p) {
				load[folder]++
			}
			assert.Equal(t, len(p.Backups), 1)
		}
		assert.Assert(t, load["v3.2"] >= 21, "%v", load)

		// The old folder never counts again.
		old := r.join(roleTurnStore, "v3", func(p *testProcess) { p.request.Incarnation = "old" })
		v = r.partitionMap()
		r.advance(5 * time.Second)
		assert.Assert(t, r.partitionMap() == v)
		old.stop()
	})
}

func TestReconcile_NoStoreLostWithinTakeoverGrace(t *testing.T) {
	withHarness(t, func(r *harness) {
		var all []*testProcess
		for _, n := range []string{"v1", "v2", "v3"} {
			all = append(all, r.join(roleTurnStore, n, nil))
		}
		r.advance(2 * time.Second)
		v := r.partitionMap()
		assert.Equal(t, len(v.Partitions), partitionCount)
		r.store.set(func() { r.store.primary = false })
		for _, p := range all {
			p.stop()
		}
		r.advance(5 * time.Second)
		r.store.set(func() { r.store.primary, r.store.epoch = true, r.store.epoch+1<<12 })
		r.advance(time.Second)
		for _, n := range []string{"v1", "v2", "v3"} {
			r.join(roleTurnStore, n, nil)
		}
		r.advance(5 * time.Second)
		assert.Equal(t, r.partitionMap().Version, v.Version)
	})
}

func TestStatus(t *testing.T) {
	withHarness(t, func(r *harness) {
		assertStatus(t, r.replace(0, 3), 200)
		r.join(roleGateway, "e1", nil)
		r.join(roleTurnStore, "v1", nil)
		s, err := r.plane.Sessions().Status(r.ctx, &tierv1.StatusRequest{})
		assert.NilError(t, err)
		assert.Assert(t, s.Primary)
		assert.Equal(t, s.Revision, int64(3))
		assert.Equal(t, len(s.Sessions), 2)
		assert.Equal(t, s.Sessions[0].Configuration, s.Configuration)
	})
}
