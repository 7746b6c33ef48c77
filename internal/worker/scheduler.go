package worker

import (
	"context"
	"math/rand/v2"
	"time"
)

// Scheduler runs workers step by step in virtual time, for tests. A seeded random generator chooses the next worker among those that have
// something to do, and time advances when none has. The same seed gives the same run.
type Scheduler struct {
	rng     *rand.Rand
	now     time.Duration
	workers []Runner
}

// NewScheduler returns a scheduler of these workers, at time 0.
func NewScheduler(seed uint64, workers ...Runner) *Scheduler {
	return &Scheduler{rng: rand.New(rand.NewPCG(seed, 0)), workers: workers}
}

// Now returns the virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// Run takes steps until done returns true. It returns false if before that no worker has anything left to do, or time would exceed until.
// The error is a worker's.
func (s *Scheduler) Run(ctx context.Context, until time.Duration, done func() bool) (bool, error) {
	for !done() {
		order := s.rng.Perm(len(s.workers))
		worked := false
		for _, i := range order {
			did, err := s.workers[i].runOnce(ctx, s.Now)
			if err != nil {
				return false, err
			}
			if did {
				worked = true
				break
			}
		}
		if worked {
			continue
		}
		next := Never
		for _, d := range s.workers {
			next = min(next, d.wakeTime())
		}
		if next == Never || next > until {
			return false, nil
		}
		s.now = max(s.now+1, next)
	}
	return true, nil
}
