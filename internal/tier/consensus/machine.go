package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// timing are the spans that the machine goes by, all from the settings.
type timing struct {
	heartbeat time.Duration // between two heartbeats of a primary to one node
	call      time.Duration // after which a call counts as failed
	sticky    time.Duration // a primary observed this recently is not deposed
	silence   time.Duration // of a primary, after which others try to take over
	fresh     time.Duration // a confirmation this old still counts
	swap      time.Duration // of a member, after which a joiner takes its place
	join      time.Duration // between two calls to join
}

func timings(window, interval time.Duration) timing {
	heartbeat := window / 12
	if interval > 0 {
		heartbeat = min(heartbeat, interval/4)
	}
	return timing{heartbeat: heartbeat, call: window / 6, sticky: window / 6, silence: window / 4, fresh: window / 3,
		swap: window * 2 / 5, join: window / 6}
}

// The events of Step.
type (
	// request is a call of another node; it is answered by a reply with its token.
	request struct {
		token uint64
		body  proto.Message
	}
	// answer ends a call of this node. The body is nil where it failed.
	answer struct {
		id   uint64
		body proto.Message
	}
	put struct {
		token uint64
		epoch uint64
		sets  map[string][]byte
	}
	confirm struct {
		token uint64
		epoch uint64
	}
	tick  struct{}
	event any
)

// What is to be done after a step, in the order of the fields. Calls in early need not wait for the disk.
type (
	call struct {
		id      uint64
		address string
		body    proto.Message
		timeout time.Duration
	}
	reply struct {
		token uint64
		body  proto.Message
	}
	outcome struct {
		token    uint64
		sequence uint64
		err      error
	}
	actions struct {
		early    []call
		records  [][]byte
		sync     bool
		calls    []call
		replies  []reply
		outcomes []outcome
		changed  bool
		news     []string // for the log
	}
)

// peer is another control-plane process, known by its address.
type peer struct {
	member   *tierv1.Member // as it last described itself
	first    time.Duration  // when its address was learnt
	answered time.Duration  // when the call began that it answered last
	trip     time.Duration  // how long that call took
	replied  bool           // it has answered
	met      bool           // it has called or answered
	asking   bool           // a heartbeat is under way
	voter    bool           // it says that it is a member of the record in force
}

// machine decides. It does no I/O: all of what it needs comes in by Step, all that it wants done goes out.
type machine struct {
	durable
	self   *tierv1.Member
	seeds  []string
	losses int
	// stateLimit bounds the control state, in bytes.
	stateLimit int
	timing     timing
	random     *rand.Rand
	now        time.Duration
	out        *actions
	nextID     uint64
	pending    map[uint64]func(proto.Message)

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
	m := &machine{durable: d, seeds: seeds, losses: losses, stateLimit: StateLimit, timing: t, random: rand.New(rand.NewPCG(seed, 1)),
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

func (m *machine) peer(address string) *peer {
	p := m.peers[address]
	if p == nil {
		p = &peer{first: m.now}
		m.peers[address] = p
	}
	return p
}

// met notes a node that called: one way, so it proves nothing about the way back.
func (m *machine) met(member *tierv1.Member) *peer {
	if member == nil || member.Address == "" || member.Folder == "" || member.Address == m.self.Address {
		return nil
	}
	p := m.peer(member.Address)
	if p.member == nil || !proto.Equal(p.member, member) {
		p.member, m.out.changed = member, true
	}
	p.met = true
	return p
}

// replied notes that a node answered a call that began at that time.
func (m *machine) replied(member *tierv1.Member, began time.Duration) *peer {
	p := m.met(member)
	if p != nil {
		if began >= p.answered {
			p.answered, p.trip = began, m.now-began
		}
		p.replied = true
	}
	return p
}

// silent is how long a node has not answered.
func (m *machine) silent(address string) time.Duration {
	p := m.peer(address)
	since := max(p.answered, p.first)
	if m.primary != nil {
		since = max(since, m.primary.began)
	}
	return m.now - since
}

// alive tells whether the folder of a member, or the one at its address where it has none, answered within d.
func (m *machine) alive(member *tierv1.Member, d time.Duration) bool {
	p := m.peers[member.Address]
	return p != nil && p.replied && (member.Folder == "" || p.member.Folder == member.Folder) && m.now-p.answered <= d
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

// addresses are all other control-plane processes that are known.
func (m *machine) addresses() (list []string) {
	add := func(a string) {
		if a != "" && a != m.self.Address && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	for _, set := range configurations(m.known()) {
		for _, v := range set {
			add(v.Address)
		}
	}
	for _, a := range m.seeds {
		add(a)
	}
	for a, p := range m.peers {
		if p.met {
			add(a)
		}
	}
	slices.Sort(list)
	return list
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

func (m *machine) knownMembers() []*tierv1.Member {
	if r := m.known(); r != nil {
		return r.Members
	}
	return nil
}

// leaderAlive reports whether a heartbeat of the primary came within timing.silence.
func (m *machine) leaderAlive() bool { return m.observed && m.now-m.observedAt < m.timing.silence }

// probe asks a primary whose heartbeat is late whether it is there. A call that fails at once, as one to a dead port does, ends
// this node's patience with it; that is a guess that decides nothing: the others are asked as ever. One without any
// answer is waited for as before.
func (m *machine) probe() {
	m.probeAt = m.now + m.timing.heartbeat
	began := m.now
	m.call(m.hint, &tierv1.JoinRequest{From: m.self}, true, func(body proto.Message) {
		if body != nil || m.now-began >= m.timing.call/2 || m.primary != nil || !m.observed || m.observedAt >= began {
			return
		}
		m.observed = false
		wait := m.timing.heartbeat/8 + m.jitter(m.timing.heartbeat/8) // the others find out, too
		if r := m.base(); r != nil && !named(r, m.Folder) {
			wait += m.timing.silence / 2
		}
		m.tryAt = min(m.tryAt, m.now+wait)
	})
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
