package fleet

import (
	"context"
	"fmt"
	"time"

	"saffronyard.example/saffronyard/internal/quota"
	"saffronyard.example/saffronyard/internal/worker"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// quotaClientActor runs a quota client's state machine.
type quotaClientActor = worker.Worker[quota.ClientEvent, quota.ClientAction]

// quotaClient is a quota client that follows the published membership.
type quotaClient struct {
	*quota.Client
	node       *quotaNode
	membership *pb.MembershipState
}

// Step handles events under the published membership.
func (c *quotaClient) Step(now time.Duration, events []quota.ClientEvent) ([]quota.ClientAction, time.Duration) {
	if v := c.node.node.gate.current(); v != nil && v.Membership != nil && v.Membership != c.membership {
		c.membership = v.Membership
		c.SetMembership(v.Membership)
	}
	return c.Client.Step(now, events)
}

// executeClient carries out an action of the quota client.
func (q *quotaNode) executeClient(_ context.Context, action quota.ClientAction) error {
	switch a := action.(type) {
	case quota.SendRequest:
		q.node.goBackground(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, a.Timeout)
			defer cancel()
			reply, err := q.request(ctx, a)
			if err != nil {
				q.node.log.Debug("fleet: a quota request failed", "owner", a.To.Name, "err", err)
			}
			q.client.Inbox.Offer(quota.ReplyReceived{Owner: a.To.Name, Sequence: a.Request.Sequence, Reply: reply})
		})
	case quota.SharesChanged:
		q.mu.Lock()
		for _, key := range a.Keys {
			q.changed[key] = struct{}{}
		}
		f := q.onChange
		q.mu.Unlock()
		if f != nil {
			f()
		}
	}
	return nil
}

// request requests units from their owner, which may be this sender itself.
func (q *quotaNode) request(ctx context.Context, a quota.SendRequest) (*pb.QuotaReply, error) {
	a.Request.Cluster = q.node.cfg.Cluster
	if a.To.Name == q.self.Name {
		return q.grant(ctx, a.Request)
	}
	client, err := q.node.conns.client(q.routes.Resolve(a.To.Address))
	if err != nil {
		return nil, err
	}
	return client.Lend(ctx, a.Request)
}

// clientEventKey is the key by which the inbox merges events: the type, with the limit or the owner. A reply replaces an older reply of the
// same owner.
func clientEventKey(event quota.ClientEvent) string {
	switch e := event.(type) {
	case quota.UnitsWanted:
		return "k" + e.Key
	case quota.ReplyReceived:
		return "a" + e.Owner
	case quota.LimitsChanged, quota.Wake:
	}
	return fmt.Sprintf("%T", event)
}
