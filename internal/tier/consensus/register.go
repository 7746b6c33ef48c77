package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// promise answers whether this folder will from now on refuse what is below an epoch. Epoch 0 only asks whether it
// would (so that a node that cannot win takes no promises), and what it knows.
func (machine *machine) promise(request *tierv1.PrepareRequest) *tierv1.PrepareReply {
	machine.met(request.From)
	reply := &tierv1.PrepareReply{Self: machine.self, Genesis: machine.Genesis, Sequence: machine.sequence}
	if request.Epoch > 0 {
		machine.highest = max(machine.highest, request.Epoch)
	}
	reply.Promised = request.From != nil && !machine.sticky(request.From.Folder) && (request.Epoch == 0 || request.Epoch > machine.promised)
	if request.Epoch == 0 && machine.busy(request.From.GetFolder()) {
		reply.Promised = false
	}
	if reply.Promised && request.Epoch > 0 {
		machine.grantPromise(request.Epoch, request.From.Folder)
	}
	reply.HighestPromised, reply.Accepted, reply.Chosen = machine.promised, machine.accepted, machine.chosen
	return reply
}

// sticky reports whether the primary was observed so recently that no other may depose it.
func (machine *machine) sticky(folder string) bool {
	if machine.primary != nil {
		return folder != machine.Folder && machine.confirmedWithin(machine.timing.fresh)
	}
	return machine.observed && machine.now-machine.observedAt < machine.timing.sticky && (machine.chosen == nil || folder != machine.chosen.Primary)
}

// busy tells whether another has had this folder's promise so recently that its record may be under way. That keeps a
// primary that is back at once from stopping the one that is taking over; it binds nobody.
func (machine *machine) busy(folder string) bool {
	return machine.granted > 0 && machine.promised > epochOf(machine.chosen) && machine.promisedTo != folder && machine.now-machine.granted < machine.takeoverTime()
}

// takeoverTime is how long one who has this folder's promise is not disturbed: it copies a state that is about as large as
// this folder's copy.
func (machine *machine) takeoverTime() time.Duration {
	return machine.timing.call/2 + machine.timing.transfer(machine.size)
}

// grantPromise records a promise, to another folder or to this one.
func (machine *machine) grantPromise(epoch uint64, to string) {
	machine.promised, machine.promisedTo, machine.granted = epoch, to, machine.now
	machine.highest = max(machine.highest, epoch)
	machine.store(encodePromise(epoch, to), true)
	if to == machine.Folder {
		return
	}
	if machine.primary != nil {
		machine.stepDown("promised to another")
	}
	if machine.proposal != nil && machine.proposal.epoch > 0 {
		machine.abandon("promised to another")
	}
	machine.tryAt = max(machine.tryAt, machine.now+machine.takeoverTime()+machine.jitter(machine.timing.heartbeat))
}

// accept takes a record under the epoch promised last, from the one it was promised to. A folder made since the promise
// refuses, as it has given none.
func (machine *machine) accept(request *tierv1.AcceptRequest) *tierv1.AcceptReply {
	machine.met(request.From)
	reply := &tierv1.AcceptReply{}
	if request.View != nil && request.From != nil && request.View.Primary == request.From.Folder && machine.bound(request.View.Epoch, request.From.Folder) {
		reply.Accepted = true
		machine.acceptRecord(request.View)
	}
	reply.HighestPromised = machine.promised
	return reply
}

// bound tells whether the newest promise of this folder is that of an epoch to another.
func (machine *machine) bound(epoch uint64, to string) bool {
	return epoch > 0 && epoch == machine.promised && to == machine.promisedTo
}

// acceptRecord records that a record is accepted.
func (machine *machine) acceptRecord(record *tierv1.View) {
	if epochOf(machine.accepted) == record.Epoch {
		return // doubled
	}
	machine.accepted = record
	machine.store(encodeMessage(kindAccepted, record), true)
}

