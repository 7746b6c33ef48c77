package turnstore

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A backup that is silent holds up the exchanges with no other one.
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
	c.synced("a", partitions)
	took := time.Since(began)
	reports, _ := c.nodes["a"].turnstore.SyncedReplicas()
	for _, r := range reports {
		assert.Equal(t, r.Folder, folder("c"))
	}
	silent := 8 * c.nodes["a"].turnstore.cfg.ReplyTimeout // what a comparison with the silent one takes
	t.Logf("%d copies synced in %v; %v for a comparison with the silent one", partitions, took, silent)
	assert.Assert(t, took < 4*silent, "%v: it was waited for more than now and then", took)
}

// A settlement that a later one raised while a copy was away comes to that copy before it is reported synced.
func TestSynchronize_TransfersRaisedSettlement(t *testing.T) {
	for _, primaryLacks := range []bool{false, true} {
		c, k := newPair(t)
		assert.Equal(t, k.begin("a", ask("t1", "")), ok)
		assert.Equal(t, k.settle("a", "p", "t1", "", 5), ok)
		c.mu.Lock()
		c.nodes["b"].partitioned = true
		c.mu.Unlock()
		c.assign("a", "?c")
		c.publish("a", "c")
		c.synced("a", parts)
		assert.Equal(t, k.settle("a", "p", "t1", "", 20), ok)
		c.mu.Lock()
		c.nodes["b"].partitioned = false
		c.mu.Unlock()
		if primaryLacks {
			c.assign("b", "?a", "?c") // b lacks what it is the primary of: no map of control's, but copies must still agree
			c.publish()
			c.synced("b", 2*parts)
		} else {
			c.assign("a", "c", "?b")
			c.publish()
			c.synced("a", parts)
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

func TestFactKeys(t *testing.T) {
	for key, want := range map[string]struct {
		kind, attempt string
		tokens        uint64
		ok            bool
	}{
		"r/a":                        {"r/", "a", 0, true},
		"s/a/b":                      {"s/", "a/b", 0, true},
		"a/a":                        {"a/", "a", 0, true},
		"t/a/7":                      {"t/", "a", 7, true},
		"t/a/b/18446744073709551615": {"t/", "a/b", 1<<64 - 1, true},
		"t/a/18446744073709551616":   {},
		"t/a/x":                      {},
		"t//7":                       {},
		"t/a":                        {},
		"x/a":                        {},
		"r/":                         {},
		"":                           {},
	} {
		kind, attempt, tokens, ok := parseKey(key)
		assert.Equal(t, ok, want.ok, key)
		if ok {
			assert.Equal(t, kind, want.kind, key)
			assert.Equal(t, attempt, want.attempt, key)
			assert.Equal(t, tokens, want.tokens, key)
		}
	}
}

func TestResponsibilityOf(t *testing.T) {
	synced, unsynced := func(f string) *tierv1.Replica { return &tierv1.Replica{Folder: f, Synced: true} }, func(f string) *tierv1.Replica { return &tierv1.Replica{Folder: f} }
	partition := func(primary string, backups ...*tierv1.Replica) *tierv1.Partition {
		return &tierv1.Partition{Primary: primary, Backups: backups}
	}
	for _, test := range []struct {
		name       string
		partitions []*tierv1.Partition
		want       responsibility
	}{
		{"no map", nil, notAssigned},
		{"not named", []*tierv1.Partition{partition("x", unsynced("y"))}, notAssigned},
		{"a backup", []*tierv1.Partition{partition("x", synced("me"))}, backupOnly},
		{"a backup that is not synced", []*tierv1.Partition{partition("x", unsynced("me"))}, backupOnly},
		{"its successor is under way", []*tierv1.Partition{partition("x", synced("me"), unsynced("y"))}, requiredReplica},
		{"a primary", []*tierv1.Partition{partition("me", synced("x"))}, requiredReplica},
		{"the last holder", []*tierv1.Partition{partition("me", unsynced("x"))}, lastSyncedReplica},
		{"alone", []*tierv1.Partition{partition("x", synced("me")), partition("me")}, lastSyncedReplica},
	} {
		assert.Equal(t, responsibilityOf(&tierv1.PartitionMap{Partitions: test.partitions}, "me"), test.want, test.name)
	}
}

func TestResponsibility_MayStop(t *testing.T) {
	for d, want := range map[responsibility][4]bool{ // not fresh, fresh, late, both
		notAssigned:       {true, true, true, true},
		backupOnly:        {false, true, true, true},
		requiredReplica:   {false, false, true, true},
		lastSyncedReplica: {},
	} {
		got := [4]bool{d.mayStop(false, false), d.mayStop(true, false), d.mayStop(false, true), d.mayStop(true, true)}
		assert.Equal(t, got, want, d)
	}
}

// A store that leaves waits for control's word, for its successors, and longer than it is given where it is the last holder.
func TestAwaitHandover(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	a := c.nodes["a"].turnstore
	released := func(ctx context.Context) <-chan struct{} {
		end := make(chan struct{})
		go func() {
			a.AwaitHandover(ctx)
			close(end)
		}()
		return end
	}
	waits := func(end <-chan struct{}, why string) {
		t.Helper()
		select {
		case <-end:
			t.Fatalf("released, though %s", why)
		default:
		}
	}
	long, cancel := context.WithTimeout(c.ctx, time.Hour)
	defer cancel()
	end := released(long)
	waits(end, "it is the primary")
	c.assign("b", "a", "?c")
	c.publish()
	waits(end, "the copy that takes its place is under way")
	c.synced("b", parts)
	c.assign("b", "a", "c")
	c.publish()
	<-end

	end = released(long)
	waits(end, "control has not made a map since")
	c.assign("b", "c")
	c.publish()
	<-end

	c.assign("a", "?b")
	c.publish()
	over, end2 := context.WithCancel(c.ctx)
	end2()
	end = released(over)
	waits(end, "it is the last holder")
	c.synced("a", parts)
	c.assign("a", "b")
	c.publish()
	<-end // still the primary, but its time is over

	c.assign("a")
	c.publish()
	short, cancel := context.WithTimeout(c.ctx, time.Millisecond)
	defer cancel()
	<-released(short) // at last, also as the last holder
}

// Neither a reservation nor a settlement is confirmed while a backup, synced or not, has not taken it.
func TestReplication_AcknowledgedByEachBackup(t *testing.T) {
	for _, backups := range [][]string{{"b", "c"}, {"b", "?c"}, {"?c", "b"}} {
		c := newCluster(t, "a", "b", "c")
		c.assign("a", backups...)
		c.publish()
		k := newChecker(c)
		k.mustStore("a", "t1", "")
		assert.Equal(t, k.begin("a", ask("t2", "t1")), ok)
		c.mu.Lock()
		c.nodes["c"].partitioned = true
		c.mu.Unlock()
		assert.Equal(t, k.settle("a", "p", "t2", "t1", 20), busy)
		assert.Equal(t, k.begin("a", ask("t3", "t1")), busy)
		c.mu.Lock()
		c.nodes["c"].partitioned = false
		c.mu.Unlock()
		assert.Equal(t, k.beginUntilCertain("a", ask("t3", "t1")), ok)
		for k.settle("a", "p", "t2", "t1", 20) != ok {
		}
	}
}
