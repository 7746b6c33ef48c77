package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// leadership is what a process holds while it is primary, over all records that it had chosen in one go.
type leadership struct {
	began     time.Duration
	first     uint64                   // epoch of its first record: who writes under it or a later one has seen no other primary between
	record    *tierv1.Record           // in force
	confirmed map[string]time.Duration // when the newest round trip began that a backup answered under the record
	lost      map[string]bool          // backups that failed a call
	renew     bool                     // a backup has promised a higher epoch
	next      time.Duration            // heartbeat
	retryAt   time.Duration            // of the next proposal
	moreAt    time.Duration            // before which none is made only for more backups: the one before gave none
	visible   map[string]*tierv1.Entry // what all copies hold
	queue     []waiter
	round     *round
}

// waiter is a put, or a confirm where there are no sets.
type waiter struct {
	token    uint64
	sets     map[string][]byte
	sequence uint64
}

// round is a write on its way to all backups: one at a time, with all that waited when it began.
type round struct {
	waiters []waiter
	need    map[string]bool // folders of backups
}

// leadership begins or goes on with a record that was chosen. All its backups hold this copy: what was under way stands.
func (m *machine) leadership(p *proposal) {
	m.proposal = nil
	m.chosen = p.target
	m.store(encodeMessage(kindChosen, p.target), false)
	r := m.primary
	if r == nil {
		r = &leadership{first: p.epoch, began: m.now}
		m.primary = r
	}
	r.record, r.renew, r.next, r.retryAt = p.target, false, m.now, 0
	r.lost, r.confirmed = make(map[string]bool), make(map[string]time.Duration)
	for _, b := range p.target.Backups {
		r.confirmed[b] = p.copied[b]
	}
	m.observed, m.hint = false, m.self.Address
	m.out.changed = true
	m.out.news = append(m.out.news, "primary")
	m.commit()
}

// stepDown ends the leadership. What was on its way to the backups has an unknown outcome; what waited was not written.
func (m *machine) stepDown(why string) {
	r := m.primary
	m.primary, m.proposal = nil, nil
	if r.round != nil {
		for _, w := range r.round.waiters {
			err := ErrUnknown
			if w.sets == nil {
				err = ErrNotPrimary
			}
			m.out.outcomes = append(m.out.outcomes, outcome{w.token, 0, err})
		}
	}
	for _, w := range r.queue {
		m.out.outcomes = append(m.out.outcomes, outcome{w.token, 0, ErrNotPrimary})
	}
	m.hint, m.observed = "", false
	m.tryAt = m.now + m.timing.heartbeat + m.jitter(m.timing.heartbeat)
	m.joinAt = m.now + m.jitter(m.timing.heartbeat)
	m.out.changed = true
	m.out.news = append(m.out.news, "stepped down: "+why)
}

// confirmedAt is when the oldest of the newest round trips to the backups began. Without backups it is now: nobody else
// may take over.
func (m *machine) confirmedAt() time.Duration {
	at := m.now
	for _, b := range m.primary.record.Backups {
		at = min(at, m.primary.confirmed[b])
	}
	return at
}

func (m *machine) confirmedWithin(d time.Duration) bool { return m.now-m.confirmedAt() < d }

func (m *machine) put(e put) {
	m.enqueue(e.epoch, waiter{token: e.token, sets: e.sets})
}

func (m *machine) confirm(e confirm) { m.enqueue(e.epoch, waiter{token: e.token}) }

func (m *machine) enqueue(epoch uint64, w waiter) {
	r := m.primary
	if r == nil || epoch < r.first || epoch > r.record.Epoch {
		m.out.outcomes = append(m.out.outcomes, outcome{w.token, 0, ErrNotPrimary})
		return
	}
	r.queue = append(r.queue, w)
	m.startRound()
}

// startRound writes what waits, here and at all backups at once.
func (m *machine) startRound() {
	r := m.primary
	if r == nil || r.round != nil || m.proposal != nil || len(r.queue) == 0 || m.promised != r.record.Epoch {
		return // after a promise of its own for a higher epoch only a record of that epoch or above lets it write again
	}
	q := &tierv1.WriteRequest{Epoch: r.record.Epoch, Base: m.sequence, Sequence: m.sequence, From: m.Folder}
	rd := &round{need: make(map[string]bool)}
	rd.waiters, r.queue = m.gather(q, r.queue)
	if len(rd.waiters) == 0 {
		return // all were refused
	}
	r.round = rd
	if q.Sequence > q.Base {
		m.store(encodeMessage(kindWrite, q), true)
	}
	for _, b := range r.record.Backups {
		rd.need[b] = true
	}
	for _, b := range r.record.Backups {
		m.sendWrite(r.record, b, q)
	}
	if len(rd.need) == 0 {
		m.commit()
	}
}

