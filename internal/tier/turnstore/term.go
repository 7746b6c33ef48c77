package turnstore

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// role is what this turn store is for a partition, as known in this life of the process.
type role struct {
	epoch           uint64    // newest epoch observed, by a map or by another copy
	primary         string    // its primary's folder; empty if not known
	backup          bool      // this folder is a backup in it
	term            *term     // where this folder is its primary
	unassignedSince time.Time // since when the partition is assigned elsewhere; zero while it is assigned here
}

// term is the time for which this turn store is primary of a partition in one epoch.
type term struct {
	id          uint64
	firstID     uint64 // id of the first term since which this turn store has been the primary without a break
	epoch       uint64
	replicators []*replicator
	closed      chan struct{} // closed when it ends: by a newer epoch
	ended       bool
	// pendingRecoveries counts the backups that hold what this turn store may lack and with which all facts have yet to be exchanged.
	pendingRecoveries int
	// unconfirmed is set until control knows that this turn store has recovered: nothing is answered before, so that control
	// knows in which epochs something can have been acknowledged.
	unconfirmed bool
	// primarySince is when this turn store became the primary, and could answer as such: at the first of the terms without a
	// break, or when control knew that it had recovered.
	primarySince time.Time
}

// endTerm closes the term in force, if any. The lock is held.
func (p *partition) endTerm() {
	if t := p.term; t != nil && !t.ended {
		t.ended = true
		close(t.closed)
		for _, s := range t.replicators {
			s.queue = nil
		}
	}
}

// replicator brings facts to one backup in one term.
type replicator struct {
	store        *TurnStore
	partition    *partition
	term         *term
	folder       string
	queue        []*replicationBatch // the first may be under way
	running      bool
	synchronized bool // the backup holds all that this turn store held when its term began
	unsynced     bool // says the map
	recovering   bool // this turn store may lack what the backup holds: the first exchange is to bring it here
}

// replicationBatch is facts that go to a backup in one message; none: only the epoch is asked for.
type replicationBatch struct {
	facts        []*tierv1.Fact
	size         int
	inFlight     bool
	acknowledged chan struct{} // closed when the backup has taken it
}

// replicationQueueLimit is how many bytes may wait for one backup before new turns are turned away.
const replicationQueueLimit = 8 << 20

// enqueue brings facts to all backups. A round that it gives begins after the call. The lock is held.
func (t *term) enqueue(facts ...*tierv1.Fact) []*replicationBatch {
	if len(t.replicators) == 0 {
		return nil
	}
	size := 0
	for _, f := range facts {
		size += proto.Size(f)
	}
	rounds := make([]*replicationBatch, len(t.replicators))
	for i, s := range t.replicators {
		rounds[i] = s.enqueue(facts, size)
	}
	return rounds
}

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

// maxQueuedBytes is how many bytes wait for the slowest backup.
func (t *term) maxQueuedBytes() int {
	most := 0
	for _, s := range t.replicators {
		n := 0
		for _, r := range s.queue {
			n += r.size
		}
		most = max(most, n)
	}
	return most
}

// run sends rounds until there are none, or the term ends. A round without an answer is sent again.
func (r *replicator) run() {
	defer r.store.background.Done()
	fails := 0
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
		if !r.replicate(batch.facts, batch.size, fails) {
			fails++
			if !sleep(r.store.ctx, r.term.closed, min(20*time.Millisecond<<min(fails, 5), 400*time.Millisecond)) {
				continue // the term is over, or the turn store
			}
			continue
		}
		fails = 0
		r.store.mu.Lock()
		if !r.term.ended {
			r.queue = r.queue[1:]
			close(batch.acknowledged)
		}
		r.store.mu.Unlock()
	}
}

// replicate tells whether the backup has taken the facts. A stale epoch ends the term.
func (r *replicator) replicate(facts []*tierv1.Fact, size, fails int) bool {
	client := r.store.client(r.folder)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(r.store.ctx, r.store.replyTimeout(size, fails))
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
				Str("by", r.folder).Msg("")
		}
		r.store.mu.Unlock()
		return false
	}
	return reply.Taken
}

// replyTimeout is how long an answer is waited for: more for what is large, and after time-outs.
func (store *TurnStore) replyTimeout(size, fails int) time.Duration {
	d := store.cfg.ReplyTimeout + time.Duration(size)*time.Microsecond // a megabyte a second
	return d << min(fails, 3)
}

// client gives the turn store of a folder, nil where its address is not known.
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

// servingPartition gives the partition where this turn store may speak for it. The lock is held.
func (store *TurnStore) servingPartition(id uint32) (*partition, tierv1.Verdict) {
	if !store.hasMap || store.closed || !store.canWrite() {
		return nil, tierv1.Verdict_BUSY
	}
	p := store.state.partitions[id]
	if p == nil || p.term == nil || p.term.ended {
		return nil, tierv1.Verdict_MOVED
	}
	if p.term.unconfirmed {
		return nil, tierv1.Verdict_BUSY
	}
	return p, tierv1.Verdict_OK
}

// waitOutcome is how a wait ended.
type waitOutcome int

const (
	acknowledged waitOutcome = iota
	termEnded                // the term ended: to be looked at again
	timedOut                 // the time is over
	diskFailed               // the disk is
)

// wait returns when facts are synced here, where b is given, and taken by all backups.
func (t *term) wait(ctx context.Context, b *logBatch, rounds []*replicationBatch) waitOutcome {
	for _, r := range rounds {
		select {
		case <-r.acknowledged: // also where the time is over
			continue
		default:
		}
		select {
		case <-r.acknowledged:
		case <-t.closed:
			return termEnded
		case <-ctx.Done():
			return timedOut
		}
	}
	if b == nil {
		return acknowledged
	}
	select {
	case <-b.done:
		if b.err != nil {
			return diskFailed
		}
		return acknowledged
	case <-ctx.Done():
		return timedOut
	}
}
