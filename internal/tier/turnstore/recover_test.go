package turnstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestRecovery_FromTwoReplicas(t *testing.T) { runRecovery(t, injection{}) }

// playRecovery: a primary that was a backup in an older epoch answers nothing before it has exchanged all facts with the copy that took
// what was acknowledged since, and before control knows that; then nothing that was acknowledged is missing.
func runRecovery(t reporter, p injection) {
	c, k := newPairWith(t, p)
	folder := func(name string) string { return c.nodes[name].turnstore.Folder() }
	assert.Equal(t, k.begin("a", ask("t1", "")), ok)
	assert.Equal(t, k.settle("a", "p", "t1", "", 5), ok)
	c.mu.Lock()
	c.nodes["b"].partitioned = true
	c.mu.Unlock()
	c.assign("a", "?c") // b is retained
	retained := []*tierv1.RetainedReplica{{Folder: folder("b"), Until: c.partitionMap.Version - 1}}
	for _, p := range c.partitionMap.Partitions {
		p.Retained = retained
	}
	c.publish("a", "c")
	assert.Equal(t, k.begin("a", ask("t2", "t1")), ok)
	assert.Equal(t, k.settle("a", "p", "t2", "t1", 5), ok)
	c.crash("a", true)
	c.mu.Lock()
	c.nodes["b"].partitioned = false
	c.nodes["c"].partitioned = true // b cannot reach it as yet
	c.mu.Unlock()
	c.assign("b", "?c")
	for _, p := range c.partitionMap.Partitions {
		p.Retained, p.RecoverFrom, p.AcknowledgedUntil = retained, []string{folder("c")}, p.Epoch-1
	}
	c.publish("b", "c")
	assert.Equal(t, k.begin("b", ask("t3", "t2")), tierv1.Verdict_BUSY)
	assert.Equal(t, k.begin("b", ask("t4", "nowhere")), tierv1.Verdict_BUSY)
	c.mu.Lock()
	c.nodes["c"].partitioned = false
	c.mu.Unlock()
	c.synced("b", parts)
	assert.Equal(t, k.begin("b", ask("t3", "t2")), tierv1.Verdict_BUSY) // until control knows
	next := &tierv1.PartitionMap{Version: c.partitionMap.Version + 1, StoreNodes: c.partitionMap.StoreNodes}
	for _, p := range c.partitionMap.Partitions {
		next.Partitions = append(next.Partitions, &tierv1.Partition{Epoch: p.Epoch, Primary: p.Primary,
			Backups: []*tierv1.Replica{{Folder: folder("c"), Synced: true}}})
	}
	c.partitionMap = next
	c.publish("b", "c")
	assert.Equal(t, k.begin("b", ask("t3", "t2")), ok)
	assert.Equal(t, k.begin("b", ask("t4", "nowhere")), tierv1.Verdict_UNKNOWN)
	for _, name := range []string{"b", "c"} {
		store := c.nodes[name].turnstore
		store.mu.Lock()
		for _, attempt := range []string{"t1", "t2"} {
			e := store.state.partition(0).entries[attempt]
			assert.Check(t, e != nil && e.turn != nil, "%s lacks %s", name, attempt)
		}
		store.mu.Unlock()
	}
}

// A turn store keeps a copy that the map retains, and drops one that it doesn't.
func TestRetainedReplicas_AreNotDropped(t *testing.T) { runRetained(t, injection{}) }

func runRetained(t reporter, planted injection) {
	for _, retained := range []bool{true, false} {
		c, k := newPairWith(t, planted)
		assert.Equal(t, k.begin("a", ask("t1", "")), ok)
		assert.Equal(t, k.settle("a", "p", "t1", "", 5), ok)
		c.assign("a", "?c")
		for _, p := range c.partitionMap.Partitions {
			if retained {
				p.Retained = []*tierv1.RetainedReplica{{Folder: c.nodes["b"].turnstore.Folder(), Until: p.Epoch - 1}}
			}
		}
		c.publish()
		store := c.nodes["b"].turnstore
		c.advance(store.cfg.UnassignedRetention + time.Second)
		for range 8 {
			store.RemoveExpired(c.now())
		}
		store.mu.Lock()
		kept := store.state.partition(0).entries["t1"] != nil
		store.mu.Unlock()
		assert.Equal(t, kept, retained, "whether a copy is kept")
	}
}
