package turnstore

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// reportsDiskFault reports whether a turn store reports its disk as not sound. It checks that the turn store then reports no replica
// as synced.
func reportsDiskFault(t reporter, v *TurnStore) bool {
	unsound := v.DiskState() != tierv1.DiskState_DISK_SOUND
	if reports, _ := v.SyncedReplicas(); unsound {
		assert.Equal(t, len(reports), 0)
	}
	return unsound
}

// The state of the disk depends on the cause of a failure, and a change of the state closes the channel of SyncedReplicas.
func TestDiskState_ReportsCause(t *testing.T) {
	for _, failure := range []struct {
		cause error
		state tierv1.DiskState
	}{
		{syscall.ENOSPC, tierv1.DiskState_DISK_FULL},
		{syscall.EDQUOT, tierv1.DiskState_DISK_FULL},
		{syscall.EIO, tierv1.DiskState_DISK_FAILING},
	} {
		c, k := newPair(t)
		a := c.nodes["a"].turnstore
		assert.Equal(t, a.DiskState(), tierv1.DiskState_DISK_SOUND)
		_, changed := a.SyncedReplicas()
		c.nodes["a"].disk.FailFrom(1, failure.cause)
		assert.Equal(t, k.begin("a", beginRequest("t1", "")), busy)
		a.CheckDisk(c.now())
		assert.Equal(t, a.DiskState(), failure.state)
		<-changed
		_, changed = a.SyncedReplicas()
		c.nodes["a"].disk.Recover()
		a.CheckDisk(c.now())
		assert.Equal(t, a.DiskState(), tierv1.DiskState_DISK_SOUND)
		<-changed
	}
}

// replaceFailedDisks acts as the control plane for turn stores whose disk fails: others replace them. Then the disk recovers, and the
// turn store becomes the spare one.
func (s *script) replaceFailedDisks() {
	c := s.cluster
	for _, name := range []string{s.primary, s.backup} {
		n := c.nodes[name]
		if !n.turnstore.commit.broken() {
			continue
		}
		n.turnstore.CheckDisk(c.now())
		assert.Assert(c.t, reportsDiskFault(c.t, n.turnstore))
		if name == s.primary {
			s.primary, s.backup, s.spare = s.backup, s.spare, name
		} else {
			s.backup, s.spare = s.spare, name
		}
		c.assign(s.primary, "?"+s.backup)
		c.publish()
		c.awaitSynced(s.primary, partitionCount)
		c.assign(s.primary, s.backup)
		c.publish()
		n.disk.Recover()
		n.turnstore.CheckDisk(c.now())
		assert.Assert(c.t, !reportsDiskFault(c.t, n.turnstore))
		assert.Assert(c.t, !n.turnstore.commit.broken())
	}
}

// A disk is full from an operation on, or fails once at it. Its turn store must hand its roles over, and be usable again after the
// disk recovers, without a restart. Nothing acknowledged may be lost, even if the other replicas are lost afterwards.
func TestDiskState_FaultAtEachOperation(t *testing.T) {
	for _, full := range []bool{true, false} {
		for _, victim := range []string{"a", "b"} {
			for at := 1; at <= 14; at++ {
				t.Run(fmt.Sprintf("full=%v/%s/%d", full, victim, at), func(t *testing.T) {
					t.Parallel()
					s := newScript(t, false)
					s.repairDisks = s.replaceFailedDisks
					if disk := s.cluster.nodes[victim].disk; full {
						disk.FailFrom(at, syscall.ENOSPC)
					} else {
						disk.FailAt(at, syscall.EIO)
					}
					s.storeThreeTurns()
					s.cluster.nodes[victim].disk.Recover() // if the failing operation was not reached
					s.replaceFailedDisks()
					// The recovered spare turn store replaces the backup by synchronization, and then the primary.
					s.cluster.assign(s.primary, "?"+s.spare)
					s.cluster.publish()
					s.cluster.awaitSynced(s.primary, partitionCount)
					s.cluster.assign(s.primary, s.spare)
					s.cluster.publish()
					s.backup, s.spare = s.spare, s.backup
					s.repairDisks = nil
					s.verify()
				})
			}
		}
	}
}

