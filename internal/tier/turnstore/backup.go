package turnstore

import (
	"context"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Replicate implements tierv1.TurnStore: as a backup it adds facts of the primary, and replies Acknowledged when they are synced. It
// replies Stale to an epoch that is older than the newest one observed here; a newer epoch is observed. It replies with neither
// before the first partition map of this process (observed epochs are not stored), while the disk is not sound, or if the call is
// addressed to another folder. The error is the cause of ctx.
func (store *TurnStore) Replicate(ctx context.Context, req *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
	store.mu.Lock()
	if !store.hasMap || store.closed || req.From == store.folder || !store.canWrite() {
		store.mu.Unlock()
		return &tierv1.ReplicateReply{}, nil
	}
	p := store.state.partition(req.Partition)
	if req.To != "" && req.To != store.folder { // addressed to a folder that was at this address before
		store.mu.Unlock()
		return &tierv1.ReplicateReply{}, nil
	}
	if !store.admitsPrimary(p, req.Epoch, req.From) {
		store.mu.Unlock()
		return &tierv1.ReplicateReply{Stale: true}, nil
	}
	if len(req.Facts) == 0 {
		store.mu.Unlock()
		return &tierv1.ReplicateReply{Acknowledged: true}, nil
	}
	fresh := make([]*tierv1.Fact, 0, len(req.Facts))
	now := store.cfg.Now()
	for _, f := range req.Facts {
		if f.Partition == req.Partition && store.state.add(f, now) {
			fresh = append(fresh, f)
		}
	}
	b := store.commit.add(fresh...)
	store.mu.Unlock()
	select {
	case <-b.done:
		return &tierv1.ReplicateReply{Acknowledged: b.err == nil}, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// admitsPrimary reports whether a primary may write here in an epoch, and observes a newer epoch. The primary may be unknown (empty). The
// caller holds mu.
func (store *TurnStore) admitsPrimary(p *partition, epoch uint64, primary string) bool {
	switch {
	case epoch < p.epoch:
		return false
	case epoch > p.epoch:
		store.observeEpoch(p, epoch, primary)
		return true
	}
	if p.primary == "" {
		p.primary = primary
	}
	return p.backup && (primary == "" || p.primary == primary)
}

// Held implements tierv1.TurnStore: as a backup it returns the keys of all facts of a partition, once they are synced. The error is the
// cause of ctx.
func (store *TurnStore) Held(ctx context.Context, req *tierv1.FactKeysRequest) (*tierv1.FactKeysReply, error) {
	store.mu.Lock()
	if !store.hasMap || store.closed || !store.canWrite() {
		store.mu.Unlock()
		return &tierv1.FactKeysReply{}, nil
	}
	p := store.state.partition(req.Partition)
	if req.To != "" && req.To != store.folder || !store.admitsPrimary(p, req.Epoch, "") {
		store.mu.Unlock()
		return &tierv1.FactKeysReply{}, nil
	}
	keys := make([]string, 0, 3*len(p.entries))
	for _, e := range p.entries {
		keys = e.keys(keys)
	}
	b := store.commit.add()
	store.mu.Unlock()
	select {
	case <-b.done:
		return &tierv1.FactKeysReply{Ok: b.err == nil, Keys: keys}, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// Fetch implements tierv1.TurnStore: it returns all facts of the attempts that the keys name, until the reply has more than chunkBytes.
// It returns no errors.
func (store *TurnStore) Fetch(_ context.Context, req *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
	store.mu.Lock()
	defer store.mu.Unlock()
	p := store.state.partitions[req.Partition]
	if p == nil || store.closed {
		return &tierv1.FetchReply{}, nil
	}
	reply := &tierv1.FetchReply{Ok: true}
	seen := make(map[string]struct{}, len(req.Keys))
	size := 0
	for _, key := range req.Keys {
		_, attempt, _, ok := parseKey(key)
		if !ok || size > chunkBytes {
			continue
		}
		e := p.entries[attempt]
		if _, sent := seen[attempt]; e == nil || sent {
			continue
		}
		seen[attempt] = struct{}{}
		for _, f := range p.facts(e) {
			reply.Facts = append(reply.Facts, f)
			size += proto.Size(f)
		}
	}
	return reply, nil
}
