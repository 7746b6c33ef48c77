package turnstore

import (
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestTurnStore_Metrics(t *testing.T) {
	c, k := newPair(t)
	empty := c.nodes["a"].turnstore.Metrics()
	assert.Equal(t, empty.Entries, 0)
	k.mustStore("a", "t1", "")
	k.mustStore("a", "t2", "t1")
	primary, backup := c.nodes["a"].turnstore.Metrics(), c.nodes["b"].turnstore.Metrics()
	assert.Equal(t, primary.Primaries, partitionCount)
	assert.Equal(t, primary.Backups, 0)
	assert.Equal(t, backup.Primaries, 0)
	assert.Equal(t, backup.Backups, partitionCount)
	assert.Equal(t, primary.Entries, 2)
	assert.Equal(t, backup.Entries, 2)
	assert.Assert(t, primary.Memory > empty.Memory)
	assert.Equal(t, primary.MapVersion, c.partitionMap.Version)
	assert.Equal(t, primary.Disk, tierv1.DiskState_DISK_SOUND)
	c.nodes["a"].disk.FailFrom(1, syscall.ENOSPC)
	assert.Equal(t, k.begin("a", beginRequest("t3", "t2")), busy)
	c.nodes["a"].turnstore.CheckDisk(c.now())
	assert.Equal(t, c.nodes["a"].turnstore.Metrics().Disk, tierv1.DiskState_DISK_FULL)
}
