package fleet

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Propose proposes a change of the policy, and returns its id once the proposal is applied. FinishedChange reports how the change ended. The error wraps
// ErrRejected if the fleet rejected the proposal.
func (n *Node) Propose(ctx context.Context, p *pb.ProposePolicy) (change uint64, err error) {
	if _, err := fleetpolicy.Parse("document", p.Document); err != nil {
		return 0, err
	}
	return n.submitOperator(ctx, replicatedlog.KindPolicy, &pb.PolicyCommand{Command: &pb.PolicyCommand_Propose{Propose: p}})
}

// Abort ends the open change, if it is not committed yet.
func (n *Node) Abort(ctx context.Context, change uint64, why string) error {
	_, err := n.submitOperator(ctx, replicatedlog.KindPolicy, &pb.PolicyCommand{Command: &pb.PolicyCommand_Abort{Abort: &pb.ChangeStep{ChangeId: change, Reason: why}}})
	return err
}

// Leave removes a member for good.
func (n *Node) Leave(ctx context.Context, l *pb.Leave) error {
	_, err := n.submitOperator(ctx, replicatedlog.KindLeave, l)
	return err
}

// ChangeVoters adds and removes voters in one step.
func (n *Node) ChangeVoters(ctx context.Context, v *pb.VoterChange) error {
	for _, a := range v.Add {
		a.Id = replicatedlog.VoterID(a.Name)
	}
	_, err := n.submitOperator(ctx, replicatedlog.KindVoters, v)
	return err
}

func (n *Node) submitOperator(ctx context.Context, kind uint32, body proto.Message) (uint64, error) {
	r, err := n.Submit(ctx, kind, body)
	if err != nil {
		return 0, err
	}
	if r.Rejection != "" {
		return r.Index, fmt.Errorf("%w: %s", ErrRejected, r.Rejection)
	}
	return r.Index, nil
}

// FinishedChange returns how a change ended; ok is false if the change has not ended in the part of the log that this sender
// has applied, or is no longer in the history.
func (n *Node) FinishedChange(change uint64) (finished *pb.FinishedChange, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.replicaReport.policy.GetHistory() {
		if p.Id == change {
			return p, true
		}
	}
	return nil, false
}

// WaitCurrent is a linearizable read: it waits until this sender's replica has applied all that was committed at the time of the call, which a
// majority confirms.
func (n *Node) WaitCurrent(ctx context.Context) error {
	var need uint64
	if err := n.callAnyVoter(ctx, func(ctx context.Context, client pb.FleetClient) error {
		r, err := client.Ask(ctx, &pb.LeaseRequest{Cluster: n.cfg.Cluster, Name: n.cfg.Name, Incarnation: n.incarnation})
		if err == nil {
			need = r.RequiredIndex
		}
		return err
	}); err != nil {
		return fmt.Errorf("no majority confirms what is newest: %w", err)
	}
	for n.appliedIndex() < need {
		select {
		case <-ctx.Done():
			return fmt.Errorf("this sender has come to entry %d, and %d is wanted: %w", n.appliedIndex(), need, ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}
