package turnstore

import (
	"context"
	"maps"
	"slices"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Apply takes a map of the partitions. Older ones than those taken before are ignored.
func (store *TurnStore) Apply(m *tierv1.PartitionMap) {
	if m == nil {
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.closed || store.mapped && m.Version <= store.version {
		return
	}
	store.mapped, store.version = true, m.Version
	clear(store.storeNodes)
	for _, k := range m.StoreNodes {
		store.storeNodes[k.Folder] = k.Address
	}
	for address := range store.clients {
		if !slices.ContainsFunc(m.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Address == address }) {
			delete(store.clients, address)
		}
	}
	for i, part := range m.Partitions {
		store.assign(store.store.partition(uint32(i)), part)
	}
	store.signal()
}

// assign takes this turn store's role from the map, unless a newer epoch is known already.
func (store *TurnStore) assign(p *partition, part *tierv1.Partition) {
	if part.Epoch < p.epoch {
		return
	}
	if part.Epoch == p.epoch && p.term != nil {
		for _, s := range p.term.senders {
			s.unsynced = slices.ContainsFunc(part.Backups, func(c *tierv1.Copy) bool { return c.Folder == s.folder && !c.Synced })
		}
		return
	}
	p.end()
	p.epoch, p.primary, p.term = part.Epoch, part.Primary, nil
	p.backup = slices.ContainsFunc(part.Backups, func(c *tierv1.Copy) bool { return c.Folder == store.folder })
	if p.primary == store.folder {
		store.beginTerm(p, part)
	}
	switch {
	case p.primary == store.folder || p.backup:
		p.assigned()
	case p.unassignedSince.IsZero():
		p.unassignedSince = store.cfg.Now()
	}
}

// beginTerm starts a term: facts added from now on go to all its backups, and what was there before is exchanged with them.
func (store *TurnStore) beginTerm(p *partition, part *tierv1.Partition) {
	store.terms++
	t := &term{id: store.terms, epoch: part.Epoch, closed: make(chan struct{})}
	for _, c := range part.Backups {
		if c.Folder == store.folder {
			continue
		}
		s := &sender{v: store, p: p, t: t, folder: c.Folder, unsynced: !c.Synced}
		t.senders = append(t.senders, s)
	}
	p.term = t
	for _, s := range t.senders {
		store.loops.Add(1)
		go s.exchange()
	}
}

// observeEpoch takes up a newer epoch that another copy has named: a term that this turn store holds ends. The lock is held.
func (store *TurnStore) observeEpoch(p *partition, epoch uint64, primary string) {
	p.end()
	p.epoch, p.primary, p.backup, p.term = epoch, primary, true, nil
	p.assigned()
}

// assigned notes that the partition has a place here. The lock is held.
func (p *partition) assigned() { p.unassignedSince = time.Time{} }

// signal wakes those who wait for news of synced copies. The lock is held.
func (store *TurnStore) signal() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// Synced gives the copies that the map doesn't know to be synced, and that are now. The channel is closed when that changes.
func (store *TurnStore) Synced() (reports []*tierv1.SyncedCopy, changed <-chan struct{}) {
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, p := range store.store.partitions {
		if p.term == nil || p.term.ended {
			continue
		}
		for _, s := range p.term.senders {
			if s.unsynced && s.exchanged {
				reports = append(reports, &tierv1.SyncedCopy{Partition: p.id, Epoch: p.term.epoch, Folder: s.folder})
			}
		}
	}
	return reports, store.changed
}

// Released waits until this turn store is the primary of no partition, or ctx is over.
func (store *TurnStore) Released(ctx context.Context) {
	for {
		store.mu.Lock()
		held := slices.ContainsFunc(slices.Collect(maps.Values(store.store.partitions)), func(p *partition) bool { return p.term != nil && !p.term.ended })
		changed := store.changed
		store.mu.Unlock()
		if !held {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
