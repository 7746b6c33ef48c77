package turnstore

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// stuckDisk is a disk whose sync doesn't return.
type stuckDisk struct {
	once           sync.Once
	entered, leave chan struct{}
}

func (s *stuckDisk) Append(...[]byte) error { return nil }

func (s *stuckDisk) Sync() error {
	s.once.Do(func() { close(s.entered) })
	<-s.leave
	return nil
}

func TestBackup_AcknowledgesNothingBeforeSync(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	a, b := c.nodes["a"].turnstore, c.nodes["b"].turnstore
	disk := &stuckDisk{entered: make(chan struct{}), leave: make(chan struct{})}
	<-b.commit.switchTo(disk).done
	defer close(disk.leave)
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	answers := make(chan error, 2)
	go func() {
		_, err := b.Replicate(ctx, &tierv1.ReplicateRequest{Epoch: 1, From: a.Folder(), Facts: []*tierv1.Fact{reservedFact("x", 1)}})
		answers <- err
	}()
	<-disk.entered
	go func() {
		_, err := b.Held(ctx, &tierv1.HeldRequest{Epoch: 1})
		answers <- err
	}()
	assert.Equal(t, k.begin("a", ask("t2", "t1")), busy)
	cancel()
	assert.ErrorIs(t, <-answers, context.Canceled)
	assert.ErrorIs(t, <-answers, context.Canceled)
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

func TestBegin_ChecksBudgetOfUnansweredReservationInNewTerm(t *testing.T) {
	c, k := newPair(t)
	c.mu.Lock()
	c.nodes["a"].partitioned = true
	c.mu.Unlock()
	reply, err := c.nodes["a"].turnstore.Begin(c.ctx, ask("t1", "")) // its client still reaches it
	assert.NilError(t, err)
	assert.Equal(t, reply.Verdict, busy)
	c.assign("b", "?c")
	c.publish("b", "c")
	for i := range 5 {
		assert.Equal(t, k.beginUntilCertain("b", ask(name(10+i), "")), ok)
	}
	c.mu.Lock()
	c.nodes["a"].partitioned = false
	c.mu.Unlock()
	c.assign("b", "?a")
	c.publish()
	c.synced("b", parts)
	c.assign("a", "b")
	c.publish()
	assert.Equal(t, k.beginUntilCertain("a", ask("t1", "")), busy) // b's reservations may be under release
	c.advance(DefaultReleaseGracePeriod)
	assert.Equal(t, k.beginUntilCertain("a", ask("t1", "")), spent)
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
	r := ask("f1", "t1")
	r.Partition, r.Program, r.Adopt = 1, "f", found.Chain
	assert.Equal(t, k.begin("a", r), busy)
	for range maxTransfers {
		v.transferSlots <- struct{}{} // copies are not evened out for now
	}
	c.assign("a", "?c")
	c.publish("a", "c")
	assert.Equal(t, k.beginUntilCertain("a", r), ok)
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
	c.advance(30 * time.Second) // a counts from its start; b would drop the turn soon
	assert.Equal(t, k.beginUntilCertain("a", ask("t2", "t1")), ok)
	b := c.nodes["b"].turnstore
	c.advance(20 * time.Second)
	for range 8 {
		b.RemoveExpired(c.now())
	}
	assert.Equal(t, k.settle("a", "p", "t2", "t1", 10), ok)
	c.assign("b", "?c")
	c.publish("b", "c")
	assert.Equal(t, k.beginUntilCertain("b", ask("t3", "t2")), ok)
}
