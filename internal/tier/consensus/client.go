package consensus

import (
	"context"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// send makes a call of the replica in a goroutine and posts its result or failure as an event. The context of the call ends with the
// time-out of the call or with ctx. Run does not wait for the goroutine, as an event posted after Run has ended is dropped.
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

// invoke calls the method of the Election service that takes a request of this type.
func invoke(ctx context.Context, client tierv1.Election, body proto.Message) (proto.Message, error) {
	switch request := body.(type) {
	case *tierv1.PrepareRequest:
		return client.Promise(ctx, request)
	case *tierv1.AcceptRequest:
		return client.Accept(ctx, request)
	case *tierv1.HeartbeatRequest:
		return client.Heartbeat(ctx, request)
	case *tierv1.WriteRequest:
		return client.Write(ctx, request)
	case *tierv1.JoinRequest:
		return client.Join(ctx, request)
	}
	return nil, twirp.NewError(twirp.Unimplemented, "unknown request type")
}
