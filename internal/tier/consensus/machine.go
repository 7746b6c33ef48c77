package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// machine decides. It does no I/O: all of what it needs comes in by Step, all that it wants done goes out.
type machine struct {
	durable
	self    *tierv1.Member
	seeds   []string
	losses  int
	timing  timing
	random  *rand.Rand
	now     time.Duration
	out     *actions
	nextID  uint64
	pending map[uint64]func(proto.Message)

	peers      map[string]*peer
	observedAt time.Duration // from the primary of the newest chosen record
	observed   bool
	probeAt    time.Duration // when the primary is asked whether it is there, unless a heartbeat comes before
	granted    time.Duration // when the newest promise was given
	hint       string
	tryAt      time.Duration
	joinAt     time.Duration
	highest    uint64 // highest epoch observed
	proposal   *proposal
	primary    *leadership // nil where this process is not primary
}

func newMachine(d durable, self *tierv1.Member, seeds []string, losses int, t timing, seed uint64) *machine {
	m := &machine{durable: d, seeds: seeds, losses: losses, timing: t, random: rand.New(rand.NewPCG(seed, 1)),
		pending: make(map[uint64]func(proto.Message)), peers: make(map[string]*peer)}
	m.self = proto.CloneOf(self)
	m.self.Folder = d.Folder
	m.highest = max(d.promised, epochOf(d.accepted), epochOf(d.chosen))
	m.tryAt = m.jitter(t.heartbeat)
	if b := m.base(); b != nil && b.Primary == d.Folder {
		m.tryAt = 0 // it was primary: the others' patience is longer than its start
	}
	m.joinAt = m.jitter(t.heartbeat)
	return m
}

// resume sets a new machine's clock, and the number of the last call that earlier machines of the process made.
func (m *machine) resume(now time.Duration, lastCall uint64) {
	m.now = now
	m.tryAt += now
	m.joinAt += now
	m.nextID = lastCall
}

func (m *machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d) + 1))
}

// Step takes events at now, a steady time, and gives what is to be done. What it says must be written and synced
// before the next step.
func (m *machine) Step(now time.Duration, events ...event) *actions {
	m.now, m.out = now, new(actions)
	for _, e := range events {
		switch e := e.(type) {
		case request:
			m.out.replies = append(m.out.replies, reply{e.token, m.serve(e.body)})
		case answer:
			if f := m.pending[e.id]; f != nil {
				delete(m.pending, e.id)
				f(e.body)
			}
		case put:
			m.put(e)
		case confirm:
			m.confirm(e)
		case tick:
		}
	}
	m.timers()
	return m.out
}

func (m *machine) serve(body proto.Message) proto.Message {
	switch q := body.(type) {
	case *tierv1.PromiseRequest:
		return m.promise(q)
	case *tierv1.AcceptRequest:
		return m.accept(q)
	case *tierv1.HeartbeatRequest:
		return m.heartbeat(q)
	case *tierv1.WriteRequest:
		return m.write(q)
	case *tierv1.JoinRequest:
		return m.join(q)
	}
	return nil
}

func (m *machine) store(record []byte, sync bool) {
	m.out.records = append(m.out.records, record)
	m.out.sync = m.out.sync || sync
}

// call asks another node; then is called with its answer, or nil where there is none.
func (m *machine) call(address string, body proto.Message, early bool, then func(proto.Message)) {
	m.nextID++
	m.pending[m.nextID] = then
	c := call{m.nextID, address, body, m.timing.call}
	if early {
		m.out.early = append(m.out.early, c)
	} else {
		m.out.calls = append(m.out.calls, c)
	}
}

// base is the newest record that this folder accepted or knows to be chosen; the genesis record where there is none
// and the folder was made at the first start; else nil.
func (m *machine) base() *tierv1.Record {
	if r := newest(m.accepted, m.chosen); r != nil {
		return r
	}
	return m.genesis()
}

// known is the newest chosen record known, the genesis record included.
func (m *machine) known() *tierv1.Record {
	if m.chosen != nil {
		return m.chosen
	}
	return m.genesis()
}

func (m *machine) genesis() *tierv1.Record {
	if !m.Genesis {
		return nil
	}
	r := &tierv1.Record{}
	for _, a := range m.Seeds {
		r.Members = append(r.Members, &tierv1.Member{Address: a})
	}
	return r
}

// isVoter tells whether this folder is among members.
func (m *machine) isVoter(members []*tierv1.Member) bool {
	return slices.ContainsFunc(members, func(v *tierv1.Member) bool {
		return voter(v, m.Folder, m.self.Address, m.Genesis)
	})
}

// learn takes a record that another node knows to be chosen.
func (m *machine) learn(r *tierv1.Record) {
	if r == nil || r.Epoch <= epochOf(m.chosen) {
		return
	}
	m.chosen = r
	m.highest = max(m.highest, r.Epoch)
	m.store(encodeMessage(kindChosen, r), false)
	m.out.changed = true
	if m.primary != nil && r.Epoch > m.primary.record.Epoch {
		m.stepDown("deposed")
	}
	if m.proposal != nil && r.Epoch >= m.proposal.epoch && m.proposal.epoch > 0 {
		m.abandon("deposed")
	}
}

// timers does what is due.
func (m *machine) timers() {
	m.advanceAll()
	if m.primary != nil {
		m.leadershipTimers()
	}
	if m.primary == nil && m.proposal == nil && m.now >= m.tryAt {
		m.candidate()
	}
	m.advanceAll()
	if m.primary == nil && m.leaderAlive() && m.now >= m.probeAt {
		m.probe()
	}
	if m.primary == nil && m.now >= m.joinAt {
		m.joinAt = m.now + m.timing.join + m.jitter(m.timing.heartbeat)
		if !m.leaderAlive() { // a primary that heartbeats knows this node
			m.askToJoin()
		}
	}
}

// advanceAll lets the proposal, and one that follows it, go as far as they can without an answer.
func (m *machine) advanceAll() {
	for m.proposal != nil {
		p, phase := m.proposal, m.proposal.phase
		m.advance()
		if m.proposal == p && p.phase == phase {
			return
		}
	}
}

// wake is when the next step is due at the latest.
func (m *machine) wake() time.Duration {
	var at time.Duration
	if m.primary != nil {
		at = m.primary.next
		if m.primary.retryAt > m.now {
			at = min(at, m.primary.retryAt)
		}
	} else {
		at = m.joinAt
		if m.leaderAlive() {
			at = min(at, m.probeAt)
		}
		if m.proposal == nil {
			at = min(at, m.tryAt)
		}
	}
	if m.proposal != nil {
		at = min(at, m.proposal.wake())
	}
	return at
}
