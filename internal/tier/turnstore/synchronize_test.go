package turnstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// An unresponsive backup must not delay the synchronizations with other backups.
func TestSynchronize_UnresponsiveBackupDelaysNoOther(t *testing.T) {
	const partitions = 32
	c := newCluster(t, "a", "b", "c")
	folder := func(name string) string { return c.nodes[name].turnstore.Folder() }
	m := &tierv1.PartitionMap{Version: 1}
	for _, name := range c.names {
		m.StoreNodes = append(m.StoreNodes, &tierv1.StoreNode{Folder: folder(name), Node: name, Address: name})
	}
	for range partitions {
		m.Partitions = append(m.Partitions, &tierv1.Partition{Epoch: 1, Primary: folder("a"),
			Backups: []*tierv1.Replica{{Folder: folder("b")}, {Folder: folder("c")}}})
	}
	c.partitionMap = m
	c.mu.Lock()
	c.nodes["b"].unresponsive = true
	c.mu.Unlock()
	began := time.Now()
	c.publish()
	c.awaitSynced("a", partitions)
	took := time.Since(began)
	reports, _ := c.nodes["a"].turnstore.SyncedReplicas()
	for _, r := range reports {
		assert.Equal(t, r.Folder, folder("c"))
	}
	comparison := compareTimeoutMultiple * c.nodes["a"].turnstore.cfg.ReplyTimeout // what a comparison with the unresponsive one takes
	t.Logf("%d replicas synced in %v; %v for a comparison with the unresponsive one", partitions, took, comparison)
	assert.Assert(t, took < 4*comparison, "%v: other synchronizations waited for the unresponsive backup", took)
}

// If a later settlement raises the tokens of an attempt while a replica is partitioned, the raised tokens must reach that replica
// before it is reported synced.
func TestSynchronize_TransfersRaisedSettlement(t *testing.T) {
	for _, primaryLacks := range []bool{false, true} {
		c, k := newPair(t)
		assert.Equal(t, k.begin("a", beginRequest("t1", "")), ok)
		assert.Equal(t, k.settle("a", "p", "t1", "", 5), ok)
		c.mu.Lock()
		c.nodes["b"].partitioned = true
		c.mu.Unlock()
		c.assign("a", "?c")
		c.publish("a", "c")
		c.awaitSynced("a", partitionCount)
		assert.Equal(t, k.settle("a", "p", "t1", "", 20), ok)
		c.mu.Lock()
		c.nodes["b"].partitioned = false
		c.mu.Unlock()
		if primaryLacks {
			c.assign("b", "?a", "?c") // b lacks facts: the control plane makes no such map, but replicas must still agree
			c.publish()
			c.awaitSynced("b", 2*partitionCount)
		} else {
			c.assign("a", "c", "?b")
			c.publish()
			c.awaitSynced("a", partitionCount)
		}
		for _, name := range c.names {
			v := c.nodes[name].turnstore
			v.mu.Lock()
			charged := v.state.partition(0).programs["p"].charged
			v.mu.Unlock()
			assert.Equal(t, charged, uint64(20), "%s, %v", name, primaryLacks)
		}
	}
}

// A synchronization of an old epoch that ends after a newer map has been applied must not be reported for either epoch.
func TestSynchronize_OfOldEpochIsNotReported(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	a := c.nodes["a"].turnstore
	for range maxTransfers {
		a.transferSlots <- struct{}{} // blocks the synchronizations between comparison and transfer
	}
	c.assign("a", "?c")
	c.publish()
	c.assign("a", "?b")
	c.publish()
	for range maxTransfers {
		<-a.transferSlots
	}
	c.awaitSynced("a", partitionCount)
	reports, _ := a.SyncedReplicas()
	for _, r := range reports {
		assert.Equal(t, r.Folder, c.nodes["b"].turnstore.Folder())
		assert.Equal(t, r.Epoch, c.partitionMap.Version)
	}
	assert.Equal(t, len(reports), partitionCount)
}

func TestSynchronize_PullsFactsOfBackup(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	c.mu.Lock()
	c.nodes["b"].partitioned = true
	c.mu.Unlock()
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), busy) // a has a reservation that no other replica has
	c.mu.Lock()
	c.nodes["b"].partitioned = false
	c.mu.Unlock()
	c.assign("b", "?a", "?c")
	c.publish()
	c.awaitSynced("b", 2*partitionCount)
	found, err := c.nodes["b"].turnstore.Find(c.ctx, &tierv1.FindRequest{Attempt: "none"})
	assert.NilError(t, err)
	assert.Equal(t, len(found.Partitions), partitionCount) // every backup has acknowledged all facts that b received before
	for _, n := range c.names {
		v := c.nodes[n].turnstore
		r, err := v.Fetch(c.ctx, &tierv1.FetchRequest{Keys: []string{"r/t1", "s/t1", "a/t1", "r/t2", "r/none", "?"}})
		assert.NilError(t, err)
		assert.Equal(t, len(r.Facts), 3, n)
	}
	r := beginRequest("t3", "t1")
	r.MaxTokens = 71                       // 10 settled, 20 reserved
	assert.Equal(t, k.begin("b", r), busy) // the reservation's gateway was answered BUSY, and may be releasing it
	c.advance(DefaultReleaseGracePeriod)
	assert.Equal(t, k.begin("b", r), spent)
}

func TestSynchronize_SendsInChunks(t *testing.T) {
	c, k := newPair(t)
	w := &transport{cluster: c, to: "a"}
	for i := range 12 {
		body := turn("p", attemptName(i), "")
		body.Output = make([]byte, 100<<10)
		for {
			r, err := w.Settle(c.ctx, &tierv1.SettleRequest{Program: "p", Attempt: attemptName(i), Stored: true, Turn: body})
			assert.NilError(t, err)
			if r.Verdict == ok {
				break
			}
			assert.Equal(t, r.Verdict, busy)
		}
	}
	c.crash("b", true)
	c.assign("a", "?c")
	c.publish("a", "c")
	c.awaitSynced("a", partitionCount)
	assert.Equal(t, len(c.nodes["c"].turnstore.state.partition(0).entries), 12)
	c.crash("a", true)
	c.assign("c")
	c.publish("c")
	r := beginRequest("t99", attemptName(11))
	r.ChainKnown = true
	assert.Equal(t, k.beginUntilNotBusy("c", r), ok)
}
