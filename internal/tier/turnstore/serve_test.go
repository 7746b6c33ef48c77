package turnstore

import (
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	ok      = tierv1.Verdict_OK
	spent   = tierv1.Verdict_SPENT
	unknown = tierv1.Verdict_UNKNOWN
	moved   = tierv1.Verdict_MOVED
	busy    = tierv1.Verdict_BUSY
)

// mustStore takes a turn from its begin to its end.
func (k *checker) mustStore(to, attempt, previous string) {
	assert.Equal(k.c.t, k.begin(to, ask(attempt, previous)), ok)
	assert.Equal(k.c.t, k.settle(to, "p", attempt, previous, 10), ok)
}

func newPair(t reporter) (*cluster, *checker) { return newPairWith(t, injection{}) }

// newPairWith is pair with a planted fault.
func newPairWith(t reporter, p injection) (*cluster, *checker) {
	c := newClusterWith(t, p, "a", "b", "c")
	c.assign("a", "b")
	c.publish()
	return c, newChecker(c)
}

func TestTurnStore_BeforeFirstPartitionMap(t *testing.T) {
	c := newCluster(t, "a")
	v := c.nodes["a"].turnstore
	assert.Assert(t, v.WasEmpty())
	assert.Equal(t, newChecker(c).begin("a", ask("t", "")), busy)
	r, err := v.Replicate(c.ctx, &tierv1.ReplicateRequest{Epoch: 5, From: "x"})
	assert.NilError(t, err)
	assert.Assert(t, !r.Taken && !r.Stale)
	folder := v.Folder()
	c.crash("a", false)
	c.restart("a")
	assert.Equal(t, c.nodes["a"].turnstore.Folder(), folder)
	assert.Assert(t, !c.nodes["a"].turnstore.WasEmpty())
	c.crash("a", true)
	c.restart("a")
	assert.Assert(t, c.nodes["a"].turnstore.Folder() != folder)
}

func TestBegin_ReturnsChain(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	k.mustStore("a", "t2", "t1")
	assert.Equal(t, k.begin("a", ask("t3", "t2")), ok)
	assert.Equal(t, k.begin("a", ask("t3", "t2")), ok) // once more
	assert.Equal(t, k.begin("a", ask("t4", "t3")), unknown)
	assert.Equal(t, k.begin("b", ask("t4", "t2")), moved)
	assert.Equal(t, k.settle("a", "p", "t3", "t2", 10), ok)
	assert.Equal(t, k.begin("a", ask("t3", "t2")), busy) // a late copy
	c.advance(63 * time.Second)
	assert.Equal(t, (&checker{c: c}).begin("a", ask("t5", "t3")), unknown) // past its retention
}

func TestReplicate_RejectsStaleEpochs(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	v := c.nodes["b"].turnstore
	a, x := c.nodes["a"].turnstore.Folder(), "x"
	say := func(epoch uint64, from string) *tierv1.ReplicateReply {
		r, err := v.Replicate(c.ctx, &tierv1.ReplicateRequest{Epoch: epoch, From: from})
		assert.NilError(t, err)
		return r
	}
	assert.Assert(t, say(1, a).Taken)
	assert.Assert(t, say(1, x).Stale)
	assert.Assert(t, say(0, a).Stale)
	assert.Assert(t, say(3, x).Taken)
	assert.Assert(t, say(1, a).Stale)
	assert.Assert(t, say(3, a).Stale)
	c.assign("b", "a") // epoch 2: older than what b knows
	c.publish()
	assert.Equal(t, k.begin("b", ask("t2", "t1")), moved)
}

