package turnstore

import (
	"fmt"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TestTurnStore_HundredsOfPartitionMaps hands two partitions round three turn stores, with turns in between; the one that has no copy for now is
// restarted, frozen over many maps, or comes back with an empty disk.
func TestTurnStore_HundredsOfPartitionMaps(t *testing.T) {
	const changes = 300
	c, k := newPair(t)
	previous := ""
	for i := range changes {
		primary, backup, spare := c.names[i%3], c.names[(i+1)%3], c.names[(i+2)%3]
		if i%5 == 0 {
			r := ask(name(i), previous)
			r.Budget = 10_000
			assert.Equal(t, k.beginUntilCertain(primary, r), ok, "change %d", i)
			assert.Equal(t, k.settle(primary, "p", name(i), previous, 1), ok, "change %d", i)
			previous = name(i)
		}
		switch i % 20 {
		case 3:
			c.crash(spare, false)
			c.restart(spare)
		case 11:
			c.crash(spare, true)
			c.restart(spare)
		case 17: // it hears of no map, and comes back with what it knew
			for range 10 {
				c.assign(primary, backup)
				c.publish(primary, backup)
			}
		}
		c.assign(primary, backup, "?"+spare)
		c.publish()
		c.synced(primary, parts)
		c.assign(backup, spare)
		c.publish()
	}
	r := ask("last", previous)
	r.Budget, r.Most = 10_000, 10_000-changes/5+1
	assert.Equal(t, k.beginUntilCertain(c.names[changes%3], r), spent)
	r.Most--
	assert.Equal(t, k.beginUntilCertain(c.names[changes%3], r), ok)
}

// An exchange of an old epoch that ends after a newer map came is reported for neither.
func TestSynchronize_OfOldEpochIsNotReported(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	a := c.nodes["a"].turnstore
	for range maxTransfers {
		a.transferSlots <- struct{}{} // compared, and held up before anything is sent
	}
	c.assign("a", "?c")
	c.publish()
	c.assign("a", "?b")
	c.publish()
	for range maxTransfers {
		<-a.transferSlots
	}
	c.synced("a", parts)
	reports, _ := a.SyncedReplicas()
	for _, r := range reports {
		assert.Equal(t, r.Folder, c.nodes["b"].turnstore.Folder())
		assert.Equal(t, r.Epoch, c.partitionMap.Version)
	}
	assert.Equal(t, len(reports), parts)
}

// TestCompact_DiskFaultAtEachOperation has a disk fail once, or be full from then on, at each operation of a compaction.
func TestCompact_DiskFaultAtEachOperation(t *testing.T) {
	for _, full := range []bool{true, false} {
		for at := 1; at <= 16; at++ {
			t.Run(fmt.Sprintf("full=%v/%d", full, at), func(t *testing.T) {
				t.Parallel()
				s := newScript(t, false)
				s.storeThreeTurns()
				v, disk := s.c.nodes["b"].turnstore, s.c.nodes["b"].disk
				if full {
					disk.FailFrom(at, syscall.ENOSPC)
				} else {
					disk.FailAt(at, syscall.EIO)
				}
				for range 2 {
					_ = v.Compact(s.c.ctx, true)
				}
				disk.Recover()
				for range 4 { // notes the failure, opens the log again, and so for a file that is found broken later
					v.CheckDisk(s.c.now())
					_ = v.Compact(s.c.ctx, true)
				}
				v.CheckDisk(s.c.now())
				v.CheckDisk(s.c.now())
				assert.NilError(t, v.Compact(s.c.ctx, true))
				assert.Assert(t, !reportsDiskFault(t, v))
				assert.Equal(t, s.k.beginUntilCertain("a", &tierv1.BeginRequest{Program: "q", Attempt: "x", RetentionMs: 1}), ok)
				s.verify()
			})
		}
	}
}
