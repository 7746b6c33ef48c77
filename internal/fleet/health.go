package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// healthNode is a sender's part in verdicts: a duty that passes on what this sender has seen, and, where the roster puts it in charge,
// hears the others and hands what it finds to the log.
type healthNode struct {
	quotas     *quotaNode
	aggregator *health.Aggregator
	worker     *worker.Worker[any, any]
	unreported map[uint32]health.Observation // seen here, and not told yet
}

const (
	maxObservations          = 4096
	evaluateInterval         = 250 * time.Millisecond
	maxObservationsPerReport = 500 // destinations in one testimony
)

type (
	// ownObservations is what this sender has seen itself.
	ownObservations struct{ all []health.Observation }
	// reportReceived is what another has.
	reportReceived struct{ request *pb.HealthReport }
	// sendReport goes to the one in charge.
	sendReport struct {
		to     *pb.Participant
		report *pb.HealthReport
	}
)

func newHealthNode(l *quotaNode) *healthNode {
	e := &healthNode{quotas: l, aggregator: health.NewAggregator(), unreported: map[uint32]health.Observation{}}
	e.worker = &worker.Worker[any, any]{Name: "verdicts", Inbox: worker.NewRingBuffer[any]("verdicts", maxObservations, worker.DropOldest, nil), Stepper: e, Execute: e.execute}
	return e
}

// Step takes words in, passes this sender's own on, and judges what it is in charge of. It has to hold a lease for that, looked at before what
// that is on, as the lender does; the log refuses what comes too late all the same.
func (e *healthNode) Step(now time.Duration, events []any) (actions []any, alarm time.Duration) {
	g := e.quotas.node.gate
	until := time.Duration(g.leaseUntil.Load())
	var v *fleetpolicy.View
	if r := g.generation.Load(); r != nil {
		v = r.view.Load()
	}
	if v == nil || v.Membership == nil || !v.Policy.HasHealthRules() && len(v.Health.GetStatuses()) == 0 {
		return nil, worker.Never
	}
	charge, me := v.Ownership(), e.quotas.me
	for _, x := range events {
		switch x := x.(type) {
		case ownObservations:
			for _, t := range x.all {
				if _, ruled := v.Policy.HealthRule(t.Destination); ruled && len(e.unreported) < maxObservations {
					e.unreported[t.Destination] = t
				}
			}
		case reportReceived:
			if x.request.Epoch == v.Membership.GetEpoch() && x.request.ToIncarnation == me.Incarnation {
				for _, t := range x.request.Observations {
					e.aggregator.Observe(x.request.Name, health.Observation{Destination: t.Destination, State: knowledge.State(t.State),
						Age: time.Duration(t.AgeUs) * time.Microsecond, Duration: time.Duration(t.DurationUs) * time.Microsecond}, now)
				}
			}
		}
	}
	by := map[string]*sendReport{}
	for d, t := range e.unreported {
		p := charge.Owner(destinationKey(d))
		if p == nil {
			continue
		}
		if p.Name == me.Name && p.Incarnation == me.Incarnation {
			e.aggregator.Observe(me.Name, t, now)
			delete(e.unreported, d)
			continue
		}
		to := by[p.Name]
		if to == nil {
			to = &sendReport{p, &pb.HealthReport{Name: me.Name, Incarnation: me.Incarnation, ToIncarnation: p.Incarnation, Epoch: v.Membership.GetEpoch()}}
			by[p.Name] = to
		}
		if len(to.report.Observations) < maxObservationsPerReport {
			to.report.Observations = append(to.report.Observations, &pb.HealthObservation{Destination: d, State: uint32(t.State), AgeUs: t.Age.Microseconds(), DurationUs: t.Duration.Microseconds()})
			delete(e.unreported, d)
		}
	}
	for _, t := range by {
		actions = append(actions, *t)
	}
	if v.Unfit != nil || now >= until || v.Membership.GetNextEpoch() != 0 {
		return actions, now + evaluateInterval
	}
	mine := func(d uint32) bool {
		p := charge.Owner(destinationKey(d))
		return p != nil && p.Name == me.Name && p.Incarnation == me.Incarnation
	}
	for _, w := range e.aggregator.Evaluate(now, v.Membership.GetEpoch(), me.Name, mine, v.Policy.HealthRule, v.Health) {
		actions = append(actions, w)
	}
	return actions, now + evaluateInterval
}

// destinationKey is what the roster goes by for a destination: its limit and its verdict are in the same hands.
func destinationKey(d uint32) string { return fmt.Sprintf("destination %d", d) }

func (e *healthNode) execute(_ context.Context, a any) error {
	n := e.quotas.node
	switch a := a.(type) {
	case sendReport:
		a.report.Cluster = n.cfg.Cluster
		n.goBackground(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, n.callTimeout())
			defer cancel()
			client, err := n.conns.client(e.quotas.reach.Resolve(a.to.Address))
			if err == nil {
				_, err = client.Testify(ctx, a.report)
			}
			if err != nil { // it is said again in a second
				n.log.Debug("fleet: what was seen is not told", "to", a.to.Name, "err", err)
			}
		})
	case *pb.HealthCommand:
		n.goBackground(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, n.cfg.LeaseTerms.Duration)
			defer cancel()
			r, err := n.Submit(ctx, replicatedlog.KindHealth, a)
			if err == nil && r.Rejection != "" {
				err = errors.New(r.Rejection)
			}
			if err != nil {
				n.log.Debug("fleet: a verdict does not count", "err", err)
			}
		})
	}
	return nil
}

// Testify is told what other senders have seen.
func (s *service) Testify(_ context.Context, r *pb.HealthReport) (*pb.Ack, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	if len(r.Observations) > maxObservationsPerReport {
		return nil, status.Errorf(codes.InvalidArgument, "%d testimonies; %d are the most", len(r.Observations), maxObservationsPerReport)
	}
	s.node.quotas.health.worker.Inbox.Offer(reportReceived{r})
	return &pb.Ack{}, nil
}

// ReportHealth takes what this sender has seen itself of destinations. It never waits.
func (n *Node) ReportHealth(all []health.Observation) {
	n.quotas.health.worker.Inbox.Offer(ownObservations{all})
}
