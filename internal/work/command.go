package work

import (
	"slices"
)

// command applies an operator's command.
func (s *Scheduler) command(c Command) {
	switch c.Verb {
	case Pause, Resume:
		s.setPaused(c.Kind, c.Owner, c.Verb == Pause)
	case Run, Drop:
		s.commandJobs(c)
	}
}

// setPaused pauses or resumes a kind, an owner, or both; an empty name selects none.
func (s *Scheduler) setPaused(kind, owner string, paused bool) {
	if kind != "" {
		s.kind(kind).paused = paused
	}
	if owner != "" {
		o := s.owner(owner)
		o.paused = paused
		if !paused {
			s.throttledOwners[o] = struct{}{} // wakeWaiting then puts its queues back
		}
	}
}

// commandJobs runs or drops the jobs that a command selects.
func (s *Scheduler) commandJobs(c Command) {
	var selected []*job
	for _, j := range s.jobs {
		if c.ID == j.ID || c.ID == 0 && (c.Kind == "" || c.Kind == j.Kind) && (c.Owner == "" || c.Owner == j.Owner) {
			selected = append(selected, j)
		}
	}
	slices.SortFunc(selected, func(a, b *job) int { return int(int64(a.ID) - int64(b.ID)) })
	for _, j := range selected {
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
