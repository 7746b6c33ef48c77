package turnstore

import (
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// After a failed sync, Reopen reads the tail again. Facts that are not on the disk must be dropped, and facts that are only in the
// page cache must not count as synced.
func TestReopen_RereadsTailAfterFailedSync(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	b := c.nodes["b"]
	b.disk.FailAt(2, syscall.EIO) // the sync of its replica
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), busy)
	b.turnstore.CheckDisk(c.now())
	b.turnstore.CheckDisk(c.now())
	assert.Assert(t, !reportsDiskFault(t, b.turnstore))
	assert.Equal(t, k.beginUntilNotBusy("a", beginRequest("t2", "t1")), ok) // the batch is sent again
	c.crash("a", true)
	c.crash("b", false)
	c.restart("b")
	c.assign("b")
	c.publish("b")
	assert.Equal(t, k.settle("b", "p", "t2", "t1", 20), ok)
	r := beginRequest("t3", "t2")
	r.MaxTokens = 71 // 10 and 20 are charged
	assert.Equal(t, k.beginUntilNotBusy("b", r), spent)
}

// A recovery that completes while the logs are reopened reads the committer that Reopen replaces. Under the race detector, the test
// fails if that access is not synchronized.
func TestReopen_BesideFinishedRecovery(t *testing.T) {
	c, _ := newPair(t)
	store := c.nodes["a"].turnstore
	r := &replicator{store: store, term: &term{ended: true}}
	stop, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(finished)
		for {
			select {
			case <-stop:
				return
			default:
				r.finishRecovery()
			}
		}
	}()
	for range 20 {
		assert.NilError(t, store.Reopen(c.now()))
	}
	close(stop)
	<-finished
}
