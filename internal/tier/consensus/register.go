package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// promise answers whether this folder will from now on refuse what is below an epoch. Epoch 0 only asks whether it
// would (so that a node that cannot win takes no promises), and what it knows.
func (m *machine) promise(q *tierv1.PromiseRequest) *tierv1.PromiseReply {
	m.met(q.From)
	a := &tierv1.PromiseReply{Self: m.self, Genesis: m.Genesis, Sequence: m.sequence}
	if q.Epoch > 0 {
		m.highest = max(m.highest, q.Epoch)
	}
	a.Promised = q.From != nil && !m.sticky(q.From.Folder) && (q.Epoch == 0 || q.Epoch > m.promised)
	if q.Epoch == 0 && m.busy(q.From.GetFolder()) {
		a.Promised = false
	}
	if a.Promised && q.Epoch > 0 {
		m.grantPromise(q.Epoch, q.From.Folder)
	}
	a.Highest, a.Accepted, a.Chosen = m.promised, m.accepted, m.chosen
	return a
}

// sticky reports whether the primary was observed so recently that no other may depose it.
func (m *machine) sticky(folder string) bool {
	if m.primary != nil {
		return folder != m.Folder && m.confirmedWithin(m.timing.fresh)
	}
	return m.observed && m.now-m.observedAt < m.timing.sticky && (m.chosen == nil || folder != m.chosen.Primary)
}

// busy tells whether another has had this folder's promise so recently that its record may be under way. That keeps a
// primary that is back at once from stopping the one that is taking over; it binds nobody.
func (m *machine) busy(folder string) bool {
	return m.granted > 0 && m.promised > epochOf(m.chosen) && m.promisedTo != folder && m.now-m.granted < m.timing.call/2
}

// grantPromise records a promise, to another folder or to this one.
func (m *machine) grantPromise(epoch uint64, to string) {
	m.promised, m.promisedTo, m.granted = epoch, to, m.now
	m.highest = max(m.highest, epoch)
	m.store(encodePromise(epoch, to), true)
	if to == m.Folder {
		return
	}
	if m.primary != nil {
		m.stepDown("promised to another")
	}
	if m.proposal != nil && m.proposal.epoch > 0 {
		m.abandon("promised to another")
	}
	m.tryAt = max(m.tryAt, m.now+m.timing.call/2+m.jitter(m.timing.heartbeat))
}

// accept takes a record under the epoch promised last, from the one it was promised to. A folder made since the promise
// refuses, as it has given none.
func (m *machine) accept(q *tierv1.AcceptRequest) *tierv1.AcceptReply {
	m.met(q.From)
	a := &tierv1.AcceptReply{}
	if q.Record != nil && q.From != nil && q.Record.Primary == q.From.Folder && m.bound(q.Record.Epoch, q.From.Folder) {
		a.Accepted = true
		m.acceptRecord(q.Record)
	}
	a.Highest = m.promised
	return a
}

// bound tells whether the newest promise of this folder is that of an epoch to another.
func (m *machine) bound(epoch uint64, to string) bool {
	return epoch > 0 && epoch == m.promised && to == m.promisedTo
}

func (m *machine) acceptRecord(r *tierv1.Record) {
	if epochOf(m.accepted) == r.Epoch {
		return // doubled
	}
	m.accepted = r
	m.store(encodeMessage(kindAccepted, r), true)
}

// heartbeat takes notice of a primary.
func (m *machine) heartbeat(q *tierv1.HeartbeatRequest) *tierv1.HeartbeatReply {
	m.met(q.From)
	m.learn(q.Record)
	r := m.chosen
	if r != nil && q.Record != nil && q.From != nil && q.Record.Epoch == r.Epoch && q.From.Folder == r.Primary && m.primary == nil {
		// One who is about to take over has this folder's promise: the heartbeats of the primary before it count no more.
		if m.promised <= r.Epoch || m.promisedTo == q.From.Folder || m.now-m.granted > m.timing.silence {
			m.observedAt, m.observed = m.now, true
			m.probeAt = m.now + m.timing.heartbeat*3/2
			if m.hint != q.From.Address {
				m.hint, m.out.changed = q.From.Address, true
			}
			m.tryAt = m.now + m.patience()
			if m.proposal != nil && m.proposal.epoch == 0 {
				m.proposal = nil
			}
		}
	}
	return &tierv1.HeartbeatReply{Self: m.self, Highest: m.promised, Sequence: m.sequence, Member: m.isVoter(m.knownMembers())}
}

// write takes a write of the primary into the copy.
func (m *machine) write(q *tierv1.WriteRequest) *tierv1.WriteReply {
	a := &tierv1.WriteReply{Highest: m.promised}
	if !m.bound(q.Epoch, q.From) || q.From == m.Folder || q.Epoch < m.copyEpoch {
		return a
	}
	if !q.Whole {
		switch {
		case m.copyEpoch != q.Epoch || m.sequence < q.Base:
			a.Behind = true
			return a
		case m.sequence >= q.Sequence: // doubled, or it only asks whether the epoch stands
			a.Taken = true
			return a
		case m.sequence != q.Base:
			a.Behind = true
			return a
		}
	} else if m.copyEpoch == q.Epoch && m.sequence >= q.Sequence {
		a.Taken = true // doubled, or overtaken by the writes that followed it
		return a
	}
	if !fitsRecord(q) { // of a program without StateLimit
		m.out.news = append(m.out.news, "write refused: it does not fit one record of the file")
		return a
	}
	m.apply(q)
	m.store(encodeMessage(kindWrite, q), true)
	m.out.changed = true
	a.Taken = true
	return a
}

// join takes notice of a node that is no member, or that observes no primary.
func (m *machine) join(q *tierv1.JoinRequest) *tierv1.JoinReply {
	if q.From != nil && q.From.Folder != "" {
		if p := m.met(q.From); p != nil {
			p.first = m.now
			if !p.replied && m.primary != nil {
				m.primary.next = m.now // ask it at once
			}
		}
	}
	return &tierv1.JoinReply{Primary: m.primary != nil, Record: m.chosen}
}

func (m *machine) askToJoin() {
	for _, address := range m.addresses() {
		began := m.now
		m.call(address, &tierv1.JoinRequest{From: m.self}, false, func(body proto.Message) {
			a, ok := body.(*tierv1.JoinReply)
			if !ok {
				return
			}
			if p := m.peers[address]; p != nil && p.member != nil {
				m.replied(p.member, began)
			}
			m.learn(a.Record)
		})
	}
}

// members are the folders known and alive, and the members of the record.
func (m *machine) members() (list []*tierv1.Member) {
	list = append(list, m.self)
	for _, v := range m.knownMembers() {
		if v.Folder == "" {
			if p := m.peers[v.Address]; p != nil && p.member != nil {
				v = p.member
			}
		}
		if v.Address != m.self.Address {
			list = append(list, v)
		}
	}
	for _, a := range m.addresses() {
		if p := m.peers[a]; p != nil && p.member != nil && m.now-p.answered < 2*m.timing.swap &&
			!slices.ContainsFunc(list, func(o *tierv1.Member) bool { return o.Address == a }) {
			list = append(list, p.member)
		}
	}
	return list
}
