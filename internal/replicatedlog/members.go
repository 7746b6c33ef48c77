package replicatedlog

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// join adds a member, or updates the highest kind of command that a member's program supports.
func (s *State) join(index uint64, body []byte) (rejection string, err error) {
	j := &pb.Join{}
	if err := proto.Unmarshal(body, j); err != nil {
		return "", &DecodeError{What: "a join", Err: err}
	}
	m := s.members[j.Name]
	switch {
	case j.Name == "" || len(j.Name) > maxNameBytes:
		return fmt.Sprintf("a name has from 1 to %d bytes", maxNameBytes), nil
	case m != nil && m.Removed:
		return fmt.Sprintf("%s was declared gone for good: a machine that takes its place needs a name of its own", j.Name), nil
	case m == nil && len(s.members) >= maxMembers:
		return fmt.Sprintf("the fleet has %d members, which is the most", maxMembers), nil
	}
	if m != nil {
		index = m.JoinIndex
	}
	s.members[j.Name] = &pb.Member{Name: j.Name, MaxCommandKind: j.MaxCommandKind, JoinIndex: index}
	return "", nil
}

// leave removes a member for good. The removed member stays recorded, so that its name can't be used again.
func (s *State) leave(body []byte) (rejection string, err error) {
	l := &pb.Leave{}
	if err := proto.Unmarshal(body, l); err != nil {
		return "", &DecodeError{What: "a leave", Err: err}
	}
	m := s.members[l.Name]
	if m == nil {
		return fmt.Sprintf("%q is no member", l.Name), nil
	}
	s.members[l.Name] = &pb.Member{Name: m.Name, MaxCommandKind: m.MaxCommandKind, Removed: true, JoinIndex: m.JoinIndex}
	return "", nil
}

// changeVoters records a change of voters, which was checked before it was proposed and which raft has already applied.
func (s *State) changeVoters(body []byte) error {
	v := &pb.VoterChange{}
	if err := proto.Unmarshal(body, v); err != nil {
		return &DecodeError{What: "a change of voters", Err: err}
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

// Members are all members, removed ones included, sorted by name.
func (s *State) Members() []*pb.Member {
	return slices.SortedFunc(maps.Values(s.members), func(a, b *pb.Member) int { return cmp.Compare(a.Name, b.Name) })
}

// Member is the member of a name; nil if there is none.
func (s *State) Member(name string) *pb.Member { return s.members[name] }

// Rank is how many members joined before the named one, removed ones included; -1 if it is no member.
func (s *State) Rank(name string) int {
	m := s.members[name]
	if m == nil {
		return -1
	}
	before := 0
	for _, o := range s.members {
		// JoinIndex is 0 for members that joined under a program that did not record it: they are ordered by name.
		if o.JoinIndex < m.JoinIndex || o.JoinIndex == m.JoinIndex && o.Name < m.Name {
			before++
		}
	}
	return before
}

// CheckKind returns the reason why commands of a kind may not be proposed yet: it names a member whose program does not support the
// kind. The reason is "" if the programs of all members support it.
func (s *State) CheckKind(kind uint32) string {
	for _, m := range s.Members() {
		if !m.Removed && m.MaxCommandKind < kind {
			return fmt.Sprintf("%s runs a program that does not know commands of kind %d: it knows up to %d", m.Name, kind, m.MaxCommandKind)
		}
	}
	return ""
}

// Voters are the voters that were added after the first ones, and all that were removed, sorted by name.
func (s *State) Voters() []*pb.Voter {
	return slices.SortedFunc(maps.Values(s.voters), func(a, b *pb.Voter) int { return cmp.Compare(a.Name, b.Name) })
}
