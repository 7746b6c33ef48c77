package fleet

import (
	"context"
	"encoding/binary"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/replicatedlog"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// quotaServer is the lender as a duty.
type quotaServer struct {
	*quota.Server
	node          *quotaNode
	membership    *pb.MembershipState
	policyVersion uint64
	known         bool
	prunedAt      time.Duration

	healthState *pb.HealthState
}

// sendGrant goes back to who asked.
type sendGrant struct {
	to chan grantResult
	grantResult
}

// Step answers what has come, while this sender's own lease lasts and by what is published. The order matters: the events were taken before
// now, so that nobody asked after it; the lease is looked at before what it is on, which is then no older; and
// the clock is read again for when a roster was first seen, which is then no sooner than it began.
func (d *quotaServer) Step(now time.Duration, events []any) (actions []any, alarm time.Duration) {
	g := d.node.node.gate
	until := time.Duration(g.leaseUntil.Load())
	var v *fleetpolicy.View
	if r := g.generation.Load(); r != nil {
		v = r.view.Load()
	}
	acts := v != nil && v.Unfit == nil && v.Membership != nil && now < until
	if v != nil && v.Membership != nil {
		if v.Membership != d.membership {
			d.membership = v.Membership
			d.SetMembership(v.Membership, d.node.node.cfg.Now())
		}
		if v.Version != d.policyVersion || v.Health != d.healthState || !d.known {
			d.policyVersion, d.healthState, d.known = v.Version, v.Health, true
			d.SetLimits(v.Limits(), now)
		}
	}
	if now-d.prunedAt > pruneInterval {
		d.prunedAt = now
		d.Prune(now)
	}
	d.SetDay(d.node.node.cfg.Today())
	for _, e := range events {
		switch e := e.(type) {
		case quotaDrawn:
			d.AddDrawn(e.Draw, e.units)
		case grantRequested:
			var a grantResult
			if acts {
				a.reply, a.err = d.Grant(e.request, now)
			} else {
				a.err = status.Error(codes.Unavailable, "this sender has no lease: it lends nothing")
			}
			if a.err != nil {
				if _, coded := status.FromError(a.err); !coded {
					a.err = status.Error(codes.FailedPrecondition, a.err.Error())
				}
			}
			actions = append(actions, sendGrant{e.answer, a})
		case reportRequested:
			e.done <- d.Reports(now)
		}
	}
	for _, draw := range d.TakeDraws() {
		actions = append(actions, draw)
	}
	return actions, worker.Never
}

func (l *quotaNode) executeServer(_ context.Context, a any) error {
	switch a := a.(type) {
	case sendGrant:
		a.to <- a.grantResult
	case quota.Draw:
		l.node.goBackground(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, l.node.cfg.LeaseTerms.Duration)
			defer cancel()
			r, err := l.node.Submit(ctx, replicatedlog.KindMembership, &pb.MembershipCommand{Command: &pb.MembershipCommand_Draw{Draw: &pb.DrawQuota{Epoch: a.Epoch, Key: a.Key, Period: a.Period, Units: a.Units, Limit: a.Limit}}})
			units := int64(0)
			if err == nil && r.Rejection == "" {
				units, _ = binary.Varint(r.Result)
			} else { // what the log gave without our hearing of it is lost for the day
				l.node.log.Debug("fleet: nothing is drawn of a day's quota", "limit", a.Key, "err", err, "refused", r.GetRejection())
			}
			l.server.Inbox.Offer(quotaDrawn{a, units})
		})
	}
	return nil
}

// grant answers a holder.
func (l *quotaNode) grant(ctx context.Context, r *pb.QuotaRequest) (*pb.QuotaReply, error) {
	ask := grantRequested{r, make(chan grantResult, 1)}
	if !l.server.Inbox.Offer(ask) {
		return nil, status.Error(codes.Unavailable, "this sender is leaving")
	}
	select {
	case a := <-ask.answer:
		return a.reply, a.err
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	case <-l.node.ctx.Done():
		return nil, status.Error(codes.Unavailable, "this sender is leaving")
	}
}

// Lend is asked by holders.
func (s *service) Lend(ctx context.Context, r *pb.QuotaRequest) (*pb.QuotaReply, error) {
	if err := s.checkCluster(r.Cluster); err != nil {
		return nil, err
	}
	return s.node.quotas.grant(ctx, r)
}
