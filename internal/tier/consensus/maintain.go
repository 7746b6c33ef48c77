package consensus

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// nextReconfiguration tells what record the primary wants next: lost backups replaced, a swap of members settled, members named where
// they are, copies and members added, silent members swapped for joiners, one at a time. It is false where all is as it
// should be.
func (machine *replica) nextReconfiguration() (reconfiguration, bool) {
	primary := machine.primary
	if drop := machine.failedBackups(); len(drop) > 0 || primary.needsHigherEpoch || machine.preparedEpoch > primary.view.Epoch {
		return reconfiguration{replaceBackups: drop}, true
	}
	if len(primary.view.Former) > 0 {
		return reconfiguration{}, true
	}
	members := primary.view.Members
	should, _ := machine.backupCounts(len(members))
	more := len(primary.view.Backups) < should && slices.ContainsFunc(members, machine.canBecomeBackup)
	if (more || slices.ContainsFunc(members, machine.hasMoved)) && machine.now >= primary.growAt {
		primary.growAt = machine.now + machine.timing.replaceAfter
		return reconfiguration{}, true
	}
	joiners := machine.joiners(members)
	if len(joiners) == 0 {
		return machine.rebalanceBackups(should)
	}
	out, successor := machine.departedMember(joiners)
	if successor != nil {
		return reconfiguration{add: successor, remove: out}, true
	}
	joiners = slices.DeleteFunc(joiners, func(j *tierv1.Member) bool { // these wait for their own predecessor's place
		return slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Address == j.Address })
	})
	if len(joiners) == 0 {
		return machine.rebalanceBackups(should)
	}
	if out != nil {
		rest := slices.DeleteFunc(slices.Clone(members), func(o *tierv1.Member) bool { return sameMember(o, out) })
		return reconfiguration{add: machine.bestJoiner(rest, joiners), remove: out}, true
	}
	if len(members) < 2*machine.toleratedLosses+1 {
		return reconfiguration{add: machine.bestJoiner(members, joiners)}, true
	}
	if want, ok := machine.rebalanceBackups(should); ok {
		return want, true
	}
	return machine.rebalanceMembers(joiners)
}

// failedBackups are the folders of the backups that are to be replaced: a call to them failed, they have been silent, or
// another folder stands at their address.
func (machine *replica) failedBackups() map[string]bool {
	primary := machine.primary
	drop := make(map[string]bool)
	for _, folder := range primary.view.Backups {
		if primary.failedBackups[folder] || machine.now-primary.confirmedAt[folder] > machine.answerMaxAge() || machine.wasReplaced(folder) {
			drop[folder] = true
		}
	}
	return drop
}

// canBecomeBackup tells whether a member that is no backup could become one: it answers, and knows that it is a member.
func (machine *replica) canBecomeBackup(member *tierv1.Member) bool {
	return member.Folder != machine.Folder && !slices.Contains(machine.primary.view.Backups, member.Folder) && machine.isResponsiveMember(member)
}

// isResponsiveMember tells whether a member answered of late and knows that it is a member.
func (machine *replica) isResponsiveMember(member *tierv1.Member) bool {
	return machine.answeredWithin(member, machine.timing.callTimeout) && machine.peers[member.Address].knowsMembership
}

// departedMember finds a member without a copy that is gone: out, with its successor where a joiner was made anew at its
// address, which is the proof; else the first that another folder replaced or that has been silent for timing.swap. Both
// are nil where there is none.
func (machine *replica) departedMember(joiners []*tierv1.Member) (out, successor *tierv1.Member) {
	primary := machine.primary
	for _, member := range primary.view.Members {
		if member.Folder == machine.Folder || slices.Contains(primary.view.Backups, member.Folder) {
			continue
		}
		if i := slices.IndexFunc(joiners, func(j *tierv1.Member) bool { return j.Address == member.Address }); i >= 0 {
			return member, joiners[i]
		}
		if out == nil && (machine.wasReplaced(member.Folder) || machine.unresponsiveFor(member.Address) > machine.timing.replaceAfter) {
			out = member
		}
	}
	return out, nil
}

// rebalanceBackups replaces backups where others that are alive are better spread. It ends, as each time they crowd less.
func (machine *replica) rebalanceBackups(should int) (reconfiguration, bool) {
	var alive []*tierv1.Member
	self := []*tierv1.Member{machine.self}
	now := slices.Clone(self)
	for _, member := range machine.primary.view.Members {
		if slices.Contains(machine.primary.view.Backups, member.Folder) {
			now = append(now, member)
		}
		if member.Folder != machine.Folder && machine.isResponsiveMember(member) {
			alive = append(alive, member)
		}
	}
	picked := spreadOut(self, alive, should, func(folder string) bool { return isNamedIn(machine.primary.view, folder) })
	if len(picked) < len(now)-1 || crowding(append(self, picked...)) >= crowding(now) {
		return reconfiguration{}, false
	}
	drop := make(map[string]bool)
	for _, member := range now[1:] {
		if !containsMember(picked, member) {
			drop[member.Folder] = true
		}
	}
	return reconfiguration{replaceBackups: drop}, len(drop) > 0
}

// rebalanceMembers puts a joiner in the place of a member that holds no copy, where that crowds the members less.
func (machine *replica) rebalanceMembers(joiners []*tierv1.Member) (want reconfiguration, ok bool) {
	members := machine.primary.view.Members
	lowest := crowding(members)
	for _, member := range members {
		if member.Folder == "" || isNamedIn(machine.primary.view, member.Folder) || !machine.majorityWithout(member) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(members), func(o *tierv1.Member) bool { return sameMember(o, member) })
		for _, j := range joiners {
			if n := crowding(append(slices.Clip(rest), j)); n < lowest {
				lowest, want, ok = n, reconfiguration{add: j, remove: member}, true
			}
		}
	}
	return want, ok
}

// majorityWithout tells whether the members that answer, but for one, are a majority: else a change that takes this one away
// would rest on it until the change is settled.
func (machine *replica) majorityWithout(out *tierv1.Member) bool {
	members := machine.primary.view.Members
	live := 0
	for _, member := range members {
		if !sameMember(member, out) && machine.isResponsive(member) {
			live++
		}
	}
	return live >= len(members)/2+1
}

// wasReplaced tells whether another folder answers at a member's address.
func (machine *replica) wasReplaced(folder string) bool {
	i := slices.IndexFunc(machine.primary.view.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return false
	}
	peer := machine.peers[machine.primary.view.Members[i].Address]
	return peer != nil && peer.hasReplied && peer.member.Folder != folder
}

// joiners are the folders that answer and are no members. One that lost its disk is there at its member's address.
func (machine *replica) joiners(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, address := range machine.peerAddresses() {
		peer := machine.peers[address]
		if peer == nil || !peer.hasReplied || peer.knowsMembership || machine.now-peer.answeredAt > machine.timing.callTimeout {
			continue
		}
		if !slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Folder == peer.member.Folder }) {
			list = append(list, peer.member)
		}
	}
	return list
}

// bestJoiner is the joiner whose region, then zone, holds the fewest of the members.
func (machine *replica) bestJoiner(members, joiners []*tierv1.Member) *tierv1.Member {
	score := func(j *tierv1.Member) (n int) {
		for _, v := range members {
			if v.Region == j.Region {
				n += 100
			}
			if v.Zone == j.Zone {
				n++
			}
		}
		return n
	}
	return slices.MinFunc(joiners, func(a, b *tierv1.Member) int { return score(a) - score(b) })
}
