package consensus

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// handlePrepare handles a prepare: it promises to take part in no lower epoch, unless the primary is protected or the epoch is not above
// the prepared one. Epoch 0 is a pre-vote and records no promise. It asks whether this replica would prepare an epoch now, so that a
// candidate that cannot win makes no member prepare, and which views this replica has seen.
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

// protectsPrimary reports whether the primary was alive so recently that no other folder may depose it (Raft's leader stickiness).
func (r *replica) protectsPrimary(folder string) bool {
	if r.primary != nil {
		return folder != r.Folder && r.confirmedWithin(r.timing.lease)
	}
	return r.primarySeen && r.now-r.primarySeenAt < r.timing.primaryProtection && (r.chosen == nil || folder != r.chosen.Primary)
}

// yieldsToProposer reports whether this replica prepared for another proposer so recently that the view of that proposer may still be in
// progress. This prevents a primary that restarts quickly from disturbing a takeover. It applies to pre-votes only, so it never refuses a
// prepare.
func (r *replica) yieldsToProposer(folder string) bool {
	return r.preparedAt > 0 && r.preparedEpoch > epochOf(r.chosen) && r.preparedFor != folder && r.now-r.preparedAt < r.takeoverTime()
}

// takeoverTime returns how long this replica does not compete with a proposer that it prepared for. It covers the transfer of a state that
// is about as large as this replica's.
func (r *replica) takeoverTime() time.Duration {
	return r.timing.callTimeout/2 + r.timing.transferTime(r.size)
}

// prepare records the promise that this replica takes part in no epoch below epoch, and in epoch itself only for proposer, which may be
// this replica.
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

// handleAccept accepts a view under the last prepared epoch, from the proposer that it was prepared for. A folder created since then
// refuses, as it has prepared no epoch.
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

// preparedExactly reports whether the last prepared epoch is epoch, and was prepared for proposer.
func (r *replica) preparedExactly(epoch uint64, proposer string) bool {
	return epoch > 0 && epoch == r.preparedEpoch && proposer == r.preparedFor
}

// acceptView persists a view as accepted.
func (r *replica) acceptView(view *tierv1.View) {
	if epochOf(r.accepted) == view.Epoch {
		return // duplicate
	}
	r.accepted = view
	r.persist(encodeMessage(kindAccepted, view), true)
}
