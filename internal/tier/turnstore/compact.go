package turnstore

import (
	"context"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

const (
	chunk     = 256 << 10 // bytes of facts that are written or sent in one go, where there is a choice
	leastDead = 1 << 20   // bytes that are worth a rewrite
)

// Compact writes what is alive into the other write-ahead log and empties the one written before, where more than half is dead,
// where the disk gets full, or where force is true. Requests go on all the while: they are appended to the other one.
func (v *TurnStore) Compact(ctx context.Context, force bool) error {
	v.mu.Lock()
	size, live := v.size(), v.store.disk
	due := size > 2*live+leastDead
	if d := v.cfg.DiskBytes; d > 0 {
		due = due || size+live > d*7/10 && size-live > d/20
	}
	if !due && !force {
		v.mu.Unlock()
		return nil
	}
	from := v.active
	v.active = 1 - from
	v.store.generation++
	generation := v.store.generation
	before := v.commit.turn(v.files[v.active])
	ids := make([]uint32, 0, len(v.store.partitions))
	for id := range v.store.partitions {
		ids = append(ids, id)
	}
	v.mu.Unlock()
	began := time.Now()
	for _, id := range ids {
		if err := v.copyPartition(ctx, id, generation); err != nil {
			return err
		}
	}
	<-before.done
	if err := v.files[from].Rewrite(func(func([]byte) error) error { return nil }); err != nil {
		return err
	}
	v.cfg.Log.Info().Str("event", "vault_compacted").Int64("before", size).Int64("after", v.size()).
		Dur("took", time.Since(began)).Msg("")
	return nil
}

// copyPartition writes the entries older than the generation to the active write-ahead log, a chunk at a time.
func (v *TurnStore) copyPartition(ctx context.Context, id, generation uint32) error {
	v.mu.Lock()
	p := v.store.partitions[id]
	old := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		if e.generation != generation {
			old = append(old, e)
		}
	}
	v.mu.Unlock()
	for len(old) > 0 {
		began := time.Now()
		var facts []*tierv1.Fact
		size := 0
		v.mu.Lock()
		for len(old) > 0 && size < chunk {
			e := old[0]
			old = old[1:]
			if p.entries[e.attempt] == e {
				facts = append(facts, p.facts(e)...)
				size += int(e.size)
				e.generation = generation
			}
		}
		b := v.commit.add(facts...)
		v.mu.Unlock()
		<-b.done
		if b.err != nil {
			return b.err
		}
		if !pause(ctx, v.ctx.Done(), time.Since(began)) {
			return context.Cause(ctx)
		}
	}
	return nil
}

// pause waits, and tells whether it was not broken off.
func pause(ctx context.Context, over <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-over:
	}
	return false
}
