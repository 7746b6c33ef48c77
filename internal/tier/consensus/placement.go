package consensus

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// imbalance measures how unevenly members are spread over regions and zones. The lower it is, the fewer members are lost with one region
// or zone.
func imbalance(members []*tierv1.Member) (sum int) {
	regions, zones := make(map[string]int), make(map[[2]string]int)
	for _, member := range members {
		regions[member.Region]++
		zones[[2]string{member.Region, member.Zone}]++
	}
	for _, count := range regions {
		sum += 1000 * count * count
	}
	for _, count := range zones {
		sum += count * count
	}
	return sum
}

// spreadOut picks up to n of the candidates, in addition to taken. It prefers other regions, then other zones, then candidates that
// already have the state.
func spreadOut(taken, candidates []*tierv1.Member, n int, hasState func(folder string) bool) (picked []*tierv1.Member) {
	rest := slices.Clone(candidates)
	slices.SortFunc(rest, func(a, b *tierv1.Member) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	taken = slices.Clone(taken)
	for len(picked) < n && len(rest) > 0 {
		best, score := 0, -1
		for i, candidate := range rest {
			points := 0
			if !slices.ContainsFunc(taken, func(member *tierv1.Member) bool { return member.Region == candidate.Region }) {
				points += 4
			}
			if !slices.ContainsFunc(taken, func(member *tierv1.Member) bool { return member.Zone == candidate.Zone }) {
				points += 2
			}
			if hasState(candidate.Folder) {
				points++
			}
			if points > score {
				best, score = i, points
			}
		}
		picked = append(picked, rest[best])
		taken = append(taken, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return picked
}

// rebalanceBackups replaces backups if other live members are spread better over regions and zones. The replacements end, as each one
// lowers the imbalance.
func (r *replica) rebalanceBackups(wantedBackups int) (reconfiguration, bool) {
	var alive []*tierv1.Member
	self := []*tierv1.Member{r.self}
	current := slices.Clone(self)
	for _, member := range r.primary.view.Members {
		if slices.Contains(r.primary.view.Backups, member.Folder) {
			current = append(current, member)
		}
		if member.Folder != r.Folder && r.isResponsiveMember(member) {
			alive = append(alive, member)
		}
	}
	picked := spreadOut(self, alive, wantedBackups, func(folder string) bool { return isNamedIn(r.primary.view, folder) })
	if len(picked) < len(current)-1 || imbalance(append(self, picked...)) >= imbalance(current) {
		return reconfiguration{}, false
	}
	replaced := make(map[string]bool)
	for _, member := range current[1:] {
		if !containsMember(picked, member) {
			replaced[member.Folder] = true
		}
	}
	return reconfiguration{replaceBackups: replaced}, len(replaced) > 0
}

// rebalanceMembers replaces a member that is neither primary nor backup by a joiner, if that lowers the imbalance of the members.
func (r *replica) rebalanceMembers(joiners []*tierv1.Member) (change reconfiguration, ok bool) {
	members := r.primary.view.Members
	lowest := imbalance(members)
	for _, member := range members {
		if member.Folder == "" || isNamedIn(r.primary.view, member.Folder) || !r.majorityWithout(member) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(members), func(other *tierv1.Member) bool { return sameMember(other, member) })
		for _, joiner := range joiners {
			if sum := imbalance(append(slices.Clip(rest), joiner)); sum < lowest {
				lowest, change, ok = sum, reconfiguration{add: joiner, remove: member}, true
			}
		}
	}
	return change, ok
}

// majorityWithout reports whether the responsive members other than removed are a majority. Otherwise a change that removes this member
// would depend on its vote until the change is complete.
func (r *replica) majorityWithout(removed *tierv1.Member) bool {
	members := r.primary.view.Members
	live := 0
	for _, member := range members {
		if !sameMember(member, removed) && r.isResponsive(member) {
			live++
		}
	}
	return live >= len(members)/2+1
}
