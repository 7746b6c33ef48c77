package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// leaseStart returns when the lease began: for each backup, the newest round trip counts, and the lease began with the oldest of these.
// Without backups it returns now, as no other replica may take over.
func (r *replica) leaseStart() time.Duration {
	at := r.now
	for _, folder := range r.primary.view.Backups {
		at = min(at, r.primary.confirmedAt[folder])
	}
	return at
}

// confirmedWithin reports whether all backups replied to a round trip that began within d.
func (r *replica) confirmedWithin(d time.Duration) bool {
	return r.now-r.leaseStart() < d
}

// absentHeartbeatFactor limits the heartbeats to an unresponsive process that is not a member: they end after this multiple of
// timing.replaceAfter. After that the process has to join.
const absentHeartbeatFactor = 5

// sendHeartbeats sends heartbeats to all members, and to other processes until they have been unresponsive for too long
// (absentHeartbeatFactor).
func (r *replica) sendHeartbeats() {
	primary := r.primary
	primary.heartbeatAt = r.now + r.timing.heartbeatInterval
	for _, address := range r.peerAddresses() {
		isMember := slices.ContainsFunc(primary.view.Members, func(member *tierv1.Member) bool { return member.Address == address })
		if isMember || r.unresponsiveFor(address) < absentHeartbeatFactor*r.timing.replaceAfter {
			r.sendHeartbeat(address)
		}
	}
}

// sendHeartbeat sends a node the view in force, unless a heartbeat to it is in flight. The reply of a backup renews the lease.
func (r *replica) sendHeartbeat(address string) {
	peer := r.peer(address)
	if peer.heartbeatPending {
		return
	}
	peer.heartbeatPending = true
	began := r.now
	r.call(address, &tierv1.HeartbeatRequest{View: r.primary.view, From: r.self}, false, func(body proto.Message) {
		peer.heartbeatPending = false
		reply, _ := body.(*tierv1.HeartbeatReply)
		if reply == nil || reply.Self == nil {
			return
		}
		r.recordReply(reply.Self, began)
		peer.reportsMembership = reply.IsMember
		r.highestEpoch = max(r.highestEpoch, reply.HighestPrepared)
		primary := r.primary
		if primary == nil || !slices.Contains(primary.view.Backups, reply.Self.Folder) {
			return
		}
		if reply.HighestPrepared == primary.view.Epoch || r.preparedForProposal(reply.Self.Folder, reply.HighestPrepared) {
			primary.confirmedAt[reply.Self.Folder] = max(primary.confirmedAt[reply.Self.Folder], began)
		} else if reply.HighestPrepared > primary.view.Epoch {
			primary.needsHigherEpoch = true
		}
	})
}

// preparedForProposal reports whether a member prepared an epoch for this replica's proposal in progress. The epoch alone is not enough:
// two proposers may use the same epoch, and the reply to a heartbeat does not name the proposer that it was prepared for.
func (r *replica) preparedForProposal(folder string, epoch uint64) bool {
	proposal := r.proposal
	return proposal != nil && epoch == proposal.epoch && proposal.prepared[folder] != nil
}
