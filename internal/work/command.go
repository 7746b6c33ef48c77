package work

import (
	"slices"
)

func (s *Scheduler) command(c Command) {
	switch c.Verb {
	case Pause, Resume:
		paused := c.Verb == Pause
		if c.Kind != "" {
			s.kind(c.Kind).paused = paused
		}
		if c.Owner != "" {
			o := s.owner(c.Owner)
			o.paused = paused
			if !paused {
				s.throttledOwners[o] = struct{}{} // wake looks at it
			}
		}
		return
	}
	var of []*job
	for _, j := range s.jobs {
		if c.ID == j.ID || c.ID == 0 && (c.Kind == "" || c.Kind == j.Kind) && (c.Owner == "" || c.Owner == j.Owner) {
			of = append(of, j)
		}
	}
	slices.SortFunc(of, func(a, b *job) int { return int(int64(a.ID) - int64(b.ID)) })
	for _, j := range of {
		switch {
		case c.Verb == Drop && j.state == running:
			j.dropped = true
			s.actions = append(s.actions, Stop{j.ID})
		case c.Verb == Drop:
			s.removeWaiting(j)
			s.finish(j, true)
		case j.state == parked, j.state == delayed, j.state == awaitingRetryBudget:
			s.removeWaiting(j)
			j.failures, j.lastFailure = 0, ""
			s.ready(j)
		}
	}
}
