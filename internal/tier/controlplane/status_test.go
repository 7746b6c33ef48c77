package controlplane

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestStatus_Risk(t *testing.T) {
	set := testSettings()
	set.SyncTime = 4 * time.Second
	withHarnessOf(t, set, nil, func(h *harness) {
		risk := func() *tierv1.Risk {
			s, err := h.plane.Sessions().Status(h.ctx, &tierv1.StatusRequest{})
			assert.NilError(t, err)
			return s.Risk
		}
		stores := map[string]*testProcess{}
		for _, node := range []string{"v1", "v2"} {
			stores[node] = h.join(roleTurnStore, node, nil)
		}
		h.advance(3 * time.Second)
		assert.Equal(t, risk().Partitions, uint32(0))
		assert.Equal(t, risk().PartitionsBorne, int32(1))
		assert.Equal(t, risk().Losses, uint32(1))
		stores["v1"].stop() // no other turn store can take its replicas
		h.advance(time.Second)
		at := risk()
		assert.Equal(t, at.Partitions, uint32(partitionCount))
		assert.Equal(t, at.PartitionsBorne, int32(0))
		assert.Assert(t, at.PartitionsForMs > 0 && at.PartitionsForMs <= 1000, "%v", at)
		assert.Equal(t, at.PartitionsForMs+at.PartitionsUntilMs, int64(4000))
		h.advance(5 * time.Second)
		assert.Assert(t, risk().PartitionsUntilMs < 0) // overdue
		h.join(roleTurnStore, "v3", nil)
		h.advance(8 * time.Second)
		assert.Equal(t, risk().Partitions, uint32(0))
		assert.Equal(t, risk().PartitionsForMs, int64(0))
	})
}

// A turn store whose disk is not sound counts as lost for as long as it reports so, and the status shows the state of the disk.
func TestStatus_StoreWithUnsoundDiskCountsAsLost(t *testing.T) {
	for _, state := range []tierv1.DiskState{tierv1.DiskState_DISK_FULL, tierv1.DiskState_DISK_FAILING, tierv1.DiskState_DISK_STUCK,
		tierv1.DiskState_DISK_STUCK + 100} { // the last is one of a later version
		set := testSettings()
		set.SyncTime = 4 * time.Second
		withHarnessOf(t, set, nil, func(h *harness) {
			status := func() *tierv1.StatusReply {
				s, err := h.plane.Sessions().Status(h.ctx, &tierv1.StatusRequest{})
				assert.NilError(t, err)
				return s
			}
			stores := map[string]*testProcess{}
			for _, node := range []string{"v1", "v2"} {
				stores[node] = h.join(roleTurnStore, node, func(p *testProcess) { p.request.Disk = tierv1.DiskState_DISK_SOUND })
			}
			h.advance(3 * time.Second)
			assert.Equal(t, status().Risk.PartitionsBorne, int32(1))
			stores["v1"].setDisk(state) // no other turn store can take its replicas
			h.advance(time.Second)
			now := status()
			assert.Equal(t, now.Risk.PartitionsBorne, int32(0))
			assert.Equal(t, now.Risk.Partitions, uint32(partitionCount))
			assert.Assert(t, now.Risk.PartitionsForMs > 0, "%v", now.Risk)
			assert.Equal(t, now.Sessions[0].Node, "v1")
			assert.Equal(t, now.Sessions[0].Disk, state)
			assert.Equal(t, now.Sessions[0].SilentMs, int64(0))
			for _, p := range now.PartitionMap.Partitions {
				assert.Equal(t, p.Primary, "v2.1")
				assert.Equal(t, len(p.Backups), 0) // a turn store that confirms no writes is not waited for
			}
			stores["v1"].setDisk(tierv1.DiskState_DISK_SOUND)
			h.advance(8 * time.Second)
			assert.Equal(t, status().Risk.PartitionsBorne, int32(1))
		})
	}
}

// A process of a version without the field disk lists its own folder among the synced replicas instead.
func TestStatus_UnsoundDiskOfOlderVersion(t *testing.T) {
	own := &tierv1.SyncedReplica{Folder: "v1.1"}
	other := &tierv1.SyncedReplica{Folder: "v2.1", Partition: 3, Epoch: 1}
	for _, test := range []struct {
		req  *tierv1.WatchRequest
		want tierv1.DiskState
	}{
		{&tierv1.WatchRequest{Folder: "v1.1"}, tierv1.DiskState_DISK_UNSPECIFIED},
		{&tierv1.WatchRequest{Folder: "v1.1", Synced: []*tierv1.SyncedReplica{other}}, tierv1.DiskState_DISK_UNSPECIFIED},
		{&tierv1.WatchRequest{Folder: "v1.1", Synced: []*tierv1.SyncedReplica{own}}, tierv1.DiskState_DISK_FAILING},
		{&tierv1.WatchRequest{Folder: "v1.1", Disk: tierv1.DiskState_DISK_FULL}, tierv1.DiskState_DISK_FULL},
	} {
		assert.Equal(t, diskOf(test.req), test.want, "%v", test.req)
	}
	r := newRegistry(time.Second)
	now := time.Now()
	for _, test := range []struct {
		synced []*tierv1.SyncedReplica
		alive  bool
	}{{nil, true}, {[]*tierv1.SyncedReplica{own}, false}, {[]*tierv1.SyncedReplica{other}, true}} {
		r.beginCall(now, &tierv1.WatchRequest{Role: roleTurnStore, Node: "v1", Folder: "v1.1", Incarnation: "1", Synced: test.synced})
		alive, _, reports := r.storeNodes(now)
		assert.Equal(t, alive["v1.1"] != nil, test.alive)
		assert.Assert(t, test.alive || len(reports) == 0, "%v", reports)
	}
}

// With the real consensus, Status shows whether another loss of a core machine is tolerated.
func TestStatus_LostCoreMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := &cluster{}
		c.setUp(ctx, t, 1, 3)
		c.replaceConfiguration(0, 3, c.machines...)
		<-time.After(2 * time.Second)
		leader := c.leader()
		status := func() *tierv1.StatusReply {
			s, err := leader.plane.Sessions().Status(ctx, &tierv1.StatusRequest{})
			assert.NilError(t, err)
			return s
		}
		assert.Equal(t, status().Risk.ControlBorne, int32(1))
		assert.Equal(t, status().Orders, uint32(1))
		assert.Equal(t, status().DiskError, "")
		for _, m := range c.machines {
			if m != leader {
				c.stop(m, true)
				break
			}
		}
		<-time.After(2 * time.Second)
		assert.Equal(t, status().Risk.ControlBorne, int32(0))
		assert.Equal(t, len(status().Risk.ControlAbsent), 1)
		c.stopAll()
		cancel()
		synctest.Wait()
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
