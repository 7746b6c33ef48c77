package gateway

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// storeClient calls the turn stores: it finds the primary of a program's partition by the newest partition map, and retries with a backoff
// until a reply is definite or the time is over. A turn store that is unresponsive is replaced by the control plane, and the newer map
// cancels the calls to it. A storeClient is safe for concurrent use.
type storeClient struct {
	dial         func(address string) tierv1.TurnStore
	reachability *reachability
	callTimeout  time.Duration // bounds one call
	maxBackoff   time.Duration // bounds the backoff between two calls; a newer map ends a backoff early

	mu           sync.Mutex // guards the fields below
	partitionMap *tierv1.PartitionMap
	addresses    map[string]string // internal addresses of turn stores by folder
	mapChanged   chan struct{}     // closed, and replaced, when a newer map is applied
}

// newStoreClient returns a client without a partition map.
func newStoreClient(settings settings.Settings, dial func(string) tierv1.TurnStore) *storeClient {
	reachability := &reachability{}
	return &storeClient{dial: reachability.track(dial), reachability: reachability, callTimeout: settings.ContactWindow / 4,
		maxBackoff: settings.ContactWindow / 40, mapChanged: make(chan struct{}), addresses: map[string]string{}}
}

// apply applies a newer partition map.
func (client *storeClient) apply(partitions *tierv1.PartitionMap) {
	addresses := make(map[string]string, len(partitions.StoreNodes))
	for _, store := range partitions.StoreNodes {
		addresses[store.Folder] = store.Address
	}
	client.mu.Lock()
	client.partitionMap, client.addresses = partitions, addresses
	close(client.mapChanged)
	client.mapChanged = make(chan struct{})
	client.mu.Unlock()
}

// ready reports whether a map with partitions has been applied.
func (client *storeClient) ready() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.partitionMap != nil && len(client.partitionMap.Partitions) > 0
}

// partitionOf returns the partition of a program among n partitions.
func partitionOf(program string, n int) uint32 {
	hash := fnv.New64a()
	hash.Write([]byte(program))
	sum := hash.Sum64()
	sum ^= sum >> 32
	return uint32(sum % uint64(n))
}

// storeRoute is the address of the primary of a program by one partition map.
type storeRoute struct {
	program   string
	partition uint32
	address   string          // of the primary; empty: unknown
	changed   <-chan struct{} // closed when there is a newer map
}

// route returns the route to the primary of a program by the newest map.
func (client *storeClient) route(program string) storeRoute {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.partitionMap == nil || len(client.partitionMap.Partitions) == 0 {
		return storeRoute{program: program, changed: client.mapChanged}
	}
	partition := partitionOf(program, len(client.partitionMap.Partitions))
	return storeRoute{program: program, partition: partition, changed: client.mapChanged,
		address: client.addresses[client.partitionMap.Partitions[partition].Primary]}
}

// storeCall makes one call to a turn store for a partition, and reports whether the reply is definite.
type storeCall func(ctx context.Context, store tierv1.TurnStore, partition uint32) (done bool)

// callUntilDone retries a call to the primary of a program until it is done, and returns false if ctx ends before.
func (client *storeClient) callUntilDone(ctx context.Context, program string, call storeCall) bool {
	backoff := client.maxBackoff / 8
	for ctx.Err() == nil {
		route := client.route(program)
		if route.address != "" && client.callOnce(ctx, route, call) {
			return true
		}
		sleepOrMapChange(ctx, backoff, route.changed)
		backoff = min(2*backoff, client.maxBackoff)
	}
	return false
}

// callOnce makes one call, and reports whether it is done. The call is canceled after callTimeout, or when a newer map has another
// primary for the program, as the turn store that was called may be gone.
func (client *storeClient) callOnce(ctx context.Context, route storeRoute, call storeCall) bool {
	ctx, cancel := context.WithTimeout(ctx, client.callTimeout)
	defer cancel()
	returned := make(chan struct{})
	defer close(returned)
	go func() {
		select {
		case <-route.changed:
			if client.route(route.program).address != route.address {
				cancel()
			}
		case <-returned:
		}
	}()
	return call(ctx, client.dial(route.address), route.partition)
}

