package replicatedlog

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Snapshot is the whole state.
func (s *State) Snapshot() ([]byte, error) {
	snap := &pb.Snapshot{Format: snapshotFormat, Index: s.index, Term: s.term, Sessions: s.sessions, Members: s.Members(), Voters: s.Voters()}
	kinds := make([]uint32, 0, len(s.machines))
	for k := range s.machines {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		raw, err := s.machines[k].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot: kind %d: %w", k, err)
		}
		if len(raw) == 0 {
			continue // untouched: a program that does not know it can take the snapshot
		}
		snap.Machines = append(snap.Machines, &pb.MachineState{Kind: k, State: raw})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snap)
}

// Restore puts a snapshot in place of the state.
func (s *State) Restore(raw []byte) error {
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(raw, snap); err != nil {
		return fmt.Errorf("the snapshot can't be read: %w", err)
	}
	if snap.Format != snapshotFormat {
		return fmt.Errorf("the snapshot is of format %d; this program reads %d", snap.Format, snapshotFormat)
	}
	for _, m := range s.machines {
		if err := m.Restore(nil); err != nil {
			return err
		}
	}
	for _, m := range snap.Machines {
		if s.machines[m.Kind] == nil {
			return fmt.Errorf("%w (its state has kind %d; this one knows up to %d)", ErrUnknownCommand, m.Kind, MaxCommandKind)
		}
		if err := s.machines[m.Kind].Restore(m.State); err != nil {
			return fmt.Errorf("snapshot: kind %d: %w", m.Kind, err)
		}
	}
	s.index, s.term, s.sessions = snap.Index, snap.Term, snap.Sessions
	s.members, s.voters = map[string]*pb.Member{}, map[uint64]*pb.Voter{}
	for _, m := range snap.Members {
		s.members[m.Name] = m
	}
	for _, v := range snap.Voters {
		s.voters[v.Id] = v
	}
	return nil
}

// SnapshotIndex is at which index a snapshot was taken; 0 if it can't be read.
func SnapshotIndex(raw []byte) uint64 {
	snap := &pb.Snapshot{}
	if proto.Unmarshal(raw, snap) != nil {
		return 0
	}
	return snap.Index
}

const (
	snapshotFormat  = 1
	maxSessions     = 1000    // of which the last result is remembered, those used last
	maxMembers      = 10_000  // that a fleet may have
	maxCommandBytes = 2 << 20 // bytes
	maxNameBytes    = 128     // bytes of a sender's name
)