// gather applies what waits to this copy, and adds it to the write of a round. It gives those who are in the round, and the
// rest, which waits for the next one as the write would become too large. A put that would make the state too large is
// refused: it is in neither.
func (m *machine) gather(q *tierv1.WriteRequest, queue []waiter) (begun, rest []waiter) {
	size := 0
	for i, w := range queue {
		if w.sets == nil {
			begun = append(begun, w)
			continue
		}
		if err := m.admit(w.sets); err != nil {
			m.out.outcomes = append(m.out.outcomes, outcome{w.token, 0, err})
			continue
		}
		added := setsSize(w.sets)
		if size > 0 && size+added > m.stateLimit {
			return begun, queue[i:]
		}
		size += added
		w.sequence = q.Sequence + 1
		one := &tierv1.WriteRequest{Epoch: q.Epoch, Sequence: w.sequence}
		for k, v := range w.sets {
			one.Entries = append(one.Entries, &tierv1.Entry{Key: k, Value: v, Sequence: w.sequence})
		}
		m.apply(one)
		q.Sequence = w.sequence
		q.Entries = append(q.Entries, one.Entries...)
		begun = append(begun, w)
	}
	return begun, nil
}

func (m *machine) sendWrite(record *tierv1.Record, folder string, q *tierv1.WriteRequest) {
	i := slices.IndexFunc(record.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return
	}
	began := m.now
	rd := m.primary.round
	m.call(record.Members[i].Address, q, true, func(body proto.Message) {
		a, _ := body.(*tierv1.WriteReply)
		r := m.primary
		if r == nil || r.record != record {
			return
		}
		switch {
		case a == nil:
			r.lost[folder] = true
		case a.Taken:
			r.confirmed[folder] = max(r.confirmed[folder], began)
			if r.round == rd && rd != nil {
				delete(rd.need, folder)
				if len(rd.need) == 0 {
					m.commit()
				}
			}
		case a.Behind:
			m.sendWrite(record, folder, m.whole(record.Epoch))
		default: // it has promised another, or it is another folder
			m.highest = max(m.highest, a.Highest)
			r.renew = r.renew || a.Highest > record.Epoch
			r.lost[folder] = r.lost[folder] || a.Highest < record.Epoch
		}
	})
}

// commit ends the round: all copies hold the data.
func (m *machine) commit() {
	r := m.primary
	r.visible = m.data
	if rd := r.round; rd != nil {
		for _, w := range rd.waiters {
			m.out.outcomes = append(m.out.outcomes, outcome{w.token, w.sequence, nil})
		}
		r.round = nil
		m.out.changed = true
	}
	m.startRound()
}

func (m *machine) leadershipTimers() {
	r := m.primary
	if m.proposal == nil && !m.confirmedWithin(m.timing.fresh) {
		m.stepDown("backups are silent")
		return
	}
	if m.now >= r.next {
		r.next = m.now + m.timing.heartbeat
		for _, address := range m.addresses() {
			member := slices.ContainsFunc(r.record.Members, func(v *tierv1.Member) bool { return v.Address == address })
			if member || m.silent(address) < 5*m.timing.swap { // others ask to join when they are back
				m.sendHeartbeat(address)
			}
		}
	}
	if m.proposal == nil && m.now >= r.retryAt {
		if want, ok := m.maintain(); ok {
			m.propose(want)
		}
	}
}

func (m *machine) sendHeartbeat(address string) {
	p := m.peer(address)
	if p.asking {
		return
	}
	p.asking = true
	began := m.now
	m.call(address, &tierv1.HeartbeatRequest{Record: m.primary.record, From: m.self}, false, func(body proto.Message) {
		p.asking = false
		a, _ := body.(*tierv1.HeartbeatReply)
		if a == nil || a.Self == nil {
			return
		}
		m.replied(a.Self, began)
		p.voter = a.Member
		m.highest = max(m.highest, a.Highest)
		r := m.primary
		if r == nil || !slices.Contains(r.record.Backups, a.Self.Folder) {
			return
		}
		if a.Highest == r.record.Epoch || m.promisedProposal(a.Self.Folder, a.Highest) {
			r.confirmed[a.Self.Folder] = max(r.confirmed[a.Self.Folder], began)
		} else if a.Highest > r.record.Epoch {
			r.renew = true
		}
	})
}

// promisedProposal tells whether a folder has given its promise of an epoch to this node's proposal under way. The epoch alone
// does not tell: two folders may propose the same one, and a heartbeat's reply does not say to whom a promise went.
func (m *machine) promisedProposal(folder string, epoch uint64) bool {
	p := m.proposal
	return p != nil && epoch == p.epoch && p.replies[folder] != nil
}

