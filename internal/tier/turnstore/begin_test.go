package turnstore

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestBegin_ReturnsChain(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	k.mustStore("a", "t2", "t1")
	assert.Equal(t, k.begin("a", beginRequest("t3", "t2")), ok)
	assert.Equal(t, k.begin("a", beginRequest("t3", "t2")), ok) // a retry
	assert.Equal(t, k.begin("a", beginRequest("t4", "t3")), unknown)
	assert.Equal(t, k.begin("b", beginRequest("t4", "t2")), moved)
	assert.Equal(t, k.settle("a", "p", "t3", "t2", 10), ok)
	assert.Equal(t, k.begin("a", beginRequest("t3", "t2")), busy) // a late duplicate
	c.advance(63 * time.Second)
	assert.Equal(t, (&checker{cluster: c}).begin("a", beginRequest("t5", "t3")), unknown) // past its retention
}

func TestBegin_WhileBackupIsReplaced(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	c.crash("b", true)
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), busy)
	c.assign("a", "?c")
	c.publish("a", "c")
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), ok)
	c.awaitSynced("a", partitionCount)
	c.assign("a", "c")
	c.publish("a", "c")
	reports, _ := c.nodes["a"].turnstore.SyncedReplicas()
	assert.Equal(t, len(reports), 0)
	c.crash("a", true)
	c.assign("c")
	c.publish("c")
	assert.Equal(t, k.settle("c", "p", "t2", "t1", 20), ok)
	assert.Equal(t, k.begin("c", beginRequest("t3", "t2")), ok)
}

func TestBegin_ConcurrentRequestsForLastTokens(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "") // 10 of 100
	var mu sync.Mutex
	n := map[tierv1.Verdict]int{}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			reply, err := (&transport{cluster: c, to: "a"}).Begin(c.ctx, beginRequest(attemptName(100+i), "t1"))
			if err == nil {
				mu.Lock()
				n[reply.Verdict]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	assert.Assert(t, n[ok] <= 4, "%v", n)
	assert.Equal(t, n[ok]+n[spent]+n[busy], 12)
}

func TestBegin_SubAgentsOfTurnJustStored(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	k.mustStore("a", "t2", "t1")
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			r := beginRequest(attemptName(100+i), "t2")
			r.Limited = false
			for {
				reply, err := (&transport{cluster: c, to: "a"}).Begin(c.ctx, r)
				if err == nil && reply.Verdict == busy {
					continue
				}
				assert.Check(t, err == nil && reply.Verdict == ok && len(reply.Chain) == 2)
				return
			}
		})
	}
	wg.Wait()
}

func TestBegin_AdoptsTurnOfAnotherPartition(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	k.mustStore("a", "t2", "t1")
	r := beginRequest("f1", "t2")
	r.Partition, r.Program = 1, "f"
	assert.Equal(t, (&checker{cluster: c}).begin("a", r), unknown) // the turn is stored in another partition
	found, err := c.nodes["a"].turnstore.Find(c.ctx, &tierv1.FindRequest{Attempt: "t2"})
	assert.NilError(t, err)
	assert.Equal(t, len(found.Chain), 2)
	r.Adopt = found.Chain
	assert.Equal(t, k.begin("a", r), ok)
	_, err = c.nodes["a"].turnstore.Begin(c.ctx, &tierv1.BeginRequest{Attempt: "z", Previous: "t2", Adopt: found.Chain[1:]})
	assert.ErrorContains(t, err, "no chain")
	c.crash("a", true)
	c.assign("b", "?c")
	c.publish("b", "c")
	r = beginRequest("f2", "t2")
	r.Partition, r.Program = 1, "f"
	assert.Equal(t, k.begin("b", r), ok)
}

func TestBegin_RejectsAtCapacity(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), ok)
	v := c.nodes["a"].turnstore
	v.mu.Lock()
	v.cfg.MemoryBytes = v.state.memory
	v.mu.Unlock()
	assert.Equal(t, k.begin("a", beginRequest("t3", "t1")), busy)
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), ok)
	assert.Equal(t, k.settle("a", "p", "t2", "t1", 10), ok)
	c.advance(24 * time.Hour)
	for range 8 {
		v.RemoveExpired(c.now())
	}
	assert.Equal(t, v.state.memory, int64(0))
	assert.Equal(t, k.begin("a", beginRequest("t9", "")), ok) // memory is free again
}

func TestBegin_ChecksBudgetOfUnansweredReservationInNewTerm(t *testing.T) {
	c, k := newPair(t)
	c.mu.Lock()
	c.nodes["a"].partitioned = true
	c.mu.Unlock()
	reply, err := c.nodes["a"].turnstore.Begin(c.ctx, beginRequest("t1", "")) // the test calls the partitioned node directly
	assert.NilError(t, err)
	assert.Equal(t, reply.Verdict, busy)
	c.assign("b", "?c")
	c.publish("b", "c")
	for i := range 5 {
		assert.Equal(t, k.beginUntilNotBusy("b", beginRequest(attemptName(10+i), "")), ok)
	}
	c.mu.Lock()
	c.nodes["a"].partitioned = false
	c.mu.Unlock()
	c.assign("b", "?a")
	c.publish()
	c.awaitSynced("b", partitionCount)
	c.assign("a", "b")
	c.publish()
	assert.Equal(t, k.beginUntilNotBusy("a", beginRequest("t1", "")), busy) // releases of b's reservations may be in flight
	c.advance(DefaultReleaseGracePeriod)
	assert.Equal(t, k.beginUntilNotBusy("a", beginRequest("t1", "")), spent)
}

func TestBegin_AdoptedTurnsReachNewBackup(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	c.mu.Lock()
	c.nodes["b"].partitioned = true
	c.mu.Unlock()
	v := c.nodes["a"].turnstore
	found, err := v.Find(c.ctx, &tierv1.FindRequest{Attempt: "t1"})
	assert.NilError(t, err)
	r := beginRequest("f1", "t1")
	r.Partition, r.Program, r.Adopt = 1, "f", found.Chain
	assert.Equal(t, k.begin("a", r), busy)
	for range maxTransfers {
		v.transferSlots <- struct{}{} // blocks the transfers of synchronizations
	}
	c.assign("a", "?c")
	c.publish("a", "c")
	assert.Equal(t, k.beginUntilNotBusy("a", r), ok)
	got, err := c.nodes["c"].turnstore.Fetch(c.ctx, &tierv1.FetchRequest{Partition: 1, Keys: []string{"a/t1"}})
	assert.NilError(t, err)
	assert.Equal(t, len(got.Facts), 1)
}

func TestBegin_RestartedPrimaryResendsOldTurns(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	c.advance(55 * time.Second)
	c.crash("a", false)
	c.restart("a")
	c.advance(30 * time.Second) // a counts the retention from its restart; b would drop the turn soon
	assert.Equal(t, k.beginUntilNotBusy("a", beginRequest("t2", "t1")), ok)
	b := c.nodes["b"].turnstore
	c.advance(20 * time.Second)
	for range 8 {
		b.RemoveExpired(c.now())
	}
	assert.Equal(t, k.settle("a", "p", "t2", "t1", 10), ok)
	c.assign("b", "?c")
	c.publish("b", "c")
	assert.Equal(t, k.beginUntilNotBusy("b", beginRequest("t3", "t2")), ok)
}
