package tiertest

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/turnstore"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// ErrMessageLost is the error of a call whose request or reply was lost.
var ErrMessageLost = errors.New("no answer")

// RPC is a call on its way to a turn store.
type RPC struct {
	Ctx     context.Context
	Method  string
	Request proto.Message
	Serve   func() error // passes it to the turn store; may be called several times
}

// TurnStore is a turn store behind a scripted network.
type TurnStore struct {
	*turnstore.TurnStore
	Address string

	mu          sync.Mutex
	interceptor func(RPC) error
	unreachable bool
}

var _ tierv1.TurnStore = (*TurnStore)(nil)

// SetInterceptor sets the function that intercepts its calls; nil: none.
func (store *TurnStore) SetInterceptor(interceptor func(RPC) error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.interceptor = interceptor
}

// SetUnreachable sets whether calls get no reply at all, like those to a machine that has lost power.
func (store *TurnStore) SetUnreachable(unreachable bool) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.unreachable = unreachable
}

// deliver passes a call through the network of a turn store. Messages are copied, as a network does.
func deliver[Q, P proto.Message](ctx context.Context, store *TurnStore, method string, request Q, serve func(context.Context, Q) (P, error)) (reply P, err error) {
	store.mu.Lock()
	interceptor, unreachable := store.interceptor, store.unreachable
	store.mu.Unlock()
	var none P
	if unreachable {
		<-ctx.Done()
		return none, ctx.Err()
	}
	request = proto.Clone(request).(Q)
	once := func() error {
		got, err := serve(ctx, proto.Clone(request).(Q))
		if err == nil {
			reply = proto.Clone(got).(P)
		}
		return err
	}
	if interceptor == nil {
		err = once()
	} else {
		err = interceptor(RPC{Ctx: ctx, Method: method, Request: request, Serve: once})
	}
	store.mu.Lock()
	unreachable = store.unreachable
	store.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return none, ctx.Err()
	}
	if err != nil {
		return none, err
	}
	return reply, nil
}

// Begin implements tierv1.TurnStore.
func (store *TurnStore) Begin(ctx context.Context, request *tierv1.BeginRequest) (*tierv1.BeginReply, error) {
	return deliver(ctx, store, "Begin", request, store.TurnStore.Begin)
}

// Settle implements tierv1.TurnStore.
func (store *TurnStore) Settle(ctx context.Context, request *tierv1.SettleRequest) (*tierv1.SettleReply, error) {
	return deliver(ctx, store, "Settle", request, store.TurnStore.Settle)
}

// Find implements tierv1.TurnStore.
func (store *TurnStore) Find(ctx context.Context, request *tierv1.FindRequest) (*tierv1.FindReply, error) {
	return deliver(ctx, store, "Find", request, store.TurnStore.Find)
}

// Replicate implements tierv1.TurnStore.
func (store *TurnStore) Replicate(ctx context.Context, request *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	return deliver(ctx, store, "Replicate", request, store.TurnStore.Replicate)
}

// Held implements tierv1.TurnStore.
func (store *TurnStore) Held(ctx context.Context, request *tierv1.FactKeysRequest) (*tierv1.FactKeysReply, error) {
	return deliver(ctx, store, "Held", request, store.TurnStore.Held)
}

// Fetch implements tierv1.TurnStore.
func (store *TurnStore) Fetch(ctx context.Context, request *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
	return deliver(ctx, store, "Fetch", request, store.TurnStore.Fetch)
}

// TurnStores are turn stores with disks in memory, which call each other.
type TurnStores struct {
	t    testing.TB
	List []*TurnStore

	mu      sync.Mutex
	version uint64
}

// partitions is the number of partitions of a map.
const partitions = 6

// releaseGracePeriod is how long a release may take to arrive after a takeover: longer than any test, so that no test depends on
// its speed.
const releaseGracePeriod = 10 * time.Minute

// NewTurnStores opens n turn stores. They are closed at the end of the test.
func NewTurnStores(t testing.TB, n int) *TurnStores {
	t.Helper()
	stores := &TurnStores{t: t}
	for i := range n {
		store := &TurnStore{Address: fmt.Sprintf("turnstore-%d", i)}
		opened, err := turnstore.Open(turnstore.Config{Node: store.Address, Dir: "/data", FS: wal.NewMemory(), Dial: stores.Dial, Log: DiscardLogger(),
			ReleaseGracePeriod: releaseGracePeriod})
		assert.NilError(t, err)
		store.TurnStore = opened
		stores.List = append(stores.List, store)
		t.Cleanup(func() { opened.Close() })
	}
	return stores
}

// Dial returns the client of an address, or nil.
func (stores *TurnStores) Dial(address string) tierv1.TurnStore {
	for _, store := range stores.List {
		if store.Address == address {
			return store
		}
	}
	return nil
}

// Assign makes the next partition map and applies it at the turn stores that are reachable. Each pair has the indices of a primary
// and a backup; the partitions get the pairs in turn.
func (stores *TurnStores) Assign(pairs ...[2]int) *tierv1.PartitionMap {
	stores.mu.Lock()
	defer stores.mu.Unlock()
	stores.version++
	partitionMap := &tierv1.PartitionMap{Version: stores.version}
	for _, store := range stores.List {
		partitionMap.StoreNodes = append(partitionMap.StoreNodes, &tierv1.StoreNode{Folder: store.Folder(), Node: store.Address, Address: store.Address})
	}
	for partition := range partitions {
		pair := pairs[partition%len(pairs)]
		partitionMap.Partitions = append(partitionMap.Partitions, &tierv1.Partition{Epoch: stores.version, Primary: stores.List[pair[0]].Folder(),
			Backups: []*tierv1.Replica{{Folder: stores.List[pair[1]].Folder(), Synced: stores.version == 1}}})
	}
	for _, store := range stores.List {
		store.mu.Lock()
		unreachable := store.unreachable
		store.mu.Unlock()
		if !unreachable {
			store.ApplyPartitionMap(partitionMap)
		}
	}
	return partitionMap
}
