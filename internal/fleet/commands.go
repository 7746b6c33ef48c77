package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// ErrRejected is that the fleet turned a command away: it changed nothing.
var ErrRejected = errors.New("refused")

// Propose hands a change of the policy in. Its number is told once the log has it; how it ends Ended tells.
func (n *Node) Propose(ctx context.Context, p *pb.ProposePolicy) (change uint64, err error) {
	if _, err := fleetpolicy.Parse("document", p.Document); err != nil {
		return 0, err
	}
	return n.submitOperator(ctx, replicatedlog.KindPolicy, &pb.PolicyCommand{Command: &pb.PolicyCommand_Propose{Propose: p}})
}

// Abort ends the open change, if it has not taken hold.
func (n *Node) Abort(ctx context.Context, change uint64, why string) error {
	_, err := n.submitOperator(ctx, replicatedlog.KindPolicy, &pb.PolicyCommand{Command: &pb.PolicyCommand_Abort{Abort: &pb.ChangeStep{ChangeId: change, Reason: why}}})
	return err
}

// Leave declares a sender gone for good.
func (n *Node) Leave(ctx context.Context, l *pb.Leave) error {
	_, err := n.submitOperator(ctx, replicatedlog.KindLeave, l)
	return err
}

// ChangeVoters adds and removes voters, all at once.
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

// FinishedChange reports whether a change is over, as far as this sender knows, and how.
func (n *Node) FinishedChange(change uint64) (past *pb.FinishedChange, over bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.replicaReport.policy.GetHistory() {
		if p.Id == change {
			return p, true
		}
	}
	return nil, false
}

// WaitCurrent waits until this sender's copy has come to where the log was when it was asked, as a majority confirms: what is read then is
// no older than the question.
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