// maintain tells what record the primary wants next: lost backups replaced, a swap of members settled, copies and
// members added, silent members swapped for joiners, one at a time.
func (m *machine) maintain() (plan, bool) {
	r := m.primary
	drop := make(map[string]bool)
	for _, b := range r.record.Backups {
		if r.lost[b] || m.now-r.confirmed[b] > m.timing.call+m.timing.heartbeat/2 || m.replaced(b) {
			drop[b] = true
		}
	}
	if len(drop) > 0 || r.renew || m.promised > r.record.Epoch {
		return plan{drop: drop}, true
	}
	if len(r.record.Former) > 0 {
		return plan{}, true
	}
	members := r.record.Members
	should, _ := m.wanted(len(members))
	if len(r.record.Backups) < should && m.now >= r.moreAt && slices.ContainsFunc(members, func(v *tierv1.Member) bool {
		return v.Folder != m.Folder && !slices.Contains(r.record.Backups, v.Folder) && m.alive(v, m.timing.call) && m.peers[v.Address].voter
	}) {
		r.moreAt = m.now + m.timing.swap
		return plan{}, true
	}
	joiners := m.joiners(members)
	if len(joiners) == 0 {
		return m.spreadBackups(should)
	}
	var out *tierv1.Member
	for _, v := range members {
		if v.Folder == m.Folder || slices.Contains(r.record.Backups, v.Folder) {
			continue
		}
		// A folder made anew at a member's address is the proof that the member is gone.
		if i := slices.IndexFunc(joiners, func(j *tierv1.Member) bool { return j.Address == v.Address }); i >= 0 {
			return plan{in: joiners[i], out: v}, true
		}
		if out == nil && (m.replaced(v.Folder) || m.silent(v.Address) > m.timing.swap) {
			out = v
		}
	}
	joiners = slices.DeleteFunc(joiners, func(j *tierv1.Member) bool { // these wait for their own predecessor's place
		return slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Address == j.Address })
	})
	if len(joiners) == 0 {
		return m.spreadBackups(should)
	}
	if out != nil {
		rest := slices.DeleteFunc(slices.Clone(members), func(o *tierv1.Member) bool { return same(o, out) })
		return plan{in: m.best(rest, joiners), out: out}, true
	}
	if len(members) < 2*m.losses+1 {
		return plan{in: m.best(members, joiners)}, true
	}
	if want, ok := m.spreadBackups(should); ok {
		return want, true
	}
	return m.spreadMembers(joiners)
}

// spreadBackups replaces backups where others that are alive are better spread. It ends, as each time they crowd less.
func (m *machine) spreadBackups(should int) (plan, bool) {
	var alive []*tierv1.Member
	self := []*tierv1.Member{m.self}
	now := slices.Clone(self)
	for _, v := range m.primary.record.Members {
		if slices.Contains(m.primary.record.Backups, v.Folder) {
			now = append(now, v)
		}
		if v.Folder != m.Folder && m.alive(v, m.timing.call) && m.peers[v.Address].voter {
			alive = append(alive, v)
		}
	}
	picked := spread(self, alive, should, func(folder string) bool { return named(m.primary.record, folder) })
	if len(picked) < len(now)-1 || crowding(append(self, picked...)) >= crowding(now) {
		return plan{}, false
	}
	drop := make(map[string]bool)
	for _, v := range now[1:] {
		if !contains(picked, v) {
			drop[v.Folder] = true
		}
	}
	return plan{drop: drop}, len(drop) > 0
}

// spreadMembers puts a joiner in the place of a member that holds no copy, where that crowds the members less.
func (m *machine) spreadMembers(joiners []*tierv1.Member) (want plan, ok bool) {
	members := m.primary.record.Members
	lowest := crowding(members)
	for _, v := range members {
		if v.Folder == "" || named(m.primary.record, v.Folder) || !m.majorityWithout(v) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(members), func(o *tierv1.Member) bool { return same(o, v) })
		for _, j := range joiners {
			if n := crowding(append(slices.Clip(rest), j)); n < lowest {
				lowest, want, ok = n, plan{in: j, out: v}, true
			}
		}
	}
	return want, ok
}

// majorityWithout tells whether the members that answer, but for one, are a majority: else a change that takes this one away
// would rest on it until the change is settled.
func (m *machine) majorityWithout(out *tierv1.Member) bool {
	members := m.primary.record.Members
	live := 0
	for _, v := range members {
		if !same(v, out) && m.answers(v) {
			live++
		}
	}
	return live >= len(members)/2+1
}

// replaced tells whether another folder answers at a member's address.
func (m *machine) replaced(folder string) bool {
	i := slices.IndexFunc(m.primary.record.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return false
	}
	p := m.peers[m.primary.record.Members[i].Address]
	return p != nil && p.replied && p.member.Folder != folder
}

// joiners are the folders that answer and are no members. One that lost its disk is there at its member's address.
func (m *machine) joiners(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, a := range m.addresses() {
		p := m.peers[a]
		if p == nil || !p.replied || p.voter || m.now-p.answered > m.timing.call {
			continue
		}
		if !slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Folder == p.member.Folder }) {
			list = append(list, p.member)
		}
	}
	return list
}

// best is the joiner whose region, then zone, holds the fewest of the members.
func (m *machine) best(members, joiners []*tierv1.Member) *tierv1.Member {
	score := func(j *tierv1.Member) (n int) {
		for _, v := range members {
			if v.Region == j.Region {
				n += 100
			}
			if v.Zone == j.Zone {
				n++
			}
		}
		return n
	}
	return slices.MinFunc(joiners, func(a, b *tierv1.Member) int { return score(a) - score(b) })
}
