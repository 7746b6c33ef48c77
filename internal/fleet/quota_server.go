package fleet

import (
	"context"
	"encoding/binary"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// quotaServerActor runs a quota server's state machine.
type quotaServerActor = worker.Worker[quotaServerEvent, quotaServerAction]

// quotaServerEvent is what a quotaServer reacts to.
//
//sumtype:decl
type quotaServerEvent interface{ quotaServerEvent() }

type (
	// grantRequested is a client's request. answer must have space for the result.
	grantRequested struct {
		request *pb.QuotaRequest
		answer  chan grantResult
	}
	// quotaDrawn is the number of units that the log granted for a draw.
	quotaDrawn struct {
		quota.Draw
		units int64
	}
	// reportRequested requests the grants of all limits. done must have space for the result.
	reportRequested struct{ done chan []quota.Report }
)

func (grantRequested) quotaServerEvent()  {}
func (quotaDrawn) quotaServerEvent()      {}
func (reportRequested) quotaServerEvent() {}

// quotaServerAction is what executeServer has to carry out for a quotaServer.
//
//sumtype:decl
type quotaServerAction interface{ quotaServerAction() }

type (
	// sendGrant answers a request.
	sendGrant struct {
		to chan grantResult
		grantResult
	}
	// drawQuota draws units of a daily quota from the log; quotaDrawn reports the result.
	drawQuota struct{ quota.Draw }
)

func (sendGrant) quotaServerAction() {}
func (drawQuota) quotaServerAction() {}

// grantResult is a reply or an error with a status code.
type grantResult struct {
	reply *pb.QuotaReply
	err   error
}

// quotaServer is a quota server that follows the published view.
type quotaServer struct {
	*quota.Server
	node          *quotaNode
	membership    *pb.MembershipState
	policyVersion uint64
	healthState   *pb.HealthState
	published     bool // policyVersion and healthState are set
	prunedAt      time.Duration
}

// Step answers requests under the published view, while this sender's own lease lasts. The order matters. The events were taken from the inbox
// before now was read, so that no request came after now. The lease is read before the view, so that the view is no older than the lease
// requires. The clock is read again for the time at which a membership was first seen, so that this time is not before the membership became
// active.
func (s *quotaServer) Step(now time.Duration, events []quotaServerEvent) (actions []quotaServerAction, alarm time.Duration) {
	mayAct := s.followView(now)
	if now-s.prunedAt > pruneInterval {
		s.prunedAt = now
		s.Prune(now)
	}
	s.SetDay(s.node.node.cfg.Today())
	for _, event := range events {
		switch e := event.(type) {
		case quotaDrawn:
			s.AddDrawn(e.Draw, e.units)
		case grantRequested:
			actions = append(actions, sendGrant{e.answer, s.answer(e.request, mayAct, now)})
		case reportRequested:
			e.done <- s.Reports(now)
		case viewPublished:
		}
	}
	for _, draw := range s.TakeDraws() {
		actions = append(actions, drawQuota{draw})
	}
	return actions, worker.Never
}

// followView sets membership and limits as published, and reports whether this sender may grant under them.
func (s *quotaServer) followView(now time.Duration) (mayAct bool) {
	gate := s.node.node.gate
	leaseUntil := time.Duration(gate.leaseUntil.Load())
	v := gate.current()
	if v == nil || v.Membership == nil {
		return false
	}
	if v.Membership != s.membership {
		s.membership = v.Membership
		s.SetMembership(v.Membership, s.node.node.cfg.Now())
	}
	if v.Version != s.policyVersion || v.Health != s.healthState || !s.published {
		s.policyVersion, s.healthState, s.published = v.Version, v.Health, true
		s.SetLimits(v.Limits(), now)
	}
	return v.Unfit == nil && now < leaseUntil
}

func (s *quotaServer) answer(r *pb.QuotaRequest, mayAct bool, now time.Duration) grantResult {
	if !mayAct {
		return grantResult{err: status.Error(codes.Unavailable, "this sender has no lease: it lends nothing")}
	}
	reply, err := s.Grant(r, now)
	if err != nil {
		if _, hasCode := status.FromError(err); !hasCode {
			err = status.Error(codes.FailedPrecondition, err.Error())
		}
	}
	return grantResult{reply, err}
}

// executeServer carries out an action of the quota server.
func (q *quotaNode) executeServer(_ context.Context, action quotaServerAction) error {
	switch a := action.(type) {
	case sendGrant:
		a.to <- a.grantResult
	case drawQuota:
		q.node.goBackground(func(ctx context.Context) { q.draw(ctx, a.Draw) })
	}
	return nil
}

// draw draws units of a daily quota from the log. If the log grants units and its reply is lost, nobody can use these units on that day.
func (q *quotaNode) draw(ctx context.Context, d quota.Draw) {
	ctx, cancel := context.WithTimeout(ctx, q.node.cfg.LeaseTerms.Duration)
	defer cancel()
	command := &pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: d.Epoch, Key: d.Key, Period: d.Period, Units: d.Units, Limit: d.Limit}}}
	r, err := q.node.Submit(ctx, replicatedlog.KindMembership, command)
	units := int64(0)
	if err == nil && r.Rejection == "" {
		units, _ = binary.Varint(r.Result)
	} else {
		q.node.log.Debug("fleet: no units of a daily quota were drawn", "limit", d.Key, "err", err, "refused", r.GetRejection())
	}
	q.server.Inbox.Offer(quotaDrawn{d, units})
}

// grant passes a client's request to the quota server and waits for the result.
func (q *quotaNode) grant(ctx context.Context, r *pb.QuotaRequest) (*pb.QuotaReply, error) {
	e := grantRequested{r, make(chan grantResult, 1)}
	if !q.server.Inbox.Offer(e) {
		return nil, errStopping
	}
	select {
	case g := <-e.answer:
		return g.reply, g.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-q.node.ctx.Done():
		return nil, errStopping
	}
}

// Lend answers the quota requests of other senders.
func (s *service) Lend(ctx context.Context, r *pb.QuotaRequest) (*pb.QuotaReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	return s.node.quotas.grant(ctx, r)
}
