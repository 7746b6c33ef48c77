package replicatedlog

import (
	"errors"

	"go.etcd.io/raft/v3/raftpb"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Events of a Core.
type (
	// MessageReceived is a message of another voter.
	MessageReceived struct{ Message *raftpb.Message }
	// CommandSubmitted is a command; it is answered when the log has it.
	CommandSubmitted struct {
		ReplyTo uint64
		Command *pb.Command
	}
	// LeaseRequested is a question for a lease.
	LeaseRequested struct {
		ReplyTo uint64
		Request *pb.LeaseRequest
	}
	// HandshakeRequested is another voter's.
	HandshakeRequested struct {
		ReplyTo uint64
		VoterID uint64
	}
	// VoterChangeRequested changes who keeps the log, by a joint change: those added are told everything before they count.
	VoterChangeRequested struct {
		ReplyTo uint64
		Command *pb.Command // of KindVoters
	}
	// PeerUnreachable is that messages to a voter are lost.
	PeerUnreachable struct{ VoterID uint64 }
	// LeadershipTransferRequested lets another voter lead, before a planned stop.
	LeadershipTransferRequested struct{}
)

// Actions of a Core, to be carried out in their order.
type (
	// Persist goes to the disk, and is there before anything behind it is done.
	Persist struct {
		HardState  *raftpb.HardState
		ConfState  *raftpb.ConfState
		Entries    []*raftpb.Entry
		Snapshot   *raftpb.Snapshot
		CompactTo  uint64 // entries up to here go
		ReplaceLog bool   // the snapshot came from another voter: all entries go
	}
	// SendMessage goes to another voter.
	SendMessage struct{ Message *raftpb.Message }
	// Reply is for who asked.
	Reply struct {
		To    uint64
		Value any // *pb.SubmitReply, *pb.AskReply, *pb.HelloReply, or an error
	}
	// Committed is what is agreed now, for those that follow.
	Committed struct {
		Entries  []*pb.Entry
		Snapshot []byte // in place of all before it
	}
	// Status is how the voter stands.
	Status struct {
		Leader       uint64 // 0: none is known
		IsLeader     bool
		Term         uint64
		AppliedIndex uint64
		Voters       []uint64
		WaitingOn    []fleetpolicy.PendingSender // of the open change, at the one that leads
		Leases       []lease.ActiveLease         // at the one that leads
	}
)

// ErrNotLeader is that another voter leads, or none does.
var ErrNotLeader = errors.New("another voter leads, or none does")
