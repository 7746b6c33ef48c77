package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

type phase int

const (
	asking    phase = iota // epoch 0: would a majority promise?
	promising              // majorities promise the epoch
	copying                // the backups of the target get the whole state
	accepting              // majorities accept the target
)

// plan is what a primary wants changed by a record; the zero plan takes over, settles or renews.
type plan struct {
	drop map[string]bool // backups to be replaced, by folder
	in   *tierv1.Member
	out  *tierv1.Member
}

// proposal is one attempt to have a record chosen.
type proposal struct {
	plan
	phase    phase
	epoch    uint64
	base     *tierv1.Record // newest accepted record seen: the target follows it
	target   *tierv1.Record
	deadline time.Duration
	grace    time.Duration                   // until when answers are waited for beyond the majority
	asked    map[string]bool                 // addresses
	open     int                             // calls of this phase under way
	replies  map[string]*tierv1.PromiseReply // that promised, by folder
	copied   map[string]time.Duration        // when the copy was sent that a folder took
	copies   map[string]bool                 // folders to which a copy is under way
	bad      map[string]bool                 // folders that took no copy
	accepted map[string]bool                 // folders
}

func (p *proposal) wake() time.Duration {
	if p.grace > 0 && p.phase <= promising {
		return min(p.grace, p.deadline)
	}
	return p.deadline
}

// patience is how long a primary may be silent before this folder asks to take over: those with a copy go first.
func (m *machine) patience() time.Duration {
	d := m.timing.silence + m.jitter(m.timing.heartbeat/2)
	if r := m.base(); r != nil && !named(r, m.Folder) && r.Epoch > 0 {
		d += m.timing.silence / 2
	}
	return d
}

// candidate asks whether it could take over.
func (m *machine) candidate() {
	m.tryAt = m.now + m.patience()
	base := m.base()
	if base == nil || m.leaderAlive() || !slices.ContainsFunc(configurations(base), m.isVoter) {
		return
	}
	m.begin(&proposal{phase: asking})
}

// propose begins a record of its own epoch.
func (m *machine) propose(want plan) {
	epoch := nextEpoch(max(m.highest, m.promised), m.Folder)
	m.grantPromise(epoch, m.Folder)
	m.begin(&proposal{plan: want, phase: promising, epoch: epoch})
}

func (m *machine) begin(p *proposal) {
	p.base = m.base()
	p.deadline = m.now + 3*m.timing.call
	p.asked = make(map[string]bool)
	p.replies = map[string]*tierv1.PromiseReply{m.Folder: {Promised: true, Self: m.self, Genesis: m.Genesis,
		Highest: m.promised, Accepted: m.accepted, Chosen: m.chosen, Sequence: m.sequence}}
	p.copied, p.copies = make(map[string]time.Duration), make(map[string]bool)
	p.bad, p.accepted = make(map[string]bool), make(map[string]bool)
	m.proposal = p
	m.ask()
}

// ask asks all members that the newest records seen name for their promise.
//
// What the newest record seen names is enough to ask: a record without a former set follows one that its proposer knew
// to be chosen, or has the same members, so its members are in force; one with a former set names those in force there.
func (m *machine) ask() {
	p := m.proposal
	sets := configurations(p.base, m.known())
	if p.in != nil {
		sets = append(sets, []*tierv1.Member{p.in})
	}
	for _, set := range sets {
		for _, v := range set {
			if v.Address == m.self.Address || p.asked[v.Address] {
				continue
			}
			p.asked[v.Address] = true
			p.open++
			began := m.now
			m.call(v.Address, &tierv1.PromiseRequest{Epoch: p.epoch, From: m.self}, true, func(body proto.Message) {
				a, _ := body.(*tierv1.PromiseReply)
				m.answered(p, a, began)
			})
		}
	}
}

func (m *machine) answered(p *proposal, a *tierv1.PromiseReply, began time.Duration) {
	if a != nil {
		m.replied(a.Self, began)
		m.highest = max(m.highest, a.Highest)
		m.learn(a.Chosen)
	}
	if m.proposal != p {
		return
	}
	if p.phase <= promising {
		p.open--
	}
	if a == nil || a.Self == nil {
		return
	}
	if p.phase <= promising {
		p.base = newest(newest(p.base, a.Accepted), a.Chosen)
		m.ask()
	}
	if !a.Promised {
		return
	}
	p.replies[a.Self.Folder] = a
	if p.phase == accepting {
		m.askAccept(a.Self)
	}
}