// heartbeat takes notice of a primary.
func (machine *machine) heartbeat(request *tierv1.HeartbeatRequest) *tierv1.HeartbeatReply {
	machine.met(request.From)
	machine.learn(request.View)
	record := machine.chosen
	if record != nil && request.View != nil && request.From != nil && request.View.Epoch == record.Epoch && request.From.Folder == record.Primary && machine.primary == nil {
		// One who is about to take over has this folder's promise: the heartbeats of the primary before it count no more.
		if machine.promised <= record.Epoch || machine.promisedTo == request.From.Folder || machine.now-machine.granted > machine.timing.silence {
			machine.observedAt, machine.observed = machine.now, true
			machine.probeAt = machine.now + machine.timing.heartbeat*3/2
			if machine.hint != request.From.Address {
				machine.hint, machine.out.changed = request.From.Address, true
			}
			machine.tryAt = machine.now + machine.patience()
			if machine.proposal != nil && machine.proposal.epoch == 0 {
				machine.proposal = nil
			}
		}
	}
	return &tierv1.HeartbeatReply{Self: machine.self, HighestPromised: machine.promised, Sequence: machine.sequence, IsMember: machine.isVoter(machine.knownMembers())}
}

// write takes a write of the primary into the copy.
func (machine *machine) write(request *tierv1.WriteRequest) *tierv1.WriteReply {
	reply := &tierv1.WriteReply{HighestPromised: machine.promised}
	if !machine.bound(request.Epoch, request.From) || request.From == machine.Folder || request.Epoch < machine.copyEpoch {
		return reply
	}
	if !request.Snapshot {
		switch {
		case machine.copyEpoch != request.Epoch || machine.sequence < request.PreviousSequence:
			reply.Behind = true
			return reply
		case machine.sequence >= request.Sequence: // doubled, or it only asks whether the epoch stands
			reply.Acknowledged = true
			return reply
		case machine.sequence != request.PreviousSequence:
			reply.Behind = true
			return reply
		}
	} else if machine.copyEpoch == request.Epoch && machine.sequence >= request.Sequence {
		reply.Acknowledged = true // doubled, or overtaken by the writes that followed it
		return reply
	}
	if !fitsRecord(request) { // of a program without StateLimit
		machine.out.news = append(machine.out.news, "write refused: it does not fit one record of the file")
		return reply
	}
	machine.apply(request)
	machine.store(encodeMessage(kindWrite, request), true)
	machine.out.changed = true
	reply.Acknowledged = true
	return reply
}

// join takes notice of a node that is no member, or that observes no primary.
func (machine *machine) join(request *tierv1.JoinRequest) *tierv1.JoinReply {
	if request.From != nil && request.From.Folder != "" {
		if peer := machine.met(request.From); peer != nil {
			peer.first = machine.now
			if !peer.replied && machine.primary != nil {
				machine.primary.next = machine.now // ask it at once
			}
		}
	}
	return &tierv1.JoinReply{IsPrimary: machine.primary != nil, View: machine.chosen}
}

// askToJoin tells all known processes of this one, and learns the newest chosen record from their answers.
func (machine *machine) askToJoin() {
	for _, address := range machine.addresses() {
		began := machine.now
		machine.call(address, &tierv1.JoinRequest{From: machine.self}, false, func(body proto.Message) {
			reply, ok := body.(*tierv1.JoinReply)
			if !ok {
				return
			}
			if peer := machine.peers[address]; peer != nil && peer.member != nil {
				machine.replied(peer.member, began)
			}
			machine.learn(reply.View)
		})
	}
}

// members are the folders known and alive, and the members of the record.
func (machine *machine) members() (list []*tierv1.Member) {
	list = append(list, machine.self)
	for _, member := range machine.knownMembers() {
		if member.Folder == "" {
			if peer := machine.peers[member.Address]; peer != nil && peer.member != nil {
				member = peer.member
			}
		}
		if member.Address != machine.self.Address {
			list = append(list, member)
		}
	}
	for _, address := range machine.addresses() {
		if peer := machine.peers[address]; peer != nil && peer.member != nil && machine.now-peer.answered < 2*machine.timing.swap &&
			!slices.ContainsFunc(list, func(o *tierv1.Member) bool { return o.Address == address }) {
			list = append(list, peer.member)
		}
	}
	return list
}
