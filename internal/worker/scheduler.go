package worker

import (
	"context"
	"math/rand/v2"
	"time"
)

// Scheduler runs duties step by step in virtual time: which of those that have something to do is next is drawn by a seed, and
// time moves on when none has. One seed gives the same run.
type Scheduler struct {
	rng     *rand.Rand
	now     time.Duration
	workers []Runner
}

// NewScheduler makes one for these duties.
func NewScheduler(seed uint64, duties ...Runner) *Scheduler {
	return &Scheduler{rng: rand.New(rand.NewPCG(seed, 0)), workers: duties}
}

// Now is the virtual time.
func (s *Scheduler) Now() time.Duration { return s.now }

// Run takes turns until done says so, and reports false if nothing was left to do before, or until.
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
