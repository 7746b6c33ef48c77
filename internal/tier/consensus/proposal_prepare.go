package consensus

import (
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// sendPrepares sends a prepare to all members of the newest views seen.
//
// The members of the newest view seen are sufficient. A view without former members has members that are in force, because its proposer
// knew its predecessor to be chosen or copied the members of the predecessor. A view with former members lists the members in force as
// Former.
func (r *replica) sendPrepares() {
	proposal := r.proposal
	sets := quorumSets(proposal.predecessor, r.newestChosenView())
	if proposal.add != nil {
		sets = append(sets, []*tierv1.Member{proposal.add})
	}
	for _, set := range sets {
		for _, member := range set {
			address := r.currentAddress(member)
			if address == r.self.Address || member.Folder == r.Folder || proposal.prepareSentTo[address] {
				continue
			}
			proposal.prepareSentTo[address] = true
			proposal.openCalls++
			began := r.now
			r.call(address, &tierv1.PrepareRequest{Epoch: proposal.epoch, From: r.self}, true, func(body proto.Message) {
				reply, _ := body.(*tierv1.PrepareReply)
				r.handlePrepareReply(proposal, reply, began)
			})
		}
	}
}

// handlePrepareReply handles the reply to a prepare sent at began; a nil reply means that the call failed.
func (r *replica) handlePrepareReply(proposal *proposal, reply *tierv1.PrepareReply, began time.Duration) {
	if reply != nil {
		r.recordReply(reply.Self, began)
		r.highestEpoch = max(r.highestEpoch, reply.HighestPrepared)
		r.learnChosen(reply.Chosen)
	}
	if r.proposal != proposal {
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
		r.sendPrepares()
	}
	if !reply.Prepared {
		return
	}
	proposal.prepared[reply.Self.Folder] = reply
	if proposal.phase == accepting {
		r.sendAccept(reply.Self)
	}
}

// countPrepared advances a proposal in its pre-vote or prepare phase. It reports whether the target is decided. If not, the proposal still
// waits, has failed, or has been followed by another one.
func (r *replica) countPrepared() bool {
	proposal := r.proposal
	proposal.predecessor = newestOf(proposal.predecessor, r.newestChosenView())
	if proposal.epoch > 0 && epochOf(proposal.predecessor) >= proposal.epoch {
		r.failProposal("a newer view was seen")
		return false
	}
	if !hasMajorities(quorumSets(proposal.predecessor), r.preparedBy) {
		if proposal.openCalls == 0 || r.now >= proposal.deadline {
			r.failProposal("no majority prepared")
		}
		return false
	}
	if proposal.graceUntil == 0 {
		proposal.graceUntil = r.now + r.replyGrace(proposal)
	}
	if proposal.openCalls > 0 && r.now < proposal.graceUntil {
		return false
	}
	if !r.canLead(proposal.predecessor) {
		r.failProposal("the newest view does not name this member")
		return false
	}
	if proposal.phase == preVoting {
		r.propose(reconfiguration{})
		return false
	}
	r.decideTarget()
	return true
}

// replyGrace returns how long replies beyond the majority are awaited, based on the longest known round trip to a member that was sent a
// prepare, so that members of a distant region are not left out of every view.
func (r *replica) replyGrace(proposal *proposal) time.Duration {
	var roundTrip time.Duration
	for address := range proposal.prepareSentTo {
		if peer := r.peers[address]; peer != nil {
			roundTrip = max(roundTrip, peer.roundTrip)
		}
	}
	return min(roundTrip*3/2+r.timing.heartbeatInterval/4, r.timing.callTimeout)
}

// preparedBy reports whether a member has prepared for the proposal in progress.
func (r *replica) preparedBy(member *tierv1.Member) bool {
	for _, reply := range r.proposal.prepared {
		if r.countsAs(reply, member) {
			return true
		}
	}
	return false
}

// countsAs reports whether a reply counts as that of a member.
func (r *replica) countsAs(reply *tierv1.PrepareReply, member *tierv1.Member) bool {
	return isMember(member, reply.Self.Folder, reply.Self.Address, reply.Genesis)
}
