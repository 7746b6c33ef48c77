package fleet

import (
	"context"

	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// SuspendDestination suspends a destination for an operator until the suspension is lifted: no sender begins a call to it. The error wraps
// ErrRejected if the fleet rejected the command.
func (n *Node) SuspendDestination(ctx context.Context, destination uint32, by, why string) error {
	_, err := n.submitOperator(ctx, replicatedlog.KindHealth, &pb.HealthCommand{Command: &pb.HealthCommand_Set{Set: &pb.SetHealth{Destination: destination, Kind: uint32(health.KindSuspended), Author: by, Reason: why}}})
	return err
}

// LiftSuspension ends an operator's suspension of a destination.
func (n *Node) LiftSuspension(ctx context.Context, destination uint32, by, why string) error {
	_, err := n.submitOperator(ctx, replicatedlog.KindHealth, &pb.HealthCommand{Command: &pb.HealthCommand_Clear{Clear: &pb.ClearHealth{Destination: destination, ByOperator: true, Author: by, Reason: why}}})
	return err
}
