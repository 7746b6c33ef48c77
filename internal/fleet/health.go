package fleet

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

const (
	maxObservations          = 4096 // that wait to be reported, and the inbox's capacity
	evaluateInterval         = 250 * time.Millisecond
	maxObservationsPerReport = 500

	// healthWorker is the name of the worker, as commands show it.
	healthWorker = "verdicts"
)

// healthEvent is what a healthNode reacts to.
//
//sumtype:decl
type healthEvent interface{ healthEvent() }

type (
	// ownObservations is what this sender has observed itself.
	ownObservations struct{ all []health.Observation }
	// reportReceived is a report of what another sender has observed.
	reportReceived struct{ request *pb.HealthReport }
)

func (ownObservations) healthEvent() {}
func (reportReceived) healthEvent()  {}

// healthAction is what a healthNode's execute has to carry out.
//
//sumtype:decl
type healthAction interface{ healthAction() }

type (
	// sendReport sends a report to the owner of the destinations in it.
	sendReport struct {
		to     *pb.Participant
		report *pb.HealthReport
	}
	// proposeHealth proposes what this sender decided about a destination that it owns.
	proposeHealth struct{ command *pb.HealthCommand }
)

func (sendReport) healthAction()    {}
func (proposeHealth) healthAction() {}

// healthNode is a sender's part in the fleet's health statuses: a worker that reports what this sender has observed to the owners of
// destinations, and decides the health of those that this sender owns.
type healthNode struct {
	quotas     *quotaNode
	aggregator *health.Aggregator
	worker     *worker.Worker[healthEvent, healthAction]
	unreported map[uint32]health.Observation // observed here, and not reported yet
}

func newHealthNode(q *quotaNode) *healthNode {
	h := &healthNode{quotas: q, aggregator: health.NewAggregator(), unreported: map[uint32]health.Observation{}}
	h.worker = &worker.Worker[healthEvent, healthAction]{Name: healthWorker, Inbox: worker.NewRingBuffer[healthEvent](healthWorker, maxObservations, worker.DropOldest, nil),
		Stepper: h, Execute: h.execute}
	return h
}

// Step takes in observations, reports this sender's own, and decides the health of the destinations that this sender owns. For such a decision
// the sender must hold a lease. The lease is read before the view, as in the quota server, so that the view is no older than the lease requires.
// The log also rejects proposals that come too late.
func (h *healthNode) Step(now time.Duration, events []healthEvent) (actions []healthAction, alarm time.Duration) {
	gate := h.quotas.node.gate
	leaseUntil := time.Duration(gate.leaseUntil.Load())
	v := gate.current()
	if v == nil || v.Membership == nil || !v.Policy.HasHealthRules() && len(v.Health.GetStatuses()) == 0 {
		return nil, worker.Never
	}
	for _, event := range events {
		switch e := event.(type) {
		case ownObservations:
			h.addOwnObservations(e, v)
		case reportReceived:
			h.addReport(e.request, v, now)
		case viewPublished:
		}
	}
	ownership := v.Ownership()
	for _, r := range h.buildReports(ownership, v.Membership.GetEpoch(), now) {
		actions = append(actions, r)
	}
	if v.Unfit != nil || now >= leaseUntil || v.Membership.GetNextEpoch() != 0 {
		return actions, now + evaluateInterval
	}
	for _, c := range h.aggregator.Evaluate(now, health.EvaluationInput{Epoch: v.Membership.GetEpoch(), Self: h.quotas.self.Name, Rule: v.Policy.HealthRule, State: v.Health,
		Owns: func(d uint32) bool { return h.isSelf(ownership.Owner(destinationKey(d))) }}) {
		actions = append(actions, proposeHealth{c})
	}
	return actions, now + evaluateInterval
}

func (h *healthNode) isSelf(p *pb.Participant) bool {
	return p != nil && p.Name == h.quotas.self.Name && p.Incarnation == h.quotas.self.Incarnation
}

