package fleet

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Each call carries a proof that the calling sender has the fleet's key: an HMAC-SHA-256 over cluster and method. The proof keeps processes
// without the key, and senders of another fleet, from being accepted as members of this one. Calls are not encrypted, and whoever can read
// the network traffic can replay a proof: so addresses must be loopback addresses while there is no TLS.

// proofHeader is the metadata key of the proof, in hexadecimal.
const proofHeader = "saffronyard-proof"

// keyring holds the fleet's keys: proofs are made with the first and accepted with any of them, so that keys can be rotated in service. It is
// safe for concurrent use.
type keyring struct {
	cluster string

	mu   sync.Mutex
	keys [][]byte
}

func (k *keyring) set(keys [][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keys = keys
}

func (k *keyring) snapshot() [][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.keys
}

func (k *keyring) proof(key []byte, method string) string {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(k.cluster + "\x00" + method))
	return hex.EncodeToString(h.Sum(nil))
}

// attach adds the proof to an outgoing call's metadata.
func (k *keyring) attach(ctx context.Context, method string) context.Context {
	if keys := k.snapshot(); len(keys) > 0 {
		return metadata.AppendToOutgoingContext(ctx, proofHeader, k.proof(keys[0], method))
	}
	return ctx
}

// verify checks the proof of an incoming call; without keys each call is accepted. The error has the code Unauthenticated.
func (k *keyring) verify(ctx context.Context, method string) error {
	keys := k.snapshot()
	if len(keys) == 0 {
		return nil
	}
	for _, received := range metadata.ValueFromIncomingContext(ctx, proofHeader) {
		for _, key := range keys {
			if hmac.Equal([]byte(received), []byte(k.proof(key, method))) {
				return nil
			}
		}
	}
	return status.Error(codes.Unauthenticated, "the caller does not show the fleet's key")
}

func (k *keyring) serverOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.UnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if err := k.verify(ctx, info.FullMethod); err != nil {
			return nil, err
		}
		return next(ctx, req)
	}), grpc.StreamInterceptor(func(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		if err := k.verify(s.Context(), info.FullMethod); err != nil {
			return err
		}
		return next(srv, s)
	})}
}

func (k *keyring) dialOptions() []grpc.DialOption {
	return []grpc.DialOption{grpc.WithUnaryInterceptor(func(ctx context.Context, method string, req, reply any, c *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		return next(k.attach(ctx, method), method, req, reply, c, opts...)
	}), grpc.WithStreamInterceptor(func(ctx context.Context, d *grpc.StreamDesc, c *grpc.ClientConn, method string, next grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
		return next(k.attach(ctx, method), d, c, method, opts...)
	})}
}

// SetKeys replaces the fleet's keys: proofs are made with the first and accepted with any of them.
func (n *Node) SetKeys(keys [][]byte) { n.keys.set(keys) }
