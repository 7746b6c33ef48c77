package turnstore

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// replicator replicates facts to one backup in one term. New facts go through its queue, a batch at a time and in order; facts from
// before the term are synchronized (synchronize.go). TurnStore.mu guards its fields.
type replicator struct {
	store        *TurnStore
	partition    *partition
	term         *term
	folder       string
	queue        []*replicationBatch // the first one may be in flight
	running      bool                // run is running
	synchronized bool                // the backup has all facts that this turn store had when the term began
	unsynced     bool                // the partition map lists the backup as not synced
	recovering   bool                // this turn store may lack facts of the backup: the first synchronization pulls them
}

// replicationBatch is the facts that go to a backup in one call. Without facts the call checks that the backup has observed no newer
// epoch.
type replicationBatch struct {
	facts        []*tierv1.Fact
	size         int           // of the facts, in bytes
	inFlight     bool          // no more facts are added to it
	acknowledged chan struct{} // closed when the backup has synced it
}

// replicationQueueLimit is the number of bytes that may be queued for one backup before new attempts are rejected.
const replicationQueueLimit = 8 << 20

// Bounds of the pause before a batch is sent again. The first pause is twice the lower bound.
const (
	minReplicationBackoff = 20 * time.Millisecond
	maxReplicationBackoff = 400 * time.Millisecond
)

// enqueue queues facts for all backups, and returns a batch for each. None of these was in flight before the call. The caller holds mu.
func (t *term) enqueue(facts ...*tierv1.Fact) []*replicationBatch {
	if len(t.replicators) == 0 {
		return nil
	}
	size := 0
	for _, f := range facts {
		size += proto.Size(f)
	}
	batches := make([]*replicationBatch, len(t.replicators))
	for i, r := range t.replicators {
		batches[i] = r.enqueue(facts, size)
	}
	return batches
}

// enqueue adds facts of size bytes to the last batch of the queue, or to a new one, and returns that. The caller holds mu.
func (r *replicator) enqueue(facts []*tierv1.Fact, size int) *replicationBatch {
	var batch *replicationBatch
	if n := len(r.queue); n > 0 {
		batch = r.queue[n-1]
	}
	if batch == nil || batch.inFlight || batch.size > 0 && batch.size+size > chunkBytes {
		batch = &replicationBatch{acknowledged: make(chan struct{})}
		r.queue = append(r.queue, batch)
	}
	batch.facts = append(batch.facts, facts...)
	batch.size += size
	if !r.running && !r.store.closed {
		r.running = true
		r.store.background.Add(1)
		go r.run()
	}
	return batch
}

// maxQueuedBytes returns the number of bytes that are queued for the slowest backup. The caller holds mu.
func (t *term) maxQueuedBytes() int {
	longest := 0
	for _, r := range t.replicators {
		queued := 0
		for _, batch := range r.queue {
			queued += batch.size
		}
		longest = max(longest, queued)
	}
	return longest
}

// run sends batches until the queue is empty or the term ends. A batch that is not acknowledged is sent again after a backoff.
func (r *replicator) run() {
	defer r.store.background.Done()
	failures := 0
	for {
		r.store.mu.Lock()
		if r.term.ended || len(r.queue) == 0 {
			r.running = false
			r.store.mu.Unlock()
			return
		}
		batch := r.queue[0]
		batch.inFlight = true
		r.store.mu.Unlock()
		if !r.replicate(batch.facts, batch.size, failures) {
			failures++
			sleep(r.store.ctx, r.term.closed, backoff(minReplicationBackoff, failures, maxReplicationBackoff))
			continue
		}
		failures = 0
		r.store.mu.Lock()
		if !r.term.ended {
			r.queue = r.queue[1:]
			close(batch.acknowledged)
		}
		r.store.mu.Unlock()
	}
}

// replicate sends facts of size bytes and reports whether the backup has synced them. The time-out grows with the number of previous
// failures. A reply that the epoch is stale ends the term.
func (r *replicator) replicate(facts []*tierv1.Fact, size, failures int) bool {
	client := r.store.client(r.folder)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(r.store.ctx, r.store.replyTimeout(size, failures))
	defer cancel()
	reply, err := client.Replicate(ctx, &tierv1.ReplicateRequest{To: r.folder,
		Partition: r.partition.id, Epoch: r.term.epoch, From: r.store.folder, Facts: facts})
	if err != nil {
		return false
	}
	if reply.Stale {
		r.store.mu.Lock()
		if r.partition.term == r.term && !r.term.ended {
			r.partition.endTerm()
			r.store.cfg.Log.Info().Str("event", "turnstore_deposed").Uint32("partition", r.partition.id).Uint64("epoch", r.term.epoch).
				Str("by", r.folder).Msg("a newer epoch has ended the term")
		}
		r.store.mu.Unlock()
		return false
	}
	return reply.Acknowledged
}

// replyTimeout bounds the time for the reply to a call that transfers size bytes, after a number of consecutive failures.
func (store *TurnStore) replyTimeout(size, failures int) time.Duration {
	timeout := store.cfg.ReplyTimeout + time.Duration(size)*time.Microsecond // at a megabyte a second
	return timeout << min(failures, 3)
}

// client returns a client of the turn store of a folder, or nil if its address is unknown.
func (store *TurnStore) client(folder string) tierv1.TurnStore {
	store.mu.Lock()
	defer store.mu.Unlock()
	address := store.storeNodes[folder]
	if address == "" || store.closed {
		return nil
	}
	c := store.clients[address]
	if c == nil {
		c = store.cfg.Dial(address)
		store.clients[address] = c
	}
	return c
}
