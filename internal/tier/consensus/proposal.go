package consensus

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// phase is how far a proposal has come.
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
	base     *tierv1.View // newest accepted record seen: the target follows it
	target   *tierv1.View
	deadline time.Duration
	grace    time.Duration                   // until when answers are waited for beyond the majority
	asked    map[string]bool                 // addresses
	open     int                             // calls of this phase under way
	replies  map[string]*tierv1.PrepareReply // that promised, by folder
	copies   map[string]bool                 // folders to which a copy is under way
	bad      map[string]bool                 // folders that took no copy
	accepted map[string]bool                 // folders
	silent   map[string]bool                 // folders that didn't answer their copy, or the call to accept
	repeated map[phase]bool                  // phases whose calls without an answer were made once more

	// confirmed has the folders that took the copy, and when the newest round trip began by which they confirmed the epoch:
	// that of the copy, or of the target that they accepted.
	confirmed map[string]time.Duration
}

// wake is when the proposal is due at the latest without an answer.
func (p *proposal) wake() time.Duration {
	if p.grace > 0 && p.phase <= promising {
		return min(p.grace, p.deadline)
	}
	return p.deadline
}

// patience is how long a primary may be silent before this folder asks to take over: those with a copy go first.
func (machine *machine) patience() time.Duration {
	d := machine.timing.silence + machine.jitter(machine.timing.heartbeat/2)
	if record := machine.base(); record != nil && !named(record, machine.Folder) && record.Epoch > 0 {
		d += machine.timing.silence / 2
	}
	return d
}

// candidate asks whether it could take over.
func (machine *machine) candidate() {
	machine.tryAt = machine.now + machine.patience()
	base := machine.base()
	if base == nil || machine.leaderAlive() || !slices.ContainsFunc(configurations(base), machine.isVoter) {
		return
	}
	machine.begin(&proposal{phase: asking})
}

// propose begins a record of its own epoch.
func (machine *machine) propose(want plan) {
	epoch := nextEpoch(max(machine.highest, machine.promised), machine.Folder)
	machine.grantPromise(epoch, machine.Folder)
	machine.begin(&proposal{plan: want, phase: promising, epoch: epoch})
}

// begin begins a proposal with this folder's own promise, and asks the others for theirs.
func (machine *machine) begin(proposal *proposal) {
	proposal.base = machine.base()
	proposal.deadline = machine.now + 3*machine.timing.call
	proposal.asked = make(map[string]bool)
	proposal.replies = map[string]*tierv1.PrepareReply{machine.Folder: {Promised: true, Self: machine.self, Genesis: machine.Genesis,
		HighestPromised: machine.promised, Accepted: machine.accepted, Chosen: machine.chosen, Sequence: machine.sequence}}
	proposal.confirmed, proposal.copies = make(map[string]time.Duration), make(map[string]bool)
	proposal.bad, proposal.accepted = make(map[string]bool), make(map[string]bool)
	proposal.silent, proposal.repeated = make(map[string]bool), make(map[phase]bool)
	machine.proposal = proposal
	machine.ask()
}

// ask asks all members that the newest records seen name for their promise.
//
// What the newest record seen names is enough to ask: a record without a former set follows one that its proposer knew
// to be chosen, or has the same members, so its members are in force; one with a former set names those in force there.
func (machine *machine) ask() {
	proposal := machine.proposal
	sets := configurations(proposal.base, machine.known())
	if proposal.in != nil {
		sets = append(sets, []*tierv1.Member{proposal.in})
	}
	for _, set := range sets {
		for _, member := range set {
			address := machine.addressOf(member)
			if address == machine.self.Address || member.Folder == machine.Folder || proposal.asked[address] {
				continue
			}
			proposal.asked[address] = true
			proposal.open++
			began := machine.now
			machine.call(address, &tierv1.PrepareRequest{Epoch: proposal.epoch, From: machine.self}, true, func(body proto.Message) {
				reply, _ := body.(*tierv1.PrepareReply)
				machine.answered(proposal, reply, began)
			})
		}
	}
}

// answered takes the answer to a call for a promise that began at that time; nil: there was none.
func (machine *machine) answered(proposal *proposal, reply *tierv1.PrepareReply, began time.Duration) {
	if reply != nil {
		machine.replied(reply.Self, began)
		machine.highest = max(machine.highest, reply.HighestPromised)
		machine.learn(reply.Chosen)
	}
	if machine.proposal != proposal {
		return
	}
	if proposal.phase <= promising {
		proposal.open--
	}
	if reply == nil || reply.Self == nil {
		return
	}
	if proposal.phase <= promising {
		proposal.base = newest(newest(proposal.base, reply.Accepted), reply.Chosen)
		machine.ask()
	}
	if !reply.Promised {
		return
	}
	proposal.replies[reply.Self.Folder] = reply
	if proposal.phase == accepting {
		machine.askAccept(reply.Self)
	}
}

// standsFor tells whether the reply of a folder counts as a member's.
func (machine *machine) standsFor(reply *tierv1.PrepareReply, member *tierv1.Member) bool {
	return voter(member, reply.Self.Folder, reply.Self.Address, reply.Genesis)
}

// promisedBy tells whether a member has promised to the proposal under way.
func (machine *machine) promisedBy(member *tierv1.Member) bool {
	for _, reply := range machine.proposal.replies {
		if machine.standsFor(reply, member) {
			return true
		}
	}
	return false
}

