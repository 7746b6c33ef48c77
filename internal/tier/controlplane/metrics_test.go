package controlplane

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestMetrics(t *testing.T) {
	set := site()
	set.SyncTime = 4 * time.Second
	withinSite(t, set, nil, func(r *rig) {
		for _, node := range []string{"e1", "e2"} {
			r.join(roleGateway, node, nil)
		}
		stores := map[string]*process{}
		for _, node := range []string{"v1", "v2"} {
			stores[node] = r.join(roleTurnStore, node, nil)
		}
		r.pass(3 * time.Second)
		figures := r.k.Metrics()
		assert.Equal(t, figures.Epoch, r.s.View().Epoch)
		assert.Equal(t, figures.Disk, tierv1.DiskState_DISK_SOUND)
		assert.Equal(t, figures.Primary.Gateways, 2)
		assert.Equal(t, figures.Primary.TurnStores, 2)
		assert.Equal(t, figures.Primary.UnsoundStores, 0)
		assert.Equal(t, figures.Primary.PartitionsAtRisk, 0)
		assert.Equal(t, figures.Primary.Losses, 1)
		assert.Equal(t, figures.Primary.PartitionsBear, 1)
		assert.Equal(t, figures.Primary.Until, time.Duration(0))

		stores["v1"].tells(tierv1.DiskState_DISK_FULL) // nobody else can take its copies
		r.pass(time.Second)
		risk := r.k.Metrics().Primary
		assert.Equal(t, risk.TurnStores, 2)
		assert.Equal(t, risk.UnsoundStores, 1)
		assert.Equal(t, risk.PartitionsAtRisk, partitionCount)
		assert.Equal(t, risk.PartitionsBear, 0)
		assert.Assert(t, risk.Until > 2*time.Second && risk.Until <= set.SyncTime, "%v", risk.Until)
		r.pass(5 * time.Second)
		assert.Assert(t, r.k.Metrics().Primary.Until < 0) // overdue

		stores["v2"].end()
		r.pass(time.Second)
		assert.Equal(t, r.k.Metrics().Primary.TurnStores, 1)
		r.s.set(func() { r.s.ok = false })
		r.pass(time.Second)
		assert.Assert(t, r.k.Metrics().Primary == nil)
	})
}

func TestDiskStateOfAFailure(t *testing.T) {
	assert.Equal(t, diskState(nil), tierv1.DiskState_DISK_SOUND)
	assert.Equal(t, diskState(wal.IO.Wrap(syscall.ENOSPC, "write")), tierv1.DiskState_DISK_FULL)
	assert.Equal(t, diskState(wal.IO.Wrap(syscall.EIO, "write")), tierv1.DiskState_DISK_FAILING)
	assert.Equal(t, diskState(errors.New("else")), tierv1.DiskState_DISK_FAILING)
}
