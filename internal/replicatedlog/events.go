package replicatedlog

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// VoterEvent is what a Voter reacts to.
//
//sumtype:decl
type VoterEvent interface{ voterEvent() }

type (
	// MessageReceived is a raft message of another voter.
	MessageReceived struct{ Message *raftpb.Message }
	// CommandSubmitted is a command to propose. The reply is sent once the command has been applied.
	CommandSubmitted struct {
		ReplyTo uint64
		Command *pb.Command
	}
	// LeaseRequested is a sender's request for a lease.
	LeaseRequested struct {
		ReplyTo uint64
		Request *pb.LeaseRequest
	}
	// HandshakeRequested is the handshake call of another voter that starts.
	HandshakeRequested struct {
		ReplyTo uint64
		VoterID uint64
	}
	// VoterChangeRequested changes the set of voters, by a joint configuration change: voters that are added catch up before
	// they count.
	VoterChangeRequested struct {
		ReplyTo uint64
		Command *pb.Command // of KindVoters
	}
	// PeerUnreachable reports that messages to another voter are not delivered.
	PeerUnreachable struct{ VoterID uint64 }
	// LeadershipTransferRequested hands leadership over to another voter, before a planned stop.
	LeadershipTransferRequested struct{}
)

func (MessageReceived) voterEvent()             {}
func (CommandSubmitted) voterEvent()            {}
func (LeaseRequested) voterEvent()              {}
func (HandshakeRequested) voterEvent()          {}
func (VoterChangeRequested) voterEvent()        {}
func (PeerUnreachable) voterEvent()             {}
func (LeadershipTransferRequested) voterEvent() {}

// VoterAction is what the caller of Voter.Step has to carry out, in the order given.
//
//sumtype:decl
type VoterAction interface{ voterAction() }

type (
	// Persist must be written to the disk in one transaction, and be there before any action behind it begins. Nil and zero fields
	// leave the stored values unchanged.
	Persist struct {
		HardState  *raftpb.HardState
		ConfState  *raftpb.ConfState
		Entries    []*raftpb.Entry // they replace all stored entries from the first one's index on
		Snapshot   *raftpb.Snapshot
		CompactTo  uint64 // entries up to this index are deleted
		ReplaceLog bool   // the snapshot came from another voter: all entries are deleted
	}
	// SendMessage goes to another voter; it may be lost.
	SendMessage struct{ Message *raftpb.Message }
	// Reply answers the event with that ReplyTo.
	Reply struct {
		To      uint64
		Message proto.Message // *pb.SubmitReply, *pb.LeaseReply or *pb.HelloReply; nil if Err is set
		Err     error         // ErrNotLeader and others of this package
	}
	// Committed is a newly committed part of the log, for the replicas that follow it.
	Committed struct {
		Entries  []*pb.Entry
		Snapshot []byte // a pb.Snapshot that replaces all before it; nil: none
	}
	// Status is the voter's status after each step.
	Status struct {
		Leader       uint64 // voter id; 0: none is known
		IsLeader     bool
		Term         uint64
		AppliedIndex uint64
		Voters       []uint64
		WaitingOn    []fleetpolicy.PendingSender // senders that the open change waits for; at the leader
		Leases       []lease.ActiveLease         // at the leader
	}
)

func (Persist) voterAction()     {}
func (SendMessage) voterAction() {}
func (Reply) voterAction()       {}
func (Committed) voterAction()   {}
func (Status) voterAction()      {}
