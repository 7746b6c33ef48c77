package turnstore

import "time"

// sweep drops the bodies of turns that are past their retention by more than linger and that no living one goes on
// from, and the budgets of programs that were silent for the longest retention + silence.
func (s *store) sweep(p *partition, linger, silence time.Duration, now time.Time) {
	p.mark++
	for _, e := range p.entries {
		if e.turn == nil || e.mark == p.mark || now.Sub(e.knownSince) > retention(e.turn)+linger && (e.lastUsed.IsZero() || now.Sub(e.lastUsed) > retention(e.turn)+linger) {
			continue
		}
		for at := e; at != nil && at.turn != nil && at.mark != p.mark; at = p.entries[at.turn.Previous] {
			at.mark = p.mark
		}
	}
	for _, e := range p.entries {
		if e.turn != nil && e.mark != p.mark {
			s.dropBody(e)
		}
		if e.turn != nil {
			continue
		}
		if e.program == nil || now.Sub(e.program.last) > s.longest+silence {
			s.drop(p, e)
		}
	}
}

func (s *store) dropBody(e *entry) {
	size := bodySize(e.turn)
	s.memory -= size
	freed := int32(min(size, int64(e.size)))
	e.size -= freed
	s.disk -= int64(freed)
	e.turn, e.adopted = nil, false
}

func (s *store) drop(p *partition, e *entry) {
	if e.turn != nil {
		s.dropBody(e)
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

// empty drops all facts of a partition.
func (s *store) empty(p *partition) {
	for _, e := range p.entries {
		s.drop(p, e)
	}
}
