package consensus

import (
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// handleHeartbeat records that the primary is alive. The reply renews its lease.
func (r *replica) handleHeartbeat(request *tierv1.HeartbeatRequest) *tierv1.HeartbeatReply {
	r.recordContact(request.From)
	r.learnChosen(request.View)
	if r.primary == nil && r.isFromPrimary(request) && !r.expectsTakeover(request) {
		r.recordPrimaryAlive(request.From.Address)
	}
	return &tierv1.HeartbeatReply{Self: r.self, HighestPrepared: r.preparedEpoch, Sequence: r.sequence, IsMember: r.isVoter(r.chosenMembers())}
}

// isFromPrimary reports whether a heartbeat carries the newest chosen view and is from its primary.
func (r *replica) isFromPrimary(request *tierv1.HeartbeatRequest) bool {
	return r.chosen != nil && request.View != nil && request.From != nil && request.View.Epoch == r.chosen.Epoch && request.From.Folder == r.chosen.Primary
}

// expectsTakeover reports whether a proposer that this replica prepared for may be about to replace the primary that sent a heartbeat. If
// so, the heartbeat is not counted.
func (r *replica) expectsTakeover(request *tierv1.HeartbeatRequest) bool {
	return r.preparedEpoch > r.chosen.Epoch && r.preparedFor != request.From.Folder && r.now-r.preparedAt <= r.timing.electionTimeout
}

// recordPrimaryAlive restarts the election time-out, and ends a pre-vote.
func (r *replica) recordPrimaryAlive(address string) {
	r.primarySeenAt, r.primarySeen = r.now, true
	r.checkPrimaryAt = r.now + r.timing.heartbeatInterval*3/2
	if r.primaryHint != address {
		r.primaryHint, r.actions.changed = address, true
	}
	r.candidacyAt = r.now + r.electionTimeout()
	if r.proposal != nil && r.proposal.epoch == 0 {
		r.proposal = nil
	}
}

// handleWrite applies writes of the primary, or a snapshot, to the state of this backup. It is idempotent: a duplicate write, or one that
// later writes have superseded, is acknowledged again.
func (r *replica) handleWrite(request *tierv1.WriteRequest) *tierv1.WriteReply {
	reply := &tierv1.WriteReply{HighestPrepared: r.preparedEpoch}
	if !r.preparedExactly(request.Epoch, request.From) || request.From == r.Folder || request.Epoch < r.stateEpoch {
		return reply
	}
	if !request.Snapshot {
		switch {
		case r.stateEpoch != request.Epoch || r.sequence < request.PreviousSequence:
			reply.Behind = true
			return reply
		case r.sequence >= request.Sequence: // duplicate, or a confirm, which has no entries
			reply.Acknowledged = true
			return reply
		case r.sequence != request.PreviousSequence:
			reply.Behind = true
			return reply
		}
	} else if r.stateEpoch == request.Epoch && r.sequence >= request.Sequence {
		reply.Acknowledged = true // duplicate, or superseded by the writes that followed it
		return reply
	}
	if !fitsRecord(request) { // sent by a version without StateLimit
		r.log("write rejected", "larger than one record of the file")
		return reply
	}
	r.apply(request)
	r.persist(encodeMessage(kindWrite, request), true)
	r.actions.changed = true
	reply.Acknowledged = true
	return reply
}
