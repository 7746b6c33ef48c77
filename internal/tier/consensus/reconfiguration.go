package consensus

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// nextReconfiguration decides what the primary changes next, one change at a time: failed backups are replaced, a change of members
// is completed, members are recorded at their current addresses, backups and members are added, unresponsive members are replaced
// by joiners. It returns false if nothing is to be changed.
func (r *replica) nextReconfiguration() (reconfiguration, bool) {
	primary := r.primary
	if failed := r.failedBackups(); len(failed) > 0 || primary.needsHigherEpoch || r.preparedEpoch > primary.view.Epoch {
		return reconfiguration{replaceBackups: failed}, true
	}
	if len(primary.view.Former) > 0 {
		return reconfiguration{}, true
	}
	members := primary.view.Members
	wantedBackups, _ := r.backupCounts(len(members))
	canGrow := len(primary.view.Backups) < wantedBackups && slices.ContainsFunc(members, r.canBecomeBackup)
	if (canGrow || slices.ContainsFunc(members, r.hasMoved)) && r.now >= primary.growAt {
		primary.growAt = r.now + r.timing.replaceAfter
		return reconfiguration{}, true
	}
	joiners := r.joiners(members)
	if len(joiners) == 0 {
		return r.rebalanceBackups(wantedBackups)
	}
	removed, successor := r.departedMember(joiners)
	if successor != nil {
		return reconfiguration{add: successor, remove: removed}, true
	}
	joiners = slices.DeleteFunc(joiners, func(joiner *tierv1.Member) bool { // a joiner at a member's address waits until that member is replaced
		return slices.ContainsFunc(members, func(member *tierv1.Member) bool { return member.Address == joiner.Address })
	})
	if len(joiners) == 0 {
		return r.rebalanceBackups(wantedBackups)
	}
	if removed != nil {
		rest := slices.DeleteFunc(slices.Clone(members), func(other *tierv1.Member) bool { return sameMember(other, removed) })
		return reconfiguration{add: r.bestJoiner(rest, joiners), remove: removed}, true
	}
	if len(members) < 2*r.toleratedLosses+1 {
		return reconfiguration{add: r.bestJoiner(members, joiners)}, true
	}
	if change, ok := r.rebalanceBackups(wantedBackups); ok {
		return change, true
	}
	return r.rebalanceMembers(joiners)
}

// failedBackups are the backups to be replaced: a call to them failed, they are unresponsive, or another folder replies at their
// address.
func (r *replica) failedBackups() map[string]bool {
	primary := r.primary
	failed := make(map[string]bool)
	for _, folder := range primary.view.Backups {
		if primary.failedBackups[folder] || r.now-primary.confirmedAt[folder] > r.answerMaxAge() || r.wasReplaced(folder) {
			failed[folder] = true
		}
	}
	return failed
}

// canBecomeBackup reports whether a member that is not a backup could become one: it replies, and reports that it is a member.
func (r *replica) canBecomeBackup(member *tierv1.Member) bool {
	return member.Folder != r.Folder && !slices.Contains(r.primary.view.Backups, member.Folder) && r.isResponsiveMember(member)
}

// departedMember returns a member, neither primary nor backup, that is to be removed. A joiner with a new folder at the member's address
// proves that the old folder is lost; the joiner is then the successor. Otherwise removed is the first member whose address another folder
// took over or that was unresponsive for longer than timing.replaceAfter, and successor is nil. Both are nil if there is no such member.
func (r *replica) departedMember(joiners []*tierv1.Member) (removed, successor *tierv1.Member) {
	primary := r.primary
	for _, member := range primary.view.Members {
		if member.Folder == r.Folder || slices.Contains(primary.view.Backups, member.Folder) {
			continue
		}
		if i := slices.IndexFunc(joiners, func(joiner *tierv1.Member) bool { return joiner.Address == member.Address }); i >= 0 {
			return member, joiners[i]
		}
		if removed == nil && (r.wasReplaced(member.Folder) || r.unresponsiveFor(member.Address) > r.timing.replaceAfter) {
			removed = member
		}
	}
	return removed, nil
}

// bestJoiner is the joiner whose region, then zone, has the fewest members.
func (r *replica) bestJoiner(members, joiners []*tierv1.Member) *tierv1.Member {
	score := func(joiner *tierv1.Member) (n int) {
		for _, member := range members {
			if member.Region == joiner.Region {
				n += 100
			}
			if member.Zone == joiner.Zone {
				n++
			}
		}
		return n
	}
	return slices.MinFunc(joiners, func(a, b *tierv1.Member) int { return score(a) - score(b) })
}
