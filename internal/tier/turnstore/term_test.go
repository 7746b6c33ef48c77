package turnstore

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestTurnStore_ContinuedTerm(t *testing.T) {
	v := &TurnStore{folder: "a"}
	for name, test := range map[string]struct {
		term *term
		next *tierv1.Partition
		want bool
	}{
		"the next epoch":       {&term{}, &tierv1.Partition{Epoch: 6, Primary: "a"}, true},
		"an epoch left out":    {&term{}, &tierv1.Partition{Epoch: 7, Primary: "a"}, false},
		"another's":            {&term{}, &tierv1.Partition{Epoch: 6, Primary: "b"}, false},
		"no term":              {nil, &tierv1.Partition{Epoch: 6, Primary: "a"}, false},
		"a term that is over":  {&term{ended: true}, &tierv1.Partition{Epoch: 6, Primary: "a"}, false},
		"a term not confirmed": {&term{unconfirmed: true}, &tierv1.Partition{Epoch: 6, Primary: "a"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &partition{role: role{epoch: 5, primary: "a", term: test.term}}
			assert.Equal(t, v.continuedTerm(p, test.next) != nil, test.want)
		})
	}
}

func TestTakeover_BetweenBeginAndSettle(t *testing.T) { runTakeover(t, injection{}) }

// runTakeover lets a backup take over from a frozen primary, which then resumes with its old epoch.
func runTakeover(t reporter, injected injection) {
	c, k := newPairWith(t, injected)
	k.mustStore("a", "t1", "")
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), ok)
	c.assign("b", "?c")
	c.publish("b", "c") // a is frozen and receives no map
	assert.Equal(t, k.settle("b", "p", "t2", "t1", 20), ok)
	for _, a := range []string{"t3", "t4", "t5"} {
		k.mustStore("b", a, "t2")
	}
	assert.Equal(t, k.begin("b", beginRequest("t6", "t5")), ok)
	assert.Equal(t, k.begin("b", beginRequest("t7", "t5")), ok) // 30 + 3 * 10 + 2 * 20: the complete budget
	assert.Equal(t, k.begin("b", beginRequest("t8", "t5")), spent)
	// a resumes: its verdict must not be OK, UNKNOWN or SPENT
	for _, r := range []*tierv1.BeginRequest{beginRequest("t9", "t5"), beginRequest("t10", "t2"), beginRequest("t11", ""), {Program: "p", Attempt: "t12", Limited: true, Budget: 1, MaxTokens: 20}} {
		v := k.begin("a", r)
		assert.Assert(t, v == moved || v == busy, "%v", v)
	}
	assert.Equal(t, k.settle("a", "p", "t9", "t5", 1), moved)
	f, err := c.nodes["a"].turnstore.Find(c.ctx, &tierv1.FindRequest{Attempt: "t5"})
	assert.NilError(t, err)
	assert.Assert(t, !slices.Contains(f.Partitions, 0))
}

func TestRecovery_FromTwoReplicas(t *testing.T) { runRecovery(t, injection{}) }

// runRecovery makes a backup of an older epoch the primary. It must answer BUSY until it has pulled all facts from the replica that
// has the facts acknowledged since, and the control plane has confirmed the recovery. Then nothing acknowledged may be missing.
func runRecovery(t reporter, injected injection) {
	c, k := newPairWith(t, injected)
	folder := func(name string) string { return c.nodes[name].turnstore.Folder() }
	assert.Equal(t, k.begin("a", beginRequest("t1", "")), ok)
	assert.Equal(t, k.settle("a", "p", "t1", "", 5), ok)
	c.mu.Lock()
	c.nodes["b"].partitioned = true
	c.mu.Unlock()
	c.assign("a", "?c") // b is retained
	retained := []*tierv1.RetainedReplica{{Folder: folder("b"), Until: c.partitionMap.Version - 1}}
	for _, p := range c.partitionMap.Partitions {
		p.Retained = retained
	}
	c.publish("a", "c")
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), ok)
	assert.Equal(t, k.settle("a", "p", "t2", "t1", 5), ok)
	c.crash("a", true)
	c.mu.Lock()
	c.nodes["b"].partitioned = false
	c.nodes["c"].partitioned = true // b cannot reach it yet
	c.mu.Unlock()
	c.assign("b", "?c")
	for _, p := range c.partitionMap.Partitions {
		p.Retained, p.RecoverFrom, p.AcknowledgedUntil = retained, []string{folder("c")}, p.Epoch-1
	}
	c.publish("b", "c")
	assert.Equal(t, k.begin("b", beginRequest("t3", "t2")), tierv1.Verdict_BUSY)
	assert.Equal(t, k.begin("b", beginRequest("t4", "nowhere")), tierv1.Verdict_BUSY)
	c.mu.Lock()
	c.nodes["c"].partitioned = false
	c.mu.Unlock()
	c.awaitSynced("b", partitionCount)
	assert.Equal(t, k.begin("b", beginRequest("t3", "t2")), tierv1.Verdict_BUSY) // until the control plane confirms the recovery
	next := &tierv1.PartitionMap{Version: c.partitionMap.Version + 1, StoreNodes: c.partitionMap.StoreNodes}
	for _, p := range c.partitionMap.Partitions {
		next.Partitions = append(next.Partitions, &tierv1.Partition{Epoch: p.Epoch, Primary: p.Primary,
			Backups: []*tierv1.Replica{{Folder: folder("c"), Synced: true}}})
	}
	c.partitionMap = next
	c.publish("b", "c")
	assert.Equal(t, k.begin("b", beginRequest("t3", "t2")), ok)
	assert.Equal(t, k.begin("b", beginRequest("t4", "nowhere")), tierv1.Verdict_UNKNOWN)
	for _, name := range []string{"b", "c"} {
		store := c.nodes[name].turnstore
		store.mu.Lock()
		for _, attempt := range []string{"t1", "t2"} {
			e := store.state.partition(0).entries[attempt]
			assert.Check(t, e != nil && e.turn != nil, "%s lacks %s", name, attempt)
		}
		store.mu.Unlock()
	}
}