// The last replica of a partition continues as its primary in the same epoch when its disk has space again.
func TestDiskState_FullDiskOfLastReplica(t *testing.T) {
	for at := 1; at <= 6; at++ {
		c, k := newPair(t)
		k.mustStore("a", "t1", "")
		c.assign("a")
		c.publish()
		a := c.nodes["a"]
		a.disk.FailFrom(at, syscall.ENOSPC)
		for i := 0; !a.turnstore.commit.broken(); i++ {
			k.begin("a", beginRequest(attemptName(10+i), "t1"))
		}
		a.turnstore.CheckDisk(c.now())
		assert.Assert(t, reportsDiskFault(t, a.turnstore))
		a.turnstore.CheckDisk(c.now()) // the disk is still full
		assert.Assert(t, reportsDiskFault(t, a.turnstore))
		assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), busy)
		assert.Equal(t, k.settle("a", "p", "t2", "t1", 1), busy)
		a.disk.Recover()
		a.turnstore.CheckDisk(c.now())
		assert.Assert(t, !reportsDiskFault(t, a.turnstore))
		assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), ok)
		assert.Equal(t, k.settle("a", "p", "t2", "t1", 1), ok)
		c.crash("a", false)
		c.restart("a")
		assert.Equal(t, k.beginUntilNotBusy("a", beginRequest("t3", "t2")), ok)
	}
}

func TestDiskState_FailedSync(t *testing.T) {
	for _, victim := range []string{"a", "b"} {
		c, k := newPair(t)
		k.mustStore("a", "t1", "")
		c.nodes[victim].disk.DieAt(2)
		assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), busy, victim)
		v := c.nodes[victim].turnstore
		for range 3 { // the process continues, and reports a failing disk until the disk recovers
			v.CheckDisk(c.now())
			assert.Equal(t, v.DiskState(), tierv1.DiskState_DISK_FAILING, victim)
			reports, _ := v.SyncedReplicas()
			assert.Equal(t, len(reports), 0, victim)
			assert.ErrorContains(t, v.Reopen(c.now()), "dead")
			assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), busy, victim)
		}
	}
}

// awaitUnstuck waits until a turn store counts no write as in progress. Its committer records that after the write is done.
func awaitUnstuck(t *testing.T, store *TurnStore) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for store.commit.writeDuration(store.cfg.Now()) > 0 {
		assert.Assert(t, time.Now().Before(deadline), "the write has returned but still counts as in progress")
		runtime.Gosched()
	}
}

// A sync that does not return is reported as stuck after WriteTimeout, until it returns.
func TestDiskState_StuckSync(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	a := c.nodes["a"]
	release := a.disk.StallSync()
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), busy)
	a.turnstore.CheckDisk(c.now())
	assert.Assert(t, !reportsDiskFault(t, a.turnstore))
	c.advance(3 * time.Second)
	a.turnstore.CheckDisk(c.now())
	assert.Assert(t, reportsDiskFault(t, a.turnstore))
	assert.Equal(t, a.turnstore.DiskState(), tierv1.DiskState_DISK_STUCK)
	assert.ErrorContains(t, a.turnstore.Reopen(c.now()), "under way")
	assert.Equal(t, k.begin("a", beginRequest("t3", "t1")), busy)
	release()
	<-a.turnstore.commit.add().done
	awaitUnstuck(t, a.turnstore)
	assert.Equal(t, k.beginUntilNotBusy("a", beginRequest("t2", "t1")), ok)
	a.turnstore.CheckDisk(c.now())
	assert.Assert(t, !reportsDiskFault(t, a.turnstore))
}
