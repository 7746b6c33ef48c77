package turnstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestRemoveExpired_DropsUnassignedPartition(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	c.assign("a", "?c")
	c.publish()
	c.awaitSynced("a", partitionCount)
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

// A turn store keeps a replica that the map retains, and drops one that the map does not retain.
func TestRetainedReplicas_AreNotDropped(t *testing.T) { runRetained(t, injection{}) }

func runRetained(t reporter, injected injection) {
	for _, retained := range []bool{true, false} {
		c, k := newPairWith(t, injected)
		assert.Equal(t, k.begin("a", beginRequest("t1", "")), ok)
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
		assert.Equal(t, kept, retained, "whether a replica is retained")
	}
}

func TestState_RemoveExpired(t *testing.T) {
	s, now := newState(), time.Now()
	p := s.partition(0)
	s.add(settledFact("a", "", 1, true), now)
	s.add(reservedFact("b", 20), now)
	later := now.Add(50 * time.Second)
	s.add(settledFact("b", "a", 1, true), later)
	at := now.Add(100 * time.Second) // a is past its retention, but is in the chain of b, which is not
	s.removeExpired(p, 30*time.Second, 120*time.Second, at)
	_, status := p.chain("a", false, 0, at)
	assert.Equal(t, status, chainAbsent)
	_, status = p.chain("b", false, 0, at)
	assert.Equal(t, status, chainComplete)
	at = later.Add(91 * time.Second)
	s.removeExpired(p, 30*time.Second, 120*time.Second, at)
	assert.Assert(t, p.entries["b"].turn == nil)
	assert.Equal(t, p.programs["p"].charged, uint64(2)) // the budget is stored for longer
	s.removeExpired(p, 30*time.Second, 120*time.Second, later.Add(200*time.Second))
	assert.Equal(t, len(p.entries), 0)
	assert.Equal(t, len(p.programs), 0)
	assert.Equal(t, s.memory, int64(0))
	assert.Equal(t, s.disk, int64(0))
}

// A program whose turns are not stored may send requests for as long as its route stores turns. Its charges must be stored for that
// long, also after a restart.
func TestState_ChargesOutliveRetention(t *testing.T) {
	const retention = 10 * time.Minute
	reserved := &tierv1.Fact{Program: "p", Attempt: "a", Of: &tierv1.Fact_Reserved{
		Reserved: &tierv1.Reservation{Limited: true, Budget: 100, MaxTokens: 60, RetentionMs: uint32(retention.Milliseconds())}}}
	first, now := newState(), time.Now()
	first.add(reserved, now)
	replayed := newState()
	for _, fact := range first.partition(0).facts(first.partition(0).entries["a"]) {
		replayed.add(fact, now)
	}
	for _, s := range []*state{first, replayed} {
		p := s.partition(0)
		s.removeExpired(p, 30*time.Second, 120*time.Second, now.Add(retention+119*time.Second))
		assert.Assert(t, !p.budgetAllows("p", 100, 41, 0))
		s.removeExpired(p, 30*time.Second, 120*time.Second, now.Add(retention+121*time.Second))
		assert.Assert(t, p.budgetAllows("p", 100, 100, 0))
		assert.Equal(t, len(p.entries), 0)
	}
}
