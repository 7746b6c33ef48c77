package replicatedlog

import (
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// snapshotFormat is the version of pb.Snapshot that this program writes and reads.
const snapshotFormat = 1

// Snapshot encodes the complete state as a pb.Snapshot; equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	snap := &pb.Snapshot{Format: snapshotFormat, Index: s.index, Term: s.term, Sessions: s.sessions, Members: s.Members(), Voters: s.Voters()}
	for _, kind := range slices.Sorted(maps.Keys(s.machines)) {
		raw, err := s.machines[kind].Snapshot()
		if err != nil {
			return nil, fmt.Errorf("snapshot: kind %d: %w", kind, err)
		}
		if len(raw) == 0 {
			continue // no command of this kind was applied: a program that does not support the kind can restore the snapshot
		}
		snap.Machines = append(snap.Machines, &pb.MachineState{Kind: kind, State: raw})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(snap)
}

// Restore replaces the state with a snapshot's. The error is a *DecodeError, a *SnapshotFormatError, one that wraps ErrUnknownCommand,
// or a machine's.
func (s *State) Restore(raw []byte) error {
	snap := &pb.Snapshot{}
	if err := proto.Unmarshal(raw, snap); err != nil {
		return &DecodeError{What: "the snapshot", Err: err}
	}
	if snap.Format != snapshotFormat {
		return &SnapshotFormatError{Got: snap.Format, Want: snapshotFormat}
	}
	for _, m := range s.machines {
		if err := m.Restore(nil); err != nil {
			return err
		}
	}
	for _, m := range snap.Machines {
		if s.machines[m.Kind] == nil {
			return fmt.Errorf("%w (the snapshot has kind %d; this program supports up to %d)", ErrUnknownCommand, m.Kind, MaxCommandKind)
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

// SnapshotIndex is the index at which an encoded snapshot was taken; 0 if it can't be decoded.
func SnapshotIndex(raw []byte) uint64 {
	snap := &pb.Snapshot{}
	if proto.Unmarshal(raw, snap) != nil {
		return 0
	}
	return snap.Index
}
