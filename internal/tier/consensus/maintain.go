package consensus

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// maintain tells what record the primary wants next: lost backups replaced, a swap of members settled, members named where
// they are, copies and members added, silent members swapped for joiners, one at a time. It is false where all is as it
// should be.
func (machine *machine) maintain() (plan, bool) {
	primary := machine.primary
	if drop := machine.lostBackups(); len(drop) > 0 || primary.renew || machine.promised > primary.record.Epoch {
		return plan{drop: drop}, true
	}
	if len(primary.record.Former) > 0 {
		return plan{}, true
	}
	members := primary.record.Members
	should, _ := machine.wanted(len(members))
	more := len(primary.record.Backups) < should && slices.ContainsFunc(members, machine.couldBack)
	if (more || slices.ContainsFunc(members, machine.moved)) && machine.now >= primary.moreAt {
		primary.moreAt = machine.now + machine.timing.swap
		return plan{}, true
	}
	joiners := machine.joiners(members)
	if len(joiners) == 0 {
		return machine.spreadBackups(should)
	}
	out, successor := machine.departed(joiners)
	if successor != nil {
		return plan{in: successor, out: out}, true
	}
	joiners = slices.DeleteFunc(joiners, func(j *tierv1.Member) bool { // these wait for their own predecessor's place
		return slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Address == j.Address })
	})
	if len(joiners) == 0 {
		return machine.spreadBackups(should)
	}
	if out != nil {
		rest := slices.DeleteFunc(slices.Clone(members), func(o *tierv1.Member) bool { return same(o, out) })
		return plan{in: machine.best(rest, joiners), out: out}, true
	}
	if len(members) < 2*machine.losses+1 {
		return plan{in: machine.best(members, joiners)}, true
	}
	if want, ok := machine.spreadBackups(should); ok {
		return want, true
	}
	return machine.spreadMembers(joiners)
}

// lostBackups are the folders of the backups that are to be replaced: a call to them failed, they have been silent, or
// another folder stands at their address.
func (machine *machine) lostBackups() map[string]bool {
	primary := machine.primary
	drop := make(map[string]bool)
	for _, folder := range primary.record.Backups {
		if primary.lost[folder] || machine.now-primary.confirmed[folder] > machine.recently() || machine.replaced(folder) {
			drop[folder] = true
		}
	}
	return drop
}

// couldBack tells whether a member that is no backup could become one: it answers, and knows that it is a member.
func (machine *machine) couldBack(member *tierv1.Member) bool {
	return member.Folder != machine.Folder && !slices.Contains(machine.primary.record.Backups, member.Folder) && machine.answersAsVoter(member)
}

// answersAsVoter tells whether a member answered of late and knows that it is a member.
func (machine *machine) answersAsVoter(member *tierv1.Member) bool {
	return machine.alive(member, machine.timing.call) && machine.peers[member.Address].voter
}

// departed finds a member without a copy that is gone: out, with its successor where a joiner was made anew at its
// address, which is the proof; else the first that another folder replaced or that has been silent for timing.swap. Both
// are nil where there is none.
func (machine *machine) departed(joiners []*tierv1.Member) (out, successor *tierv1.Member) {
	primary := machine.primary
	for _, member := range primary.record.Members {
		if member.Folder == machine.Folder || slices.Contains(primary.record.Backups, member.Folder) {
			continue
		}
		if i := slices.IndexFunc(joiners, func(j *tierv1.Member) bool { return j.Address == member.Address }); i >= 0 {
			return member, joiners[i]
		}
		if out == nil && (machine.replaced(member.Folder) || machine.silent(member.Address) > machine.timing.swap) {
			out = member
		}
	}
	return out, nil
}

// spreadBackups replaces backups where others that are alive are better spread. It ends, as each time they crowd less.
func (machine *machine) spreadBackups(should int) (plan, bool) {
	var alive []*tierv1.Member
	self := []*tierv1.Member{machine.self}
	now := slices.Clone(self)
	for _, member := range machine.primary.record.Members {
		if slices.Contains(machine.primary.record.Backups, member.Folder) {
			now = append(now, member)
		}
		if member.Folder != machine.Folder && machine.answersAsVoter(member) {
			alive = append(alive, member)
		}
	}
	picked := spread(self, alive, should, func(folder string) bool { return named(machine.primary.record, folder) })
	if len(picked) < len(now)-1 || crowding(append(self, picked...)) >= crowding(now) {
		return plan{}, false
	}
	drop := make(map[string]bool)
	for _, member := range now[1:] {
		if !contains(picked, member) {
			drop[member.Folder] = true
		}
	}
	return plan{drop: drop}, len(drop) > 0
}

// spreadMembers puts a joiner in the place of a member that holds no copy, where that crowds the members less.
func (machine *machine) spreadMembers(joiners []*tierv1.Member) (want plan, ok bool) {
	members := machine.primary.record.Members
	lowest := crowding(members)
	for _, member := range members {
		if member.Folder == "" || named(machine.primary.record, member.Folder) || !machine.majorityWithout(member) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(members), func(o *tierv1.Member) bool { return same(o, member) })
		for _, j := range joiners {
			if n := crowding(append(slices.Clip(rest), j)); n < lowest {
				lowest, want, ok = n, plan{in: j, out: member}, true
			}
		}
	}
	return want, ok
}

// majorityWithout tells whether the members that answer, but for one, are a majority: else a change that takes this one away
// would rest on it until the change is settled.
func (machine *machine) majorityWithout(out *tierv1.Member) bool {
	members := machine.primary.record.Members
	live := 0
	for _, member := range members {
		if !same(member, out) && machine.answers(member) {
			live++
		}
	}
	return live >= len(members)/2+1
}

// replaced tells whether another folder answers at a member's address.
func (machine *machine) replaced(folder string) bool {
	i := slices.IndexFunc(machine.primary.record.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return false
	}
	peer := machine.peers[machine.primary.record.Members[i].Address]
	return peer != nil && peer.replied && peer.member.Folder != folder
}

// joiners are the folders that answer and are no members. One that lost its disk is there at its member's address.
func (machine *machine) joiners(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, address := range machine.addresses() {
		peer := machine.peers[address]
		if peer == nil || !peer.replied || peer.voter || machine.now-peer.answered > machine.timing.call {
			continue
		}
		if !slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Folder == peer.member.Folder }) {
			list = append(list, peer.member)
		}
	}
	return list
}

// best is the joiner whose region, then zone, holds the fewest of the members.
func (machine *machine) best(members, joiners []*tierv1.Member) *tierv1.Member {
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
