package work

import (
	"time"
)

// wakeWaiting makes jobs ready that waited for a time, for retry credit, or for a resource, and puts the queues of owners that are no
// longer throttled back into their levels' heaps.
func (s *Scheduler) wakeWaiting() {
	for {
		j, ok := s.delayed.top()
		if !ok || j.delayedUntil > s.now {
			break
		}
		s.delayed.remove(0)
		s.ready(j)
	}
	for _, k := range s.kinds {
		for e := k.waiting.Front(); e != nil && k.retryBudget.credit >= 1; e = k.waiting.Front() {
			k.retryBudget.credit--
			if j, ok := k.waiting.Remove(e).(*job); ok {
				j.waitElement = nil
				s.ready(j)
			}
		}
	}
	for _, b := range s.breakers {
		if b.open && b.trial == 0 && s.now >= b.until && len(b.waiting) > 0 { // one job is the trial
			j := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.trial = j.ID
			s.ready(j)
		}
	}
	for o := range s.throttledOwners {
		if o.paused || !o.budget.solvent() {
			continue
		}
		delete(s.throttledOwners, o)
		back := o.throttledQueues
		o.throttledQueues = nil
		for _, q := range back {
			s.orderQueue(q)
		}
	}
}

// Next returns when Step is to be called at the latest, on the scheduler's clock.
func (s *Scheduler) Next() time.Duration {
	next := never
	if j, ok := s.delayed.top(); ok {
		next = j.delayedUntil
	}
	sooner := func(t time.Duration) {
		if t > s.now && t < next {
			next = t
		}
	}
	for _, k := range s.kinds {
		if k.waiting.Len() > 0 && k.retryBudget.credit < 1 {
			sooner(s.now + time.Duration((1-k.retryBudget.credit)*float64(creditInterval)) + time.Millisecond)
		}
	}
	for _, b := range s.breakers {
		if b.open && len(b.waiting) > 0 && b.trial == 0 {
			sooner(b.until)
		}
	}
	for o := range s.throttledOwners {
		if !o.paused && len(o.throttledQueues) > 0 {
			sooner(addSaturating(s.now, o.budget.timeToSolvent(1)))
		}
	}
	if s.readyCount == 0 || s.settings.Limits.Running > 0 && s.runningCount >= s.settings.Limits.Running {
		return next
	}
	if !s.totalBudget.solvent() {
		sooner(addSaturating(s.now, s.totalBudget.timeToSolvent(s.allowance)))
		return next
	}
	for p := range s.levels {
		for _, l := range s.levels[p] {
			k := l.kind
			if k.paused || k.Running > 0 && k.running >= k.Running {
				continue
			}
			if k.windowOpensAt > s.now {
				sooner(k.windowOpensAt)
			} else if !k.budget.solvent() {
				sooner(addSaturating(s.now, k.budget.timeToSolvent(s.allowance)))
			}
		}
	}
	return next
}

func addSaturating(t, d time.Duration) time.Duration {
	if d > never-t {
		return never
	}
	return t + d
}
