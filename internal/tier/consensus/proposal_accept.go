package consensus

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// beginAcceptPhase accepts the target locally and sends an accept to each member that prepared.
func (r *replica) beginAcceptPhase() {
	proposal := r.proposal
	proposal.phase = accepting
	clear(proposal.unanswered)
	r.acceptView(proposal.target)
	proposal.acceptedBy[r.Folder] = true
	for _, folder := range slices.Sorted(maps.Keys(proposal.prepared)) { // sorted, as the actions of a step must be deterministic
		if folder != r.Folder {
			r.sendAccept(proposal.prepared[folder].Self)
		}
	}
}

// sendAccept sends an accept of the target to a member that prepared.
func (r *replica) sendAccept(to *tierv1.Member) {
	proposal := r.proposal
	proposal.openCalls++
	began := r.now
	r.call(to.Address, &tierv1.AcceptRequest{View: proposal.target, From: r.self}, false, func(body proto.Message) {
		reply, _ := body.(*tierv1.AcceptReply)
		if reply != nil {
			r.highestEpoch = max(r.highestEpoch, reply.HighestPrepared)
		}
		if r.proposal != proposal {
			return
		}
		proposal.openCalls--
		if reply == nil {
			proposal.unanswered[to.Folder] = true
			return
		}
		if reply.Accepted {
			proposal.acceptedBy[to.Folder] = true
			if _, ok := proposal.confirmedAt[to.Folder]; ok { // the prepared epoch is the same as when the member acknowledged the snapshot
				proposal.confirmedAt[to.Folder] = began
			}
		}
	})
}

// countAccepted advances a proposal in its accept phase, and reports whether it has ended, chosen or failed.
func (r *replica) countAccepted() bool {
	proposal := r.proposal
	chosen := hasMajorities(quorumSets(proposal.predecessor, proposal.target), r.acceptedBy)
	if chosen && (proposal.openCalls == 0 || r.backupsConfirmed()) {
		r.becomePrimary(proposal)
		return true
	}
	if proposal.openCalls == 0 && !r.retryAccepts() {
		r.failProposal("no majority accepted")
		return true
	}
	return false
}

// acceptedBy reports whether a member has accepted the target of the proposal in progress.
func (r *replica) acceptedBy(member *tierv1.Member) bool {
	for folder, reply := range r.proposal.prepared {
		if r.proposal.acceptedBy[folder] && r.countsAs(reply, member) {
			return true
		}
	}
	return false
}

// backupsConfirmed reports whether the lease that begins with the target would still be valid for at least half of its duration. After a
// long state transfer it would not; then the replies of the backups to the accept are awaited, which also confirm the epoch.
func (r *replica) backupsConfirmed() bool {
	proposal := r.proposal
	for _, folder := range proposal.target.Backups {
		if r.now-proposal.confirmedAt[folder] > r.timing.lease/2 {
			return false
		}
	}
	return true
}

// retryAccepts retries the accept at the members that have not replied, and reports whether there are any.
func (r *replica) retryAccepts() bool {
	folders := r.proposal.takeUnanswered()
	for _, folder := range folders {
		r.sendAccept(r.proposal.prepared[folder].Self)
	}
	return len(folders) > 0
}
