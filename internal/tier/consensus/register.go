package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// handlePrepare answers whether this folder will from now on refuse what is below an epoch. Epoch 0 only asks whether it
// would (so that a node that cannot win takes no promises), and what it knows.
func (machine *replica) handlePrepare(request *tierv1.PrepareRequest) *tierv1.PrepareReply {
	machine.recordContact(request.From)
	reply := &tierv1.PrepareReply{Self: machine.self, Genesis: machine.Genesis, Sequence: machine.sequence}
	if request.Epoch > 0 {
		machine.highestEpoch = max(machine.highestEpoch, request.Epoch)
	}
	reply.Prepared = request.From != nil && !machine.protectsPrimary(request.From.Folder) && (request.Epoch == 0 || request.Epoch > machine.preparedEpoch)
	if request.Epoch == 0 && machine.yieldsToProposer(request.From.GetFolder()) {
		reply.Prepared = false
	}
	if reply.Prepared && request.Epoch > 0 {
		machine.prepare(request.Epoch, request.From.Folder)
	}
	reply.HighestPrepared, reply.Accepted, reply.Chosen = machine.preparedEpoch, machine.accepted, machine.chosen
	return reply
}

// protectsPrimary reports whether the primary was observed so recently that no other may depose it.
func (machine *replica) protectsPrimary(folder string) bool {
	if machine.primary != nil {
		return folder != machine.Folder && machine.confirmedWithin(machine.timing.lease)
	}
	return machine.primarySeen && machine.now-machine.primarySeenAt < machine.timing.primaryProtection && (machine.chosen == nil || folder != machine.chosen.Primary)
}

// yieldsToProposer tells whether another has had this folder's promise so recently that its record may be under way. That keeps a
// primary that is back at once from stopping the one that is taking over; it binds nobody.
func (machine *replica) yieldsToProposer(folder string) bool {
	return machine.preparedAt > 0 && machine.preparedEpoch > epochOf(machine.chosen) && machine.preparedFor != folder && machine.now-machine.preparedAt < machine.takeoverTime()
}

// takeoverTime is how long one who has this folder's promise is not disturbed: it copies a state that is about as large as
// this folder's copy.
func (machine *replica) takeoverTime() time.Duration {
	return machine.timing.callTimeout/2 + machine.timing.transferTime(machine.size)
}

// prepare records a promise, to another folder or to this one.
func (machine *replica) prepare(epoch uint64, to string) {
	machine.preparedEpoch, machine.preparedFor, machine.preparedAt = epoch, to, machine.now
	machine.highestEpoch = max(machine.highestEpoch, epoch)
	machine.persist(encodePrepared(epoch, to), true)
	if to == machine.Folder {
		return
	}
	if machine.primary != nil {
		machine.stepDown("promised to another")
	}
	if machine.proposal != nil && machine.proposal.epoch > 0 {
		machine.abandonProposal("promised to another")
	}
	machine.candidacyAt = max(machine.candidacyAt, machine.now+machine.takeoverTime()+machine.jitter(machine.timing.heartbeatInterval))
}

// handleAccept takes a record under the epoch promised last, from the one it was promised to. A folder made since the promise
// refuses, as it has given none.
func (machine *replica) handleAccept(request *tierv1.AcceptRequest) *tierv1.AcceptReply {
	machine.recordContact(request.From)
	reply := &tierv1.AcceptReply{}
	if request.View != nil && request.From != nil && request.View.Primary == request.From.Folder && machine.preparedExactly(request.View.Epoch, request.From.Folder) {
		reply.Accepted = true
		machine.acceptView(request.View)
	}
	reply.HighestPrepared = machine.preparedEpoch
	return reply
}

// preparedExactly tells whether the newest promise of this folder is that of an epoch to another.
func (machine *replica) preparedExactly(epoch uint64, to string) bool {
	return epoch > 0 && epoch == machine.preparedEpoch && to == machine.preparedFor
}

// acceptView records that a record is accepted.
func (machine *replica) acceptView(record *tierv1.View) {
	if epochOf(machine.accepted) == record.Epoch {
		return // doubled
	}
	machine.accepted = record
	machine.persist(encodeMessage(kindAccepted, record), true)
}

