package consensus

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// server hands what other nodes ask to the loop.
type server struct{ node *Node }

// serve waits for the machine's reply, which leaves the loop when what it rests on is synced.
func serve[T proto.Message](ctx context.Context, node *Node, body proto.Message) (T, error) {
	var none T
	replied := make(chan proto.Message, 1)
	node.mu.Lock()
	node.token++
	token := node.token
	node.replies[token] = replied
	if !node.postLocked(incomingCall{token, body}) {
		delete(node.replies, token)
		node.mu.Unlock()
		return none, node.unavailable()
	}
	node.mu.Unlock()
	select {
	case r, ok := <-replied:
		if t, is := r.(T); ok && is {
			return t, nil
		}
		return none, node.unavailable()
	case <-ctx.Done():
		node.mu.Lock()
		delete(node.replies, token)
		node.mu.Unlock()
		return none, twirp.NewError(twirp.Canceled, "the caller is gone")
	}
}

func (server server) Promise(ctx context.Context, request *tierv1.PrepareRequest) (*tierv1.PrepareReply, error) {
	return serve[*tierv1.PrepareReply](ctx, server.node, request)
}

func (server server) Accept(ctx context.Context, request *tierv1.AcceptRequest) (*tierv1.AcceptReply, error) {
	return serve[*tierv1.AcceptReply](ctx, server.node, request)
}

func (server server) Heartbeat(ctx context.Context, request *tierv1.HeartbeatRequest) (*tierv1.HeartbeatReply, error) {
	return serve[*tierv1.HeartbeatReply](ctx, server.node, request)
}

func (server server) Write(ctx context.Context, request *tierv1.WriteRequest) (*tierv1.WriteReply, error) {
	return serve[*tierv1.WriteReply](ctx, server.node, request)
}

func (server server) Join(ctx context.Context, request *tierv1.JoinRequest) (*tierv1.JoinReply, error) {
	return serve[*tierv1.JoinReply](ctx, server.node, request)
}

// send makes a call of the machine. Its end, whatever it is, is an event.
func (node *Node) send(ctx context.Context, call outgoingCall) {
	client := node.clients[call.address]
	if client == nil {
		client = node.config.Dial(call.address)
		node.clients[call.address] = client
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, call.timeout)
		defer cancel()
		body, err := invoke(ctx, client, call.body)
		if err != nil {
			body = nil
		}
		node.post(callResult{call.id, body})
	}()
}

// invoke makes the call of a node that a request is for.
func invoke(ctx context.Context, client tierv1.Election, body proto.Message) (proto.Message, error) {
	switch q := body.(type) {
	case *tierv1.PrepareRequest:
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
