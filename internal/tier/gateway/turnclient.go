package gateway

import (
	"context"

	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TurnClient is a gateway's client of the turn stores without the request path, for the simulation of the tier. Its methods are safe
// for concurrent use.
type TurnClient struct{ stores *storeClient }

// NewTurnClient returns a client without a partition map.
func NewTurnClient(settings settings.Settings, dial func(address string) tierv1.TurnStore) *TurnClient {
	return &TurnClient{newStoreClient(settings, dial)}
}

// ApplyPartitionMap applies a newer partition map.
func (client *TurnClient) ApplyPartitionMap(m *tierv1.PartitionMap) { client.stores.apply(m) }

// Ready reports whether a map with partitions has been applied.
func (client *TurnClient) Ready() bool { return client.stores.ready() }

// Begin begins a turn as for a request of a client. The verdict is OK with the chain that the turn continues, a definite SPENT or
// UNKNOWN, or BUSY if no reply was definite.
func (client *TurnClient) Begin(ctx context.Context, req *tierv1.BeginRequest) (verdict tierv1.Verdict, chain []*tierv1.Turn) {
	begun := client.stores.begin(ctx, req)
	return begun.verdict, begun.chain
}

// Settle ends a reservation, and reports whether its end is known to be durable.
func (client *TurnClient) Settle(ctx context.Context, req *tierv1.SettleRequest) bool {
	return client.stores.settle(ctx, req)
}