// sleepOrMapChange waits for d, or until ctx ends or there is a newer map.
func sleepOrMapChange(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// beginResult is the result of beginning a turn.
type beginResult struct {
	verdict        tierv1.Verdict // OK, SPENT or UNKNOWN of a definite reply, or BUSY if there was none in time
	chain          []*tierv1.Turn // if OK: the turns that the new turn continues, oldest first
	avoid          []string       // instances at which attempts of the program have failed recently
	chainIsSuffix  bool           // the chain has only the turns after BeginRequest.KnownTurn
	maybeReserved  bool           // there may be a reservation although the verdict is not OK, as a call had no definite reply
	releasePending bool           // the budget may be spent only because releases of this gateway are pending
}

// begin begins a turn. If the primary of its program does not have the turn that it continues, begin looks for that turn in all
// partitions, as it may be a turn of another program.
func (client *storeClient) begin(ctx context.Context, req *tierv1.BeginRequest) beginResult {
	begun := client.beginAt(ctx, req)
	if begun.verdict != tierv1.Verdict_UNKNOWN || len(req.Adopt) > 0 {
		return begun
	}
	found, certain := client.find(ctx, req.Previous)
	if len(found) == 0 {
		if !certain {
			begun.verdict, begun.maybeReserved = tierv1.Verdict_BUSY, true
		}
		return begun
	}
	req.Adopt, req.ChainKnown = found, true
	adopted := client.beginAt(ctx, req)
	adopted.chain, adopted.chainIsSuffix = found, false
	adopted.maybeReserved = adopted.maybeReserved || begun.maybeReserved
	if adopted.verdict == tierv1.Verdict_UNKNOWN {
		adopted.verdict, adopted.maybeReserved = tierv1.Verdict_BUSY, true
	}
	return adopted
}

// beginAt begins a turn at the primary of its program. It retries until the reply is definite or ctx ends.
func (client *storeClient) beginAt(ctx context.Context, req *tierv1.BeginRequest) beginResult {
	begun := beginResult{verdict: tierv1.Verdict_BUSY}
	answered := client.callUntilDone(ctx, req.Program, func(ctx context.Context, store tierv1.TurnStore, partition uint32) bool {
		req.Partition = partition
		reply, err := store.Begin(ctx, req)
		if err == nil {
			switch reply.Verdict {
			case tierv1.Verdict_OK, tierv1.Verdict_SPENT, tierv1.Verdict_UNKNOWN:
				begun.verdict, begun.chain, begun.chainIsSuffix, begun.avoid = reply.Verdict, reply.Chain, reply.AfterKnownTurn, reply.AvoidEndpoints
				return true
			default: // BUSY, MOVED, or a verdict of a later version: not definite
			}
		}
		begun.maybeReserved = true
		return false
	})
	begun.maybeReserved = begun.maybeReserved || !answered
	return begun
}

// settle ends a reservation, and reports whether its end is known to be durable. It retries until ctx ends.
func (client *storeClient) settle(ctx context.Context, req *tierv1.SettleRequest) bool {
	return client.callUntilDone(ctx, req.Program, settlement(req))
}

// settleOnce is settle without retries.
func (client *storeClient) settleOnce(ctx context.Context, req *tierv1.SettleRequest) bool {
	route := client.route(req.Program)
	return route.address != "" && client.callOnce(ctx, route, settlement(req))
}

// settlement returns the call that ends a reservation.
func settlement(req *tierv1.SettleRequest) storeCall {
	return func(ctx context.Context, store tierv1.TurnStore, partition uint32) bool {
		req.Partition = partition
		reply, err := store.Settle(ctx, req)
		return err == nil && reply.Verdict == tierv1.Verdict_OK
	}
}
