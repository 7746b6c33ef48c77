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
	id      uint64
	firstID uint64 // id of the first term since which this turn store has been the primary without a break
	epoch   uint64
	senders []*sender
	closed  chan struct{} // closed when it ends: by a newer epoch
	ended   bool
	// recovering counts the backups that hold what this turn store may lack and with which all facts have yet to be exchanged.
	recovering int
	// unconfirmed is set until control knows that this turn store has recovered: nothing is answered before, so that control
	// knows in which epochs something can have been acknowledged.
	unconfirmed bool
	// primarySince is when this turn store became the primary, and could answer as such: at the first of the terms without a
	// break, or when control knew that it had recovered.
	primarySince time.Time
}

// end closes the term in force, if any. The lock is held.
func (p *partition) end() {
	if t := p.term; t != nil && !t.ended {
		t.ended = true
		close(t.closed)
		for _, s := range t.senders {
			s.rounds = nil
		}
	}
}

// sender brings facts to one backup in one term.
type sender struct {
	v         *TurnStore
	p         *partition
	t         *term
	folder    string
	rounds    []*round // the first may be under way
	running   bool
	exchanged bool // the backup holds all that this turn store held when its term began
	unsynced  bool // says the map
	recover   bool // this turn store may lack what the backup holds: the first exchange is to bring it here
}

// round is facts that go to a backup in one message; none: only the epoch is asked for.
type round struct {
	facts  []*tierv1.Fact
	size   int
	sealed bool
	done   chan struct{} // closed when the backup has taken it
}

// maxQueuedBytes is how many bytes may wait for one backup before new turns are turned away.
const maxQueuedBytes = 8 << 20

// enqueue brings facts to all backups. A round that it gives begins after the call. The lock is held.
func (t *term) enqueue(facts ...*tierv1.Fact) []*round {
	if len(t.senders) == 0 {
		return nil
	}
	size := 0
	for _, f := range facts {
		size += proto.Size(f)
	}
	rounds := make([]*round, len(t.senders))
	for i, s := range t.senders {
		rounds[i] = s.enqueue(facts, size)
	}
	return rounds
}

func (s *sender) enqueue(facts []*tierv1.Fact, size int) *round {
	var r *round
	if n := len(s.rounds); n > 0 {
		r = s.rounds[n-1]
	}
	if r == nil || r.sealed || r.size > 0 && r.size+size > chunkBytes {
		r = &round{done: make(chan struct{})}
		s.rounds = append(s.rounds, r)
	}
	r.facts = append(r.facts, facts...)
	r.size += size
	if !s.running && !s.v.closed {
		s.running = true
		s.v.loops.Add(1)
		go s.run()
	}
	return r
}

// queuedBytes is how many bytes wait for the slowest backup.
func (t *term) queuedBytes() int {
	most := 0
	for _, s := range t.senders {
		n := 0
		for _, r := range s.rounds {
			n += r.size
		}
		most = max(most, n)
	}
	return most
}

// run sends rounds until there are none, or the term ends. A round without an answer is sent again.
func (s *sender) run() {
	defer s.v.loops.Done()
	fails := 0
	for {
		s.v.mu.Lock()
		if s.t.ended || len(s.rounds) == 0 {
			s.running = false
			s.v.mu.Unlock()
			return
		}
		r := s.rounds[0]
		r.sealed = true
		s.v.mu.Unlock()
		if !s.replicate(r.facts, r.size, fails) {
			fails++
			if !pause(s.v.ctx, s.t.closed, min(20*time.Millisecond<<min(fails, 5), 400*time.Millisecond)) {
				continue // the term is over, or the turn store
			}
			continue
		}
		fails = 0
		s.v.mu.Lock()
		if !s.t.ended {
			s.rounds = s.rounds[1:]
			close(r.done)
		}
		s.v.mu.Unlock()
	}
}

// replicate tells whether the backup has taken the facts. A stale epoch ends the term.
func (s *sender) replicate(facts []*tierv1.Fact, size, fails int) bool {
	client := s.v.client(s.folder)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(s.v.ctx, s.v.replyTimeout(size, fails))
	defer cancel()
	reply, err := client.Replicate(ctx, &tierv1.ReplicateRequest{To: s.folder,
		Partition: s.p.id, Epoch: s.t.epoch, From: s.v.folder, Facts: facts})
	if err != nil {
		return false
	}
	if reply.Stale {
		s.v.mu.Lock()
		if s.p.term == s.t && !s.t.ended {
			s.p.end()
			s.v.cfg.Log.Info().Str("event", "turnstore_deposed").Uint32("partition", s.p.id).Uint64("epoch", s.t.epoch).
				Str("by", s.folder).Msg("")
		}
		s.v.mu.Unlock()
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

// serving gives the partition where this turn store may speak for it. The lock is held.
func (store *TurnStore) serving(id uint32) (*partition, tierv1.Verdict) {
	if !store.mapped || store.closed || !store.writable() {
		return nil, tierv1.Verdict_BUSY
	}
	p := store.store.partitions[id]
	if p == nil || p.term == nil || p.term.ended {
		return nil, tierv1.Verdict_MOVED
	}
	if p.term.unconfirmed {
		return nil, tierv1.Verdict_BUSY
	}
	return p, tierv1.Verdict_OK
}

// outcome is how a wait ended.
type outcome int

const (
	done       outcome = iota
	termEnded          // the term ended: to be looked at again
	timedOut           // the time is over
	diskFailed         // the disk is
)

// wait returns when facts are synced here, where b is given, and taken by all backups.
func (t *term) wait(ctx context.Context, b *batch, rounds []*round) outcome {
	for _, r := range rounds {
		select {
		case <-r.done: // also where the time is over
			continue
		default:
		}
		select {
		case <-r.done:
		case <-t.closed:
			return termEnded
		case <-ctx.Done():
			return timedOut
		}
	}
	if b == nil {
		return done
	}
	select {
	case <-b.done:
		if b.err != nil {
			return diskFailed
		}
		return done
	case <-ctx.Done():
		return timedOut
	}
}
