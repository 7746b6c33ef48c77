package replicatedlog

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// addressSlack is how many addresses, beyond twice the number of leases, are kept before those of expired leases are dropped.
const addressSlack = 16

// stepLeader does the periodic work of a leader: it advances the open change and the membership, and reports the leases in the status.
func (v *Voter) stepLeader(now time.Duration) {
	if !v.isLeader() || v.granter == nil {
		v.status.WaitingOn, v.status.Leases = nil, nil
		return
	}
	if cmd, waitingOn := v.policyCoordinator.Step(now, v.policy.State(), v.granter); cmd != nil {
		v.proposeOwn(KindPolicy, cmd)
		v.processReady(now)
		if v.granter == nil { // this voter lost the leadership meanwhile
			v.status.WaitingOn, v.status.Leases = nil, nil
			return
		}
	} else {
		v.status.WaitingOn = waitingOn
	}
	v.status.Leases = v.granter.ActiveLeases(now)
	v.stepMembership(now)
}

// proposeOwn proposes a command of the leader itself. If raft drops it, its coordinator proposes it again.
func (v *Voter) proposeOwn(kind uint32, p proto.Message) {
	body, err := proto.Marshal(p)
	mustSucceed(err)
	raw, err := proto.Marshal(&pb.Command{Kind: kind, Body: body})
	mustSucceed(err)
	_ = v.node.Propose(raw)
}

// stepMembership proposes new memberships as leases are granted and expire.
func (v *Voter) stepMembership(now time.Duration) {
	var candidates []coordinator.Participant
	for _, l := range v.status.Leases {
		if address := v.addresses[l.HolderID]; address != "" {
			candidates = append(candidates, coordinator.Participant{HolderID: l.HolderID, Address: address})
		}
	}
	if len(v.addresses) > 2*len(v.status.Leases)+addressSlack {
		maps.DeleteFunc(v.addresses, func(id lease.HolderID, _ string) bool {
			return !slices.ContainsFunc(v.status.Leases, func(l lease.ActiveLease) bool { return l.HolderID == id })
		})
	}
	cmd := v.membershipCoordinator.Step(now, v.membership.State(), v.granter, candidates)
	if cmd != nil && v.state.CheckKind(KindMembership) == "" {
		v.proposeOwn(KindMembership, cmd)
		v.processReady(now)
	}
}

// transferLeadership hands leadership over to the active voter with the highest match index.
func (v *Voter) transferLeadership() {
	if !v.isLeader() {
		return
	}
	best, match := uint64(0), uint64(0)
	for id, p := range v.node.Status().Progress {
		if id != v.id && !p.IsLearner && p.RecentActive && p.Match >= match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		v.node.TransferLeader(best)
	}
}

// leadershipChanged creates new leader state in each term that this voter leads. When it stops leading, it fails all pending requests
// with ErrNotLeader.
func (v *Voter) leadershipChanged(now time.Duration) {
	term := v.node.BasicStatus().HardState.GetTerm()
	if v.isLeader() {
		if v.granter == nil || v.ledTerm != term {
			v.granter, v.policyCoordinator, v.ledTerm = lease.NewGranter(v.terms, now), &fleetpolicy.Coordinator{}, term
			v.membershipCoordinator, v.addresses = &coordinator.Coordinator{}, map[lease.HolderID]string{}
		}
		return
	}
	v.granter, v.policyCoordinator = nil, nil
	for _, requests := range v.pendingReads {
		for _, r := range requests {
			v.replyError(r.ReplyTo, ErrNotLeader)
		}
	}
	clear(v.pendingReads)
	// It is unknown whether these commands will be committed: their clients submit them again, and each is applied only once.
	for _, to := range v.pendingCommands {
		v.replyError(to, ErrNotLeader)
	}
	clear(v.pendingCommands)
}

// handleLeaseRequest records what a sender reports with its request, and keeps the request pending until a linearizable read
// (thesis, 6.4) confirms that this voter led after the request arrived.
func (v *Voter) handleLeaseRequest(e LeaseRequested) {
	if !v.isLeader() || v.granter == nil {
		v.replyError(e.ReplyTo, ErrNotLeader)
		return
	}
	if len(v.pendingReads) >= maxPendingReads {
		v.replyError(e.ReplyTo, ErrTooManyReads)
		return
	}
	if m := v.state.Member(e.Request.Name); m.GetRemoved() {
		v.replyError(e.ReplyTo, &RemovedMemberError{Name: m.Name})
		return
	}
	id := lease.HolderID{Name: e.Request.Name, Incarnation: e.Request.Incarnation}
	v.granter.RecordRequest(id, e.Request.ActingIndex)
	if e.Request.Address != "" {
		v.addresses[id] = e.Request.Address
	}
	for _, s := range e.Request.Staged {
		v.policyCoordinator.RecordStaged(id, s.ChangeId, s.Rejection)
	}
	v.pendingReads[v.lastRead+1] = append(v.pendingReads[v.lastRead+1], e)
}

// answerReads answers the lease requests that a read has confirmed. A lease counts only once its holder has applied the log to the
// read's index.
func (v *Voter) answerReads(now time.Duration, read, index uint64) {
	for _, r := range v.pendingReads[read] {
		if v.granter == nil {
			v.replyError(r.ReplyTo, ErrNotLeader)
			continue
		}
		id := lease.HolderID{Name: r.Request.Name, Incarnation: r.Request.Incarnation}
		if !v.policyCoordinator.MayGrant(id, r.Request.ActingIndex, v.policy.State()) || !coordinator.MayGrant(r.Request.ActingIndex, v.membership.State()) {
			v.reply(r.ReplyTo, &pb.LeaseReply{RequiredIndex: index, WaitingOn: v.waitingOn()}) // a lease of no duration
			continue
		}
		required := v.granter.Grant(id, index, now)
		v.reply(r.ReplyTo, &pb.LeaseReply{RequiredIndex: required, DurationUs: v.terms.Duration.Microseconds(), WaitingOn: v.waitingOn()})
	}
	delete(v.pendingReads, read)
}

// waitingOn returns up to maxWaitingReported senders that the open change waits for.
func (v *Voter) waitingOn() (all []*pb.PendingSender) {
	for _, w := range v.status.WaitingOn[:min(len(v.status.WaitingOn), maxWaitingReported)] {
		all = append(all, &pb.PendingSender{Name: w.Name, Reason: w.Reason, RemainingUs: w.Remaining.Microseconds()})
	}
	return all
}
