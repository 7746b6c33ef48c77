package consensus

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// decide fixes the members of the target. They change only where the base is known to be chosen and is settled, and a
// former set is left out only where the base is known to be chosen: else a majority that does not know of the base
// could choose beside it.
func (machine *machine) decide() {
	proposal := machine.proposal
	target := &tierv1.View{Epoch: proposal.epoch, Primary: machine.Folder, Members: machine.fill(proposal.base.Members)}
	switch chosen := proposal.base.Epoch == epochOf(machine.known()); {
	case !chosen:
		target.Former = machine.fill(proposal.base.Former)
	case len(proposal.base.Former) == 0 && proposal.in != nil:
		former := target.Members
		target.Members = slices.DeleteFunc(slices.Clone(former), func(v *tierv1.Member) bool { return proposal.out != nil && same(v, proposal.out) })
		if len(target.Members) < len(former) || proposal.out == nil {
			target.Members, target.Former = append(target.Members, proposal.in), former
		}
	}
	proposal.target, proposal.phase, proposal.open = target, copying, 0
	proposal.deadline = machine.now + 4*machine.timing.call + 2*machine.timing.transfer(machine.size) // a copy may fail, and go elsewhere
	// From here on this copy is held under the new epoch.
	machine.copyEpoch = proposal.epoch
	machine.store(encodeMark(proposal.epoch), true)
}

// fill names the members that answered as they described themselves: genesis members get their folder, others the address at
// which they are now.
func (machine *machine) fill(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, member := range members {
		for _, reply := range machine.proposal.replies {
			if machine.standsFor(reply, member) {
				member = reply.Self
			}
		}
		list = append(list, member)
	}
	return list
}

// wanted is how many backups n members should give, and how many they must.
func (machine *machine) wanted(n int) (should, must int) {
	return min(machine.losses, n-1), min(machine.losses, n/2)
}

// copyOut picks the backups of the target and sends them the whole state; when all have it, the target is proposed.
func (machine *machine) copyOut() {
	proposal := machine.proposal
	picked, enough := machine.pickBackups()
	if !enough {
		for _, folder := range proposal.repeat() {
			delete(proposal.bad, folder)
			delete(proposal.copies, folder)
		}
		picked, enough = machine.pickBackups()
	}
	if !enough {
		machine.fail("too few backups")
		return
	}
	ready := true
	proposal.target.Backups = nil
	for _, member := range picked {
		proposal.target.Backups = append(proposal.target.Backups, member.Folder)
		if _, ok := proposal.confirmed[member.Folder]; ok {
			continue
		}
		ready = false
		if !proposal.copies[member.Folder] {
			machine.sendCopy(member)
		}
	}
	if !ready {
		return
	}
	proposal.phase = accepting
	clear(proposal.silent)
	machine.acceptRecord(proposal.target)
	proposal.accepted[machine.Folder] = true
	for _, folder := range slices.Sorted(maps.Keys(proposal.replies)) { // sorted, as what a step does must not vary
		if folder != machine.Folder {
			machine.askAccept(proposal.replies[folder].Self)
		}
	}
}

// pickBackups picks the backups of the target among its members that promised: those that hold a copy or are being sent
// one first, those that are to be dropped last. enough: they are as many as there must be.
func (machine *machine) pickBackups() (picked []*tierv1.Member, enough bool) {
	proposal := machine.proposal
	should, must := machine.wanted(len(proposal.target.Members))
	var good, kept, dropped []*tierv1.Member
	for _, member := range proposal.target.Members {
		if member.Folder == "" || member.Folder == machine.Folder || proposal.replies[member.Folder] == nil || proposal.bad[member.Folder] {
			continue
		}
		switch {
		case proposal.drop[member.Folder]:
			dropped = append(dropped, member)
		case proposal.copies[member.Folder], machine.primary != nil && slices.Contains(proposal.base.Backups, member.Folder):
			kept = append(kept, member)
		default:
			good = append(good, member)
		}
	}
	holds := func(folder string) bool { return named(proposal.base, folder) }
	self := []*tierv1.Member{machine.self}
	picked = spread(self, kept, should, holds)
	if len(picked) < should {
		picked = append(picked, spread(append(self, picked...), good, should-len(picked), holds)...)
	}
	if len(picked) < must {
		picked = append(picked, spread(append(self, picked...), dropped, must-len(picked), holds)...)
	}
	return picked, len(picked) >= must
}

// sendCopy sends a backup of the target the whole state.
func (machine *machine) sendCopy(to *tierv1.Member) {
	proposal := machine.proposal
	proposal.copies[to.Folder] = true
	began := machine.now
	machine.call(to.Address, machine.whole(proposal.epoch), true, func(body proto.Message) {
		reply, _ := body.(*tierv1.WriteReply)
		if reply != nil {
			machine.highest = max(machine.highest, reply.HighestPromised)
		}
		if machine.proposal != proposal {
			return
		}
		switch {
		case reply == nil:
			proposal.bad[to.Folder], proposal.silent[to.Folder] = true, true
		case reply.Acknowledged:
			proposal.confirmed[to.Folder] = began
		default:
			proposal.bad[to.Folder] = true
		}
	})
}

// askAccept asks a folder that promised to accept the target.
func (machine *machine) askAccept(to *tierv1.Member) {
	proposal := machine.proposal
	proposal.open++
	began := machine.now
	machine.call(to.Address, &tierv1.AcceptRequest{View: proposal.target, From: machine.self}, false, func(body proto.Message) {
		reply, _ := body.(*tierv1.AcceptReply)
		if reply != nil {
			machine.highest = max(machine.highest, reply.HighestPromised)
		}
		if machine.proposal != proposal {
			return
		}
		proposal.open--
		if reply == nil {
			proposal.silent[to.Folder] = true
			return
		}
		if reply.Accepted {
			proposal.accepted[to.Folder] = true
			if _, ok := proposal.confirmed[to.Folder]; ok { // it is under the same promise as when it took the copy
				proposal.confirmed[to.Folder] = began
			}
		}
	})
}
