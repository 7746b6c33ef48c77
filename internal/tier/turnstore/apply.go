package turnstore

import (
	"context"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
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
	store.mapped, store.version, store.partitionMap = true, m.Version, m
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
		if p.term.unconfirmed && len(part.RecoverFrom) == 0 {
			p.term.unconfirmed, p.term.primarySince = false, store.cfg.Now()
		}
		for _, s := range p.term.senders {
			s.unsynced = slices.ContainsFunc(part.Backups, func(c *tierv1.Replica) bool { return c.Folder == s.folder && !c.Synced })
		}
		return
	}
	continued := store.continued(p, part)
	p.end()
	p.epoch, p.primary, p.term = part.Epoch, part.Primary, nil
	p.backup = slices.ContainsFunc(part.Backups, func(c *tierv1.Replica) bool { return c.Folder == store.folder })
	if p.primary == store.folder {
		store.beginTerm(p, part)
		p.term.goOnFrom(continued)
	}
	retained := slices.ContainsFunc(part.Retained, func(c *tierv1.RetainedReplica) bool { return c.Folder == store.folder })
	switch {
	case p.primary == store.folder || p.backup || retained:
		p.assigned()
	case p.unassignedSince.IsZero():
		p.unassignedSince = store.cfg.Now()
	}
}

// beginTerm starts a term: facts added from now on go to all its backups, and what was there before is exchanged with them.
func (store *TurnStore) beginTerm(p *partition, part *tierv1.Partition) {
	store.terms++
	t := &term{id: store.terms, firstID: store.terms, epoch: part.Epoch, closed: make(chan struct{}), primarySince: store.cfg.Now()}
	for _, c := range part.Backups {
		if c.Folder == store.folder {
			continue
		}
		s := &sender{v: store, p: p, t: t, folder: c.Folder, unsynced: !c.Synced}
		t.senders = append(t.senders, s)
	}
	p.term = t
	t.unconfirmed = len(part.RecoverFrom) > 0
	for _, s := range t.senders {
		s.recover = slices.Contains(part.RecoverFrom, s.folder)
		if s.recover {
			t.recovering++
		}
	}
	store.startExchanges(t, func(s *sender) bool { return t.recovering == 0 || s.recover })
}

// startExchanges begins the exchange with those backups of a term that are picked. The lock is held.
func (store *TurnStore) startExchanges(t *term, picked func(*sender) bool) {
	for _, s := range t.senders {
		if picked(s) && !store.closed {
			store.loops.Add(1)
			go s.exchange()
		}
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

// Synced gives the copies that the map doesn't know to be synced, and that are now; none while the disk is not sound. The
// channel is closed when that, or the state of the disk, changes.
func (store *TurnStore) Synced() (reports []*tierv1.SyncedReplica, changed <-chan struct{}) {
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.diskState != tierv1.DiskState_DISK_SOUND {
		return nil, store.changed
	}
	for _, p := range store.store.partitions {
		if p.term == nil || p.term.ended {
			continue
		}
		for _, s := range p.term.senders {
			if s.unsynced && s.exchanged {
				reports = append(reports, &tierv1.SyncedReplica{Partition: p.id, Epoch: p.term.epoch, Folder: s.folder})
			}
		}
	}
	return reports, store.changed
}

// lastHolderShare is how much longer than its context allows, as a part of that time, the last holder of a partition stays.
const lastHolderShare = 0.5

// Released waits until this turn store may end after control was told that it leaves: control has made a map since, and no
// partition in the newest map has this folder as its primary, or has a copy under way that is to take this one's place.
// It returns when ctx is over all the same; but where a partition has no synced copy elsewhere then, it goes on for half of the
// time that ctx had, as this turn store is the last to hold what was acknowledged there.
func (store *TurnStore) Released(ctx context.Context) {
	began := time.Now()
	last, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		allowed := max(0, deadline.Sub(began))
		last, cancel = context.WithDeadline(last, deadline.Add(time.Duration(lastHolderShare*float64(allowed))))
		defer cancel()
	}
	store.mu.Lock()
	before := store.version
	store.mu.Unlock()
	over := ctx.Done()
	for {
		store.mu.Lock()
		duty := dutyOf(store.partitionMap, store.folder)
		fresh := store.version > before
		changed := store.changed
		store.mu.Unlock()
		if duty.released(fresh, over == nil) {
			return
		}
		select {
		case <-changed:
		case <-over:
			over = nil
		case <-last.Done():
			return
		case <-store.ctx.Done():
			return
		}
	}
}

// duty is what a folder is still needed for.
type duty int

const (
	noDuty     duty = iota // no partition names it
	backupDuty             // it is a backup, and no copy is under way to take its place
	neededDuty             // it is a primary, or a copy is under way in one of its partitions
	lastHolder             // a partition has no synced copy elsewhere
)

// released tells whether a turn store with this duty may end: fresh where control has made a map since it was told, late where
// the time that was given is over.
func (d duty) released(fresh, late bool) bool {
	switch d {
	case noDuty:
		return true
	case backupDuty:
		return fresh || late
	case neededDuty:
		return late
	}
	return false
}

// dutyOf gives the greatest duty that a partition map puts on a folder. A map that is not known puts none.
func dutyOf(m *tierv1.PartitionMap, folder string) duty {
	greatest := noDuty
	for _, p := range m.GetPartitions() {
		own, elsewhere, underWay := p.Primary == folder, p.Primary != folder, false
		holds := own
		for _, c := range p.Backups {
			switch {
			case c.Folder == folder:
				own, holds = true, holds || c.Synced
			case c.Synced:
				elsewhere = true
			default:
				underWay = true
			}
		}
		switch {
		case !own:
		case holds && !elsewhere:
			return lastHolder
		case p.Primary == folder, underWay:
			greatest = max(greatest, neededDuty)
		default:
			greatest = max(greatest, backupDuty)
		}
	}
	return greatest
}
