package gateway

import (
	"context"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// find looks for a turn at the primaries of all partitions until one has it, all have confirmed that they do not have it (certain), or
// ctx ends.
func (client *storeClient) find(ctx context.Context, attempt string) (chain []*tierv1.Turn, certain bool) {
	backoff := client.maxBackoff / 8
	for ctx.Err() == nil {
		client.mu.Lock()
		partitionMap, changed := client.partitionMap, client.mapChanged
		addresses := map[string]bool{}
		for _, p := range partitionMap.GetPartitions() {
			addresses[client.addresses[p.Primary]] = true
		}
		client.mu.Unlock()
		chain, answered := client.findAt(ctx, addresses, attempt)
		if len(chain) > 0 {
			return chain, false
		}
		if len(partitionMap.GetPartitions()) > 0 && len(answered) == len(partitionMap.Partitions) {
			return nil, true
		}
		sleepOrMapChange(ctx, backoff, changed)
		backoff = min(2*backoff, client.maxBackoff)
	}
	return nil, false
}

// findAt calls the turn stores at the given addresses concurrently. It returns the chain of the turn as soon as one has it, else the
// partitions whose primaries have confirmed that they do not have it.
func (client *storeClient) findAt(ctx context.Context, addresses map[string]bool, attempt string) (chain []*tierv1.Turn, answered map[uint32]bool) {
	callCtx, cancel := context.WithTimeout(ctx, client.callTimeout)
	defer cancel()
	replies := make(chan *tierv1.FindReply, len(addresses))
	for address := range addresses {
		go func() {
			if address == "" {
				replies <- nil
				return
			}
			reply, err := client.dial(address).Find(callCtx, &tierv1.FindRequest{Attempt: attempt})
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
