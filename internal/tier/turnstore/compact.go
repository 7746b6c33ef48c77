package turnstore

import (
	"context"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	chunkBytes   = 256 << 10 // target size of the facts that are written or sent at once, in bytes
	minDeadBytes = 1 << 20   // bytes of dropped facts below which a compaction is not worthwhile
)

// Compact rewrites all live facts into the other write-ahead log and then empties the former one, if more than half of it is dead, if
// its size approaches Config.DiskBytes, or if force is set. Requests are served meanwhile, and append to the other log. If the disk
// has failed it does nothing, as CheckDisk has to reopen the log first. Its errors are those of the disk, and the cause of ctx.
func (store *TurnStore) Compact(ctx context.Context, force bool) error {
	store.maintenance.Lock()
	defer store.maintenance.Unlock()
	store.mu.Lock()
	if store.commit.broken() {
		store.mu.Unlock()
		return nil
	}
	size, live := store.logSize(), store.state.disk
	if !force && !compactionDue(size, live, store.cfg.DiskBytes) {
		store.mu.Unlock()
		return nil
	}
	from := store.activeFile
	store.activeFile = 1 - from
	store.state.generation++
	generation := store.state.generation
	lastBatch := store.commit.switchTo(store.logFiles[store.activeFile])
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
	<-lastBatch.done
	if err := store.logFiles[from].Rewrite(func(func([]byte) error) error { return nil }); err != nil {
		return err
	}
	store.cfg.Log.Info().Str("event", "turnstore_compacted").Int64("before", size).Int64("after", store.logSize()).
		Dur("took", time.Since(began)).Msg("compacted the write-ahead log")
	return nil
}

// compactionDue reports whether a log of size bytes, of which live are alive, should be compacted: if the dead bytes exceed the live
// ones by more than minDeadBytes, or if a limit is set, the log and its compacted copy would take more than seven tenths of it, and a
// compaction would free more than a twentieth of it.
func compactionDue(size, live, limit int64) bool {
	if size > 2*live+minDeadBytes {
		return true
	}
	return limit > 0 && size+live > limit*7/10 && size-live > limit/20
}

// rewritePartition appends the entries that are older than a generation to the active write-ahead log, a chunk at a time.
// After each chunk it pauses for as long as the chunk took.
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