// standsFor tells whether the reply of a folder counts as a member's.
func (m *machine) standsFor(a *tierv1.PromiseReply, v *tierv1.Member) bool {
	return voter(v, a.Self.Folder, a.Self.Address, a.Genesis)
}

func (m *machine) promisedBy(v *tierv1.Member) bool {
	for _, a := range m.proposal.replies {
		if m.standsFor(a, v) {
			return true
		}
	}
	return false
}

func (m *machine) acceptedBy(v *tierv1.Member) bool {
	for folder, a := range m.proposal.replies {
		if m.proposal.accepted[folder] && m.standsFor(a, v) {
			return true
		}
	}
	return false
}

// advance goes on with the proposal as far as the answers allow.
func (m *machine) advance() {
	p := m.proposal
	if p.phase > promising && epochOf(m.known()) > p.base.Epoch {
		m.fail("a newer record was chosen")
		return
	}
	if p.phase <= promising && !m.gatherPromises() {
		return
	}
	if m.proposal == p && p.phase == copying {
		m.copyOut()
	}
	if m.proposal == p && p.phase == accepting && m.gatherAccepts() {
		return
	}
	if m.proposal == p && m.now >= p.deadline {
		m.fail("out of time")
	}
}

// gatherPromises goes on with a proposal that waits for promises. It reports whether the target is decided: else the
// proposal waits on, has failed, or another follows it.
func (m *machine) gatherPromises() bool {
	p := m.proposal
	p.base = newest(p.base, m.known())
	if p.epoch > 0 && epochOf(p.base) >= p.epoch {
		m.fail("a newer record was seen")
		return false
	}
	if !majorities(configurations(p.base), m.promisedBy) {
		if p.open == 0 || m.now >= p.deadline {
			m.fail("no majority promises")
		}
		return false
	}
	if p.grace == 0 {
		p.grace = m.now + m.patienceFor(p)
	}
	if p.open > 0 && m.now < p.grace {
		return false
	}
	if !m.eligible(p.base) {
		m.fail("the newest record does not name this folder")
		return false
	}
	if p.phase == asking {
		m.propose(plan{})
		return false
	}
	m.decide()
	return true
}

// gatherAccepts goes on with a proposal that waits for majorities to accept its target, and reports whether it has ended:
// chosen, or failed.
func (m *machine) gatherAccepts() bool {
	p := m.proposal
	if majorities(configurations(p.base, p.target), m.acceptedBy) {
		m.leadership(p)
		return true
	}
	if p.open == 0 {
		m.fail("no majority accepts")
		return true
	}
	return false
}

// patienceFor is how long answers beyond the majority are waited for: the way there and back of the farthest asked, as
// far as that is known, so that members of a far region are not left out of each record.
func (m *machine) patienceFor(p *proposal) time.Duration {
	var trip time.Duration
	for address := range p.asked {
		if o := m.peers[address]; o != nil {
			trip = max(trip, o.trip)
		}
	}
	return min(trip*3/2+m.timing.heartbeat/4, m.timing.call)
}

// eligible tells whether this folder's copy holds all that was acknowledged before and under a record.
func (m *machine) eligible(base *tierv1.Record) bool {
	return base != nil && (base.Epoch == 0 || named(base, m.Folder) && m.copyEpoch >= base.Epoch)
}

// abandon ends a proposal that another one overtook.
func (m *machine) abandon(why string) {
	m.proposal = nil
	m.out.news = append(m.out.news, "proposal abandoned: "+why)
	m.tryAt = m.now + m.patience()
}

// fail ends a proposal that cannot be chosen. A primary retries while its last confirmation counts.
func (m *machine) fail(why string) {
	p := m.proposal
	m.proposal = nil
	if p.epoch > 0 {
		m.out.news = append(m.out.news, "proposal failed: "+why)
	}
	if m.primary == nil {
		m.tryAt = m.now + m.timing.heartbeat/2 + m.jitter(m.timing.heartbeat)
		return
	}
	if !m.eligible(p.base) || !m.confirmedWithin(m.timing.fresh) {
		m.stepDown(why)
		return
	}
	m.primary.retryAt = m.now + m.timing.heartbeat/4 + m.jitter(m.timing.heartbeat/2)
}
