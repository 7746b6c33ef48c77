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
	preVoting    phase = iota // epoch 0: would a majority promise?
	preparing                 // majorities promise the epoch
	transferring              // the backups of the target get the whole state
	accepting                 // majorities accept the target
)

// reconfiguration is what a primary wants changed by a record; the zero plan takes over, settles or renews.
type reconfiguration struct {
	replaceBackups map[string]bool // backups to be replaced, by folder
	add            *tierv1.Member
	remove         *tierv1.Member
}

// proposal is one attempt to have a record chosen.
type proposal struct {
	reconfiguration
	phase           phase
	epoch           uint64
	predecessor     *tierv1.View // newest accepted record seen: the target follows it
	target          *tierv1.View
	deadline        time.Duration
	graceUntil      time.Duration                   // until when answers are waited for beyond the majority
	askedAddresses  map[string]bool                 // addresses
	openCalls       int                             // calls of this phase under way
	prepared        map[string]*tierv1.PrepareReply // that promised, by folder
	transfers       map[string]bool                 // folders to which a copy is under way
	failedTransfers map[string]bool                 // folders that took no copy
	acceptedBy      map[string]bool                 // folders
	unanswered      map[string]bool                 // folders that didn't answer their copy, or the call to accept
	retried         map[phase]bool                  // phases whose calls without an answer were made once more

	// confirmedAt has the folders that took the copy, and when the newest round trip began by which they confirmed the epoch:
	// that of the copy, or of the target that they accepted.
	confirmedAt map[string]time.Duration
}

// nextStepAt is when the proposal is due at the latest without an answer.
func (p *proposal) nextStepAt() time.Duration {
	if p.graceUntil > 0 && p.phase <= preparing {
		return min(p.graceUntil, p.deadline)
	}
	return p.deadline
}

// electionTimeout is how long a primary may be silent before this folder asks to take over: those with a copy go first.
func (machine *replica) electionTimeout() time.Duration {
	d := machine.timing.electionTimeout + machine.jitter(machine.timing.heartbeatInterval/2)
	if record := machine.newestView(); record != nil && !isNamedIn(record, machine.Folder) && record.Epoch > 0 {
		d += machine.timing.electionTimeout / 2
	}
	return d
}

// startPreVote asks whether it could take over.
func (machine *replica) startPreVote() {
	machine.candidacyAt = machine.now + machine.electionTimeout()
	base := machine.newestView()
	if base == nil || machine.primaryAlive() || !slices.ContainsFunc(quorumSets(base), machine.isVoter) {
		return
	}
	machine.beginProposal(&proposal{phase: preVoting})
}

// propose begins a record of its own epoch.
func (machine *replica) propose(want reconfiguration) {
	epoch := nextEpoch(max(machine.highestEpoch, machine.preparedEpoch), machine.Folder)
	machine.prepare(epoch, machine.Folder)
	machine.beginProposal(&proposal{reconfiguration: want, phase: preparing, epoch: epoch})
}

// beginProposal begins a proposal with this folder's own promise, and asks the others for theirs.
func (machine *replica) beginProposal(proposal *proposal) {
	proposal.predecessor = machine.newestView()
	proposal.deadline = machine.now + 3*machine.timing.callTimeout
	proposal.askedAddresses = make(map[string]bool)
	proposal.prepared = map[string]*tierv1.PrepareReply{machine.Folder: {Prepared: true, Self: machine.self, Genesis: machine.Genesis,
		HighestPrepared: machine.preparedEpoch, Accepted: machine.accepted, Chosen: machine.chosen, Sequence: machine.sequence}}
	proposal.confirmedAt, proposal.transfers = make(map[string]time.Duration), make(map[string]bool)
	proposal.failedTransfers, proposal.acceptedBy = make(map[string]bool), make(map[string]bool)
	proposal.unanswered, proposal.retried = make(map[string]bool), make(map[phase]bool)
	machine.proposal = proposal
	machine.sendPrepares()
}

