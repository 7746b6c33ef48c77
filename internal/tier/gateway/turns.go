package gateway

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"saffronyard.example/saffronyard/internal/tier/settings"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// storeClient is the gateway's side of the turn stores: which one keeps a program's turns, and how long its answer is waited for.
// A turn store that falls silent is another's part to replace: the calls are repeated by the newest map until their time is over.
type storeClient struct {
	dial         func(address string) tierv1.TurnStore
	reachability *reachability
	log          *log.Logger
	callTimeout  time.Duration // one call's time
	maxBackoff   time.Duration // longest pause between two tries; a new map ends it

	mu           sync.Mutex
	partitionMap *tierv1.PartitionMap
	addresses    map[string]string // folder to address
	mapChanged   chan struct{}     // closed when a new map comes
}

// newStoreClient makes one that knows no map yet.
func newStoreClient(s settings.Settings, dial func(string) tierv1.TurnStore, l *log.Logger) *storeClient {
	c := &reachability{}
	return &storeClient{dial: c.track(dial), reachability: c, log: l, callTimeout: s.ContactWindow / 4, maxBackoff: s.ContactWindow / 40, mapChanged: make(chan struct{}), addresses: map[string]string{}}
}

// apply takes a newer map in.
func (client *storeClient) apply(partitions *tierv1.PartitionMap) {
	at := make(map[string]string, len(partitions.StoreNodes))
	for _, store := range partitions.StoreNodes {
		at[store.Folder] = store.Address
	}
	client.mu.Lock()
	client.partitionMap, client.addresses = partitions, at
	close(client.mapChanged)
	client.mapChanged = make(chan struct{})
	client.mu.Unlock()
}

// ready tells whether a map with partitions has come.
func (client *storeClient) ready() bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	return client.partitionMap != nil && len(client.partitionMap.Partitions) > 0
}

// partitionOf is the partition of a program's turns, of n.
func partitionOf(program string, n int) uint32 {
	hash := fnv.New64a()
	hash.Write([]byte(program))
	sum := hash.Sum64()
	sum ^= sum >> 32
	return uint32(sum % uint64(n))
}

// primary is the address of a program's primary by the newest map, and a channel closed when there is a newer one.
func (client *storeClient) primary(program string) (partition uint32, address string, changed <-chan struct{}) {
	client.mu.Lock()
	defer client.mu.Unlock()
	if client.partitionMap == nil || len(client.partitionMap.Partitions) == 0 {
		return 0, "", client.mapChanged
	}
	partition = partitionOf(program, len(client.partitionMap.Partitions))
	return partition, client.addresses[client.partitionMap.Partitions[partition].Primary], client.mapChanged
}

// storeCall is one call at a turn store, of a program in that partition; done says that its answer stands.
type storeCall func(ctx context.Context, store tierv1.TurnStore, partition uint32) (done bool)

// callUntilDone makes a call at the program's primary again and again, until it gives an answer that stands or ctx ends.
func (client *storeClient) callUntilDone(ctx context.Context, program string, call storeCall) bool {
	pause := client.maxBackoff / 8
	for ctx.Err() == nil {
		partition, address, changed := client.primary(program)
		if address != "" && client.callOnce(ctx, program, address, partition, changed, call) {
			return true
		}
		sleepOrMapChange(ctx, pause, changed)
		pause = min(2*pause, client.maxBackoff)
	}
	return false
}

// callOnce makes a call at the store of that address. It is ended when its time is over, or when a newer map names another
// primary of the program, as the one that was asked may be gone.
func (client *storeClient) callOnce(ctx context.Context, program, address string, partition uint32, changed <-chan struct{}, call storeCall) bool {
	ctx, cancel := context.WithTimeout(ctx, client.callTimeout)
	defer cancel()
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-changed:
			if _, now, _ := client.primary(program); now != address {
				cancel()
			}
		case <-over:
		}
	}()
	return call(ctx, client.dial(address), partition)
}

