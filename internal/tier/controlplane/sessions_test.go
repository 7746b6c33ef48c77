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

func TestTheFirstCallOfALifeIsConfirmed(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		service := r.k.Sessions()
		confirms := r.s.confirmCount()
		n, err := service.Watch(r.ctx, &tierv1.WatchRequest{Node: "e1", Role: roleGateway, Incarnation: "a", PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary)
		assert.Equal(t, bodyOf(n.Configuration), string(configuration(3, "s")))
		assert.Equal(t, n.Members.List[0].Folder, "c1")
		assert.Equal(t, r.s.confirmCount(), confirms+1)
		n, err = service.Watch(r.ctx, &tierv1.WatchRequest{Node: "e1", Role: roleGateway, Incarnation: "a", ConfigurationVersion: n.Configuration.Version, PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, n.IsPrimary && n.Configuration == nil)
		assert.Equal(t, r.s.confirmCount(), confirms+1)
		r.s.set(func() { r.s.deaf = true })
		n, err = service.Watch(r.ctx, &tierv1.WatchRequest{Node: "e2", Role: roleGateway, Incarnation: "b", PollTimeoutMs: 500})
		assert.NilError(t, err)
		assert.Assert(t, !n.IsPrimary && n.Configuration == nil)
	})
}

func TestFirstCallsShareRoundTripsThatBeganAfterThem(t *testing.T) {
	within(t, func(r *rig) {
		before := r.s.confirmCount()
		for _, node := range []string{"e1", "e2", "e3", "e4", "e5", "e6"} {
			r.join(roleGateway, node, func(p *process) { p.req.MembersVersion = math.MaxUint64 })
		}
		assert.Assert(t, r.s.confirmCount()-before <= 6)
		assert.Assert(t, r.s.confirmCount()-before >= 1)
	})
}

func TestACallIsHeldUntilThereIsNewsOrItsTimeIsOver(t *testing.T) {
	within(t, func(r *rig) {
		service := r.k.Sessions()
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

func TestHeldCallsAreGivenUpOutOfTouch(t *testing.T) {
	within(t, func(r *rig) {
		p := r.join(roleGateway, "e1", nil)
		r.s.set(func() { r.s.ok = false })
		synctest.Wait()
		assert.Equal(t, lost(p), 1)
		r.s.set(func() { r.s.ok, r.s.epoch = true, r.s.epoch+1<<12 })
		r.pass(200 * time.Millisecond)
		status(t, r.replace(0, 3), 200)
		assert.Equal(t, taken(p), 1)
		// Without a word from the store, the next tick finds out.
		r.s.mu.Lock()
		r.s.ok = false
		r.s.mu.Unlock()
		r.pass(250 * time.Millisecond)
		assert.Assert(t, lost(p) >= 2)
	})
}

func TestANewPrimaryShowsTheStateOnceItIsWrittenThrough(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		p := r.join(roleGateway, "e1", nil)
		before := p.has().ConfigurationVersion
		r.s.set(func() {
			r.s.epoch += 1 << 12
			r.s.unclear = func(map[string][]byte) (bool, bool) { return true, true }
			r.s.sequence++
			r.s.values[keyConfiguration], r.s.at[keyConfiguration] = configuration(9, "s"), r.s.sequence
		})
		r.pass(time.Second)
		assert.Equal(t, taken(p), 1)
		r.s.set(func() { r.s.unclear = nil })
		r.pass(time.Second)
		assert.Equal(t, taken(p), 2)
		assert.Assert(t, p.has().ConfigurationVersion > before)
		status(t, r.replace(3, 10), 412)
		status(t, r.replace(9, 10), 200)
	})
}

func TestTurnStoresMakeTheMap(t *testing.T) {
	within(t, func(r *rig) {
		first := r.join(roleTurnStore, "v1", nil)
		r.pass(time.Second)
		assert.Equal(t, len(r.turnStores().GetPartitions()), 0)
		r.join(roleTurnStore, "v2", nil)
		r.pass(200 * time.Millisecond)
		third := r.join(roleTurnStore, "v3", nil)
		r.pass(time.Second)
		v := r.turnStores()
		assert.Equal(t, len(v.Partitions), partitionCount)
		assert.Equal(t, len(v.StoreNodes), 3)
		assert.Equal(t, first.has().PartitionMapVersion, v.Version)
		r.pass(5 * time.Second)
		assert.Assert(t, r.turnStores() == v, "a map at rest was changed")

		// A restart within the time changes nothing.
		third.end()
		r.pass(450 * time.Millisecond)
		third = r.join(roleTurnStore, "v3", func(p *process) { p.req.Incarnation = "again" })
		r.pass(2 * time.Second)
		assert.Assert(t, r.turnStores() == v)

		// Silence does.
		third.end()
		r.pass(time.Second)
		for _, p := range r.turnStores().Partitions {
			assert.Assert(t, !slices.Contains(replicaFolders(p), "v3.1"))
		}

		// Back with another disk, it gets its share.
		r.join(roleTurnStore, "v3", func(p *process) { p.req.Folder, p.req.Incarnation = "v3.2", "third" })
		r.pass(20 * time.Second)
		load := map[string]int{}
		for _, p := range r.turnStores().Partitions {
			for _, folder := range replicaFolders(p) {
				load[folder]++
			}
			assert.Equal(t, len(p.Backups), 1)
		}
		assert.Assert(t, load["v3.2"] >= 21, "%v", load)

		// The old folder is dead for ever.
		old := r.join(roleTurnStore, "v3", func(p *process) { p.req.Incarnation = "old" })
		v = r.turnStores()
		r.pass(5 * time.Second)
		assert.Assert(t, r.turnStores() == v)
		old.end()
	})
}

func TestAfterATakeoverNoTurnStoreIsDeadBeforeItCouldCome(t *testing.T) {
	within(t, func(r *rig) {
		var all []*process
		for _, n := range []string{"v1", "v2", "v3"} {
			all = append(all, r.join(roleTurnStore, n, nil))
		}
		r.pass(2 * time.Second)
		v := r.turnStores()
		assert.Equal(t, len(v.Partitions), partitionCount)
		r.s.set(func() { r.s.ok = false })
		for _, p := range all {
			p.end()
		}
		r.pass(5 * time.Second)
		r.s.set(func() { r.s.ok, r.s.epoch = true, r.s.epoch+1<<12 })
		r.pass(time.Second)
		for _, n := range []string{"v1", "v2", "v3"} {
			r.join(roleTurnStore, n, nil)
		}
		r.pass(5 * time.Second)
		assert.Equal(t, r.turnStores().Version, v.Version)
	})
}

func TestStatus(t *testing.T) {
	within(t, func(r *rig) {
		status(t, r.replace(0, 3), 200)
		r.join(roleGateway, "e1", nil)
		r.join(roleTurnStore, "v1", nil)
		s, err := r.k.Sessions().Status(r.ctx, &tierv1.StatusRequest{})
		assert.NilError(t, err)
		assert.Assert(t, s.Primary)
		assert.Equal(t, s.Revision, int64(3))
		assert.Equal(t, len(s.Sessions), 2)
		assert.Equal(t, s.Sessions[0].Configuration, s.Configuration)
	})
}