// What was meant for a folder that is lost is not taken by another at its address, and teaches it nothing.
func TestReplicate_IgnoresMessagesForAnotherFolder(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	v := c.nodes["b"].turnstore
	a := c.nodes["a"].turnstore.Folder()
	for to, taken := range map[string]bool{"lost": false, v.Folder(): true, "": true} {
		r, err := v.Replicate(c.ctx, &tierv1.ReplicateRequest{Epoch: 1, From: a, To: to})
		assert.NilError(t, err)
		assert.Equal(t, r.Taken, taken, to)
		assert.Assert(t, !r.Stale)
		h, err := v.Held(c.ctx, &tierv1.HeldRequest{Epoch: 1, To: to})
		assert.NilError(t, err)
		assert.Equal(t, h.Ok, taken, to)
	}
	r, err := v.Replicate(c.ctx, &tierv1.ReplicateRequest{Epoch: 9, From: "x", To: "lost", Facts: []*tierv1.Fact{reservedFact("x", 1)}})
	assert.NilError(t, err)
	assert.Assert(t, !r.Taken)
	assert.Equal(t, k.begin("a", ask("t2", "t1")), ok) // epoch 1 stands
}

func TestTakeover_BetweenBeginAndSettle(t *testing.T) { runTakeover(t, injection{}) }

// runTakeover lets a backup take over from a primary that is frozen, which then wakes with its old epoch.
func runTakeover(t reporter, p injection) {
	c, k := newPairWith(t, p)
	k.mustStore("a", "t1", "")
	assert.Equal(t, k.begin("a", ask("t2", "t1")), ok)
	c.assign("b", "?c")
	c.publish("b", "c") // a is frozen, and hears nothing
	assert.Equal(t, k.settle("b", "p", "t2", "t1", 20), ok)
	for _, a := range []string{"t3", "t4", "t5"} {
		k.mustStore("b", a, "t2")
	}
	assert.Equal(t, k.begin("b", ask("t6", "t5")), ok)
	assert.Equal(t, k.begin("b", ask("t7", "t5")), ok) // 30 + 3 * 10 + 2 * 20: all of it
	assert.Equal(t, k.begin("b", ask("t8", "t5")), spent)
	// a wakes: it must neither grant, nor say that something isn't there, nor that the budget is spent
	for _, r := range []*tierv1.BeginRequest{ask("t9", "t5"), ask("t10", "t2"), ask("t11", ""), {Program: "p", Attempt: "t12", Limited: true, Budget: 1, Most: 20}} {
		v := k.begin("a", r)
		assert.Assert(t, v == moved || v == busy, "%v", v)
	}
	assert.Equal(t, k.settle("a", "p", "t9", "t5", 1), moved)
	f, err := c.nodes["a"].turnstore.Find(c.ctx, &tierv1.FindRequest{Attempt: "t5"})
	assert.NilError(t, err)
	assert.Assert(t, !slices.Contains(f.Partitions, 0))
}

func TestBegin_WhileBackupIsReplaced(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	c.crash("b", true)
	assert.Equal(t, k.begin("a", ask("t2", "t1")), busy)
	c.assign("a", "?c")
	c.publish("a", "c")
	assert.Equal(t, k.begin("a", ask("t2", "t1")), ok)
	c.synced("a", parts)
	c.assign("a", "c")
	c.publish("a", "c")
	reports, _ := c.nodes["a"].turnstore.SyncedReplicas()
	assert.Equal(t, len(reports), 0)
	c.crash("a", true)
	c.assign("c")
	c.publish("c")
	assert.Equal(t, k.settle("c", "p", "t2", "t1", 20), ok)
	assert.Equal(t, k.begin("c", ask("t3", "t2")), ok)
}

func TestBegin_ConcurrentRequestsForLastTokens(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "") // 10 of 100
	var mu sync.Mutex
	n := map[tierv1.Verdict]int{}
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			reply, err := (&transport{c: c, to: "a"}).Begin(c.ctx, ask(name(100+i), "t1"))
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
			r := ask(name(100+i), "t2")
			r.Limited = false
			for {
				reply, err := (&transport{c: c, to: "a"}).Begin(c.ctx, r)
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
	r := ask("f1", "t2")
	r.Partition, r.Program = 1, "f"
	assert.Equal(t, (&checker{c: c}).begin("a", r), unknown) // that partition doesn't hold it
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
	r = ask("f2", "t2")
	r.Partition, r.Program = 1, "f"
	assert.Equal(t, k.begin("b", r), ok)
}

