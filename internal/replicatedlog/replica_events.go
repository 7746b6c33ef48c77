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
		RequestedAt   time.Duration // as SendLeaseRequest had it
		RequiredIndex uint64
		Duration      time.Duration // 0: no lease
	}
	// LeaseRequestFailed reports that a request got no answer.
	LeaseRequestFailed struct{ RequestedAt time.Duration }
	// ChangeStaged reports that a proposed policy is on the disk, or why it can't be.
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

// ReplicaAction is what a Replica wants done.
//
//sumtype:decl
type ReplicaAction interface{ replicaAction() }

type (
	// StageChange stores a proposed policy on the disk. ChangeStaged says when it is there.
	StageChange struct {
		ChangeID uint64
		Document []byte
	}
	// SendLeaseRequest goes to the leader. LeaseGranted or LeaseRequestFailed is the answer.
	SendLeaseRequest struct {
		RequestedAt time.Duration
		Request     *pb.LeaseRequest
	}
	// PublishView is what calls go by from now on. If Drain is set, Drained is wanted.
	PublishView struct {
		View       *fleetpolicy.View
		LeaseUntil time.Duration // end of the lease; 0 or past: there is none
		Drain      bool
	}
	// LeaseExpired reports that no call may be begun any more.
	LeaseExpired struct{}
	// SubmitJoin proposes that this sender is a member, and which commands its program knows.
	SubmitJoin struct{ Command *pb.Join }
)

func (StageChange) replicaAction()      {}
func (SendLeaseRequest) replicaAction() {}
func (PublishView) replicaAction()      {}
func (LeaseExpired) replicaAction()     {}
func (SubmitJoin) replicaAction()       {}