func (h *healthNode) addOwnObservations(e ownObservations, v *fleetpolicy.View) {
	for _, o := range e.all {
		if _, ruled := v.Policy.HealthRule(o.Destination); ruled && len(h.unreported) < maxObservations {
			h.unreported[o.Destination] = o
		}
	}
}

// addReport takes in another sender's report, unless the report is for another membership or for another process of this sender.
func (h *healthNode) addReport(r *pb.HealthReport, v *fleetpolicy.View, now time.Duration) {
	if r.Epoch != v.Membership.GetEpoch() || r.ToIncarnation != h.quotas.self.Incarnation {
		return
	}
	for _, o := range r.Observations {
		h.aggregator.Observe(r.Name, health.Observation{Destination: o.Destination, State: knowledge.State(o.State),
			Age: time.Duration(o.AgeUs) * time.Microsecond, Duration: time.Duration(o.DurationUs) * time.Microsecond}, now)
	}
}

// buildReports makes a report for each owner of destinations that this sender has observed. Observations of destinations that this sender owns
// itself go to its aggregator at once.
func (h *healthNode) buildReports(ownership *coordinator.Ownership, epoch uint64, now time.Duration) map[string]sendReport {
	self := h.quotas.self
	reports := map[string]sendReport{}
	for d, o := range h.unreported {
		owner := ownership.Owner(destinationKey(d))
		if owner == nil {
			continue
		}
		if h.isSelf(owner) {
			h.aggregator.Observe(self.Name, o, now)
			delete(h.unreported, d)
			continue
		}
		r, ok := reports[owner.Name]
		if !ok {
			r = sendReport{owner, &pb.HealthReport{Name: self.Name, Incarnation: self.Incarnation, ToIncarnation: owner.Incarnation, Epoch: epoch}}
			reports[owner.Name] = r
		}
		if len(r.report.Observations) < maxObservationsPerReport {
			r.report.Observations = append(r.report.Observations, &pb.HealthObservation{Destination: d, State: uint32(o.State), AgeUs: o.Age.Microseconds(), DurationUs: o.Duration.Microseconds()})
			delete(h.unreported, d)
		}
	}
	return reports
}

// destinationKey is the key that determines the owner of a destination. The destination's limit has the same key, so both have the same owner.
func destinationKey(d uint32) string { return fmt.Sprintf("destination %d", d) }

// execute carries out an action. After a failure, a later step proposes again. A failed report is not repeated: the next step that gets
// observations from this sender reports them.
func (h *healthNode) execute(_ context.Context, action healthAction) error {
	switch a := action.(type) {
	case sendReport:
		h.quotas.node.goBackground(func(ctx context.Context) { h.send(ctx, a) })
	case proposeHealth:
		h.quotas.node.goBackground(func(ctx context.Context) { h.propose(ctx, a.command) })
	}
	return nil
}

func (h *healthNode) send(ctx context.Context, a sendReport) {
	n := h.quotas.node
	a.report.Cluster = n.cfg.Cluster
	ctx, cancel := context.WithTimeout(ctx, n.callTimeout())
	defer cancel()
	client, err := n.conns.client(h.quotas.routes.Resolve(a.to.Address))
	if err == nil {
		_, err = client.Testify(ctx, a.report)
	}
	if err != nil {
		n.log.Debug("fleet: a health report was not delivered", "owner", a.to.Name, "err", err)
	}
}

func (h *healthNode) propose(ctx context.Context, c *pb.HealthCommand) {
	n := h.quotas.node
	ctx, cancel := context.WithTimeout(ctx, n.cfg.LeaseTerms.Duration)
	defer cancel()
	r, err := n.Submit(ctx, replicatedlog.KindHealth, c)
	if err == nil && r.Rejection != "" {
		err = fmt.Errorf("%w: %s", ErrRejected, r.Rejection)
	}
	if err != nil {
		n.log.Debug("fleet: a health command was not applied", "err", err)
	}
}

// Testify receives a health report of another sender.
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

// ReportHealth takes in this sender's own observations of destinations. It does not block.
func (n *Node) ReportHealth(all []health.Observation) {
	n.quotas.health.worker.Inbox.Offer(ownObservations{all})
}
