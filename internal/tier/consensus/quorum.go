package consensus

import (
	"hash/fnv"
	"slices"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// epochBits are the low bits of an epoch that come from the proposer's folder, so that no two propose the same one.
const epochBits = 12

// nextEpoch is the lowest epoch of a folder above highest.
func nextEpoch(highest uint64, folder string) uint64 {
	h := fnv.New32a()
	h.Write([]byte(folder))
	return (highest>>epochBits+1)<<epochBits | uint64(h.Sum32())&(1<<epochBits-1)
}

// isMember tells whether a folder is this member. A genesis member has no folder: only the folder made at the first start
// at its address stands for it, so a folder that lost its disk never does.
func isMember(m *tierv1.Member, folder, address string, genesis bool) bool {
	if m.Folder != "" {
		return m.Folder == folder
	}
	return genesis && m.Address == address
}

// sameMember tells whether two are the same member: the same folder or, where one has none yet, the same address.
func sameMember(a, b *tierv1.Member) bool {
	if a.Folder == "" || b.Folder == "" {
		return a.Address == b.Address
	}
	return a.Folder == b.Folder
}

// containsMember tells whether a member is in a list.
func containsMember(list []*tierv1.Member, m *tierv1.Member) bool {
	return slices.ContainsFunc(list, func(o *tierv1.Member) bool { return sameMember(o, m) })
}

// quorumSets are the sets of members of which a record needs a majority each.
func quorumSets(records ...*tierv1.View) (sets [][]*tierv1.Member) {
	for _, r := range records {
		if r == nil {
			continue
		}
		sets = append(sets, r.Members)
		if len(r.Former) > 0 {
			sets = append(sets, r.Former)
		}
	}
	return sets
}

// hasMajorities tells whether have holds for a majority of each set.
func hasMajorities(sets [][]*tierv1.Member, have func(*tierv1.Member) bool) bool {
	for _, set := range sets {
		n := 0
		for _, m := range set {
			if have(m) {
				n++
			}
		}
		if n < len(set)/2+1 {
			return false
		}
	}
	return len(sets) > 0
}

// isNamedIn tells whether a record names a folder as primary or backup.
func isNamedIn(r *tierv1.View, folder string) bool {
	return r != nil && (r.Primary == folder || slices.Contains(r.Backups, folder))
}

// epochOf is the epoch of a record; 0 of none.
func epochOf(r *tierv1.View) uint64 {
	if r == nil {
		return 0
	}
	return r.Epoch
}

// newestOf is the record of the higher epoch; a where they are equal, nil where both are.
func newestOf(a, b *tierv1.View) *tierv1.View {
	if a == nil || b != nil && b.Epoch > a.Epoch {
		return b
	}
	return a
}

// crowding is how unevenly members are spread: the less, the fewer a lost region or zone takes.
func crowding(members []*tierv1.Member) (n int) {
	regions, zones := make(map[string]int), make(map[[2]string]int)
	for _, v := range members {
		regions[v.Region]++
		zones[[2]string{v.Region, v.Zone}]++
	}
	for _, c := range regions {
		n += 1000 * c * c
	}
	for _, c := range zones {
		n += c * c
	}
	return n
}

// spreadOut picks up to n of the candidates for copies beside those taken: other regions first, then other zones, then those that
// hold a copy already.
func spreadOut(taken, candidates []*tierv1.Member, n int, holds func(folder string) bool) (picked []*tierv1.Member) {
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
		for i, c := range rest {
			s := 0
			if !slices.ContainsFunc(taken, func(t *tierv1.Member) bool { return t.Region == c.Region }) {
				s += 4
			}
			if !slices.ContainsFunc(taken, func(t *tierv1.Member) bool { return t.Zone == c.Zone }) {
				s += 2
			}
			if holds(c.Folder) {
				s++
			}
			if s > score {
				best, score = i, s
			}
		}
		picked = append(picked, rest[best])
		taken = append(taken, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return picked
}
