package replicatedlog

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

func (s *State) join(index uint64, body []byte) (refused string, err error) {
	j := &pb.Join{}
	if err := proto.Unmarshal(body, j); err != nil {
		return "", fmt.Errorf("a join can't be read: %w", err)
	}
	switch m := s.members[j.Name]; {
	case j.Name == "" || len(j.Name) > maxNameBytes:
		return fmt.Sprintf("a name has from 1 to %d bytes", maxNameBytes), nil
	case m != nil && m.Removed:
		return fmt.Sprintf("%s was declared gone for good: a machine that takes its place needs a name of its own", j.Name), nil
	case m == nil && len(s.members) >= maxMembers:
		return fmt.Sprintf("the fleet has %d members, which is the most", maxMembers), nil
	}
	if was := s.members[j.Name]; was != nil {
		index = was.JoinIndex
	}
	s.members[j.Name] = &pb.Member{Name: j.Name, MaxCommandKind: j.MaxCommandKind, JoinIndex: index}
	return "", nil
}

func (s *State) leave(body []byte) (refused string, err error) {
	l := &pb.Leave{}
	if err := proto.Unmarshal(body, l); err != nil {
		return "", fmt.Errorf("a leave can't be read: %w", err)
	}
	m := s.members[l.Name]
	if m == nil {
		return fmt.Sprintf("%q is no member", l.Name), nil
	}
	s.members[l.Name] = &pb.Member{Name: m.Name, MaxCommandKind: m.MaxCommandKind, Removed: true, JoinIndex: m.JoinIndex}
	return "", nil
}

// changeVoters books a change of voters. It was checked before it was handed in: raft has taken it over by now.
func (s *State) changeVoters(body []byte) error {
	v := &pb.VoterChange{}
	if err := proto.Unmarshal(body, v); err != nil {
		return fmt.Errorf("a change of voters can't be read: %w", err)
	}
	for _, a := range v.Add {
		s.voters[a.Id] = a
	}
	for _, name := range v.Remove {
		id := VoterID(name)
		s.voters[id] = &pb.Voter{Id: id, Name: name, Removed: true}
	}
	return nil
}

// Members are those that belong to the fleet, by name.
func (s *State) Members() []*pb.Member {
	all := make([]*pb.Member, 0, len(s.members))
	for _, m := range s.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *pb.Member) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Member is one of them; nil if there is none of that name.
func (s *State) Member(name string) *pb.Member { return s.members[name] }

// Rank is how many joined before a member, also of those that have gone; -1 if it is none.
func (s *State) Rank(name string) int {
	m := s.members[name]
	if m == nil {
		return -1
	}
	before := 0
	for _, o := range s.members {
		if o.JoinIndex < m.JoinIndex || o.JoinIndex == m.JoinIndex && o.Name < m.Name { // of programs that did not note it yet: by name
			before++
		}
	}
	return before
}

// CheckKind says why a command of a kind may not be handed in yet; "" if it may.
func (s *State) CheckKind(kind uint32) string {
	for _, m := range s.Members() {
		if !m.Removed && m.MaxCommandKind < kind {
			return fmt.Sprintf("%s runs a program that does not know commands of kind %d: it knows up to %d", m.Name, kind, m.MaxCommandKind)
		}
	}
	return ""
}

// Voters are those that were added to the first ones, and all that were removed, by name.
func (s *State) Voters() []*pb.Voter {
	all := make([]*pb.Voter, 0, len(s.voters))
	for _, v := range s.voters {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *pb.Voter) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
