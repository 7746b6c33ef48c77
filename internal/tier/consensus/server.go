package consensus

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// requestLimit bounds the body of a call, in bytes. A larger body does not fit one record of the file, so it is not read to its end.
const requestLimit = wal.MaxRecord

// Handler serves the Election service.
func (node *Node) Handler() http.Handler {
	return http.MaxBytesHandler(tierv1.NewElectionServer(server{node}), requestLimit)
}

// server is the Election service: it queues the calls of other nodes for the loop.
type server struct{ node *Node }

// serve queues a request for the loop and waits for the reply. The loop sends the reply only after the records that it depends on are
// synced.
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
	case reply, ok := <-replied:
		if typed, is := reply.(T); ok && is {
			return typed, nil
		}
		return none, node.unavailable()
	case <-ctx.Done():
		node.mu.Lock()
		delete(node.replies, token)
		node.mu.Unlock()
		return none, twirp.NewError(twirp.Canceled, "the caller is gone")
	}
}

// Promise implements tierv1.Election; see replica.handlePrepare.
func (server server) Promise(ctx context.Context, request *tierv1.PrepareRequest) (*tierv1.PrepareReply, error) {
	return serve[*tierv1.PrepareReply](ctx, server.node, request)
}

// Accept implements tierv1.Election; see replica.handleAccept.
func (server server) Accept(ctx context.Context, request *tierv1.AcceptRequest) (*tierv1.AcceptReply, error) {
	return serve[*tierv1.AcceptReply](ctx, server.node, request)
}

// Heartbeat implements tierv1.Election; see replica.handleHeartbeat.
func (server server) Heartbeat(ctx context.Context, request *tierv1.HeartbeatRequest) (*tierv1.HeartbeatReply, error) {
	return serve[*tierv1.HeartbeatReply](ctx, server.node, request)
}

// Write implements tierv1.Election; see replica.handleWrite.
func (server server) Write(ctx context.Context, request *tierv1.WriteRequest) (*tierv1.WriteReply, error) {
	return serve[*tierv1.WriteReply](ctx, server.node, request)
}

// Join implements tierv1.Election; see replica.handleJoin.
func (server server) Join(ctx context.Context, request *tierv1.JoinRequest) (*tierv1.JoinReply, error) {
	return serve[*tierv1.JoinReply](ctx, server.node, request)
}

// unavailable returns the error for callers of the service after the node has stopped or while its disk fails.
func (node *Node) unavailable() error {
	node.mu.Lock()
	defer node.mu.Unlock()
	if err := node.published.health.Disk; err != nil {
		return twirp.NewError(twirp.Unavailable, "disk failed: "+err.Error())
	}
	return twirp.NewError(twirp.Unavailable, "ending")
}
