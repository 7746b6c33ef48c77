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

// replicaReport is what the copy has, as others read it.
type replicaReport struct {
	index   uint64
	members []*pb.Member
	voters  []*pb.Voter
	policy  *pb.PolicyState
}

// replicaStepper is the Copy as a duty, that shows after each step what it has.
type replicaStepper struct {
	*replicatedlog.Replica
	n *Node
}

// Step takes events in.
func (s replicaStepper) Step(now time.Duration, events []any) ([]any, time.Duration) {
	actions, alarm := s.Replica.Step(now, events)
	st := s.State()
	s.n.mu.Lock()
	if st.Index() != s.n.replicaReport.index {
		s.n.replicaReport = replicaReport{st.Index(), st.Members(), st.Voters(), proto.Clone(s.Policy().State()).(*pb.PolicyState)}
	}
	s.n.mu.Unlock()
	return actions, alarm
}

func (n *Node) startReplica() {
	c := replicatedlog.NewReplica(n.cfg.Name, n.incarnation, n.cfg.Settings, n.cfg.LeaseTerms)
	c.Participate(n.addr)
	d := &worker.Worker[any, any]{Name: "copy", Inbox: worker.NewRingBuffer[any]("copy", replicaInboxSize, worker.Block, nil), Stepper: replicaStepper{c, n}, Execute: n.executeReplica}
	n.replica = d
	n.group.Start(d, worker.StopWorker)
}

// executeReplica carries out what the copy wants done. What takes time goes to a goroutine of its own, and comes back as an event.
func (n *Node) executeReplica(_ context.Context, a any) error {
	switch a := a.(type) {
	case replicatedlog.StageChange:
		n.goBackground(func(ctx context.Context) {
			raw, err := proto.Marshal(&pb.Change{Id: a.ChangeID, Document: a.Document})
			if err == nil {
				err = n.cfg.Disk.Write(filepath.Join(n.cfg.Folder, stagedName), raw)
			}
			if err != nil {
				n.log.Error("fleet: a change of the policy can't be staged: it is refused", "change", a.ChangeID, "err", err)
			}
			n.replica.Inbox.Put(ctx, replicatedlog.ChangeStaged{ChangeID: a.ChangeID, Err: err})
		})
	case replicatedlog.SendLeaseRequest:
		n.goBackground(func(ctx context.Context) {
			a.Request.Cluster = n.cfg.Cluster
			var r *pb.LeaseReply
			err := n.callAnyVoter(ctx, func(ctx context.Context, client pb.FleetClient) error {
				var err error
				r, err = client.Ask(ctx, a.Request)
				return err
			})
			if err != nil {
				n.log.Debug("fleet: no lease", "err", err)
				n.replica.Inbox.Put(ctx, replicatedlog.LeaseRequestFailed{RequestedAt: a.RequestedAt})
				return
			}
			n.mu.Lock()
			n.waitingOn = r.WaitingOn
			n.mu.Unlock()
			n.replica.Inbox.Put(ctx, replicatedlog.LeaseGranted{RequestedAt: a.RequestedAt, RequiredIndex: r.RequiredIndex, Duration: time.Duration(r.DurationUs) * time.Microsecond})
		})
	case replicatedlog.PublishView:
		was, could := n.gate.View()
		n.quotas.setView(a.View) // before any call goes by it
		drained := n.gate.publish(a.View, a.LeaseUntil, a.Drain)
		if a.Drain {
			n.goBackground(func(ctx context.Context) {
				drained()
				n.replica.Inbox.Put(ctx, replicatedlog.Drained{Index: a.View.Index})
			})
		}
		n.quotas.notifyView()
		if _, can := n.gate.View(); a.Drain || can != could || was != nil && was.Health != a.View.Health {
			n.notifyChange()
		}
	case replicatedlog.LeaseExpired:
		n.log.Warn("fleet: cut off: no lease is left, and no call is begun")
		n.notifyChange()
	case replicatedlog.SubmitJoin:
		n.goBackground(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, n.cfg.LeaseTerms.Duration)
			defer cancel()
			if r, err := n.Submit(ctx, replicatedlog.KindJoin, a.Command); err == nil && r.Rejection != "" {
				n.log.Error("fleet: this sender is no member", "why", r.Rejection)
			}
		})
	}
	return nil
}

func (n *Node) notifyChange() {
	n.mu.Lock()
	told := n.onChange
	n.mu.Unlock()
	if told != nil {
		told()
	}
}

// goBackground runs what may wait.
func (n *Node) goBackground(f func(context.Context)) {
	n.background.Add(1)
	go func() {
		defer n.background.Done()
		f(n.ctx)
	}()
}
