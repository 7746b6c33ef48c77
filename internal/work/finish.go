package work

import (
	"slices"
)

func (s *Scheduler) sliceEnded(e SliceEnded) {
	j := s.jobs[e.ID]
	if j == nil || j.state != running {
		return
	}
	k, o := s.kind(j.Kind), s.owner(j.Owner)
	s.runningCount--
	k.running--
	o.active--
	s.charge(j, k, o, e.Used, j.SliceCost)
	j.used.Add(e.Used)
	k.used.Add(e.Used)
	o.used.Add(e.Used)
	j.slicesDone++
	failed := e.Failure != ""
	if j.Resource != "" {
		if b := s.breakers[j.Resource]; b != nil {
			b.recordResult(s.now, j.ID, failed, &s.settings.Breaker)
			if !b.open { // all jobs that waited for the resource may start
				back := b.waiting
				b.waiting = nil
				for _, w := range back {
					s.ready(w)
				}
				if b.failures == 0 {
					delete(s.breakers, j.Resource)
				}
			}
		}
	}
	switch {
	case j.dropped:
		s.finish(j, true)
	case failed:
		j.failures++
		j.lastFailure = e.Failure
		if e.Park || k.Retry.MaxFailures > 0 && j.failures >= k.Retry.MaxFailures {
			s.park(j, e.Failure)
			return
		}
		j.isRetry = true
		s.scheduleRetry(j, k)
	case e.More:
		k.retryBudget.recordSuccess(&k.Retry, j.isRetry)
		j.failures, j.lastFailure, j.isRetry = 0, "", false
		s.readyAt(j, s.now+max(0, e.Delay))
	default:
		k.retryBudget.recordSuccess(&k.Retry, j.isRetry)
		s.finish(j, false)
	}
}

// scheduleRetry makes a failed job wait for its backoff, or for retry credit if its kind has none.
func (s *Scheduler) scheduleRetry(j *job, k *kind) {
	pause := k.Retry.backoff(j.failures, s.random())
	if k.retryBudget.credit >= 1 {
		k.retryBudget.credit--
		s.readyAt(j, s.now+pause)
		return
	}
	j.state = awaitingRetryBudget
	j.waitElement = k.waiting.PushBack(j)
}

func (s *Scheduler) park(j *job, why string) {
	s.unlock(j)
	j.state, j.lastFailure = parked, why
	s.actions = append(s.actions, Park{j.ID, why})
}

// finish removes a job that is done or dropped.
func (s *Scheduler) finish(j *job, dropped bool) {
	s.unlock(j)
	if j.Resource != "" {
		if b := s.breakers[j.Resource]; b != nil && b.trial == j.ID {
			b.trial = 0
		}
	}
	delete(s.jobs, j.ID)
	s.bytes -= j.Size
	o := s.owner(j.Owner)
	if o.jobs--; o.jobs == 0 {
		s.idleOwners.add(o)
	}
	s.actions = append(s.actions, Finished{j.ID, dropped})
}

// removeWaiting removes a job from the queue, heap or list in which it waits.
func (s *Scheduler) removeWaiting(j *job) {
	switch j.state {
	case ready:
		s.dequeue(j)
	case delayed:
		s.delayed.remove(j.heapIndex)
	case awaitingLock:
		s.locks[j.Lock].waiters.Remove(j.waitElement)
		j.waitElement = nil
	case awaitingRetryBudget:
		s.kind(j.Kind).waiting.Remove(j.waitElement)
		j.waitElement = nil
	case awaitingResource:
		b := s.breakers[j.Resource]
		b.waiting = slices.DeleteFunc(b.waiting, func(x *job) bool { return x == j })
	case running, parked: // in no queue, heap or list
	}
}
