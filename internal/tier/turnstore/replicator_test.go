package turnstore

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Neither a reservation nor a settlement may be acknowledged before every backup, synced or not, has acknowledged it.
func TestReplication_AcknowledgedByEachBackup(t *testing.T) {
	for _, backups := range [][]string{{"b", "c"}, {"b", "?c"}, {"?c", "b"}} {
		c := newCluster(t, "a", "b", "c")
		c.assign("a", backups...)
		c.publish()
		k := newChecker(c)
		k.mustStore("a", "t1", "")
		assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), ok)
		c.mu.Lock()
		c.nodes["c"].partitioned = true
		c.mu.Unlock()
		assert.Equal(t, k.settle("a", "p", "t2", "t1", 20), busy)
		assert.Equal(t, k.begin("a", beginRequest("t3", "t1")), busy)
		c.mu.Lock()
		c.nodes["c"].partitioned = false
		c.mu.Unlock()
		assert.Equal(t, k.beginUntilNotBusy("a", beginRequest("t3", "t1")), ok)
		for k.settle("a", "p", "t2", "t1", 20) != ok {
		}
	}
}
