package consensus

import (
	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// transferRate is the lowest rate, in bytes per second, at which a snapshot is expected to reach the disk of another member before the
// call counts as failed. The largest state takes twelve seconds at this rate.
const transferRate = 4 << 20

// transferState picks the backups of the target and sends them snapshots; when all have one, the accept phase begins.
func (r *replica) transferState() {
	proposal := r.proposal
	picked, enough := r.pickBackups()
	if !enough {
		for _, folder := range proposal.takeUnanswered() {
			delete(proposal.failedTransfers, folder)
			delete(proposal.transfers, folder)
		}
		picked, enough = r.pickBackups()
	}
	if !enough {
		r.failProposal("too few backups")
		return
	}
	ready := true
	proposal.target.Backups = nil
	for _, member := range picked {
		proposal.target.Backups = append(proposal.target.Backups, member.Folder)
		if _, ok := proposal.confirmedAt[member.Folder]; ok {
			continue
		}
		ready = false
		if !proposal.transfers[member.Folder] {
			r.sendSnapshot(member)
		}
	}
	if ready {
		r.beginAcceptPhase()
	}
}

// sendSnapshot sends a backup of the target the complete state.
func (r *replica) sendSnapshot(to *tierv1.Member) {
	proposal := r.proposal
	proposal.transfers[to.Folder] = true
	began := r.now
	r.call(to.Address, r.snapshotWrite(proposal.epoch), true, func(body proto.Message) {
		reply, _ := body.(*tierv1.WriteReply)
		if reply != nil {
			r.highestEpoch = max(r.highestEpoch, reply.HighestPrepared)
		}
		if r.proposal != proposal {
			return
		}
		switch {
		case reply == nil:
			proposal.failedTransfers[to.Folder], proposal.unanswered[to.Folder] = true, true
		case reply.Acknowledged:
			proposal.confirmedAt[to.Folder] = began
		default:
			proposal.failedTransfers[to.Folder] = true
		}
	})
}