// sendPrepares asks all members that the newest records seen name for their promise.
//
// What the newest record seen names is enough to ask: a record without a former set follows one that its proposer knew
// to be chosen, or has the same members, so its members are in force; one with a former set names those in force there.
func (machine *replica) sendPrepares() {
	proposal := machine.proposal
	sets := quorumSets(proposal.predecessor, machine.newestChosenView())
	if proposal.add != nil {
		sets = append(sets, []*tierv1.Member{proposal.add})
	}
	for _, set := range sets {
		for _, member := range set {
			address := machine.currentAddress(member)
			if address == machine.self.Address || member.Folder == machine.Folder || proposal.askedAddresses[address] {
				continue
			}
			proposal.askedAddresses[address] = true
			proposal.openCalls++
			began := machine.now
			machine.call(address, &tierv1.PrepareRequest{Epoch: proposal.epoch, From: machine.self}, true, func(body proto.Message) {
				reply, _ := body.(*tierv1.PrepareReply)
				machine.handlePrepareReply(proposal, reply, began)
			})
		}
	}
}

// handlePrepareReply takes the answer to a call for a promise that began at that time; nil: there was none.
func (machine *replica) handlePrepareReply(proposal *proposal, reply *tierv1.PrepareReply, began time.Duration) {
	if reply != nil {
		machine.recordReply(reply.Self, began)
		machine.highestEpoch = max(machine.highestEpoch, reply.HighestPrepared)
		machine.learnChosen(reply.Chosen)
	}
	if machine.proposal != proposal {
		return
	}
	if proposal.phase <= preparing {
		proposal.openCalls--
	}
	if reply == nil || reply.Self == nil {
		return
	}
	if proposal.phase <= preparing {
		proposal.predecessor = newestOf(newestOf(proposal.predecessor, reply.Accepted), reply.Chosen)
		machine.sendPrepares()
	}
	if !reply.Prepared {
		return
	}
	proposal.prepared[reply.Self.Folder] = reply
	if proposal.phase == accepting {
		machine.sendAccept(reply.Self)
	}
}

// countsAs tells whether the reply of a folder counts as a member's.
func (machine *replica) countsAs(reply *tierv1.PrepareReply, member *tierv1.Member) bool {
	return isMember(member, reply.Self.Folder, reply.Self.Address, reply.Genesis)
}

// preparedBy tells whether a member has promised to the proposal under way.
func (machine *replica) preparedBy(member *tierv1.Member) bool {
	for _, reply := range machine.proposal.prepared {
		if machine.countsAs(reply, member) {
			return true
		}
	}
	return false
}

// acceptedBy tells whether a member has accepted its target.
func (machine *replica) acceptedBy(member *tierv1.Member) bool {
	for folder, reply := range machine.proposal.prepared {
		if machine.proposal.acceptedBy[folder] && machine.countsAs(reply, member) {
			return true
		}
	}
	return false
}

// advanceProposal goes on with the proposal as far as the answers allow.
func (machine *replica) advanceProposal() {
	proposal := machine.proposal
	if proposal.phase > preparing && epochOf(machine.newestChosenView()) > proposal.predecessor.Epoch {
		machine.failProposal("a newer record was chosen")
		return
	}
	if proposal.phase <= preparing && !machine.countPrepared() {
		return
	}
	if machine.proposal == proposal && proposal.phase == transferring {
		machine.transferState()
	}
	if machine.proposal == proposal && proposal.phase == accepting && machine.countAccepted() {
		return
	}
	if machine.proposal == proposal && machine.now >= proposal.deadline {
		machine.failProposal("out of time")
	}
}

// countPrepared goes on with a proposal that waits for promises. It reports whether the target is decided: else the
// proposal waits on, has failed, or another follows it.
func (machine *replica) countPrepared() bool {
	proposal := machine.proposal
	proposal.predecessor = newestOf(proposal.predecessor, machine.newestChosenView())
	if proposal.epoch > 0 && epochOf(proposal.predecessor) >= proposal.epoch {
		machine.failProposal("a newer record was seen")
		return false
	}
	if !hasMajorities(quorumSets(proposal.predecessor), machine.preparedBy) {
		if proposal.openCalls == 0 || machine.now >= proposal.deadline {
			machine.failProposal("no majority promises")
		}
		return false
	}
	if proposal.graceUntil == 0 {
		proposal.graceUntil = machine.now + machine.replyGrace(proposal)
	}
	if proposal.openCalls > 0 && machine.now < proposal.graceUntil {
		return false
	}
	if !machine.canLead(proposal.predecessor) {
		machine.failProposal("the newest record does not name this folder")
		return false
	}
	if proposal.phase == preVoting {
		machine.propose(reconfiguration{})
		return false
	}
	machine.decideTarget()
	return true
}

