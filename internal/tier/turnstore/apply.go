package turnstore

import (
	"context"
	"maps"
	"slices"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

// Apply takes a map of the partitions. Older ones than those taken before are ignored.
func (v *TurnStore) Apply(m *tierv1.PartitionMap) {
	if m == nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.closed || v.mapped && m.Version <= v.version {
		return
	}
	v.mapped, v.version = true, m.Version
	clear(v.storeNodes)
	for _, k := range m.StoreNodes {
		v.storeNodes[k.Folder] = k.Address
	}
	for address := range v.clients {
		if !slices.ContainsFunc(m.StoreNodes, func(k *tierv1.StoreNode) bool { return k.Address == address }) {
			delete(v.clients, address)
		}
	}
	for i, part := range m.Partitions {
		v.assign(v.store.partition(uint32(i)), part)
	}
	v.signal()
}

// assign takes this turn store's role from the map, unless a newer epoch is known already.
func (v *TurnStore) assign(p *partition, part *tierv1.Partition) {
	if part.Epoch < p.known {
		return
	}
	if part.Epoch == p.known && p.term != nil {
		for _, s := range p.term.senders {
			s.unsynced = slices.ContainsFunc(part.Backups, func(c *tierv1.Copy) bool { return c.Folder == s.folder && !c.Synced })
		}
		return
	}
	p.end()
	p.known, p.primary, p.term = part.Epoch, part.Primary, nil
	p.backup = slices.ContainsFunc(part.Backups, func(c *tierv1.Copy) bool { return c.Folder == v.folder })
	if p.primary == v.folder {
		v.begin(p, part)
	}
	switch {
	case p.primary == v.folder || p.backup:
		p.assigned()
	case p.aside.IsZero():
		p.aside = v.cfg.Now()
	}
}

// begin starts a term: facts added from now on go to all its backups, and what was there before is exchanged with them.
func (v *TurnStore) begin(p *partition, part *tierv1.Partition) {
	v.terms++
	t := &term{id: v.terms, epoch: part.Epoch, over: make(chan struct{})}
	for _, c := range part.Backups {
		if c.Folder == v.folder {
			continue
		}
		s := &sender{v: v, p: p, t: t, folder: c.Folder, unsynced: !c.Synced}
		t.senders = append(t.senders, s)
	}
	p.term = t
	for _, s := range t.senders {
		v.loops.Add(1)
		go s.exchange()
	}
}

// learn takes an epoch that another copy has told of. The lock is held.
func (v *TurnStore) learn(p *partition, epoch uint64, primary string) {
	p.end()
	p.known, p.primary, p.backup, p.term = epoch, primary, true, nil
	p.assigned()
}

// assigned notes that the partition has a place here. The lock is held.
func (p *partition) assigned() { p.aside = time.Time{} }

// signal wakes those who wait for news of synced copies. The lock is held.
func (v *TurnStore) signal() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// Synced gives the copies that the map doesn't know to be synced, and that are now. The channel is closed when that changes.
func (v *TurnStore) Synced() (reports []*tierv1.SyncedCopy, changed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range v.store.partitions {
		if p.term == nil || p.term.ended {
			continue
		}
		for _, s := range p.term.senders {
			if s.unsynced && s.exchanged {
				reports = append(reports, &tierv1.SyncedCopy{Partition: p.id, Epoch: p.term.epoch, Folder: s.folder})
			}
		}
	}
	return reports, v.changed
}

// Released waits until this turn store is the primary of no partition, or ctx is over.
func (v *TurnStore) Released(ctx context.Context) {
	for {
		v.mu.Lock()
		held := slices.ContainsFunc(slices.Collect(maps.Values(v.store.partitions)), func(p *partition) bool { return p.term != nil && !p.term.ended })
		changed := v.changed
		v.mu.Unlock()
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