func TestFind_CertainOnlyWhenConfirmed(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	v := c.nodes["a"].turnstore
	r, err := v.Find(c.ctx, &tierv1.FindRequest{Attempt: "nothing"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Partitions), parts)
	c.mu.Lock()
	c.nodes["b"].partitioned = true
	c.mu.Unlock()
	r, err = v.Find(c.ctx, &tierv1.FindRequest{Attempt: "nothing"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Partitions), 0)
	r, err = v.Find(c.ctx, &tierv1.FindRequest{Attempt: "t1"})
	assert.NilError(t, err)
	assert.Equal(t, len(r.Chain), 1)
	assert.Equal(t, k.begin("a", ask("t2", "nothing")), busy)
	q := ask("t3", "")
	q.Budget = 1
	assert.Equal(t, k.begin("a", q), busy) // spent, but not for sure
}

func TestBegin_RejectsAtCapacity(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	assert.Equal(t, k.begin("a", ask("t2", "t1")), ok)
	v := c.nodes["a"].turnstore
	v.mu.Lock()
	v.cfg.MemoryBytes = v.state.memory
	v.mu.Unlock()
	assert.Equal(t, k.begin("a", ask("t3", "t1")), busy)
	assert.Equal(t, k.begin("a", ask("t2", "t1")), ok)
	assert.Equal(t, k.settle("a", "p", "t2", "t1", 10), ok)
	c.advance(24 * time.Hour)
	for range 8 {
		v.RemoveExpired(c.now())
	}
	assert.Equal(t, v.state.memory, int64(0))
	assert.Equal(t, k.begin("a", ask("t9", "")), ok) // there is room again
}

func TestRemoveExpired_DropsUnassignedPartition(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	c.assign("a", "?c")
	c.publish()
	c.synced("a", parts)
	v := c.nodes["b"].turnstore
	c.advance(29 * time.Second)
	for range 8 {
		v.RemoveExpired(c.now())
	}
	assert.Equal(t, len(v.state.partition(0).entries), 1)
	c.advance(2 * time.Second)
	for range 8 {
		v.RemoveExpired(c.now())
	}
	assert.Equal(t, len(v.state.partition(0).entries), 0)
}

func TestSynchronize_PullsFactsOfBackup(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	c.mu.Lock()
	c.nodes["b"].partitioned = true
	c.mu.Unlock()
	assert.Equal(t, k.begin("a", ask("t2", "t1")), busy) // a holds a reservation that nobody was told of
	c.mu.Lock()
	c.nodes["b"].partitioned = false
	c.mu.Unlock()
	c.assign("b", "?a", "?c")
	c.publish()
	c.synced("b", 2*parts)
	found, err := c.nodes["b"].turnstore.Find(c.ctx, &tierv1.FindRequest{Attempt: "none"})
	assert.NilError(t, err)
	assert.Equal(t, len(found.Partitions), parts) // every backup has taken all that came to b before
	for _, n := range c.names {
		v := c.nodes[n].turnstore
		r, err := v.Fetch(c.ctx, &tierv1.FetchRequest{Keys: []string{"r/t1", "s/t1", "a/t1", "r/t2", "r/none", "?"}})
		assert.NilError(t, err)
		assert.Equal(t, len(r.Facts), 3, n)
	}
	r := ask("t3", "t1")
	r.Most = 71                            // 10 told, 20 reserved
	assert.Equal(t, k.begin("b", r), busy) // the reservation's gateway was answered BUSY, and may be releasing it
	c.advance(DefaultReleaseGracePeriod)
	assert.Equal(t, k.begin("b", r), spent)
}

func TestSynchronize_SendsInChunks(t *testing.T) {
	c, k := newPair(t)
	w := &transport{c: c, to: "a"}
	for i := range 12 {
		body := turn("p", name(i), "")
		body.Output = make([]byte, 100<<10)
		for {
			r, err := w.Settle(c.ctx, &tierv1.SettleRequest{Program: "p", Attempt: name(i), Kept: true, Turn: body})
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
	c.synced("a", parts)
	assert.Equal(t, len(c.nodes["c"].turnstore.state.partition(0).entries), 12)
	c.crash("a", true)
	c.assign("c")
	c.publish("c")
	r := ask("t99", name(11))
	r.ChainHeld = true
	assert.Equal(t, k.beginUntilCertain("c", r), ok)
}
