package turnstore

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestReplicate_RejectsStaleEpochs(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	v := c.nodes["b"].turnstore
	a, x := c.nodes["a"].turnstore.Folder(), "x"
	replicate := func(epoch uint64, from string) *tierv1.ReplicateReply {
		r, err := v.Replicate(c.ctx, &tierv1.ReplicateRequest{Epoch: epoch, From: from})
		assert.NilError(t, err)
		return r
	}
	assert.Assert(t, replicate(1, a).Acknowledged)
	assert.Assert(t, replicate(1, x).Stale)
	assert.Assert(t, replicate(0, a).Stale)
	assert.Assert(t, replicate(3, x).Acknowledged)
	assert.Assert(t, replicate(1, a).Stale)
	assert.Assert(t, replicate(3, a).Stale)
	c.assign("b", "a") // epoch 2: b has observed epoch 3
	c.publish()
	assert.Equal(t, k.begin("b", beginRequest("t2", "t1")), moved)
}

// A message for a lost folder must be ignored by another folder at its address, including the epoch in the message.
func TestReplicate_IgnoresMessagesForAnotherFolder(t *testing.T) {
	c, k := newPair(t)
	k.mustStore("a", "t1", "")
	v := c.nodes["b"].turnstore
	a := c.nodes["a"].turnstore.Folder()
	for to, accepted := range map[string]bool{"lost": false, v.Folder(): true, "": true} {
		r, err := v.Replicate(c.ctx, &tierv1.ReplicateRequest{Epoch: 1, From: a, To: to})
		assert.NilError(t, err)
		assert.Equal(t, r.Acknowledged, accepted, to)
		assert.Assert(t, !r.Stale)
		h, err := v.Held(c.ctx, &tierv1.FactKeysRequest{Epoch: 1, To: to})
		assert.NilError(t, err)
		assert.Equal(t, h.Ok, accepted, to)
	}
	r, err := v.Replicate(c.ctx, &tierv1.ReplicateRequest{Epoch: 9, From: "x", To: "lost", Facts: []*tierv1.Fact{reservedFact("x", 1)}})
	assert.NilError(t, err)
	assert.Assert(t, !r.Acknowledged)
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), ok) // epoch 1 is still the newest
}

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
	results := make(chan error, 2)
	go func() {
		_, err := b.Replicate(ctx, &tierv1.ReplicateRequest{Epoch: 1, From: a.Folder(), Facts: []*tierv1.Fact{reservedFact("x", 1)}})
		results <- err
	}()
	<-disk.entered
	go func() {
		_, err := b.Held(ctx, &tierv1.FactKeysRequest{Epoch: 1})
		results <- err
	}()
	assert.Equal(t, k.begin("a", beginRequest("t2", "t1")), busy)
	cancel()
	assert.ErrorIs(t, <-results, context.Canceled)
	assert.ErrorIs(t, <-results, context.Canceled)
}
