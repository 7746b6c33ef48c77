package turnstore

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	maxTransfers           = 2   // synchronizations that transfer facts at the same time
	maxComparisons         = 2   // synchronizations with one other turn store that run at the same time
	maxKeysPerFetch        = 512 // keys of one Fetch
	minSynchronizeBackoff  = 50 * time.Millisecond
	maxSynchronizeBackoff  = time.Second
	maxThrottle            = 250 * time.Millisecond // longest pause after a step
	compareTimeoutMultiple = 8                      // the reply to Held may take this many times ReplyTimeout
)

// startSynchronizations starts the synchronization with the selected backups of a term. The caller holds mu.
func (store *TurnStore) startSynchronizations(t *term, selected func(*replicator) bool) {
	for _, r := range t.replicators {
		if selected(r) && !store.closed {
			store.background.Add(1)
			go r.synchronize()
		}
	}
}

// synchronize exchanges missing facts between the backup and this turn store, once in each term, while requests are served. It is the
// anti-entropy for facts from before the term. It retries with a backoff until it succeeds or the term ends. An unresponsive backup
// delays only the synchronizations with itself.
func (r *replicator) synchronize() {
	defer r.store.background.Done()
	comparisons := r.store.comparisonSlotsOf(r.folder)
	for failures := 0; ; failures++ {
		if !r.acquire(comparisons) {
			return
		}
		marker := r.reconcile(failures)
		<-comparisons
		if marker != nil {
			r.awaitMarker(marker)
			return
		}
		if !sleep(r.store.ctx, r.term.closed, backoff(minSynchronizeBackoff, failures, maxSynchronizeBackoff)) {
			return
		}
	}
}

// acquire acquires a semaphore, and reports false if the term or the turn store ends first.
func (r *replicator) acquire(semaphore chan struct{}) bool {
	select {
	case semaphore <- struct{}{}:
		return true
	case <-r.term.closed:
	case <-r.store.ctx.Done():
	}
	return false
}

// comparisonSlotsOf returns the semaphore of the comparisons with the turn store of a folder.
func (store *TurnStore) comparisonSlotsOf(folder string) chan struct{} {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.comparisonSlots[folder] == nil {
		store.comparisonSlots[folder] = make(chan struct{}, maxComparisons)
	}
	return store.comparisonSlots[folder]
}

// awaitMarker completes the synchronization when the backup has acknowledged the batch that reconcile returned.
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

// markSynchronized records that the backup has all facts of this turn store.
func (r *replicator) markSynchronized() {
	r.store.mu.Lock()
	r.synchronized = true
	r.store.notifyChanged()
	r.store.mu.Unlock()
}

// finishRecovery records that this turn store has all facts of the backup, once they are synced. After the last of the backups to
// recover from, all backups are synchronized, as each may lack facts that came from another.
func (r *replicator) finishRecovery() {
	r.store.mu.Lock() // Reopen replaces the committer
	synced := r.store.commit.add()
	r.store.mu.Unlock()
	if <-synced.done; synced.err != nil {
		return // the disk has failed: Reopen begins a new term
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

// reconcile compares the facts of the backup and of this turn store, and transfers those that either lacks. As soon as the batch that
// it returns is acknowledged, the backup has all facts that were here at the time of the comparison. It returns nil if it has to be
// retried.
func (r *replicator) reconcile(failures int) *replicationBatch {
	store := r.store
	client := store.client(r.folder)
	if client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(store.ctx, compareTimeoutMultiple*store.cfg.ReplyTimeout)
	reply, err := client.Held(ctx, &tierv1.FactKeysRequest{Partition: r.partition.id, Epoch: r.term.epoch, To: r.folder})
	cancel()
	if err != nil || !reply.Ok {
		return nil
	}
	if !r.acquire(store.transferSlots) { // acquired after the reply, as an unresponsive backup must not occupy a slot
		return nil
	}
	defer func() { <-store.transferSlots }()
	held := make(map[string]struct{}, len(reply.Keys))
	for _, key := range reply.Keys {
		held[key] = struct{}{}
	}
	store.mu.Lock()
	if r.term.ended {
		store.mu.Unlock()
		return nil
	}
	var missingAtBackup []*entry
	for _, e := range r.partition.entries {
		if e.missingFrom(held) {
			missingAtBackup = append(missingAtBackup, e)
		}
	}
	missingLocally := r.partition.missing(reply.Keys)
	// Facts added in this term before the reply was made are in batches before this one.
	marker := r.enqueue(nil, 0)
	store.mu.Unlock()
	if !r.pull(client, missingLocally, failures) || !r.push(missingAtBackup, failures) {
		return nil
	}
	return marker
}

// pull fetches the facts of missing keys from the backup, adds them here, and queues them for the other backups. It reports false if
// it has to be retried.
func (r *replicator) pull(client tierv1.TurnStore, missing []string, failures int) bool {
	store := r.store
	for len(missing) > 0 {
		began := time.Now()
		requested := missing[:min(len(missing), maxKeysPerFetch)]
		ctx, cancel := context.WithTimeout(store.ctx, store.replyTimeout(2*chunkBytes, failures))
		reply, err := client.Fetch(ctx, &tierv1.FetchRequest{Partition: r.partition.id, Keys: requested})
		cancel()
		if err != nil || !reply.Ok {
			return false
		}
		store.mu.Lock()
		if r.term.ended {
			store.mu.Unlock()
			return true
		}
		r.addPulled(reply.Facts)
		rest := r.partition.missing(missing)
		store.mu.Unlock()
		if len(rest) == len(missing) { // the backup has dropped them meanwhile
			rest = rest[len(requested):]
		}
		missing = rest
		if !r.throttle(began) {
			return true
		}
	}
	return true
}

// addPulled adds facts of the backup, writes them, and queues them for the other backups. The caller holds mu.
func (r *replicator) addPulled(facts []*tierv1.Fact) {
	var fresh []*tierv1.Fact
	size := 0
	for _, f := range facts {
		if f.Partition == r.partition.id && r.store.state.add(f, r.store.cfg.Now()) {
			fresh = append(fresh, f)
			size += proto.Size(f)
		}
	}
	if len(fresh) == 0 {
		return
	}
	r.store.commit.add(fresh...)
	for _, other := range r.term.replicators {
		if other != r {
			other.enqueue(fresh, size)
		}
	}
}

// push sends the facts of entries that the backup lacks, a chunk at a time. It reports false if it has to be retried.
func (r *replicator) push(missing []*entry, failures int) bool {
	store := r.store
	for len(missing) > 0 {
		began := time.Now()
		var facts []*tierv1.Fact
		size, n := 0, 0
		store.mu.Lock()
		for n < len(missing) && size < chunkBytes {
			e := missing[n]
			n++
			if r.partition.entries[e.attempt] != e { // dropped meanwhile
				continue
			}
			facts = append(facts, r.partition.facts(e)...)
			size += int(e.size)
			if e.turn != nil {
				size += len(e.turn.Attempt)
			}
		}
		store.mu.Unlock()
		if len(facts) > 0 && !r.replicate(facts, size, failures) {
			return false // the next comparison excludes the facts that have arrived
		}
		missing = missing[n:]
		if !r.throttle(began) {
			return false
		}
	}
	return true
}

// throttle pauses for as long as the last step took, so that requests get at least half of the network and the disks. It reports false if
// the term or the turn store ends.
func (r *replicator) throttle(began time.Time) bool {
	return sleep(r.store.ctx, r.term.closed, min(time.Since(began), maxThrottle))
}
