package fleet

import (
	"context"
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/quota"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// quotaClient is the asker as a duty.
type quotaClient struct {
	*quota.Client
	node       *quotaNode
	membership *pb.MembershipState
}

// Step takes events in, by the roster that is published.
func (a *quotaClient) Step(now time.Duration, events []any) ([]any, time.Duration) {
	if r := a.node.node.gate.generation.Load(); r != nil {
		if v := r.view.Load(); v.Membership != nil && v.Membership != a.membership {
			a.membership = v.Membership
			a.Client.SetMembership(v.Membership)
		}
	}
	return a.Client.Step(now, events)
}

func (l *quotaNode) executeClient(_ context.Context, a any) error {
	switch a := a.(type) {
	case quota.SendRequest:
		l.node.goBackground(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.Timeout)
			defer cancel()
			reply, err := l.request(ctx, a)
			if err != nil {
				l.node.log.Debug("fleet: nothing is lent", "by", a.To.Name, "err", err)
			}
			l.client.Inbox.Offer(quota.ReplyReceived{Owner: a.To.Name, Sequence: a.Request.Sequence, Reply: reply})
		})
	case quota.SharesChanged:
		l.mu.Lock()
		for _, key := range a.Keys {
			l.changed[key] = struct{}{}
		}
		told := l.onChange
		l.mu.Unlock()
		if told != nil {
			told()
		}
	}
	return nil
}

// request asks an authority, which may be this sender itself.
func (l *quotaNode) request(ctx context.Context, q quota.SendRequest) (*pb.QuotaReply, error) {
	q.Request.Cluster = l.node.cfg.Cluster
	if q.To.Name == l.me.Name {
		return l.grant(ctx, q.Request)
	}
	client, err := l.node.conns.client(l.reach.Resolve(q.To.Address))
	if err != nil {
		return nil, err
	}
	return client.Lend(ctx, q.Request)
}

// clientEventKey has events of one sort about one thing be one.
func clientEventKey(e any) string {
	switch e := e.(type) {
	case quota.UnitsWanted:
		return "k" + e.Key
	case quota.ReplyReceived:
		return "a" + e.Owner // of two answers the older one counts no more
	}
	return fmt.Sprintf("%T", e)
}
