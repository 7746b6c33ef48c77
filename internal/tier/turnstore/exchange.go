package turnstore

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// maxComparisons is how many comparisons with one other turn store may run at the same time.
const maxComparisons = 2

// exchange makes a backup and this turn store hold the same facts, once in each term, while requests go on. A backup that
// doesn't answer holds up no exchange but those with itself.
func (s *sender) exchange() {
	defer s.v.loops.Done()
	comparisons := s.v.comparisonsWith(s.folder)
	for fails := 0; ; fails++ {
		if !s.acquire(comparisons) {
			return
		}
		marker := s.reconcile(fails)
		<-comparisons
		if marker != nil {
			s.awaitMarker(marker)
			return
		}
		if !pause(s.v.ctx, s.t.closed, min(50*time.Millisecond<<min(fails, 5), time.Second)) {
			return
		}
	}
}

// acquire takes a place in a semaphore. It is false when the term or the turn store has ended.
func (s *sender) acquire(semaphore chan struct{}) bool {
	select {
	case semaphore <- struct{}{}:
		return true
	case <-s.t.closed:
	case <-s.v.ctx.Done():
	}
	return false
}

// comparisonsWith is the semaphore of comparisons with another folder.
func (store *TurnStore) comparisonsWith(folder string) chan struct{} {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.comparisons[folder] == nil {
		store.comparisons[folder] = make(chan struct{}, maxComparisons)
	}
	return store.comparisons[folder]
}

// awaitMarker waits for the round that was made when the lists were compared.
func (s *sender) awaitMarker(marker *round) {
	select {
	case <-marker.done:
		if s.recover {
			s.finishRecovery()
		} else {
			s.finish()
		}
	case <-s.t.closed:
	case <-s.v.ctx.Done():
	}
}

// finish notes that the backup holds all that this turn store does.
func (s *sender) finish() {
	s.v.mu.Lock()
	s.exchanged = true
	s.v.signal()
	s.v.mu.Unlock()
}

// finishRecovery notes that all facts of the backup are here, once they are synced. After the last one of those that the term
// recovers from the copies are compared anew, as each may lack what came from another.
func (s *sender) finishRecovery() {
	synced := s.v.commit.add()
	if <-synced.done; synced.err != nil {
		return // the disk has failed: the turn store serves nothing
	}
	s.v.mu.Lock()
	defer s.v.mu.Unlock()
	if s.t.ended {
		return
	}
	s.recover = false
	s.t.recovering--
	if s.t.recovering == 0 {
		s.v.startExchanges(s.t, func(*sender) bool { return true })
	}
}

// reconcile compares and evens out what the two hold. The backup holds all that stood here at its begin when the round that
// it gives is done. It gives nil where it has to be tried again; more time is left after fails.
func (s *sender) reconcile(fails int) *round {
	v := s.v
	client := v.client(s.folder)
	if client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(v.ctx, 8*v.cfg.ReplyTimeout)
	reply, err := client.Held(ctx, &tierv1.HeldRequest{Partition: s.p.id, Epoch: s.t.epoch, To: s.folder})
	cancel()
	if err != nil || !reply.Ok {
		return nil
	}
	if !s.acquire(v.slots) { // only now: one that is silent must not keep a slot
		return nil
	}
	defer func() { <-v.slots }()
	held := make(map[string]struct{}, len(reply.Keys))
	for _, key := range reply.Keys {
		held[key] = struct{}{}
	}
	v.mu.Lock()
	if s.t.ended {
		v.mu.Unlock()
		return nil
	}
	var lacks []*entry
	for _, e := range s.p.entries {
		if e.lacks(held) {
			lacks = append(lacks, e)
		}
	}
	var missing []string
	for _, key := range reply.Keys {
		if !s.p.has(key) {
			missing = append(missing, key)
		}
	}
	// What was added in this term before the list was made has gone, or goes, in rounds before this one.
	marker := s.enqueue(nil, 0)
	v.mu.Unlock()
	if !s.pull(client, missing, fails) || !s.push(lacks, fails) {
		return nil
	}
	return marker
}

// pull takes in facts that the backup holds and this turn store lacks, and hands them on to the other backups.
func (s *sender) pull(client tierv1.TurnStore, missing []string, fails int) bool {
	const most = 512 // keys of one request
	v := s.v
	for len(missing) > 0 {
		began := time.Now()
		ask := missing[:min(len(missing), most)]
		ctx, cancel := context.WithTimeout(v.ctx, v.replyTimeout(2*chunkBytes, fails))
		reply, err := client.Fetch(ctx, &tierv1.FetchRequest{Partition: s.p.id, Keys: ask})
		cancel()
		if err != nil || !reply.Ok {
			return false
		}
		v.mu.Lock()
		if s.t.ended {
			v.mu.Unlock()
			return true
		}
		var fresh []*tierv1.Fact
		size := 0
		for _, f := range reply.Facts {
			if f.Partition == s.p.id && v.store.add(f, v.cfg.Now()) {
				fresh = append(fresh, f)
				size += proto.Size(f)
			}
		}
		if len(fresh) > 0 {
			v.commit.add(fresh...)
			for _, other := range s.t.senders {
				if other != s {
					other.enqueue(fresh, size)
				}
			}
		}
		rest := make([]string, 0, len(missing))
		for _, key := range missing {
			if !s.p.has(key) {
				rest = append(rest, key)
			}
		}
		v.mu.Unlock()
		if len(rest) == len(missing) { // dropped there meanwhile
			rest = rest[len(ask):]
		}
		missing = rest
		if !s.yield(began) {
			return true
		}
	}
	return true
}

// push sends what the backup lacks, a chunk at a time.
func (s *sender) push(lacks []*entry, fails int) bool {
	v := s.v
	for len(lacks) > 0 {
		began := time.Now()
		var facts []*tierv1.Fact
		size, n := 0, 0
		v.mu.Lock()
		for n < len(lacks) && size < chunkBytes {
			e := lacks[n]
			n++
			if s.p.entries[e.attempt] != e {
				continue
			}
			facts = append(facts, s.p.facts(e)...)
			size += int(e.size)
			if e.turn != nil {
				size += len(e.turn.Attempt)
			}
		}
		v.mu.Unlock()
		if len(facts) > 0 && !s.replicate(facts, size, fails) {
			return false // compared anew: what has come over is not sent again
		}
		lacks = lacks[n:]
		if !s.yield(began) {
			return false
		}
	}
	return true
}

// yield pauses for as long as the last step took, so that requests have half of the link and the disks at least.
func (s *sender) yield(began time.Time) bool {
	return pause(s.v.ctx, s.t.closed, min(time.Since(began), 250*time.Millisecond))
}
