package consensus

import (
	"slices"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// maintain tells what record the primary wants next: lost backups replaced, a swap of members settled, copies and
// members added, silent members swapped for joiners, one at a time. It is false where all is as it should be.
func (m *machine) maintain() (plan, bool) {
	r := m.primary
	if drop := m.lostBackups(); len(drop) > 0 || r.renew || m.promised > r.record.Epoch {
		return plan{drop: drop}, true
	}
	if len(r.record.Former) > 0 {
		return plan{}, true
	}
	members := r.record.Members
	should, _ := m.wanted(len(members))
	if len(r.record.Backups) < should && m.now >= r.moreAt && slices.ContainsFunc(members, m.couldBack) {
		r.moreAt = m.now + m.timing.swap
		return plan{}, true
	}
	joiners := m.joiners(members)
	if len(joiners) == 0 {
		return m.spreadBackups(should)
	}
	out, successor := m.departed(joiners)
	if successor != nil {
		return plan{in: successor, out: out}, true
	}
	joiners = slices.DeleteFunc(joiners, func(j *tierv1.Member) bool { // these wait for their own predecessor's place
		return slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Address == j.Address })
	})
	if len(joiners) == 0 {
		return m.spreadBackups(should)
	}
	if out != nil {
		rest := slices.DeleteFunc(slices.Clone(members), func(o *tierv1.Member) bool { return same(o, out) })
		return plan{in: m.best(rest, joiners), out: out}, true
	}
	if len(members) < 2*m.losses+1 {
		return plan{in: m.best(members, joiners)}, true
	}
	if want, ok := m.spreadBackups(should); ok {
		return want, true
	}
	return m.spreadMembers(joiners)
}

// lostBackups are the folders of the backups that are to be replaced: a call to them failed, they have been silent, or
// another folder stands at their address.
func (m *machine) lostBackups() map[string]bool {
	r := m.primary
	drop := make(map[string]bool)
	for _, b := range r.record.Backups {
		if r.lost[b] || m.now-r.confirmed[b] > m.recently() || m.replaced(b) {
			drop[b] = true
		}
	}
	return drop
}

// couldBack tells whether a member that is no backup could become one: it answers, and knows that it is a member.
func (m *machine) couldBack(v *tierv1.Member) bool {
	return v.Folder != m.Folder && !slices.Contains(m.primary.record.Backups, v.Folder) && m.answersAsVoter(v)
}

// answersAsVoter tells whether a member answered of late and knows that it is a member.
func (m *machine) answersAsVoter(v *tierv1.Member) bool {
	return m.alive(v, m.timing.call) && m.peers[v.Address].voter
}

// departed finds a member without a copy that is gone: out, with its successor where a joiner was made anew at its
// address, which is the proof; else the first that another folder replaced or that has been silent for timing.swap. Both
// are nil where there is none.
func (m *machine) departed(joiners []*tierv1.Member) (out, successor *tierv1.Member) {
	r := m.primary
	for _, v := range r.record.Members {
		if v.Folder == m.Folder || slices.Contains(r.record.Backups, v.Folder) {
			continue
		}
		if i := slices.IndexFunc(joiners, func(j *tierv1.Member) bool { return j.Address == v.Address }); i >= 0 {
			return v, joiners[i]
		}
		if out == nil && (m.replaced(v.Folder) || m.silent(v.Address) > m.timing.swap) {
			out = v
		}
	}
	return out, nil
}

// spreadBackups replaces backups where others that are alive are better spread. It ends, as each time they crowd less.
func (m *machine) spreadBackups(should int) (plan, bool) {
	var alive []*tierv1.Member
	self := []*tierv1.Member{m.self}
	now := slices.Clone(self)
	for _, v := range m.primary.record.Members {
		if slices.Contains(m.primary.record.Backups, v.Folder) {
			now = append(now, v)
		}
		if v.Folder != m.Folder && m.answersAsVoter(v) {
			alive = append(alive, v)
		}
	}
	picked := spread(self, alive, should, func(folder string) bool { return named(m.primary.record, folder) })
	if len(picked) < len(now)-1 || crowding(append(self, picked...)) >= crowding(now) {
		return plan{}, false
	}
	drop := make(map[string]bool)
	for _, v := range now[1:] {
		if !contains(picked, v) {
			drop[v.Folder] = true
		}
	}
	return plan{drop: drop}, len(drop) > 0
}

// spreadMembers puts a joiner in the place of a member that holds no copy, where that crowds the members less.
func (m *machine) spreadMembers(joiners []*tierv1.Member) (want plan, ok bool) {
	members := m.primary.record.Members
	lowest := crowding(members)
	for _, v := range members {
		if v.Folder == "" || named(m.primary.record, v.Folder) || !m.majorityWithout(v) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(members), func(o *tierv1.Member) bool { return same(o, v) })
		for _, j := range joiners {
			if n := crowding(append(slices.Clip(rest), j)); n < lowest {
				lowest, want, ok = n, plan{in: j, out: v}, true
			}
		}
	}
	return want, ok
}

// majorityWithout tells whether the members that answer, but for one, are a majority: else a change that takes this one away
// would rest on it until the change is settled.
func (m *machine) majorityWithout(out *tierv1.Member) bool {
	members := m.primary.record.Members
	live := 0
	for _, v := range members {
		if !same(v, out) && m.answers(v) {
			live++
		}
	}
	return live >= len(members)/2+1
}

// replaced tells whether another folder answers at a member's address.
func (m *machine) replaced(folder string) bool {
	i := slices.IndexFunc(m.primary.record.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return false
	}
	p := m.peers[m.primary.record.Members[i].Address]
	return p != nil && p.replied && p.member.Folder != folder
}

// joiners are the folders that answer and are no members. One that lost its disk is there at its member's address.
func (m *machine) joiners(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, a := range m.addresses() {
		p := m.peers[a]
		if p == nil || !p.replied || p.voter || m.now-p.answered > m.timing.call {
			continue
		}
		if !slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Folder == p.member.Folder }) {
			list = append(list, p.member)
		}
	}
	return list
}

// best is the joiner whose region, then zone, holds the fewest of the members.
func (m *machine) best(members, joiners []*tierv1.Member) *tierv1.Member {
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
