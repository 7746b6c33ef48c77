package replicatedlog

import (
	"time"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Events of a Copy.
type (
	// LogReceived is a part of the committed log.
	LogReceived struct{ Chunk *pb.LogChunk }
	// LeaseGranted is the answer to a question for a lease.
	LeaseGranted struct {
		RequestedAt   time.Duration
		RequiredIndex uint64
		Duration      time.Duration
	}
	// LeaseRequestFailed is that a question got none.
	LeaseRequestFailed struct{ RequestedAt time.Duration }
	// ChangeStaged is that a proposal stands on the disk, or can't.
	ChangeStaged struct {
		ChangeID uint64
		Err      error
	}
	// Drained is that no call that was begun under a view before this one's waits to be written.
	Drained struct{ Index uint64 }
)

// Actions of a Copy.
type (
	// StageChange keeps a proposal on the disk; Staged says when it is there.
	StageChange struct {
		ChangeID uint64
		Document []byte
	}
	// SendLeaseRequest goes to the one who leads.
	SendLeaseRequest struct {
		RequestedAt time.Duration
		Request     *pb.LeaseRequest
	}
	// PublishView is what calls go by from now on; Drained is wanted if Drain is set.
	PublishView struct {
		View       *fleetpolicy.View
		LeaseUntil time.Duration // under a lease to here; in the past or 0: under none
		Drain      bool
	}
	// LeaseExpired is that nothing may be begun any more, for want of a lease.
	LeaseExpired struct{}
	// SubmitJoin hands in that this sender belongs to the fleet.
	SubmitJoin struct{ Command *pb.Join }
)
