package consensus

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// decideTarget fixes the members of the target. They change only where the base is known to be chosen and is settled, and a
// former set is left out only where the base is known to be chosen: else a majority that does not know of the base
// could choose beside it.
func (machine *replica) decideTarget() {
	proposal := machine.proposal
	target := &tierv1.View{Epoch: proposal.epoch, Primary: machine.Folder, Members: machine.describeMembers(proposal.predecessor.Members)}
	switch chosen := proposal.predecessor.Epoch == epochOf(machine.newestChosenView()); {
	case !chosen:
		target.Former = machine.describeMembers(proposal.predecessor.Former)
	case len(proposal.predecessor.Former) == 0 && proposal.add != nil:
		former := target.Members
		target.Members = slices.DeleteFunc(slices.Clone(former), func(v *tierv1.Member) bool { return proposal.remove != nil && sameMember(v, proposal.remove) })
		if len(target.Members) < len(former) || proposal.remove == nil {
			target.Members, target.Former = append(target.Members, proposal.add), former
		}
	}
	proposal.target, proposal.phase, proposal.openCalls = target, transferring, 0
	proposal.deadline = machine.now + 4*machine.timing.callTimeout + 2*machine.timing.transferTime(machine.size) // a copy may fail, and go elsewhere
	// From here on this copy is held under the new epoch.
	machine.stateEpoch = proposal.epoch
	machine.persist(encodeStateEpoch(proposal.epoch), true)
}

// describeMembers names the members that answered as they described themselves: genesis members get their folder, others the address at
// which they are now.
func (machine *replica) describeMembers(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, member := range members {
		for _, reply := range machine.proposal.prepared {
			if machine.countsAs(reply, member) {
				member = reply.Self
			}
		}
		list = append(list, member)
	}
	return list
}

// backupCounts is how many backups n members should give, and how many they must.
func (machine *replica) backupCounts(n int) (should, must int) {
	return min(machine.toleratedLosses, n-1), min(machine.toleratedLosses, n/2)
}

// transferState picks the backups of the target and sends them the whole state; when all have it, the target is proposed.
func (machine *replica) transferState() {
	proposal := machine.proposal
	picked, enough := machine.pickBackups()
	if !enough {
		for _, folder := range proposal.takeUnanswered() {
			delete(proposal.failedTransfers, folder)
			delete(proposal.transfers, folder)
		}
		picked, enough = machine.pickBackups()
	}
	if !enough {
		machine.failProposal("too few backups")
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
			machine.sendSnapshot(member)
		}
	}
	if !ready {
		return
	}
	proposal.phase = accepting
	clear(proposal.unanswered)
	machine.acceptView(proposal.target)
	proposal.acceptedBy[machine.Folder] = true
	for _, folder := range slices.Sorted(maps.Keys(proposal.prepared)) { // sorted, as what a step does must not vary
		if folder != machine.Folder {
			machine.sendAccept(proposal.prepared[folder].Self)
		}
	}
}

// pickBackups picks the backups of the target among its members that promised: those that hold a copy or are being sent
// one first, those that are to be dropped last. enough: they are as many as there must be.
func (machine *replica) pickBackups() (picked []*tierv1.Member, enough bool) {
	proposal := machine.proposal
	should, must := machine.backupCounts(len(proposal.target.Members))
	var good, kept, dropped []*tierv1.Member
	for _, member := range proposal.target.Members {
		if member.Folder == "" || member.Folder == machine.Folder || proposal.prepared[member.Folder] == nil || proposal.failedTransfers[member.Folder] {
			continue
		}
		switch {
		case proposal.replaceBackups[member.Folder]:
			dropped = append(dropped, member)
		case proposal.transfers[member.Folder], machine.primary != nil && slices.Contains(proposal.predecessor.Backups, member.Folder):
			kept = append(kept, member)
		default:
			good = append(good, member)
		}
	}
	holds := func(folder string) bool { return isNamedIn(proposal.predecessor, folder) }
	self := []*tierv1.Member{machine.self}
	picked = spreadOut(self, kept, should, holds)
	if len(picked) < should {
		picked = append(picked, spreadOut(append(self, picked...), good, should-len(picked), holds)...)
	}
	if len(picked) < must {
		picked = append(picked, spreadOut(append(self, picked...), dropped, must-len(picked), holds)...)
	}
	return picked, len(picked) >= must
}

// sendSnapshot sends a backup of the target the whole state.
func (machine *replica) sendSnapshot(to *tierv1.Member) {
	proposal := machine.proposal
	proposal.transfers[to.Folder] = true
	began := machine.now
	machine.call(to.Address, machine.snapshotWrite(proposal.epoch), true, func(body proto.Message) {
		reply, _ := body.(*tierv1.WriteReply)
		if reply != nil {
			machine.highestEpoch = max(machine.highestEpoch, reply.HighestPrepared)
		}
		if machine.proposal != proposal {
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

// sendAccept asks a folder that promised to accept the target.
func (machine *replica) sendAccept(to *tierv1.Member) {
	proposal := machine.proposal
	proposal.openCalls++
	began := machine.now
	machine.call(to.Address, &tierv1.AcceptRequest{View: proposal.target, From: machine.self}, false, func(body proto.Message) {
		reply, _ := body.(*tierv1.AcceptReply)
		if reply != nil {
			machine.highestEpoch = max(machine.highestEpoch, reply.HighestPrepared)
		}
		if machine.proposal != proposal {
			return
		}
		proposal.openCalls--
		if reply == nil {
			proposal.unanswered[to.Folder] = true
			return
		}
		if reply.Accepted {
			proposal.acceptedBy[to.Folder] = true
			if _, ok := proposal.confirmedAt[to.Folder]; ok { // it is under the same promise as when it took the copy
				proposal.confirmedAt[to.Folder] = began
			}
		}
	})
}
