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
	withHarnessOf(t, set, nil, func(h *harness) {
		for _, node := range []string{"e1", "e2"} {
			h.join(roleGateway, node, nil)
		}
		stores := map[string]*testProcess{}
		for _, node := range []string{"v1", "v2"} {
			stores[node] = h.join(roleTurnStore, node, nil)
		}
		h.advance(3 * time.Second)
		figures := h.plane.Metrics()
		assert.Equal(t, figures.Epoch, h.store.View().Epoch)
		assert.Equal(t, figures.Disk, tierv1.DiskState_DISK_SOUND)
		assert.Equal(t, figures.Primary.Gateways, 2)
		assert.Equal(t, figures.Primary.TurnStores, 2)
		assert.Equal(t, figures.Primary.UnhealthyStores, 0)
		assert.Equal(t, figures.Primary.PartitionsAtRisk, 0)
		assert.Equal(t, figures.Primary.LossesToTolerate, 1)
		assert.Equal(t, figures.Primary.PartitionLossesTolerated, 1)
		assert.Equal(t, figures.Primary.UntilTolerated, time.Duration(0))

		stores["v1"].setDisk(tierv1.DiskState_DISK_FULL) // no other turn store can take its replicas
		h.advance(time.Second)
		risk := h.plane.Metrics().Primary
		assert.Equal(t, risk.TurnStores, 2)
		assert.Equal(t, risk.UnhealthyStores, 1)
		assert.Equal(t, risk.PartitionsAtRisk, partitionCount)
		assert.Equal(t, risk.PartitionLossesTolerated, 0)
		assert.Assert(t, risk.UntilTolerated > 2*time.Second && risk.UntilTolerated <= set.SyncTime, "%v", risk.UntilTolerated)
		h.advance(5 * time.Second)
		assert.Assert(t, h.plane.Metrics().Primary.UntilTolerated < 0) // overdue

		stores["v2"].stop()
		h.advance(time.Second)
		assert.Equal(t, h.plane.Metrics().Primary.TurnStores, 1)
		h.store.set(func() { h.store.primary = false })
		h.advance(time.Second)
		assert.Assert(t, h.plane.Metrics().Primary == nil)
	})
}

func TestDiskState_ByError(t *testing.T) {
	assert.Equal(t, diskState(nil), tierv1.DiskState_DISK_SOUND)
	assert.Equal(t, diskState(wal.IO.Wrap(syscall.ENOSPC, "write")), tierv1.DiskState_DISK_FULL)
	assert.Equal(t, diskState(wal.IO.Wrap(syscall.EIO, "write")), tierv1.DiskState_DISK_FAILING)
	assert.Equal(t, diskState(errors.New("else")), tierv1.DiskState_DISK_FAILING)
}
