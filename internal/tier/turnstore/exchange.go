package turnstore

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// maxComparisons is how many comparisons with one other turn store may run at the same time.
const maxComparisons = 2

// synchronize makes a backup and this turn store hold the same facts, once in each term, while requests go on. A backup that
// doesn't answer holds up no exchange but those with itself.
func (r *replicator) synchronize() {
	defer r.store.background.Done()
	comparisons := r.store.comparisonSlotsOf(r.folder)
	for fails := 0; ; fails++ {
		if !r.acquire(comparisons) {
			return
		}
		marker := r.compare(fails)
		<-comparisons
		if marker != nil {
			r.awaitMarker(marker)
			return
		}
		if !sleep(r.store.ctx, r.term.closed, min(50*time.Millisecond<<min(fails, 5), time.Second)) {
			return
		}
	}
}

// acquire takes a place in a semaphore. It is false when the term or the turn store has ended.
func (r *replicator) acquire(semaphore chan struct{}) bool {
	select {
	case semaphore <- struct{}{}:
		return true
	case <-r.term.closed:
	case <-r.store.ctx.Done():
	}
	return false
}

// comparisonSlotsOf is the semaphore of comparisons with another folder.
func (store *TurnStore) comparisonSlotsOf(folder string) chan struct{} {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.comparisonSlots[folder] == nil {
		store.comparisonSlots[folder] = make(chan struct{}, maxComparisons)
	}
	return store.comparisonSlots[folder]
}

// awaitMarker waits for the round that was made when the lists were compared.
func (r *replicator) awaitMarker(marker *replicationBatch) {
	select {
	case <-marker.acknowledged:
		if r.recovering {
			r.finishRecovery()
		} else {
			r.markSynchronized()
		}
	case <-r.term.closed:
	case <-r.store.ctx.Done():
	}
}

// markSynchronized notes that the backup holds all that this turn store does.
func (r *replicator) markSynchronized() {
	r.store.mu.Lock()
	r.synchronized = true
	r.store.notifyChanged()
	r.store.mu.Unlock()
}

// finishRecovery notes that all facts of the backup are here, once they are synced. After the last one of those that the term
// recovers from the copies are compared anew, as each may lack what came from another.
func (r *replicator) finishRecovery() {
	synced := r.store.commit.add()
	if <-synced.done; synced.err != nil {
		return // the disk has failed: the turn store serves nothing
	}
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	if r.term.ended {
		return
	}
	r.recovering = false
	r.term.pendingRecoveries--
	if r.term.pendingRecoveries == 0 {
		r.store.startSynchronizations(r.term, func(*replicator) bool { return true })
	}
}

// compare compares and evens out what the two hold. The backup holds all that stood here at its begin when the round that
// it gives is done. It gives nil where it has to be tried again; more time is left after fails.
func (r *replicator) compare(fails int) *replicationBatch {
	v := r.store
	client := v.client(r.folder)
	if client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(v.ctx, 8*v.cfg.ReplyTimeout)
	reply, err := client.Held(ctx, &tierv1.HeldRequest{Partition: r.partition.id, Epoch: r.term.epoch, To: r.folder})
	cancel()
	if err != nil || !reply.Ok {
		return nil
	}
	if !r.acquire(v.transferSlots) { // only now: one that is silent must not keep a slot
		return nil
	}
	defer func() { <-v.transferSlots }()
	held := make(map[string]struct{}, len(reply.Keys))
	for _, key := range reply.Keys {
		held[key] = struct{}{}
	}
	v.mu.Lock()
	if r.term.ended {
		v.mu.Unlock()
		return nil
	}
	var lacks []*entry
	for _, e := range r.partition.entries {
		if e.lacks(held) {
			lacks = append(lacks, e)
		}
	}
	var missing []string
	for _, key := range reply.Keys {
		if !r.partition.has(key) {
			missing = append(missing, key)
		}
	}
	// What was added in this term before the list was made has gone, or goes, in rounds before this one.
	marker := r.enqueue(nil, 0)
	v.mu.Unlock()
	if !r.pull(client, missing, fails) || !r.push(lacks, fails) {
		return nil
	}
	return marker
}

// pull takes in facts that the backup holds and this turn store lacks, and hands them on to the other backups.
func (r *replicator) pull(client tierv1.TurnStore, missing []string, fails int) bool {
	const most = 512 // keys of one request
	v := r.store
	for len(missing) > 0 {
		began := time.Now()
		ask := missing[:min(len(missing), most)]
		ctx, cancel := context.WithTimeout(v.ctx, v.replyTimeout(2*chunkBytes, fails))
		reply, err := client.Fetch(ctx, &tierv1.FetchRequest{Partition: r.partition.id, Keys: ask})
		cancel()
		if err != nil || !reply.Ok {
			return false
		}
		v.mu.Lock()
		if r.term.ended {
			v.mu.Unlock()
			return true
		}
		var fresh []*tierv1.Fact
		size := 0
		for _, f := range reply.Facts {
			if f.Partition == r.partition.id && v.state.add(f, v.cfg.Now()) {
				fresh = append(fresh, f)
				size += proto.Size(f)
			}
		}
		if len(fresh) > 0 {
			v.commit.add(fresh...)
			for _, other := range r.term.replicators {
				if other != r {
					other.enqueue(fresh, size)
				}
			}
		}
		rest := make([]string, 0, len(missing))
		for _, key := range missing {
			if !r.partition.has(key) {
				rest = append(rest, key)
			}
		}
		v.mu.Unlock()
		if len(rest) == len(missing) { // dropped there meanwhile
			rest = rest[len(ask):]
		}
		missing = rest
		if !r.throttle(began) {
			return true
		}
	}
	return true
}

// push sends what the backup lacks, a chunk at a time.
func (r *replicator) push(lacks []*entry, fails int) bool {
	v := r.store
	for len(lacks) > 0 {
		began := time.Now()
		var facts []*tierv1.Fact
		size, n := 0, 0
		v.mu.Lock()
		for n < len(lacks) && size < chunkBytes {
			e := lacks[n]
			n++
			if r.partition.entries[e.attempt] != e {
				continue
			}
			facts = append(facts, r.partition.facts(e)...)
			size += int(e.size)
			if e.turn != nil {
				size += len(e.turn.Attempt)
			}
		}
		v.mu.Unlock()
		if len(facts) > 0 && !r.replicate(facts, size, fails) {
			return false // compared anew: what has come over is not sent again
		}
		lacks = lacks[n:]
		if !r.throttle(began) {
			return false
		}
	}
	return true
}

// throttle pauses for as long as the last step took, so that requests have half of the link and the disks at least.
func (r *replicator) throttle(began time.Time) bool {
	return sleep(r.store.ctx, r.term.closed, min(time.Since(began), 250*time.Millisecond))
}
