package work

import (
	"time"
)

// Scheduler decides which slice runs next, as the package comment describes. It is for one goroutine.
type Scheduler struct {
	settings Settings
	random   func() float64

	now                 time.Duration
	wall                time.Time
	jobs                map[ID]*job
	bytes               int64
	delayed             indexedHeap[*job]
	levels              [priorities]map[string]*level
	kinds               map[string]*kind
	owners              map[string]*owner
	readyCount          int
	locks               map[string]*lock
	breakers            map[string]*breaker
	throttledOwners     map[*owner]struct{}
	idleOwners          indexedHeap[*owner] // owners without jobs; each is removed once Scheduler.virtualTime has reached its own virtual time
	totalBudget         *buckets
	pool                [Currencies]float64
	allowance           float64
	virtualTime         float64
	runningCount        int
	starts              uint64
	lowerPriorityStarts uint64 // the starts that nextJob gave to a lower priority
	nextSequence        uint64
	actions             []Action
}

// New returns a scheduler without jobs. random returns numbers from 0 to under 1, for backoff.
func New(set Settings, random func() float64) *Scheduler {
	s := &Scheduler{settings: set, random: random, jobs: map[ID]*job{}, kinds: map[string]*kind{}, owners: map[string]*owner{},
		locks: map[string]*lock{}, breakers: map[string]*breaker{}, throttledOwners: map[*owner]struct{}{}, allowance: 1, totalBudget: newBuckets(set.Rates, 0)}
	s.delayed = indexedHeap[*job]{less: func(a, b *job) bool {
		return a.delayedUntil < b.delayedUntil || a.delayedUntil == b.delayedUntil && a.ID < b.ID
	}, setIndex: func(j *job, at int) { j.heapIndex = at }}
	s.idleOwners = indexedHeap[*owner]{less: func(a, b *owner) bool { return a.virtualTime < b.virtualTime }, setIndex: func(o *owner, at int) { o.idleIndex = at }}
	for i := range s.levels {
		s.levels[i] = map[string]*level{}
	}
	for name := range set.Kinds { // kinds without jobs too: the budget that they do not use goes to the pool
		s.kind(name)
	}
	return s
}

// Step processes events and returns the actions to perform, in order. now is from a clock that does not go back; wall is the time of day,
// for the kinds' windows.
func (s *Scheduler) Step(now time.Duration, wall time.Time, events ...Event) []Action {
	s.now, s.wall = max(now, s.now), wall
	s.actions = nil
	s.refillBuckets()
	for _, e := range events {
		switch e := e.(type) {
		case Submit:
			s.submit(e)
		case SliceEnded:
			s.sliceEnded(e)
		case SetAllowance:
			s.setAllowance(e.Fraction)
		case Command:
			s.command(e)
		case Configure:
			s.configure(e.Settings)
		}
	}
	s.wakeWaiting()
	for s.start() {
	}
	s.removeIdleOwners()
	return s.actions
}

// removeIdleOwners removes owners without jobs once that does not affect scheduling. An owner that is ahead in virtual time, in debt or
// paused must stay: it would be created again without that state when it submits its next job.
func (s *Scheduler) removeIdleOwners() {
	if len(s.jobs) == 0 {
		for _, o := range s.idleOwners.items {
			s.virtualTime = max(s.virtualTime, o.virtualTime)
		}
	}
	for {
		o, ok := s.idleOwners.top()
		if !ok || o.virtualTime > s.virtualTime || o.paused || !o.budget.solvent() {
			return
		}
		s.idleOwners.remove(0)
		delete(s.owners, o.name)
		delete(s.throttledOwners, o)
	}
}