// sleepOrMapChange waits for d, but no longer than until ctx ends or a newer map comes.
func sleepOrMapChange(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

// beginResult is what became of a question for a turn.
type beginResult struct {
	verdict        tierv1.Verdict // OK with the chain, SPENT, UNKNOWN for sure, or BUSY where nothing is sure in time
	chain          []*tierv1.Turn
	avoid          []string // endpoints at which attempts of the program ended of late without their answers
	chainIsSuffix  bool     // the chain is only what follows the turn that the caller holds
	maybeReserved  bool     // the turn may be reserved though the verdict is not OK: a call had no clear answer
	releasePending bool     // SPENT, while what is being released here is not settled
}

// begin asks for a turn.
func (client *storeClient) begin(ctx context.Context, req *tierv1.BeginRequest) beginResult {
	begun := client.beginAt(ctx, req)
	if begun.verdict != tierv1.Verdict_UNKNOWN || len(req.Adopt) > 0 {
		return begun
	}
	// The program goes on from a turn of another one, which may lie in any partition.
	found, certain := client.find(ctx, req.Previous)
	if len(found) == 0 {
		if !certain {
			begun.verdict, begun.maybeReserved = tierv1.Verdict_BUSY, true
		}
		return begun
	}
	req.Adopt, req.ChainHeld = found, true
	adopted := client.beginAt(ctx, req)
	adopted.chain, adopted.chainIsSuffix = found, false
	adopted.maybeReserved = adopted.maybeReserved || begun.maybeReserved
	if adopted.verdict == tierv1.Verdict_UNKNOWN {
		adopted.verdict, adopted.maybeReserved = tierv1.Verdict_BUSY, true
	}
	return adopted
}

// beginAt asks the program's primary for a turn, until its answer is clear or ctx ends.
func (client *storeClient) beginAt(ctx context.Context, req *tierv1.BeginRequest) beginResult {
	begun := beginResult{verdict: tierv1.Verdict_BUSY}
	answered := client.callUntilDone(ctx, req.Program, func(ctx context.Context, store tierv1.TurnStore, partition uint32) bool {
		req.Partition = partition
		reply, err := store.Begin(ctx, req)
		if err == nil {
			switch reply.Verdict {
			case tierv1.Verdict_OK, tierv1.Verdict_SPENT, tierv1.Verdict_UNKNOWN:
				begun.verdict, begun.chain, begun.chainIsSuffix, begun.avoid = reply.Verdict, reply.Chain, reply.AfterHeld, reply.Avoid
				return true
			}
		}
		begun.maybeReserved = true
		return false
	})
	begun.maybeReserved = begun.maybeReserved || !answered
	return begun
}

// find asks all turn stores for a turn. certain: none has it, and each partition's primary has said so.
func (client *storeClient) find(ctx context.Context, attempt string) (chain []*tierv1.Turn, certain bool) {
	pause := client.maxBackoff / 8
	for ctx.Err() == nil {
		client.mu.Lock()
		turnStores, changed := client.partitionMap, client.mapChanged
		addresses := map[string]bool{}
		for _, p := range turnStores.GetPartitions() {
			addresses[client.addresses[p.Primary]] = true
		}
		client.mu.Unlock()
		chain, answered := client.findAt(ctx, addresses, attempt)
		if len(chain) > 0 {
			return chain, false
		}
		if len(turnStores.GetPartitions()) > 0 && len(answered) == len(turnStores.Partitions) {
			return nil, true
		}
		sleepOrMapChange(ctx, pause, changed)
		pause = min(2*pause, client.maxBackoff)
	}
	return nil, false
}

// findAt asks the stores at some addresses at once for a turn. It gives the turn's chain as soon as one has it, else the
// partitions whose primaries said that they do not.
func (client *storeClient) findAt(ctx context.Context, addresses map[string]bool, attempt string) (chain []*tierv1.Turn, answered map[uint32]bool) {
	round, cancel := context.WithTimeout(ctx, client.callTimeout)
	defer cancel()
	replies := make(chan *tierv1.FindReply, len(addresses))
	for address := range addresses {
		go func() {
			if address == "" {
				replies <- nil
				return
			}
			reply, err := client.dial(address).Find(round, &tierv1.FindRequest{Attempt: attempt})
			if err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	answered = map[uint32]bool{}
	for range addresses {
		reply := <-replies
		if len(reply.GetChain()) > 0 {
			return reply.Chain, nil
		}
		for _, partition := range reply.GetPartitions() {
			answered[partition] = true
		}
	}
	return nil, answered
}

// settle ends a reservation, and reports whether that is durable.
func (client *storeClient) settle(ctx context.Context, req *tierv1.SettleRequest) bool {
	return client.callUntilDone(ctx, req.Program, settlement(req))
}

// settleOnce makes one call of it.
func (client *storeClient) settleOnce(ctx context.Context, req *tierv1.SettleRequest) bool {
	partition, address, changed := client.primary(req.Program)
	return address != "" && client.callOnce(ctx, req.Program, address, partition, changed, settlement(req))
}

// settlement is the call that ends a reservation.
func settlement(req *tierv1.SettleRequest) storeCall {
	return func(ctx context.Context, store tierv1.TurnStore, partition uint32) bool {
		req.Partition = partition
		reply, err := store.Settle(ctx, req)
		return err == nil && reply.Verdict == tierv1.Verdict_OK
	}
}
