package turnstore

import (
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// What was answered BUSY because its sync failed is not there after the tail was read again, unless the disk has it; and what
// the file system shows of it only in memory is not called synced.
func TestReopen_RereadsTailAfterFailedSync(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	b := c.nodes["b"]
	b.disk.FailAt(2, syscall.EIO) // the sync of its replica
	assert.Equal(t, k.begin("a", ask("t2", "t1")), busy)
	b.turnstore.CheckDisk(c.now())
	b.turnstore.CheckDisk(c.now())
	assert.Assert(t, !reportsDiskFault(t, b.turnstore))
	assert.Equal(t, k.beginUntilCertain("a", ask("t2", "t1")), ok) // the batch is sent again
	c.crash("a", true)
	c.crash("b", false)
	c.restart("b")
	c.assign("b")
	c.publish("b")
	assert.Equal(t, k.settle("b", "p", "t2", "t1", 20), ok)
	r := ask("t3", "t2")
	r.MaxTokens = 71 // 10 and 20 are charged
	assert.Equal(t, k.beginUntilCertain("b", r), spent)
}

// A recovery that completes while the logs are reopened reads the committer that Reopen replaces; the race detector watches.
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