// handleHeartbeat takes notice of a primary.
func (machine *replica) handleHeartbeat(request *tierv1.HeartbeatRequest) *tierv1.HeartbeatReply {
	machine.recordContact(request.From)
	machine.learnChosen(request.View)
	record := machine.chosen
	if record != nil && request.View != nil && request.From != nil && request.View.Epoch == record.Epoch && request.From.Folder == record.Primary && machine.primary == nil {
		// One who is about to take over has this folder's promise: the heartbeats of the primary before it count no more.
		if machine.preparedEpoch <= record.Epoch || machine.preparedFor == request.From.Folder || machine.now-machine.preparedAt > machine.timing.electionTimeout {
			machine.primarySeenAt, machine.primarySeen = machine.now, true
			machine.checkPrimaryAt = machine.now + machine.timing.heartbeatInterval*3/2
			if machine.primaryHint != request.From.Address {
				machine.primaryHint, machine.actions.changed = request.From.Address, true
			}
			machine.candidacyAt = machine.now + machine.electionTimeout()
			if machine.proposal != nil && machine.proposal.epoch == 0 {
				machine.proposal = nil
			}
		}
	}
	return &tierv1.HeartbeatReply{Self: machine.self, HighestPrepared: machine.preparedEpoch, Sequence: machine.sequence, IsMember: machine.isVoter(machine.chosenMembers())}
}

// handleWrite takes a write of the primary into the copy.
func (machine *replica) handleWrite(request *tierv1.WriteRequest) *tierv1.WriteReply {
	reply := &tierv1.WriteReply{HighestPrepared: machine.preparedEpoch}
	if !machine.preparedExactly(request.Epoch, request.From) || request.From == machine.Folder || request.Epoch < machine.stateEpoch {
		return reply
	}
	if !request.Snapshot {
		switch {
		case machine.stateEpoch != request.Epoch || machine.sequence < request.PreviousSequence:
			reply.Behind = true
			return reply
		case machine.sequence >= request.Sequence: // doubled, or it only asks whether the epoch stands
			reply.Acknowledged = true
			return reply
		case machine.sequence != request.PreviousSequence:
			reply.Behind = true
			return reply
		}
	} else if machine.stateEpoch == request.Epoch && machine.sequence >= request.Sequence {
		reply.Acknowledged = true // doubled, or overtaken by the writes that followed it
		return reply
	}
	if !fitsRecord(request) { // of a program without StateLimit
		machine.actions.transitions = append(machine.actions.transitions, "write refused: it does not fit one record of the file")
		return reply
	}
	machine.apply(request)
	machine.persist(encodeMessage(kindWrite, request), true)
	machine.actions.changed = true
	reply.Acknowledged = true
	return reply
}

// handleJoin takes notice of a node that is no member, or that observes no primary.
func (machine *replica) handleJoin(request *tierv1.JoinRequest) *tierv1.JoinReply {
	if request.From != nil && request.From.Folder != "" {
		if peer := machine.recordContact(request.From); peer != nil {
			peer.firstSeen = machine.now
			if !peer.hasReplied && machine.primary != nil {
				machine.primary.heartbeatAt = machine.now // ask it at once
			}
		}
	}
	return &tierv1.JoinReply{IsPrimary: machine.primary != nil, View: machine.chosen}
}

// sendJoins tells all known processes of this one, and learns the newest chosen record from their answers.
func (machine *replica) sendJoins() {
	for _, address := range machine.peerAddresses() {
		began := machine.now
		machine.call(address, &tierv1.JoinRequest{From: machine.self}, false, func(body proto.Message) {
			reply, ok := body.(*tierv1.JoinReply)
			if !ok {
				return
			}
			if peer := machine.peers[address]; peer != nil && peer.member != nil {
				machine.recordReply(peer.member, began)
			}
			machine.learnChosen(reply.View)
		})
	}
}

// liveMembers are the folders known and alive, and the members of the record.
func (machine *replica) liveMembers() (list []*tierv1.Member) {
	list = append(list, machine.self)
	for _, member := range machine.chosenMembers() {
		if member.Folder == "" {
			if peer := machine.peers[member.Address]; peer != nil && peer.member != nil {
				member = peer.member
			}
		}
		if member.Address != machine.self.Address {
			list = append(list, member)
		}
	}
	for _, address := range machine.peerAddresses() {
		if peer := machine.peers[address]; peer != nil && peer.member != nil && machine.now-peer.answeredAt < 2*machine.timing.replaceAfter &&
			!slices.ContainsFunc(list, func(o *tierv1.Member) bool { return o.Address == address }) {
			list = append(list, peer.member)
		}
	}
	return list
}
