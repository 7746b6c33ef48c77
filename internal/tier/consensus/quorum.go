package consensus

import (
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// quorumSets returns the sets of members that the views need a majority of each. A view has two sets while members change (joint
// consensus).
func quorumSets(views ...*tierv1.View) (sets [][]*tierv1.Member) {
	for _, view := range views {
		if view == nil {
			continue
		}
		sets = append(sets, view.Members)
		if len(view.Former) > 0 {
			sets = append(sets, view.Former)
		}
	}
	return sets
}

// hasMajorities reports whether have returns true for a majority of each set. It returns false if there are no sets.
func hasMajorities(sets [][]*tierv1.Member, have func(*tierv1.Member) bool) bool {
	for _, set := range sets {
		count := 0
		for _, member := range set {
			if have(member) {
				count++
			}
		}
		if count < len(set)/2+1 {
			return false
		}
	}
	return len(sets) > 0
}

// isMember reports whether a folder at an address is this member. A genesis member has no folder yet: only a folder created at its address
// at the first start matches, so a folder created after the loss of a disk never does.
func isMember(member *tierv1.Member, folder, address string, genesis bool) bool {
	if member.Folder != "" {
		return member.Folder == folder
	}
	return genesis && member.Address == address
}

// sameMember reports whether two descriptions are of the same member: they have the same folder or, if one has none yet, the same address.
func sameMember(a, b *tierv1.Member) bool {
	if a.Folder == "" || b.Folder == "" {
		return a.Address == b.Address
	}
	return a.Folder == b.Folder
}

// containsMember reports whether a member is in a list.
func containsMember(list []*tierv1.Member, member *tierv1.Member) bool {
	return slices.ContainsFunc(list, func(other *tierv1.Member) bool { return sameMember(other, member) })
}
