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

// copyReport is what the copy has, as others read it.
type copyReport struct {
	index   uint64
	members []*pb.Member
	voters  []*pb.Voter
	policy  *pb.PolicyState
}

// stepper is the Copy as a duty, that shows after each step what it has.
type stepper struct {
	*replicatedlog.Replica
	n *Node
}

// Step takes events in.
func (s stepper) Step(now time.Duration, events []any) ([]any, time.Duration) {
	actions, alarm := s.Replica.Step(now, events)
	st := s.State()
	s.n.mu.Lock()
	if st.Index() != s.n.report.index {
		s.n.report = copyReport{st.Index(), st.Members(), st.Voters(), proto.Clone(s.Policy().State()).(*pb.PolicyState)}
	}
	s.n.mu.Unlock()
	return actions, alarm
}

func (n *Node) startCopy() {
	c := replicatedlog.NewReplica(n.c.Name, n.life, n.c.Settings, n.c.Terms)
	c.Participate(n.addr)
	d := &worker.Worker[any, any]{Name: "copy", Inbox: worker.NewRingBuffer[any]("copy", copyMost, worker.Block, nil), Stepper: stepper{c, n}, Execute: n.doCopy}
	n.copy = d
	n.group.Start(d, worker.StopWorker)
}

// doCopy carries out what the copy wants done. What takes time goes to a goroutine of its own, and comes back as an event.
func (n *Node) doCopy(_ context.Context, a any) error {
	switch a := a.(type) {
	case replicatedlog.StageChange:
		n.aside(func(ctx context.Context) {
			raw, err := proto.Marshal(&pb.Change{Id: a.ChangeID, Document: a.Document})
			if err == nil {
				err = n.c.Disk.Write(filepath.Join(n.c.Folder, stagedName), raw)
			}
			if err != nil {
				n.log.Error("fleet: a change of the policy can't be staged: it is refused", "change", a.ChangeID, "err", err)
			}
			n.copy.Inbox.Put(ctx, replicatedlog.ChangeStaged{ChangeID: a.ChangeID, Err: err})
		})
	case replicatedlog.SendLeaseRequest:
		n.aside(func(ctx context.Context) {
			a.Request.Cluster = n.c.Cluster
			var r *pb.LeaseReply
			err := n.through(ctx, func(ctx context.Context, client pb.FleetClient) error {
				var err error
				r, err = client.Ask(ctx, a.Request)
				return err
			})
			if err != nil {
				n.log.Debug("fleet: no lease", "err", err)
				n.copy.Inbox.Put(ctx, replicatedlog.LeaseRequestFailed{RequestedAt: a.RequestedAt})
				return
			}
			n.mu.Lock()
			n.waiting = r.WaitingOn
			n.mu.Unlock()
			n.copy.Inbox.Put(ctx, replicatedlog.LeaseGranted{RequestedAt: a.RequestedAt, RequiredIndex: r.RequiredIndex, Duration: time.Duration(r.DurationUs) * time.Microsecond})
		})
	case replicatedlog.PublishView:
		was, could := n.gate.View()
		n.limits.published(a.View) // before any call goes by it
		drained := n.gate.publish(a.View, a.LeaseUntil, a.Drain)
		if a.Drain {
			n.aside(func(ctx context.Context) {
				drained()
				n.copy.Inbox.Put(ctx, replicatedlog.Drained{Index: a.View.Index})
			})
		}
		n.limits.nudge()
		if _, can := n.gate.View(); a.Drain || can != could || was != nil && was.Verdicts != a.View.Verdicts {
			n.changed()
		}
	case replicatedlog.LeaseExpired:
		n.log.Warn("fleet: cut off: no lease is left, and no call is begun")
		n.changed()
	case replicatedlog.SubmitJoin:
		n.aside(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, n.c.Terms.Duration)
			defer cancel()
			if r, err := n.Submit(ctx, replicatedlog.KindJoin, a.Command); err == nil && r.Rejection != "" {
				n.log.Error("fleet: this sender is no member", "why", r.Rejection)
			}
		})
	}
	return nil
}

func (n *Node) changed() {
	n.mu.Lock()
	told := n.told
	n.mu.Unlock()
	if told != nil {
		told()
	}
}

// aside runs what may wait.
func (n *Node) aside(f func(context.Context)) {
	n.work.Add(1)
	go func() {
		defer n.work.Done()
		f(n.ctx)
	}()
}

// followAll keeps the copy following some voter: this sender's own log if it has one, or else one that answers.
func (n *Node) followAll() {
	for n.ctx.Err() == nil {
		if n.voter() != nil {
			n.feed.follow(n.ctx, n.reached(), beats(), func(p *pb.LogChunk) bool {
				n.mu.Lock()
				n.heard = n.c.Now()
				n.mu.Unlock()
				return n.voter() != nil && (len(p.Entries)+len(p.Snapshot) == 0 || n.copy.Inbox.Put(n.ctx, replicatedlog.LogReceived{Chunk: p}) == nil)
			})
			continue
		}
		names := n.voterNames()
		for _, name := range names {
			if n.ctx.Err() != nil || n.voter() != nil {
				break
			}
			err := n.follow(name)
			n.log.Debug("fleet: follows no longer", "voter", name, "err", err)
			n.mu.Lock()
			if n.current == name {
				n.current = ""
			}
			n.mu.Unlock()
		}
		select {
		case <-n.ctx.Done():
		case <-time.After(beatTime / 2):
		}
	}
}

func (n *Node) reached() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.report.index
}

// follow hears the committed log from a voter until that is silent, or this sender becomes one itself.
func (n *Node) follow(name string) error {
	client, err := n.wires.to(n.address(name))
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(n.ctx)
	defer stop()
	silent := time.AfterFunc(silentTime, stop)
	defer silent.Stop()
	from, err := client.Follow(ctx, &pb.FollowRequest{Cluster: n.c.Cluster, Name: n.c.Name, AfterIndex: n.reached()})
	if err != nil {
		return err
	}
	for {
		p, err := from.Recv()
		if err != nil {
			return err
		}
		silent.Reset(silentTime)
		n.mu.Lock()
		n.current, n.heard = name, n.c.Now()
		n.mu.Unlock()
		if len(p.Entries)+len(p.Snapshot) > 0 {
			if err := n.copy.Inbox.Put(ctx, replicatedlog.LogReceived{Chunk: p}); err != nil {
				return err
			}
		}
		if n.voter() != nil {
			return nil
		}
		n.added()
	}
}

// added begins a voter's part once the state says that this sender is one.
func (n *Node) added() {
	n.mu.Lock()
	is := n.store == nil
	if is {
		is = false
		for _, v := range n.report.voters {
			is = is || v.Name == n.c.Name && !v.Removed
		}
	}
	n.mu.Unlock()
	if is {
		if err := n.beginVoter(n.firstVoters()); err != nil {
			n.log.Error("fleet: this sender can't be a voter", "err", err)
		}
	}
}
