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
