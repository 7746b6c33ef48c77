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

// proposeOwn hands in a command of the leader's own.
func (c *Voter) proposeOwn(kind uint32, p proto.Message) {
	body, err := proto.Marshal(p)
	mustSucceed(err)
	raw, err := proto.Marshal(&pb.Command{Kind: kind, Body: body})
	mustSucceed(err)
	c.node.Propose(raw) // what is dropped is given again
}

// stepMembership hands in who takes part in rosters, as leases come and lapse.
func (c *Voter) stepMembership(now time.Duration) {
	var here []coordinator.Participant
	for _, h := range c.status.Leases {
		if at := c.addresses[h.HolderID]; at != "" {
			here = append(here, coordinator.Participant{HolderID: h.HolderID, Address: at})
		}
	}
	if len(c.addresses) > 2*len(c.status.Leases)+16 { // of those that have gone
		maps.DeleteFunc(c.addresses, func(w lease.HolderID, _ string) bool {
			return !slices.ContainsFunc(c.status.Leases, func(h lease.ActiveLease) bool { return h.HolderID == w })
		})
	}
	if cmd := c.membershipCoordinator.Step(now, c.membership.State(), c.granter, here); cmd != nil && c.state.CheckKind(KindMembership) == "" {
		c.proposeOwn(KindMembership, cmd)
		c.processReady(now)
	}
}

// transferLeadership gives the lead to the voter that has most of the log.
func (c *Voter) transferLeadership() {
	if !c.isLeader() {
		return
	}
	best, match := uint64(0), uint64(0)
	for id, p := range c.node.Status().Progress {
		if id != c.id && !p.IsLearner && p.RecentActive && p.Match >= match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		c.node.TransferLeader(best)
	}
}

// leadershipChanged is that it leads, or does no longer.
func (c *Voter) leadershipChanged(now time.Duration) {
	term := c.node.BasicStatus().HardState.GetTerm()
	if c.isLeader() {
		if c.granter == nil || c.ledTerm != term {
			c.granter, c.policyCoordinator, c.ledTerm = lease.NewGranter(c.terms, now), &fleetpolicy.Coordinator{}, term
			c.membershipCoordinator, c.addresses = &coordinator.Coordinator{}, map[lease.HolderID]string{}
		}
		return
	}
	c.granter, c.policyCoordinator = nil, nil
	for _, asks := range c.pendingReads {
		for _, a := range asks {
			c.emit(Reply{a.ReplyTo, ErrNotLeader})
		}
	}
	clear(c.pendingReads)
	for _, to := range c.pendingCommands { // whether the log has it nobody knows: it is asked again, and counts once
		c.emit(Reply{to, ErrNotLeader})
	}
	clear(c.pendingCommands)
}

// answerReads is that it surely led after these questions came, and the index that all who ask now must come to.
func (c *Voter) answerReads(now time.Duration, read, index uint64) {
	for _, a := range c.pendingReads[read] {
		if c.granter == nil {
			c.emit(Reply{a.ReplyTo, ErrNotLeader})
			continue
		}
		who := lease.HolderID{Name: a.Request.Name, Incarnation: a.Request.Incarnation}
		if !c.policyCoordinator.MayGrant(who, a.Request.ActingIndex, c.policy.State()) || !coordinator.MayGrant(a.Request.ActingIndex, c.membership.State()) {
			c.emit(Reply{a.ReplyTo, &pb.LeaseReply{RequiredIndex: index, WaitingOn: c.waitingOn()}}) // a lease of no length
			continue
		}
		need := c.granter.Grant(who, index, now)
		c.emit(Reply{a.ReplyTo, &pb.LeaseReply{RequiredIndex: need, DurationUs: c.terms.Duration.Microseconds(), WaitingOn: c.waitingOn()}})
	}
	delete(c.pendingReads, read)
}

// waitingOn are those that the open change waits for, the first few.
func (c *Voter) waitingOn() (all []*pb.PendingSender) {
	for _, w := range c.status.WaitingOn[:min(len(c.status.WaitingOn), maxWaitingReported)] {
		all = append(all, &pb.PendingSender{Name: w.Name, Reason: w.Reason, RemainingUs: w.Remaining.Microseconds()})
	}
	return all
}