// acceptedBy tells whether a member has accepted its target.
func (machine *machine) acceptedBy(member *tierv1.Member) bool {
	for folder, reply := range machine.proposal.replies {
		if machine.proposal.accepted[folder] && machine.standsFor(reply, member) {
			return true
		}
	}
	return false
}

// advance goes on with the proposal as far as the answers allow.
func (machine *machine) advance() {
	proposal := machine.proposal
	if proposal.phase > promising && epochOf(machine.known()) > proposal.base.Epoch {
		machine.fail("a newer record was chosen")
		return
	}
	if proposal.phase <= promising && !machine.gatherPromises() {
		return
	}
	if machine.proposal == proposal && proposal.phase == copying {
		machine.copyOut()
	}
	if machine.proposal == proposal && proposal.phase == accepting && machine.gatherAccepts() {
		return
	}
	if machine.proposal == proposal && machine.now >= proposal.deadline {
		machine.fail("out of time")
	}
}

// gatherPromises goes on with a proposal that waits for promises. It reports whether the target is decided: else the
// proposal waits on, has failed, or another follows it.
func (machine *machine) gatherPromises() bool {
	proposal := machine.proposal
	proposal.base = newest(proposal.base, machine.known())
	if proposal.epoch > 0 && epochOf(proposal.base) >= proposal.epoch {
		machine.fail("a newer record was seen")
		return false
	}
	if !majorities(configurations(proposal.base), machine.promisedBy) {
		if proposal.open == 0 || machine.now >= proposal.deadline {
			machine.fail("no majority promises")
		}
		return false
	}
	if proposal.grace == 0 {
		proposal.grace = machine.now + machine.patienceFor(proposal)
	}
	if proposal.open > 0 && machine.now < proposal.grace {
		return false
	}
	if !machine.eligible(proposal.base) {
		machine.fail("the newest record does not name this folder")
		return false
	}
	if proposal.phase == asking {
		machine.propose(plan{})
		return false
	}
	machine.decide()
	return true
}

// gatherAccepts goes on with a proposal that waits for majorities to accept its target, and reports whether it has ended:
// chosen, or failed.
func (machine *machine) gatherAccepts() bool {
	proposal := machine.proposal
	chosen := majorities(configurations(proposal.base, proposal.target), machine.acceptedBy)
	if chosen && (proposal.open == 0 || machine.backupsConfirmed()) {
		machine.leadership(proposal)
		return true
	}
	if proposal.open == 0 && !machine.repeatAccepts() {
		machine.fail("no majority accepts")
		return true
	}
	return false
}

// backupsConfirmed tells whether the lease that begins with the target would hold for a while. A copy that was long on its
// way does not tell: then a backup's word on the target is waited for, which counts as well.
func (machine *machine) backupsConfirmed() bool {
	proposal := machine.proposal
	for _, folder := range proposal.target.Backups {
		if machine.now-proposal.confirmed[folder] > machine.timing.fresh/2 {
			return false
		}
	}
	return true
}

// repeat gives the folders that have not answered in this phase, once: a call that was lost must not end the proposal, as a new one
// would begin with all its calls again. Who has taken a copy or accepted a record does so again.
func (p *proposal) repeat() (folders []string) {
	if p.repeated[p.phase] {
		return nil
	}
	p.repeated[p.phase] = true
	folders = slices.Sorted(maps.Keys(p.silent))
	clear(p.silent)
	return folders
}

// repeatAccepts asks those once more to accept the target that have not answered, and tells whether there are any.
func (machine *machine) repeatAccepts() bool {
	folders := machine.proposal.repeat()
	for _, folder := range folders {
		machine.askAccept(machine.proposal.replies[folder].Self)
	}
	return len(folders) > 0
}

// patienceFor is how long answers beyond the majority are waited for: the way there and back of the farthest asked, as
// far as that is known, so that members of a far region are not left out of each record.
func (machine *machine) patienceFor(proposal *proposal) time.Duration {
	var trip time.Duration
	for address := range proposal.asked {
		if peer := machine.peers[address]; peer != nil {
			trip = max(trip, peer.trip)
		}
	}
	return min(trip*3/2+machine.timing.heartbeat/4, machine.timing.call)
}

// eligible tells whether this folder's copy holds all that was acknowledged before and under a record.
func (machine *machine) eligible(base *tierv1.View) bool {
	return base != nil && (base.Epoch == 0 || named(base, machine.Folder) && machine.copyEpoch >= base.Epoch)
}

// abandon ends a proposal that another one overtook.
func (machine *machine) abandon(why string) {
	machine.proposal = nil
	machine.out.news = append(machine.out.news, "proposal abandoned: "+why)
	machine.tryAt = machine.now + machine.patience()
}

// fail ends a proposal that cannot be chosen. A primary retries while its last confirmation counts.
func (machine *machine) fail(why string) {
	proposal := machine.proposal
	machine.proposal = nil
	if proposal.epoch > 0 {
		machine.out.news = append(machine.out.news, "proposal failed: "+why)
	}
	if machine.primary == nil {
		machine.tryAt = machine.now + machine.timing.heartbeat/2 + machine.jitter(machine.timing.heartbeat)
		return
	}
	if !machine.eligible(proposal.base) || !machine.confirmedWithin(machine.timing.fresh) {
		machine.stepDown(why)
		return
	}
	machine.primary.retryAt = machine.now + machine.timing.heartbeat/4 + machine.jitter(machine.timing.heartbeat/2)
}
