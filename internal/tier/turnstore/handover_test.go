package turnstore

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

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
		{"its successor is being synced", []*tierv1.Partition{partition("x", synced("me"), unsynced("y"))}, requiredReplica},
		{"a primary", []*tierv1.Partition{partition("me", synced("x"))}, requiredReplica},
		{"the last synced replica", []*tierv1.Partition{partition("me", unsynced("x"))}, lastSyncedReplica},
		{"alone", []*tierv1.Partition{partition("x", synced("me")), partition("me")}, lastSyncedReplica},
	} {
		assert.Equal(t, responsibilityOf(&tierv1.PartitionMap{Partitions: test.partitions}, "me"), test.want, test.name)
	}
}

func TestResponsibility_MayStop(t *testing.T) {
	for d, want := range map[responsibility][4]bool{ // neither, map is newer, timed out, both
		notAssigned:       {true, true, true, true},
		backupOnly:        {false, true, true, true},
		requiredReplica:   {false, false, true, true},
		lastSyncedReplica: {},
	} {
		got := [4]bool{d.mayStop(false, false), d.mayStop(true, false), d.mayStop(false, true), d.mayStop(true, true)}
		assert.Equal(t, got, want, d)
	}
}

// A draining turn store waits for the next map and for the replicas that replace it, and past the end of ctx if it has the last
// synced replica.
func TestAwaitHandover(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	a := c.nodes["a"].turnstore
	awaitHandover := func(ctx context.Context) <-chan struct{} {
		returned := make(chan struct{})
		go func() {
			a.AwaitHandover(ctx)
			close(returned)
		}()
		return returned
	}
	assertWaiting := func(returned <-chan struct{}, reason string) {
		t.Helper()
		select {
		case <-returned:
			t.Fatalf("AwaitHandover returned, though %s", reason)
		default:
		}
	}
	long, cancel := context.WithTimeout(c.ctx, time.Hour)
	defer cancel()
	returned := awaitHandover(long)
	assertWaiting(returned, "it is the primary")
	c.assign("b", "a", "?c")
	c.publish()
	assertWaiting(returned, "the replica that takes its place is being synced")
	c.awaitSynced("b", partitionCount)
	c.assign("b", "a", "c")
	c.publish()
	<-returned

	returned = awaitHandover(long)
	assertWaiting(returned, "it has received no newer map")
	c.assign("b", "c")
	c.publish()
	<-returned

	c.assign("a", "?b")
	c.publish()
	expired, expire := context.WithCancel(c.ctx)
	expire()
	returned = awaitHandover(expired)
	assertWaiting(returned, "it has the last replica")
	c.awaitSynced("a", partitionCount)
	c.assign("a", "b")
	c.publish()
	<-returned // still the primary, but ctx has ended

	c.assign("a")
	c.publish()
	short, cancel := context.WithTimeout(c.ctx, time.Millisecond)
	defer cancel()
	<-awaitHandover(short) // returns after the extension, even with the last replica
}
