package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TestTurnStore_HundredsOfPartitionMaps moves two partitions around three turn stores, with turns in between. The one without a
// replica is restarted, misses many maps, or loses its disk.
func TestTurnStore_HundredsOfPartitionMaps(t *testing.T) {
	const changes = 300
	c, k := newPair(t)
	previous := ""
	for i := range changes {
		primary, backup, spare := c.names[i%3], c.names[(i+1)%3], c.names[(i+2)%3]
		if i%5 == 0 {
			r := beginRequest(attemptName(i), previous)
			r.Budget = 10_000
			assert.Equal(t, k.beginUntilNotBusy(primary, r), ok, "change %d", i)
			assert.Equal(t, k.settle(primary, "p", attemptName(i), previous, 1), ok, "change %d", i)
			previous = attemptName(i)
		}
		switch i % 20 {
		case 3:
			c.crash(spare, false)
			c.restart(spare)
		case 11:
			c.crash(spare, true)
			c.restart(spare)
		case 17: // it misses 10 maps and continues with its old state
			for range 10 {
				c.assign(primary, backup)
				c.publish(primary, backup)
			}
		}
		c.assign(primary, backup, "?"+spare)
		c.publish()
		c.awaitSynced(primary, partitionCount)
		c.assign(backup, spare)
		c.publish()
	}
	r := beginRequest("last", previous)
	r.Budget, r.MaxTokens = 10_000, 10_000-changes/5+1
	assert.Equal(t, k.beginUntilNotBusy(c.names[changes%3], r), spent)
	r.MaxTokens--
	assert.Equal(t, k.beginUntilNotBusy(c.names[changes%3], r), ok)
}

func TestTurnStore_BeforeFirstPartitionMap(t *testing.T) {
	c := newCluster(t, "a")
	v := c.nodes["a"].turnstore
	assert.Assert(t, v.WasEmpty())
	assert.Equal(t, newChecker(c).begin("a", beginRequest("t", "")), busy)
	r, err := v.Replicate(c.ctx, &tierv1.ReplicateRequest{Epoch: 5, From: "x"})
	assert.NilError(t, err)
	assert.Assert(t, !r.Acknowledged && !r.Stale)
	folder := v.Folder()
	c.crash("a", false)
	c.restart("a")
	assert.Equal(t, c.nodes["a"].turnstore.Folder(), folder)
	assert.Assert(t, !c.nodes["a"].turnstore.WasEmpty())
	c.crash("a", true)
	c.restart("a")
	assert.Assert(t, c.nodes["a"].turnstore.Folder() != folder)
}
