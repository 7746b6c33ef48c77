package turnstore

import "time"

// expiryGroups is the number of groups of partitions. Each call of RemoveExpired checks one of them.
const expiryGroups = 8

// RemoveExpired drops expired facts. Each call checks one eighth of the partitions, and holds the lock for one partition at a time.
func (store *TurnStore) RemoveExpired(now time.Time) {
	store.mu.Lock()
	group := store.expiryGroup % expiryGroups
	store.expiryGroup++
	ids := make([]uint32, 0, len(store.state.partitions)/expiryGroups+1)
	for id := range store.state.partitions {
		if id%expiryGroups == group {
			ids = append(ids, id)
		}
	}
	store.mu.Unlock()
	for _, id := range ids {
		store.mu.Lock()
		p := store.state.partitions[id]
		if store.hasMap && !p.unassignedSince.IsZero() && now.Sub(p.unassignedSince) > store.cfg.UnassignedRetention {
			store.state.dropAll(p)
		}
		store.state.removeExpired(p, store.cfg.TurnLinger, store.cfg.BudgetLinger, now)
		store.mu.Unlock()
	}
}

// removeExpired drops the texts of turns that are past their retention by more than turnLinger and are not in the chain of an
// unexpired turn, and the budgets of programs that have been unused for the longest retention plus budgetLinger. It is a mark and
// sweep over the chains.
func (s *state) removeExpired(p *partition, turnLinger, budgetLinger time.Duration, now time.Time) {
	p.gcCycle++
	for _, e := range p.entries {
		if e.turn != nil && e.gcCycle != p.gcCycle && !e.expired(turnLinger, now) {
			p.markChain(e)
		}
	}
	for _, e := range p.entries {
		if e.turn != nil && e.gcCycle != p.gcCycle {
			s.dropTurn(e)
		}
		if e.turn != nil {
			continue
		}
		if e.program == nil || now.Sub(e.program.lastUsed) > s.longestRetention+budgetLinger {
			s.drop(p, e)
		}
	}
}

// expired reports whether the entry's turn is past its retention by more than linger, counted from when it was stored and from when
// it was last used.
func (e *entry) expired(linger time.Duration, now time.Time) bool {
	limit := retention(e.turn) + linger
	return now.Sub(e.storedAt) > limit && (e.lastUsed.IsZero() || now.Sub(e.lastUsed) > limit)
}

// markChain marks a turn and all before it as reachable in this cycle.
func (p *partition) markChain(e *entry) {
	for e != nil && e.turn != nil && e.gcCycle != p.gcCycle {
		e.gcCycle = p.gcCycle
		e = p.entries[e.turn.Previous]
	}
}

// dropTurn drops the text of an entry's turn. Its charge remains.
func (s *state) dropTurn(e *entry) {
	size := turnSize(e.turn)
	s.memory -= size
	freed := int32(min(size, int64(e.size)))
	e.size -= freed
	s.disk -= int64(freed)
	e.turn, e.adopted = nil, false
}

// drop drops an entry, and its program if that has no other.
func (s *state) drop(p *partition, e *entry) {
	if e.turn != nil {
		s.dropTurn(e)
	}
	delete(p.entries, e.attempt)
	s.memory -= entryOverhead + int64(len(e.attempt))
	s.disk -= int64(e.size)
	if g := e.program; g != nil {
		g.charged -= e.charge()
		if g.entries--; g.entries == 0 {
			delete(p.programs, g.name)
			s.memory -= entryOverhead
		}
	}
}

// dropAll drops all facts of a partition.
func (s *state) dropAll(p *partition) {
	for _, e := range p.entries {
		s.drop(p, e)
	}
}
