package replicatedlog

import (
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// ReplicaEvent is what a Replica reacts to. All times are the replica's own.
//
//sumtype:decl
type ReplicaEvent interface{ replicaEvent() }

type (
	// LogReceived is a part of the committed log.
	LogReceived struct{ Chunk *pb.LogChunk }
	// LeaseGranted is the answer to a request for a lease.
	LeaseGranted struct {
		RequestedAt   time.Duration // of the SendLeaseRequest
		RequiredIndex uint64
		Duration      time.Duration // 0: no lease
	}
	// LeaseRequestFailed reports that a request got no answer.
	LeaseRequestFailed struct{ RequestedAt time.Duration }
	// ChangeStaged reports that a proposed policy is on the disk, or why it could not be stored.
	ChangeStaged struct {
		ChangeID uint64
		Err      error
	}
	// Drained reports that no call begun under a view before the one at Index waits to be written any more.
	Drained struct{ Index uint64 }
)

func (LogReceived) replicaEvent()        {}
func (LeaseGranted) replicaEvent()       {}
func (LeaseRequestFailed) replicaEvent() {}
func (ChangeStaged) replicaEvent()       {}
func (Drained) replicaEvent()            {}

// ReplicaAction is what the caller of Replica.Step has to carry out.
//
//sumtype:decl
type ReplicaAction interface{ replicaAction() }

type (
	// StageChange stores a proposed policy on the disk. ChangeStaged reports the result.
	StageChange struct {
		ChangeID uint64
		Document []byte
	}
	// SendLeaseRequest sends a lease request to the leader. LeaseGranted or LeaseRequestFailed reports the result.
	SendLeaseRequest struct {
		RequestedAt time.Duration
		Request     *pb.LeaseRequest
	}
	// PublishView replaces the view and the lease that calls are checked against. If Drain is set, a Drained event must follow.
	PublishView struct {
		View       *fleetpolicy.View
		LeaseUntil time.Duration // end of the lease; 0 or past: there is none
		Drain      bool
	}
	// LeaseExpired reports that no call may be begun any more.
	LeaseExpired struct{}
	// SubmitJoin proposes to make this sender a member, with the highest kind of command that its program supports.
	SubmitJoin struct{ Command *pb.Join }
)

func (StageChange) replicaAction()      {}
func (SendLeaseRequest) replicaAction() {}
func (PublishView) replicaAction()      {}
func (LeaseExpired) replicaAction()     {}
func (SubmitJoin) replicaAction()       {}
