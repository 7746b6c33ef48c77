package fleet

import (
	"context"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// replicaActor runs a replica's state machine.
type replicaActor = worker.Worker[replicatedlog.ReplicaEvent, replicatedlog.ReplicaAction]

// replicaWorker is the name of the replica's worker, as commands show it.
const replicaWorker = "copy"

// replicaReport is the part of the replica's state that other goroutines read.
type replicaReport struct {
	index   uint64
	members []*pb.Member
	voters  []*pb.Voter
	policy  *pb.PolicyState
}

// replicaStepper is a replica that publishes its report after each step.
type replicaStepper struct {
	*replicatedlog.Replica
	node *Node
}

// Step handles events and then publishes the report if the state's index has changed.
func (s replicaStepper) Step(now time.Duration, events []replicatedlog.ReplicaEvent) ([]replicatedlog.ReplicaAction, time.Duration) {
	actions, alarm := s.Replica.Step(now, events)
	state := s.State()
	s.node.mu.Lock()
	if state.Index() != s.node.replicaReport.index {
		s.node.replicaReport = replicaReport{state.Index(), state.Members(), state.Voters(), proto.CloneOf(s.Policy().State())}
	}
	s.node.mu.Unlock()
	return actions, alarm
}

func (n *Node) startReplica() {
	r := replicatedlog.NewReplica(n.cfg.Name, n.incarnation, n.cfg.Settings, n.cfg.LeaseTerms)
	r.Participate(n.addr)
	n.replica = &replicaActor{Name: replicaWorker, Inbox: worker.NewRingBuffer[replicatedlog.ReplicaEvent](replicaWorker, replicaInboxSize, worker.Block, nil),
		Stepper: replicaStepper{r, n}, Execute: n.executeReplica}
	n.group.Start(n.replica, worker.StopWorker)
}

// executeReplica carries out an action of the replica. Actions that may take long run in the background and report their result as an event.
func (n *Node) executeReplica(_ context.Context, action replicatedlog.ReplicaAction) error {
	switch a := action.(type) {
	case replicatedlog.StageChange:
		n.goBackground(func(ctx context.Context) { n.stageChange(ctx, a) })
	case replicatedlog.SendLeaseRequest:
		n.goBackground(func(ctx context.Context) { n.requestLease(ctx, a) })
	case replicatedlog.PublishView:
		n.publishView(a)
	case replicatedlog.LeaseExpired:
		n.log.Warn("fleet: the lease has expired; no calls are begun until a lease is granted")
		n.notifyChange()
	case replicatedlog.SubmitJoin:
		n.goBackground(func(ctx context.Context) { n.submitJoin(ctx, a) })
	}
	return nil
}

// stageChange stores a proposed policy and reports the result to the replica.
func (n *Node) stageChange(ctx context.Context, a replicatedlog.StageChange) {
	raw, err := proto.Marshal(&pb.Change{Id: a.ChangeID, Document: a.Document})
	if err == nil {
		err = n.cfg.Disk.Write(filepath.Join(n.cfg.Folder, stagedName), raw)
	}
	if err != nil {
		n.log.Error("fleet: can't store a proposed policy; the change is rejected", "change", a.ChangeID, "err", err)
	}
	n.notifyReplica(ctx, replicatedlog.ChangeStaged{ChangeID: a.ChangeID, Err: err})
}

// requestLease requests a lease from any voter and reports the result to the replica.
func (n *Node) requestLease(ctx context.Context, a replicatedlog.SendLeaseRequest) {
	a.Request.Cluster = n.cfg.Cluster
	var r *pb.LeaseReply
	err := n.callAnyVoter(ctx, func(ctx context.Context, client pb.FleetClient) error {
		var err error
		r, err = client.Ask(ctx, a.Request)
		return err
	})
	if err != nil {
		n.log.Debug("fleet: a lease request failed", "err", err)
		n.notifyReplica(ctx, replicatedlog.LeaseRequestFailed{RequestedAt: a.RequestedAt})
		return
	}
	n.mu.Lock()
	n.waitingOn = r.WaitingOn
	n.mu.Unlock()
	n.notifyReplica(ctx, replicatedlog.LeaseGranted{RequestedAt: a.RequestedAt, RequiredIndex: r.RequiredIndex, Duration: time.Duration(r.DurationUs) * time.Microsecond})
}

// publishView replaces the view that calls are checked against. The allowances are updated before any call is checked against the new view.
func (n *Node) publishView(a replicatedlog.PublishView) {
	former, couldAct := n.gate.View()
	n.quotas.setView(a.View)
	waitDrained := n.gate.publish(a.View, a.LeaseUntil, a.Drain)
	if a.Drain {
		n.goBackground(func(ctx context.Context) {
			waitDrained()
			n.notifyReplica(ctx, replicatedlog.Drained{Index: a.View.Index})
		})
	}
	n.quotas.notifyView()
	if _, canAct := n.gate.View(); a.Drain || canAct != couldAct || former != nil && former.Health != a.View.Health {
		n.notifyChange()
	}
}

func (n *Node) submitJoin(ctx context.Context, a replicatedlog.SubmitJoin) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.LeaseTerms.Duration)
	defer cancel()
	// If the submission fails, the replica repeats it.
	if r, err := n.Submit(ctx, replicatedlog.KindJoin, a.Command); err == nil && r.Rejection != "" {
		n.log.Error("fleet: the join of this sender was rejected", "why", r.Rejection)
	}
}

// notifyReplica puts an event into the replica's inbox. That fails only while the node stops.
func (n *Node) notifyReplica(ctx context.Context, e replicatedlog.ReplicaEvent) {
	_ = n.replica.Inbox.Put(ctx, e)
}

// notifyChange calls the function that OnChange has set.
func (n *Node) notifyChange() {
	n.mu.Lock()
	f := n.onChange
	n.mu.Unlock()
	if f != nil {
		f()
	}
}

// goBackground runs f in a goroutine that Close waits for; its context ends when the node stops.
func (n *Node) goBackground(f func(context.Context)) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f(n.ctx)
	}()
}
