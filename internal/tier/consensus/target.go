package consensus

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// decide fixes the members of the target. They change only where the base is known to be chosen and is settled, and a
// former set is left out only where the base is known to be chosen: else a majority that does not know of the base
// could choose beside it.
func (m *machine) decide() {
	p := m.proposal
	t := &tierv1.Record{Epoch: p.epoch, Primary: m.Folder, Members: m.fill(p.base.Members)}
	switch chosen := p.base.Epoch == epochOf(m.known()); {
	case !chosen:
		t.Former = m.fill(p.base.Former)
	case len(p.base.Former) == 0 && p.in != nil:
		former := t.Members
		t.Members = slices.DeleteFunc(slices.Clone(former), func(v *tierv1.Member) bool { return p.out != nil && same(v, p.out) })
		if len(t.Members) < len(former) || p.out == nil {
			t.Members, t.Former = append(t.Members, p.in), former
		}
	}
	p.target, p.phase, p.open = t, copying, 0
	p.deadline = m.now + 4*m.timing.call
	// From here on this copy is held under the new epoch.
	m.copyEpoch = p.epoch
	m.store(encodeMark(p.epoch), true)
}

// fill puts folders in for genesis members that answered.
func (m *machine) fill(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, v := range members {
		for _, a := range m.proposal.replies {
			if m.standsFor(a, v) {
				v = a.Self
			}
		}
		list = append(list, v)
	}
	return list
}

// wanted is how many backups n members should give, and how many they must.
func (m *machine) wanted(n int) (should, must int) {
	return min(m.losses, n-1), min(m.losses, n/2)
}

// copyOut picks the backups of the target and sends them the whole state; when all have it, the target is proposed.
func (m *machine) copyOut() {
	p := m.proposal
	picked, enough := m.pickBackups()
	if !enough {
		m.fail("too few backups")
		return
	}
	ready := true
	p.target.Backups = nil
	for _, v := range picked {
		p.target.Backups = append(p.target.Backups, v.Folder)
		if _, ok := p.copied[v.Folder]; ok {
			continue
		}
		ready = false
		if !p.copies[v.Folder] {
			m.sendCopy(v)
		}
	}
	if !ready {
		return
	}
	p.phase = accepting
	m.acceptRecord(p.target)
	p.accepted[m.Folder] = true
	for _, folder := range slices.Sorted(maps.Keys(p.replies)) { // sorted, as what a step does must not vary
		if folder != m.Folder {
			m.askAccept(p.replies[folder].Self)
		}
	}
}

// pickBackups picks the backups of the target among its members that promised: those that hold a copy or are being sent
// one first, those that are to be dropped last. enough: they are as many as there must be.
func (m *machine) pickBackups() (picked []*tierv1.Member, enough bool) {
	p := m.proposal
	should, must := m.wanted(len(p.target.Members))
	var good, kept, dropped []*tierv1.Member
	for _, v := range p.target.Members {
		if v.Folder == "" || v.Folder == m.Folder || p.replies[v.Folder] == nil || p.bad[v.Folder] {
			continue
		}
		switch {
		case p.drop[v.Folder]:
			dropped = append(dropped, v)
		case p.copies[v.Folder], m.primary != nil && slices.Contains(p.base.Backups, v.Folder):
			kept = append(kept, v)
		default:
			good = append(good, v)
		}
	}
	holds := func(folder string) bool { return named(p.base, folder) }
	self := []*tierv1.Member{m.self}
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
func (m *machine) sendCopy(to *tierv1.Member) {
	p := m.proposal
	p.copies[to.Folder] = true
	began := m.now
	m.call(to.Address, m.whole(p.epoch), true, func(body proto.Message) {
		a, _ := body.(*tierv1.WriteReply)
		if a != nil {
			m.highest = max(m.highest, a.Highest)
		}
		if m.proposal != p {
			return
		}
		if a != nil && a.Taken {
			p.copied[to.Folder] = began
		} else {
			p.bad[to.Folder] = true
		}
	})
}

// askAccept asks a folder that promised to accept the target.
func (m *machine) askAccept(to *tierv1.Member) {
	p := m.proposal
	p.open++
	m.call(to.Address, &tierv1.AcceptRequest{Record: p.target, From: m.self}, false, func(body proto.Message) {
		a, _ := body.(*tierv1.AcceptReply)
		if a != nil {
			m.highest = max(m.highest, a.Highest)
		}
		if m.proposal != p {
			return
		}
		p.open--
		if a != nil && a.Accepted {
			p.accepted[to.Folder] = true
		}
	})
}
