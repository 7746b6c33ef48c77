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

// reportsDiskFault reports whether a turn store tells the control plane that its disk is not sound. It reports no replicas then.
func reportsDiskFault(t reporter, v *TurnStore) bool {
	unsound := v.DiskState() != tierv1.DiskState_DISK_SOUND
	if reports, _ := v.SyncedReplicas(); unsound {
		assert.Equal(t, len(reports), 0)
	}
	return unsound
}

// A state is reported by its name, and a change of it closes the channel of SyncedReplicas.
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
		assert.Equal(t, k.begin("a", ask("t1", "")), busy)
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

// replaceFailedDisks does what the control plane does for turn stores whose disk fails: others take their places. Then the disk is sound again,
// and the turn store is the one to spare.
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
		c.synced(s.primary, partitionCount)
		c.assign(s.primary, s.backup)
		c.publish()
		n.disk.Recover()
		n.turnstore.CheckDisk(c.now())
		assert.Assert(c.t, !reportsDiskFault(c.t, n.turnstore))
		assert.Assert(c.t, !n.turnstore.commit.broken())
	}
}

// A disk that is full from an operation on, or fails once at it, is a state of the process: it hands its places over, and
// is of use again when there is room, without a restart. Nothing acknowledged is lost, also when the others are lost then.
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
					s.cluster.nodes[victim].disk.Recover() // where its place was not reached
					s.replaceFailedDisks()
					// The spare one, back from its fault, takes the backup's place by synchronization, and then the primary's.
					s.cluster.assign(s.primary, "?"+s.spare)
					s.cluster.publish()
					s.cluster.synced(s.primary, partitionCount)
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

// The last replica of a partition goes on as its primary when there is room again, in the same epoch.
func TestDiskState_FullDiskOfLastReplica(t *testing.T) {
	for at := 1; at <= 6; at++ {
		c, k := newPair(t)
		k.mustStore("a", "t1", "")
		c.assign("a")
		c.publish()
		a := c.nodes["a"]
		a.disk.FailFrom(at, syscall.ENOSPC)
		for i := 0; !a.turnstore.commit.broken(); i++ {
			k.begin("a", ask(name(10+i), "t1"))
		}
		a.turnstore.CheckDisk(c.now())
		assert.Assert(t, reportsDiskFault(t, a.turnstore))
		a.turnstore.CheckDisk(c.now()) // still no room
		assert.Assert(t, reportsDiskFault(t, a.turnstore))
		assert.Equal(t, k.begin("a", ask("t2", "t1")), busy)
		assert.Equal(t, k.settle("a", "p", "t2", "t1", 1), busy)
		a.disk.Recover()
		a.turnstore.CheckDisk(c.now())
		assert.Assert(t, !reportsDiskFault(t, a.turnstore))
		assert.Equal(t, k.begin("a", ask("t2", "t1")), ok)
		assert.Equal(t, k.settle("a", "p", "t2", "t1", 1), ok)
		c.crash("a", false)
		c.restart("a")
		assert.Equal(t, k.beginUntilCertain("a", ask("t3", "t2")), ok)
	}
}

func TestDiskState_FailedSync(t *testing.T) {
	for _, victim := range []string{"a", "b"} {
		c, k := newPair(t)
		k.mustStore("a", "t1", "")
		c.nodes[victim].disk.DieAt(2)
		assert.Equal(t, k.begin("a", ask("t2", "t1")), busy, victim)
		v := c.nodes[victim].turnstore
		for range 3 { // it stays up, and tells that its disk fails until that is sound
			v.CheckDisk(c.now())
			assert.Equal(t, v.DiskState(), tierv1.DiskState_DISK_FAILING, victim)
			reports, _ := v.SyncedReplicas()
			assert.Equal(t, len(reports), 0, victim)
			assert.ErrorContains(t, v.Reopen(c.now()), "dead")
			assert.Equal(t, k.begin("a", ask("t2", "t1")), busy, victim)
		}
	}
}

// awaitUnstuck waits until a turn store counts no write as under way: that is a step of its committer after the write is done.
func awaitUnstuck(t *testing.T, store *TurnStore) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for store.commit.writing(store.cfg.Now()) > 0 {
		assert.Assert(t, time.Now().Before(deadline), "the write has returned and counts as stuck")
		runtime.Gosched()
	}
}

// A sync that does not return is reported after a while, and no more when it has.
func TestDiskState_StuckSync(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	a := c.nodes["a"]
	release := a.disk.StallSync()
	assert.Equal(t, k.begin("a", ask("t2", "t1")), busy)
	a.turnstore.CheckDisk(c.now())
	assert.Assert(t, !reportsDiskFault(t, a.turnstore))
	c.advance(3 * time.Second)
	a.turnstore.CheckDisk(c.now())
	assert.Assert(t, reportsDiskFault(t, a.turnstore))
	assert.Equal(t, a.turnstore.DiskState(), tierv1.DiskState_DISK_STUCK)
	assert.ErrorContains(t, a.turnstore.Reopen(c.now()), "under way")
	assert.Equal(t, k.begin("a", ask("t3", "t1")), busy)
	release()
	<-a.turnstore.commit.add().done
	awaitUnstuck(t, a.turnstore)
	assert.Equal(t, k.beginUntilCertain("a", ask("t2", "t1")), ok)
	a.turnstore.CheckDisk(c.now())
	assert.Assert(t, !reportsDiskFault(t, a.turnstore))
}
