package turnstore

import (
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// entryOverhead is what one entry costs in memory besides its body and names, in bytes.
const entryOverhead = 320

// recordOverhead is what one record costs on disk besides its bytes, at most.
const recordOverhead = 16

// state holds the facts of all partitions. It is pure: the time is passed in, and its caller locks.
type state struct {
	partitions map[uint32]*partition
	memory     int64         // estimated bytes held
	disk       int64         // estimated bytes that a rewritten write-ahead log has
	longest    time.Duration // longest retention seen
	generation uint32        // of the write-ahead log file that is appended to
}

// partition is the facts of one partition, and this turn store's role in it.
type partition struct {
	id       uint32
	entries  map[string]*entry   // by attempt
	programs map[string]*program // by name
	gcCycle  uint32              // of the last sweep
	role
}

// program is a budget and what is charged to it.
type program struct {
	name            string
	charged         uint64 // tokens: handed out of settled turns + reserved of unsettled ones
	entries         int
	lastUsed        time.Time
	failedEndpoints []failedEndpoint // of late, oldest first
}

// entry is what is known of an attempt: its reservation, its settlement, its turn.
type entry struct {
	attempt           string
	program           *program // nil for a turn that is only adopted
	turn              *tierv1.Turn
	budget, maxTokens uint64
	retentionMs       uint32 // of the route by which the turn came
	tokens            uint64
	storedAt          time.Time // when its turn came to be known here, in this life
	lastUsed          time.Time // when its turn was gone on from, or sent here again, last
	term              uint64    // number of the term in which its facts went to the backups, and its budget was looked at
	size              int32     // on disk
	gcCycle           uint32
	generation        uint32
	reserved, settled bool
	limited, adopted  bool
	replayed          bool // at is not the end of the turn, but the start of this process
}

func newState() *state { return &state{partitions: map[uint32]*partition{}} }

func (s *state) partition(id uint32) *partition {
	p := s.partitions[id]
	if p == nil {
		p = &partition{id: id, entries: map[string]*entry{}, programs: map[string]*program{}}
		s.partitions[id] = p
	}
	return p
}

// charge is what an attempt costs its budget.
func (e *entry) charge() uint64 {
	switch {
	case e.settled:
		return e.tokens
	case e.reserved:
		return e.maxTokens
	}
	return 0
}

func retention(t *tierv1.Turn) time.Duration { return time.Duration(t.RetentionMs) * time.Millisecond }

func turnSize(t *tierv1.Turn) int64 {
	return int64(len(t.Input) + len(t.Output) + len(t.Attempt) + len(t.Previous) + len(t.Program))
}

// add merges a fact into its partition and tells whether anything changed. A turn wins over none, and the larger
// number of tokens wins; otherwise the first one stands, so that copies that hold the same facts agree whatever the order.
func (s *state) add(f *tierv1.Fact, now time.Time) bool {
	if f.Attempt == "" {
		return false
	}
	p := s.partition(f.Partition)
	e := p.entries[f.Attempt]
	if e != nil && e.turn != nil {
		e.lastUsed = now
	}
	switch of := f.Of.(type) {
	case *tierv1.Fact_Reserved:
		if of.Reserved == nil || e != nil && e.reserved {
			return false
		}
		e = s.entry(p, f, true, now)
		before := e.charge()
		e.reserved, e.limited, e.budget, e.maxTokens = true, of.Reserved.Limited, of.Reserved.Budget, of.Reserved.Most
		e.retentionMs = of.Reserved.RetentionMs
		s.longest = max(s.longest, time.Duration(e.retentionMs)*time.Millisecond)
		e.program.charged += e.charge() - before
	case *tierv1.Fact_Settled:
		if of.Settled == nil {
			return false
		}
		if e != nil && e.settled && (e.turn != nil || of.Settled.Turn == nil) && of.Settled.Tokens <= e.tokens {
			return false
		}
		e = s.entry(p, f, true, now)
		before := e.charge()
		e.settled, e.tokens = true, max(e.tokens, of.Settled.Tokens)
		e.program.charged += e.charge() - before
		s.setTurn(e, of.Settled.Turn, now)
	case *tierv1.Fact_Adopted:
		if of.Adopted == nil || e != nil && e.turn != nil {
			return false
		}
		e = s.entry(p, f, false, now)
		e.adopted = true
		s.setTurn(e, of.Adopted, now)
	default:
		return false
	}
	size := int32(proto.Size(f)) + recordOverhead
	e.size += size
	s.disk += int64(size)
	return true
}

// entry gives the entry of a fact's attempt, made where there is none, charged to its program where charged is true.
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

func (s *state) setTurn(e *entry, t *tierv1.Turn, now time.Time) {
	if t == nil || e.turn != nil {
		return
	}
	e.turn, e.storedAt = t, now
	s.longest = max(s.longest, retention(t))
	s.memory += turnSize(t)
}

// facts are an entry's facts as a write-ahead log or another copy gets them.
func (p *partition) facts(e *entry) []*tierv1.Fact {
	list := make([]*tierv1.Fact, 0, 2)
	if e.reserved {
		list = append(list, &tierv1.Fact{Partition: p.id, Program: e.program.name, Attempt: e.attempt,
			Of: &tierv1.Fact_Reserved{Reserved: &tierv1.Reservation{Limited: e.limited, Budget: e.budget, Most: e.maxTokens,
				RetentionMs: e.retentionMs}}})
	}
	if e.settled {
		list = append(list, &tierv1.Fact{Partition: p.id, Program: e.program.name, Attempt: e.attempt,
			Of: &tierv1.Fact_Settled{Settled: &tierv1.Settlement{Tokens: e.tokens, Turn: e.turn}}})
	} else if e.turn != nil {
		list = append(list, &tierv1.Fact{Partition: p.id, Program: e.turn.Program, Attempt: e.attempt,
			Of: &tierv1.Fact_Adopted{Adopted: e.turn}})
	}
	return list
}

// Kinds of keys by which copies compare what they hold: a key is a kind followed by the attempt, for tokensKey followed by
// a slash and the number of tokens.
const (
	reservedKey = "r/"
	settledKey  = "s/"
	turnKey     = "a/" // a body held, whichever fact brought it
	tokensKey   = "t/" // tokens of a settlement, as a later one may have raised them; left out where they are 0
)

func (e *entry) tokensKey() string {
	return tokensKey + e.attempt + "/" + strconv.FormatUint(e.tokens, 10)
}

// parseKey splits a key into its kind, its attempt, and its tokens. It is not ok for a key that is none.
func parseKey(key string) (kind, attempt string, tokens uint64, ok bool) {
	if len(key) <= len(reservedKey) {
		return "", "", 0, false
	}
	kind, attempt = key[:len(reservedKey)], key[len(reservedKey):]
	switch kind {
	case reservedKey, settledKey, turnKey:
		return kind, attempt, 0, true
	case tokensKey:
		at := strings.LastIndexByte(attempt, '/')
		if at <= 0 {
			return "", "", 0, false
		}
		tokens, err := strconv.ParseUint(attempt[at+1:], 10, 64)
		return kind, attempt[:at], tokens, err == nil
	}
	return "", "", 0, false
}

// keys are what a copy tells of an entry.
func (e *entry) keys(list []string) []string {
	if e.reserved {
		list = append(list, reservedKey+e.attempt)
	}
	if e.settled {
		list = append(list, settledKey+e.attempt)
	}
	if e.settled && e.tokens > 0 {
		list = append(list, e.tokensKey())
	}
	if e.turn != nil {
		list = append(list, turnKey+e.attempt)
	}
	return list
}

// lacks tells whether a copy that holds these keys lacks something of the entry.
func (e *entry) lacks(held map[string]struct{}) bool {
	lacks := func(key string) bool { _, ok := held[key]; return !ok }
	return e.reserved && lacks(reservedKey+e.attempt) ||
		e.settled && lacks(settledKey+e.attempt) ||
		e.settled && e.tokens > 0 && lacks(e.tokensKey()) ||
		e.turn != nil && lacks(turnKey+e.attempt)
}

// has tells whether the partition holds what a key names. What is no key of a known kind is not asked for.
func (p *partition) has(key string) bool {
	kind, attempt, tokens, ok := parseKey(key)
	if !ok {
		return true
	}
	e := p.entries[attempt]
	if e == nil {
		return false
	}
	switch kind {
	case reservedKey:
		return e.reserved
	case settledKey:
		return e.settled
	case tokensKey:
		return e.settled && e.tokens >= tokens
	}
	return e.turn != nil
}

// chainStatus is how a turn stands in a partition.
type chainStatus int

const (
	chainAbsent     chainStatus = iota // no such turn, or one past its retention
	chainIncomplete                    // the turn stands, but not all that came before it is here
	chainComplete
)

// chain gives a turn and all before it, oldest first. Turns past their retention by more than slack are absent, unless
// expired ones are asked for.
func (p *partition) chain(attempt string, expired bool, slack time.Duration, now time.Time) ([]*entry, chainStatus) {
	e := p.entries[attempt]
	if e == nil || e.turn == nil || !expired && now.Sub(e.storedAt) > retention(e.turn)+slack {
		return nil, chainAbsent
	}
	n := 1
	for at := e; at.turn.Previous != ""; n++ {
		at = p.entries[at.turn.Previous]
		if at == nil || at.turn == nil || n > len(p.entries) {
			return nil, chainIncomplete
		}
	}
	list := make([]*entry, n)
	for i := n - 1; i >= 0; i-- {
		list[i] = e
		e = p.entries[e.turn.Previous]
	}
	return list, chainComplete
}

// budgetAllows tells whether a budget, in tokens, bears a reservation of max tokens more; own is what this attempt is charged already.
func (p *partition) budgetAllows(program string, budget, maxTokens, own uint64) bool {
	var charged uint64
	if g := p.programs[program]; g != nil {
		charged = g.charged - own
	}
	return charged <= budget && maxTokens <= budget-charged
}
