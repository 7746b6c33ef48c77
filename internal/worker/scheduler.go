package worker

import (
	"context"
	"math/rand/v2"
	"time"
)

// Scheduler runs workers step by step in virtual time: a seed draws which of those that have something to do is next, and time moves
// on when none has. One seed gives the same run. It is for tests.
type Scheduler struct {
	rng     *rand.Rand
	now     time.Duration
	workers []Runner
}

// NewScheduler makes a scheduler of these workers, at time 0.
func NewScheduler(seed uint64, workers ...Runner) *Scheduler {
	return &Scheduler{rng: rand.New(rand.NewPCG(seed, 0)), workers: workers}
}

// Now is the virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// Run takes steps until done returns true; it returns false if before that nothing is left to do, or time would pass until. The error is a
// worker's.
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
