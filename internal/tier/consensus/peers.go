package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
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
