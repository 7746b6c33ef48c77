package consensus

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// handlePrepare handles the prepare phase of a proposal: it promises to take part in no lower epoch, if it may. Epoch 0 is a
// pre-vote, which binds nobody: it asks whether the callee would prepare an epoch now, so that a candidate that cannot win makes
// nobody prepare, and what the callee knows.
func (r *replica) handlePrepare(request *tierv1.PrepareRequest) *tierv1.PrepareReply {
	r.recordContact(request.From)
	reply := &tierv1.PrepareReply{Self: r.self, Genesis: r.Genesis, Sequence: r.sequence}
	if request.Epoch > 0 {
		r.highestEpoch = max(r.highestEpoch, request.Epoch)
	}
	reply.Prepared = request.From != nil && !r.protectsPrimary(request.From.Folder) && (request.Epoch == 0 || request.Epoch > r.preparedEpoch)
	if request.Epoch == 0 && r.yieldsToProposer(request.From.GetFolder()) {
		reply.Prepared = false
	}
	if reply.Prepared && request.Epoch > 0 {
		r.prepare(request.Epoch, request.From.Folder)
	}
	reply.HighestPrepared, reply.Accepted, reply.Chosen = r.preparedEpoch, r.accepted, r.chosen
	return reply
}

// protectsPrimary reports whether the primary is known to be alive so recently that no other folder may depose it (Raft's leader
// stickiness).
func (r *replica) protectsPrimary(folder string) bool {
	if r.primary != nil {
		return folder != r.Folder && r.confirmedWithin(r.timing.lease)
	}
	return r.primarySeen && r.now-r.primarySeenAt < r.timing.primaryProtection && (r.chosen == nil || folder != r.chosen.Primary)
}

// yieldsToProposer reports whether another proposer prepared this replica so recently that its view may be on its way. That keeps
// a primary that is back at once from disturbing the one that takes over. It is asked in pre-votes only, so it binds nobody.
func (r *replica) yieldsToProposer(folder string) bool {
	return r.preparedAt > 0 && r.preparedEpoch > epochOf(r.chosen) && r.preparedFor != folder && r.now-r.preparedAt < r.takeoverTime()
}

// takeoverTime is for how long a proposer that prepared this replica is not disturbed: it transfers a state that is about as
// large as this one.
func (r *replica) takeoverTime() time.Duration {
	return r.timing.callTimeout/2 + r.timing.transferTime(r.size)
}

// prepare records that this replica takes part in no epoch below, and in this one only for the proposer, which may be itself.
func (r *replica) prepare(epoch uint64, proposer string) {
	r.preparedEpoch, r.preparedFor, r.preparedAt = epoch, proposer, r.now
	r.highestEpoch = max(r.highestEpoch, epoch)
	r.persist(encodePrepared(epoch, proposer), true)
	if proposer == r.Folder {
		return
	}
	if r.primary != nil {
		r.stepDown("prepared for another proposer")
	}
	if r.proposal != nil && r.proposal.epoch > 0 {
		r.abandonProposal("prepared for another proposer")
	}
	r.candidacyAt = max(r.candidacyAt, r.now+r.takeoverTime()+r.jitter(r.timing.heartbeatInterval))
}

// handleAccept accepts a view under the epoch prepared last, from the proposer that prepared it. A folder created since then
// refuses: it has prepared nothing.
func (r *replica) handleAccept(request *tierv1.AcceptRequest) *tierv1.AcceptReply {
	r.recordContact(request.From)
	reply := &tierv1.AcceptReply{}
	if request.View != nil && request.From != nil && request.View.Primary == request.From.Folder && r.preparedExactly(request.View.Epoch, request.From.Folder) {
		reply.Accepted = true
		r.acceptView(request.View)
	}
	reply.HighestPrepared = r.preparedEpoch
	return reply
}

// preparedExactly reports whether the epoch prepared last is this one, for this proposer.
func (r *replica) preparedExactly(epoch uint64, proposer string) bool {
	return epoch > 0 && epoch == r.preparedEpoch && proposer == r.preparedFor
}

// acceptView persists that a view is accepted.
func (r *replica) acceptView(view *tierv1.View) {
	if epochOf(r.accepted) == view.Epoch {
		return // doubled
	}
	r.accepted = view
	r.persist(encodeMessage(kindAccepted, view), true)
}
