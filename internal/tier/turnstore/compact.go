package turnstore

import (
	"context"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	chunkBytes   = 256 << 10 // bytes of facts that are written or sent in one go, where there is a choice
	minDeadBytes = 1 << 20   // bytes that are worth a rewrite
)

// Compact writes what is alive into the other write-ahead log and empties the one written before, where more than half is dead,
// where the disk gets full, or where force is true. Requests go on all the while: they are appended to the other one.
func (store *TurnStore) Compact(ctx context.Context, force bool) error {
	store.maintenance.Lock()
	defer store.maintenance.Unlock()
	store.mu.Lock()
	if store.commit.broken() {
		store.mu.Unlock()
		return nil // CheckDisk opens it again first
	}
	size, live := store.logSize(), store.state.disk
	due := size > 2*live+minDeadBytes
	if d := store.cfg.DiskBytes; d > 0 {
		due = due || size+live > d*7/10 && size-live > d/20
	}
	if !due && !force {
		store.mu.Unlock()
		return nil
	}
	from := store.activeFile
	store.activeFile = 1 - from
	store.state.generation++
	generation := store.state.generation
	before := store.commit.switchTo(store.logFiles[store.activeFile])
	ids := make([]uint32, 0, len(store.state.partitions))
	for id := range store.state.partitions {
		ids = append(ids, id)
	}
	store.mu.Unlock()
	began := time.Now()
	for _, id := range ids {
		if err := store.rewritePartition(ctx, id, generation); err != nil {
			return err
		}
	}
	<-before.done
	if err := store.logFiles[from].Rewrite(func(func([]byte) error) error { return nil }); err != nil {
		return err
	}
	store.cfg.Log.Info().Str("event", "turnstore_compacted").Int64("before", size).Int64("after", store.logSize()).
		Dur("took", time.Since(began)).Msg("")
	return nil
}

// rewritePartition writes the entries older than the generation to the active write-ahead log, a chunk at a time.
func (store *TurnStore) rewritePartition(ctx context.Context, id, generation uint32) error {
	store.mu.Lock()
	p := store.state.partitions[id]
	old := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		if e.generation != generation {
			old = append(old, e)
		}
	}
	store.mu.Unlock()
	for len(old) > 0 {
		began := time.Now()
		var facts []*tierv1.Fact
		size := 0
		store.mu.Lock()
		for len(old) > 0 && size < chunkBytes {
			e := old[0]
			old = old[1:]
			if p.entries[e.attempt] == e {
				facts = append(facts, p.facts(e)...)
				size += int(e.size)
				e.generation = generation
			}
		}
		b := store.commit.add(facts...)
		store.mu.Unlock()
		<-b.done
		if b.err != nil {
			return b.err
		}
		if !sleep(ctx, store.ctx.Done(), time.Since(began)) {
			return context.Cause(ctx)
		}
	}
	return nil
}

// sleep waits, and tells whether it was not broken off.
func sleep(ctx context.Context, stop <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-stop:
	}
	return false
}