// countAccepted goes on with a proposal that waits for majorities to accept its target, and reports whether it has ended:
// chosen, or failed.
func (machine *replica) countAccepted() bool {
	proposal := machine.proposal
	chosen := hasMajorities(quorumSets(proposal.predecessor, proposal.target), machine.acceptedBy)
	if chosen && (proposal.openCalls == 0 || machine.backupsConfirmed()) {
		machine.becomePrimary(proposal)
		return true
	}
	if proposal.openCalls == 0 && !machine.retryAccepts() {
		machine.failProposal("no majority accepts")
		return true
	}
	return false
}

// backupsConfirmed tells whether the lease that begins with the target would hold for a while. A copy that was long on its
// way does not tell: then a backup's word on the target is waited for, which counts as well.
func (machine *replica) backupsConfirmed() bool {
	proposal := machine.proposal
	for _, folder := range proposal.target.Backups {
		if machine.now-proposal.confirmedAt[folder] > machine.timing.lease/2 {
			return false
		}
	}
	return true
}

// takeUnanswered gives the folders that have not answered in this phase, once: a call that was lost must not end the proposal, as a new one
// would begin with all its calls again. Who has taken a copy or accepted a record does so again.
func (p *proposal) takeUnanswered() (folders []string) {
	if p.retried[p.phase] {
		return nil
	}
	p.retried[p.phase] = true
	folders = slices.Sorted(maps.Keys(p.unanswered))
	clear(p.unanswered)
	return folders
}

// retryAccepts asks those once more to accept the target that have not answered, and tells whether there are any.
func (machine *replica) retryAccepts() bool {
	folders := machine.proposal.takeUnanswered()
	for _, folder := range folders {
		machine.sendAccept(machine.proposal.prepared[folder].Self)
	}
	return len(folders) > 0
}

// replyGrace is how long answers beyond the majority are waited for: the way there and back of the farthest asked, as
// far as that is known, so that members of a far region are not left out of each record.
func (machine *replica) replyGrace(proposal *proposal) time.Duration {
	var trip time.Duration
	for address := range proposal.askedAddresses {
		if peer := machine.peers[address]; peer != nil {
			trip = max(trip, peer.roundTrip)
		}
	}
	return min(trip*3/2+machine.timing.heartbeatInterval/4, machine.timing.callTimeout)
}

// canLead tells whether this folder's copy holds all that was acknowledged before and under a record.
func (machine *replica) canLead(base *tierv1.View) bool {
	return base != nil && (base.Epoch == 0 || isNamedIn(base, machine.Folder) && machine.stateEpoch >= base.Epoch)
}

// abandonProposal ends a proposal that another one overtook.
func (machine *replica) abandonProposal(why string) {
	machine.proposal = nil
	machine.actions.transitions = append(machine.actions.transitions, "proposal abandoned: "+why)
	machine.candidacyAt = machine.now + machine.electionTimeout()
}

// failProposal ends a proposal that cannot be chosen. A primary retries while its last confirmation counts.
func (machine *replica) failProposal(why string) {
	proposal := machine.proposal
	machine.proposal = nil
	if proposal.epoch > 0 {
		machine.actions.transitions = append(machine.actions.transitions, "proposal failed: "+why)
	}
	if machine.primary == nil {
		machine.candidacyAt = machine.now + machine.timing.heartbeatInterval/2 + machine.jitter(machine.timing.heartbeatInterval)
		return
	}
	if !machine.canLead(proposal.predecessor) || !machine.confirmedWithin(machine.timing.lease) {
		machine.stepDown(why)
		return
	}
	machine.primary.proposeAt = machine.now + machine.timing.heartbeatInterval/4 + machine.jitter(machine.timing.heartbeatInterval/2)
}
