package gateway

import (
	"context"

	"github.com/phuslu/log"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// TurnClient is the gateway's side of the turn stores without its traffic: what the simulator of the tier calls them by.
// Its methods may be called from any goroutine.
type TurnClient struct{ stores *storeClient }

// NewTurnClient makes one that knows no map yet.
func NewTurnClient(s settings.Settings, dial func(address string) tierv1.TurnStore, l *log.Logger) *TurnClient {
	return &TurnClient{newStoreClient(s, dial, l)}
}

// ApplyPartitionMap takes a newer map in.
func (client *TurnClient) ApplyPartitionMap(m *tierv1.PartitionMap) { client.stores.apply(m) }

// Ready tells whether a map has come.
func (client *TurnClient) Ready() bool { return client.stores.ready() }

// Begin asks for a turn, as a request that came from a client does. The verdict is OK, SPENT or UNKNOWN for sure, or BUSY.
func (client *TurnClient) Begin(ctx context.Context, req *tierv1.BeginRequest) (verdict tierv1.Verdict, chain []*tierv1.Turn) {
	begun := client.stores.begin(ctx, req)
	return begun.verdict, begun.chain
}

// Settle ends a reservation, and reports whether that is durable.
func (client *TurnClient) Settle(ctx context.Context, req *tierv1.SettleRequest) bool {
	return client.stores.settle(ctx, req)
}
