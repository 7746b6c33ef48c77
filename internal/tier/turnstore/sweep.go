package turnstore

import "time"

// removeExpired drops the bodies of turns that are past their retention by more than linger and that no living one goes on
// from, and the budgets of programs that were silent for the longest retention + silence.
func (s *state) removeExpired(p *partition, linger, silence time.Duration, now time.Time) {
	p.gcCycle++
	for _, e := range p.entries {
		if e.turn == nil || e.gcCycle == p.gcCycle || now.Sub(e.storedAt) > retention(e.turn)+linger && (e.lastUsed.IsZero() || now.Sub(e.lastUsed) > retention(e.turn)+linger) {
			continue
		}
		for at := e; at != nil && at.turn != nil && at.gcCycle != p.gcCycle; at = p.entries[at.turn.Previous] {
			at.gcCycle = p.gcCycle
		}
	}
	for _, e := range p.entries {
		if e.turn != nil && e.gcCycle != p.gcCycle {
			s.dropTurn(e)
		}
		if e.turn != nil {
			continue
		}
		if e.program == nil || now.Sub(e.program.lastUsed) > s.longest+silence {
			s.drop(p, e)
		}
	}
}

func (s *state) dropTurn(e *entry) {
	size := turnSize(e.turn)
	s.memory -= size
	freed := int32(min(size, int64(e.size)))
	e.size -= freed
	s.disk -= int64(freed)
	e.turn, e.adopted = nil, false
}

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
