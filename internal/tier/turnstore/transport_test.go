package turnstore

import (
	"context"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// transport is a client that reaches a turn store through the network in memory.
type transport struct {
	cluster  *cluster
	from, to string
}

var errNet = errorx.IllegalState.New("no reply")

// deliver serves one message, and applies the fault if it hits this message.
func deliver[Req, Rep proto.Message](ctx context.Context, w *transport, req Req, serve func(*TurnStore, context.Context, Req) (Rep, error)) (rep Rep, err error) {
	c := w.cluster
	req = proto.Clone(req).(Req)
	c.mu.Lock()
	c.calls++
	f := noFault
	if c.calls == c.faultAt {
		f = c.fault
		defer func() { close(c.faultHit) }()
	}
	to := c.nodes[w.to]
	isUnreachable := func() bool {
		return to.down || to.partitioned || w.from != "" && (c.nodes[w.from].down || c.nodes[w.from].partitioned)
	}
	unreachable := isUnreachable()
	unresponsive := to.unresponsive
	v := to.turnstore
	c.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return rep, errNet
	}
	if unreachable || f == lostRequest {
		return rep, errNet
	}
	switch f {
	case senderWiped:
		if w.from != "" {
			c.crash(w.from, true)
		}
		return rep, errNet
	case receiverDiesFirst, receiverWiped:
		c.crash(w.to, f == receiverWiped)
		return rep, errNet
	case duplicated:
		_, _ = serve(v, ctx, proto.Clone(req).(Req))
	case delayed:
		again := proto.Clone(req).(Req)
		c.mu.Lock()
		c.delayed = append(c.delayed, func() { _, _ = serve(c.nodes[w.to].turnstore, context.Background(), again) })
		c.mu.Unlock()
	default: // no fault, or one that is applied after serving
	}
	rep, err = serve(v, ctx, req)
	if err == nil {
		rep = proto.Clone(rep).(Rep)
	}
	switch f {
	case lostReply:
		return rep, errNet
	case senderDies:
		if w.from != "" {
			c.crash(w.from, false)
		}
		return rep, errNet
	case receiverDies:
		c.crash(w.to, false)
		return rep, errNet
	default: // no fault, or one that was applied before serving
	}
	c.mu.Lock()
	unreachable = isUnreachable()
	c.mu.Unlock()
	if unreachable {
		return rep, errNet
	}
	return rep, err
}

func (w *transport) Begin(ctx context.Context, r *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	return deliver(ctx, w, r, (*TurnStore).Begin)
}

func (w *transport) Settle(ctx context.Context, r *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	return deliver(ctx, w, r, (*TurnStore).Settle)
}

func (w *transport) Find(ctx context.Context, r *tierv1.FindRequest) (*tierv1.FindReply, error) {
	return deliver(ctx, w, r, (*TurnStore).Find)
}

func (w *transport) Replicate(ctx context.Context, r *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	if w.cluster.injection.replicate != nil {
		return deliver(ctx, w, r, w.cluster.injection.replicate(w.cluster))
	}
	return deliver(ctx, w, r, (*TurnStore).Replicate)
}

func (w *transport) Held(ctx context.Context, r *tierv1.FactKeysRequest) (*tierv1.FactKeysReply, error) {
	if w.cluster.injection.held != nil {
		return deliver(ctx, w, r, w.cluster.injection.held(w.cluster))
	}
	return deliver(ctx, w, r, (*TurnStore).Held)
}

func (w *transport) Fetch(ctx context.Context, r *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
	if w.cluster.injection.fetch != nil {
		return deliver(ctx, w, r, w.cluster.injection.fetch(w.cluster))
	}
	return deliver(ctx, w, r, (*TurnStore).Fetch)
}
