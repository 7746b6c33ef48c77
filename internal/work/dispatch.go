package work

import (
	"container/list"
	"math"
	"time"
)

// One in lowerPriorityInterval starts goes to a priority below the highest one that has jobs.
const (
	lowerPriorityInterval = 8
	never                 = time.Duration(math.MaxInt64)
	minCharge             = 1e-6 // seconds of budget, charged for each slice so that owners whose slices use nothing take turns
)

// mayStart reports whether a kind may start a slice: it is not paused, below its concurrency, in its window and solvent.
func (s *Scheduler) mayStart(k *kind) bool {
	if k.paused || k.Running > 0 && k.running >= k.Running {
		return false
	}
	if k.Window != nil {
		open, next := k.Window.Open(s.wall)
		if !open {
			k.windowOpensAt = s.now + next.Sub(s.wall)
			return false
		}
	}
	for i := range k.budget {
		if b := &k.budget[i]; b.bounded() && b.level <= 0 && s.pool[i] <= 0 {
			return false
		}
	}
	return true
}

// start starts one slice, if any may start; it reports whether to try again.
func (s *Scheduler) start() bool {
	if s.settings.Limits.Running > 0 && s.runningCount >= s.settings.Limits.Running || !s.totalBudget.solvent() {
		return false
	}
	j := s.nextJob()
	if j == nil {
		return false
	}
	s.dequeue(j)
	if j.Lock != "" && !j.holdsLock {
		l := s.locks[j.Lock]
		if l == nil {
			l = &lock{waiters: list.New()}
			s.locks[j.Lock] = l
		}
		if l.holder != nil {
			j.state = awaitingLock
			j.waitElement = l.waiters.PushBack(j)
			s.inheritPriority(l.holder, j.effective)
			return true
		}
		l.holder, j.holdsLock = j, true
	}
	if j.Resource != "" {
		b := s.breakers[j.Resource]
		if b == nil {
			b = &breaker{}
			s.breakers[j.Resource] = b
		}
		if !b.admit(s.now, j.ID) {
			j.state = awaitingResource
			b.waiting = append(b.waiting, j)
			return true
		}
	}
	k, o := s.kind(j.Kind), s.owner(j.Owner)
	j.state = running
	s.runningCount++
	k.running++
	o.active++
	s.starts++
	s.virtualTime = max(s.virtualTime, o.virtualTime)
	s.charge(j, k, o, j.SliceCost, Cost{})
	s.actions = append(s.actions, Start{j.ID})
	return true
}

// nextJob returns the job to start next: by priority, then fairness, then laxity. Every lowerPriorityInterval-th start goes to a lower
// priority; the lower priorities that have jobs take turns.
func (s *Scheduler) nextJob() *job {
	var best *queue
	var lower [priorities]*queue
	n := 0
	for p := range s.levels {
		q := s.nextQueue(p)
		switch {
		case q == nil:
		case best == nil:
			best = q
			if s.starts%lowerPriorityInterval != lowerPriorityInterval-1 {
				j, _ := q.jobs.top()
				return j
			}
		default:
			lower[n] = q
			n++
		}
	}
	if best == nil {
		return nil
	}
	if n > 0 {
		best = lower[s.lowerPriorityStarts%uint64(n)]
		s.lowerPriorityStarts++
	}
	j, _ := best.jobs.top()
	return j
}

// nextQueue returns the queue whose turn it is within a priority; nil if nothing there may run.
func (s *Scheduler) nextQueue(p int) *queue {
	var best *queue
	for _, l := range s.levels[p] {
		if !s.mayStart(l.kind) {
			continue
		}
		if q := s.frontQueue(l); q != nil && (best == nil || q.virtualTime < best.virtualTime || q.virtualTime == best.virtualTime && q.name() < best.name()) {
			best = q
		}
	}
	return best
}

func (q *queue) name() string { return q.owner.name + "\x00" + q.level.kind.name }

// frontQueue returns the queue of the owner with the least virtual time. As virtual times grow while a queue waits, it is reordered lazily,
// when it comes to the top.
func (s *Scheduler) frontQueue(l *level) *queue {
	for {
		q, ok := l.order.top()
		if !ok {
			return nil
		}
		if q.owner.paused || !q.owner.budget.solvent() {
			l.order.remove(0)
			s.orderQueue(q)
			continue
		}
		if q.virtualTime != q.owner.virtualTime {
			q.virtualTime = q.owner.virtualTime
			l.order.fix(0)
			continue
		}
		return q
	}
}

// charge charges a slice's cost, less what was charged before, to all budgets. A kind's debt is paid from the pool as far as that goes.
func (s *Scheduler) charge(j *job, k *kind, o *owner, used, before Cost) {
	var d Cost
	for i := range d {
		d[i] = max(0, used[i]) - max(0, before[i])
	}
	s.totalBudget.take(d)
	for i := range o.budget { // refillBuckets skips owners that are not throttled
		o.budget[i].fill(s.now, 1)
	}
	o.budget.take(d)
	k.budget.take(d)
	for i := range k.budget {
		if b := &k.budget[i]; b.bounded() && b.level < 0 && s.pool[i] > 0 {
			n := min(s.pool[i], -b.level)
			s.pool[i] -= n
			b.level += n
		}
	}
	chargedShare, usedShare := s.settings.Rates.dominantShare(before), s.settings.Rates.dominantShare(used)
	if before == (Cost{}) {
		usedShare += minCharge
	}
	o.virtualTime += (usedShare - chargedShare) / o.weight
	if !o.budget.solvent() {
		s.throttledOwners[o] = struct{}{}
	}
}
