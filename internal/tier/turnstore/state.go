package turnstore

import (
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	entryOverhead  = 320 // bytes of memory for an entry, beside its text and names
	recordOverhead = 16  // bytes on disk for a record beside its contents, at most
)

// state is the state machine: the facts of all partitions. It does no I/O, reads no clock, and leaves the locking to its caller.
type state struct {
	partitions       map[uint32]*partition
	memory           int64         // bytes, estimated
	disk             int64         // bytes of a compacted write-ahead log, estimated
	longestRetention time.Duration // of all reservations and turns so far
	generation       uint32        // of the write-ahead log: the number of compactions begun
}

// newState returns a state without facts.
func newState() *state { return &state{partitions: map[uint32]*partition{}} }

// partition returns a partition, which is added if it is missing.
func (s *state) partition(id uint32) *partition {
	p := s.partitions[id]
	if p == nil {
		p = &partition{id: id, entries: map[string]*entry{}, programs: map[string]*program{}}
		s.partitions[id] = p
	}
	return p
}

// add merges a fact into its partition and reports whether that changed anything. The result does not depend on the order of facts,
// so replicas that have the same facts agree: a turn takes precedence over none, the larger number of tokens over the smaller, and of
// two facts of the same kind the first one is kept.
func (s *state) add(f *tierv1.Fact, now time.Time) bool {
	if f.Attempt == "" {
		return false
	}
	p := s.partition(f.Partition)
	e := p.entries[f.Attempt]
	if e != nil && e.turn != nil {
		e.lastUsed = now
	}
	var changed bool
	switch of := f.Of.(type) {
	case *tierv1.Fact_Reserved:
		changed = s.addReservation(p, f, of.Reserved, now)
	case *tierv1.Fact_Settled:
		changed = s.addSettlement(p, f, of.Settled, now)
	case *tierv1.Fact_Adopted:
		changed = s.addAdopted(p, f, of.Adopted, now)
	}
	if !changed {
		return false
	}
	e = p.entries[f.Attempt]
	size := int32(proto.Size(f)) + recordOverhead
	e.size += size
	s.disk += int64(size)
	return true
}

// addReservation adds the first reservation of an attempt.
func (s *state) addReservation(p *partition, f *tierv1.Fact, reservation *tierv1.Reservation, now time.Time) bool {
	e := p.entries[f.Attempt]
	if reservation == nil || e != nil && e.reserved {
		return false
	}
	e = s.entry(p, f, true, now)
	before := e.charge()
	e.reserved, e.limited, e.budget, e.maxTokens = true, reservation.Limited, reservation.Budget, reservation.MaxTokens
	e.retentionMs = reservation.RetentionMs
	s.longestRetention = max(s.longestRetention, time.Duration(e.retentionMs)*time.Millisecond)
	e.program.charged += e.charge() - before
	return true
}

// addSettlement adds the first settlement of an attempt, or one that adds its turn or more tokens.
func (s *state) addSettlement(p *partition, f *tierv1.Fact, settlement *tierv1.Settlement, now time.Time) bool {
	if settlement == nil {
		return false
	}
	e := p.entries[f.Attempt]
	if e != nil && e.settled && (e.turn != nil || settlement.Turn == nil) && settlement.Tokens <= e.tokens {
		return false
	}
	e = s.entry(p, f, true, now)
	before := e.charge()
	e.settled, e.tokens = true, max(e.tokens, settlement.Tokens)
	e.program.charged += e.charge() - before
	s.setTurn(e, settlement.Turn, now)
	return true
}

// addAdopted adds the turn of another partition, unless the attempt has one.
func (s *state) addAdopted(p *partition, f *tierv1.Fact, turn *tierv1.Turn, now time.Time) bool {
	e := p.entries[f.Attempt]
	if turn == nil || e != nil && e.turn != nil {
		return false
	}
	e = s.entry(p, f, false, now)
	e.adopted = true
	s.setTurn(e, turn, now)
	return true
}

// entry returns the entry of a fact's attempt, which is added if it is missing. If charged is set, the entry is charged to the
// fact's program, unless it is charged to one already.
func (s *state) entry(p *partition, f *tierv1.Fact, charged bool, now time.Time) *entry {
	e := p.entries[f.Attempt]
	if e == nil {
		e = &entry{attempt: f.Attempt, generation: s.generation}
		p.entries[f.Attempt] = e
		s.memory += entryOverhead + int64(len(f.Attempt))
	}
	if charged && e.program == nil {
		g := p.programs[f.Program]
		if g == nil {
			g = &program{name: f.Program}
			p.programs[f.Program] = g
			s.memory += entryOverhead
		}
		g.entries++
		e.program = g
	}
	if e.program != nil {
		e.program.lastUsed = now
	}
	return e
}

// setTurn stores the text of an entry's turn, unless t is nil or the entry has one.
func (s *state) setTurn(e *entry, t *tierv1.Turn, now time.Time) {
	if t == nil || e.turn != nil {
		return
	}
	e.turn, e.storedAt = t, now
	s.longestRetention = max(s.longestRetention, retention(t))
	s.memory += turnSize(t)
}

// partition is the facts of one partition, and the role of this turn store in it.
type partition struct {
	id       uint32
	entries  map[string]*entry   // by attempt
	programs map[string]*program // by name
	gcCycle  uint32              // number of the last removeExpired
	role
}

// program is a budget and what is charged to it.
type program struct {
	name            string
	charged         uint64 // tokens: of settlements, and reserved by attempts that are not settled
	entries         int    // attempts charged to it
	lastUsed        time.Time
	failedEndpoints []failedEndpoint // recent ones, oldest first
}

// entry is the merged facts of an attempt: its reservation, its settlement, and its turn.
type entry struct {
	attempt           string
	program           *program     // nil for a turn that is only adopted
	turn              *tierv1.Turn // nil: its text is not stored
	budget, maxTokens uint64       // of the reservation
	retentionMs       uint32       // of the reservation's route
	tokens            uint64       // of the settlement
	storedAt          time.Time    // when this process first had its turn
	lastUsed          time.Time    // when its turn was last continued or received again
	term              uint64       // ID of the last term in which its facts were replicated and its budget was checked
	size              int32        // on disk, in bytes
	gcCycle           uint32       // of the last removeExpired in which its turn was reachable
	generation        uint32       // of the write-ahead log that it was written to
	reserved, settled bool
	limited, adopted  bool // the reservation has a budget; the turn was adopted
	replayed          bool // storedAt is the start of this process, not the end of the turn
}

// charge returns the tokens that an attempt is charged to its budget.
func (e *entry) charge() uint64 {
	switch {
	case e.settled:
		return e.tokens
	case e.reserved:
		return e.maxTokens
	}
	return 0
}

// retention returns how long the text of a turn is stored.
func retention(t *tierv1.Turn) time.Duration { return time.Duration(t.RetentionMs) * time.Millisecond }

// turnSize estimates the memory for the text of a turn, in bytes.
func turnSize(t *tierv1.Turn) int64 {
	return int64(len(t.Input) + len(t.Output) + len(t.Attempt) + len(t.Previous) + len(t.Program))
}
