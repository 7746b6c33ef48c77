package consensus

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// server hands what other nodes ask to the loop.
type server struct{ n *Node }

// serve waits for the machine's reply, which leaves the loop when what it rests on is synced.
func serve[T proto.Message](ctx context.Context, n *Node, body proto.Message) (T, error) {
	var none T
	c := make(chan proto.Message, 1)
	n.mu.Lock()
	n.token++
	token := n.token
	n.replies[token] = c
	if !n.postLocked(request{token, body}) {
		delete(n.replies, token)
		n.mu.Unlock()
		return none, n.unavailable()
	}
	n.mu.Unlock()
	select {
	case r, ok := <-c:
		if t, is := r.(T); ok && is {
			return t, nil
		}
		return none, n.unavailable()
	case <-ctx.Done():
		n.mu.Lock()
		delete(n.replies, token)
		n.mu.Unlock()
		return none, twirp.NewError(twirp.Canceled, "the caller is gone")
	}
}

func (server server) Promise(ctx context.Context, q *tierv1.PromiseRequest) (*tierv1.PromiseReply, error) {
	return serve[*tierv1.PromiseReply](ctx, server.n, q)
}

func (server server) Accept(ctx context.Context, q *tierv1.AcceptRequest) (*tierv1.AcceptReply, error) {
	return serve[*tierv1.AcceptReply](ctx, server.n, q)
}

func (server server) Heartbeat(ctx context.Context, q *tierv1.HeartbeatRequest) (*tierv1.HeartbeatReply, error) {
	return serve[*tierv1.HeartbeatReply](ctx, server.n, q)
}

func (server server) Write(ctx context.Context, q *tierv1.WriteRequest) (*tierv1.WriteReply, error) {
	return serve[*tierv1.WriteReply](ctx, server.n, q)
}

func (server server) Join(ctx context.Context, q *tierv1.JoinRequest) (*tierv1.JoinReply, error) {
	return serve[*tierv1.JoinReply](ctx, server.n, q)
}

// send makes a call of the machine. Its end, whatever it is, is an event.
func (node *Node) send(ctx context.Context, c call) {
	client := node.clients[c.address]
	if client == nil {
		client = node.config.Dial(c.address)
		node.clients[c.address] = client
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, c.timeout)
		defer cancel()
		body, err := invoke(ctx, client, c.body)
		if err != nil {
			body = nil
		}
		node.post(answer{c.id, body})
	}()
}

func invoke(ctx context.Context, client tierv1.Election, body proto.Message) (proto.Message, error) {
	switch q := body.(type) {
	case *tierv1.PromiseRequest:
		return client.Promise(ctx, q)
	case *tierv1.AcceptRequest:
		return client.Accept(ctx, q)
	case *tierv1.HeartbeatRequest:
		return client.Heartbeat(ctx, q)
	case *tierv1.WriteRequest:
		return client.Write(ctx, q)
	case *tierv1.JoinRequest:
		return client.Join(ctx, q)
	}
	return nil, twirp.NewError(twirp.Unimplemented, "no such call")
}
