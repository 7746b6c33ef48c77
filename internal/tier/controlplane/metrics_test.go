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
	set := testSettings()
	set.SyncTime = 4 * time.Second
	withHarnessOf(t, set, nil, func(r *harness) {
		for _, node := range []string{"e1", "e2"} {
			r.join(roleGateway, node, nil)
		}
		stores := map[string]*testProcess{}
		for _, node := range []string{"v1", "v2"} {
			stores[node] = r.join(roleTurnStore, node, nil)
		}
		r.advance(3 * time.Second)
		figures := r.plane.Metrics()
		assert.Equal(t, figures.Epoch, r.store.View().Epoch)
		assert.Equal(t, figures.Disk, tierv1.DiskState_DISK_SOUND)
		assert.Equal(t, figures.Primary.Gateways, 2)
		assert.Equal(t, figures.Primary.TurnStores, 2)
		assert.Equal(t, figures.Primary.UnhealthyStores, 0)
		assert.Equal(t, figures.Primary.PartitionsAtRisk, 0)
		assert.Equal(t, figures.Primary.LossesToTolerate, 1)
		assert.Equal(t, figures.Primary.PartitionLossesTolerated, 1)
		assert.Equal(t, figures.Primary.UntilTolerated, time.Duration(0))

		stores["v1"].setDisk(tierv1.DiskState_DISK_FULL) // nobody else can take its replicas
		r.advance(time.Second)
		risk := r.plane.Metrics().Primary
		assert.Equal(t, risk.TurnStores, 2)
		assert.Equal(t, risk.UnhealthyStores, 1)
		assert.Equal(t, risk.PartitionsAtRisk, partitionCount)
		assert.Equal(t, risk.PartitionLossesTolerated, 0)
		assert.Assert(t, risk.UntilTolerated > 2*time.Second && risk.UntilTolerated <= set.SyncTime, "%v", risk.UntilTolerated)
		r.advance(5 * time.Second)
		assert.Assert(t, r.plane.Metrics().Primary.UntilTolerated < 0) // overdue

		stores["v2"].stop()
		r.advance(time.Second)
		assert.Equal(t, r.plane.Metrics().Primary.TurnStores, 1)
		r.store.set(func() { r.store.primary = false })
		r.advance(time.Second)
		assert.Assert(t, r.plane.Metrics().Primary == nil)
	})
}

func TestDiskState_ByError(t *testing.T) {
	assert.Equal(t, diskState(nil), tierv1.DiskState_DISK_SOUND)
	assert.Equal(t, diskState(wal.IO.Wrap(syscall.ENOSPC, "write")), tierv1.DiskState_DISK_FULL)
	assert.Equal(t, diskState(wal.IO.Wrap(syscall.EIO, "write")), tierv1.DiskState_DISK_FAILING)
	assert.Equal(t, diskState(errors.New("else")), tierv1.DiskState_DISK_FAILING)
}
