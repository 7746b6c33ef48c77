package consensus

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// decideTarget sets the members of the target. Members change only if the predecessor is known to be chosen and has no former members.
// Former members are left out only if the predecessor is known to be chosen; otherwise a majority that does not know of the predecessor
// could choose a conflicting view.
func (r *replica) decideTarget() {
	proposal := r.proposal
	target := &tierv1.View{Epoch: proposal.epoch, Primary: r.Folder, Members: r.describeMembers(proposal.predecessor.Members)}
	switch chosen := proposal.predecessor.Epoch == epochOf(r.newestChosenView()); {
	case !chosen:
		target.Former = r.describeMembers(proposal.predecessor.Former)
	case len(proposal.predecessor.Former) == 0 && proposal.add != nil:
		former := target.Members
		target.Members = slices.DeleteFunc(slices.Clone(former), func(member *tierv1.Member) bool { return proposal.remove != nil && sameMember(member, proposal.remove) })
		if len(target.Members) < len(former) || proposal.remove == nil {
			target.Members, target.Former = append(target.Members, proposal.add), former
		}
	}
	proposal.target, proposal.phase, proposal.openCalls = target, transferring, 0
	proposal.deadline = r.now + 4*r.timing.callTimeout + 2*r.timing.transferTime(r.size) // a transfer may fail and be repeated to another member
	// From here on this replica's state belongs to the new epoch.
	r.stateEpoch = proposal.epoch
	r.persist(encodeStateEpoch(proposal.epoch), true)
}

// describeMembers replaces each member that prepared by the description in its reply: genesis members get their folder, others their
// current address.
func (r *replica) describeMembers(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, member := range members {
		for _, reply := range r.proposal.prepared {
			if r.countsAs(reply, member) {
				member = reply.Self
			}
		}
		list = append(list, member)
	}
	return list
}

// backupCounts returns how many of n members should be backups, and how many must be.
func (r *replica) backupCounts(n int) (wanted, required int) {
	return min(r.toleratedLosses, n-1), min(r.toleratedLosses, n/2)
}

// pickBackups picks the backups of the target among its members that prepared. Members that have the state or are being sent a snapshot
// come first, those to be replaced last. It reports whether the required number was reached.
func (r *replica) pickBackups() (picked []*tierv1.Member, enough bool) {
	proposal := r.proposal
	wanted, required := r.backupCounts(len(proposal.target.Members))
	var others, withState, lastResort []*tierv1.Member
	for _, member := range proposal.target.Members {
		if member.Folder == "" || member.Folder == r.Folder || proposal.prepared[member.Folder] == nil || proposal.failedTransfers[member.Folder] {
			continue
		}
		switch {
		case proposal.replaceBackups[member.Folder]:
			lastResort = append(lastResort, member)
		case proposal.transfers[member.Folder], r.primary != nil && slices.Contains(proposal.predecessor.Backups, member.Folder):
			withState = append(withState, member)
		default:
			others = append(others, member)
		}
	}
	hasState := func(folder string) bool { return isNamedIn(proposal.predecessor, folder) }
	self := []*tierv1.Member{r.self}
	picked = spreadOut(self, withState, wanted, hasState)
	if len(picked) < wanted {
		picked = append(picked, spreadOut(append(self, picked...), others, wanted-len(picked), hasState)...)
	}
	if len(picked) < required {
		picked = append(picked, spreadOut(append(self, picked...), lastResort, required-len(picked), hasState)...)
	}
	return picked, len(picked) >= required
}
