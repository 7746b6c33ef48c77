package work

import (
	"container/list"
	"math"
	"time"
)

// lowerPriorityInterval is how many starts there are to one of a lower priority than the best that has something to run.
const (
	lowerPriorityInterval = 8
	never                 = time.Duration(math.MaxInt64)
	minCharge             = 1e-6 // of a second, for a slice that used nothing: owners then take turns
)

// mayStart reports whether a kind may start a slice.
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

// start begins one slice, if any may; it reports whether to look again.
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

// nextJob is the job that goes next: by priority, fairness and time to spare. Every so often it is one of a lower priority, each
// of those that have any in turn: within a priority the turns are those of fairness always.
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

// nextQueue is the queue whose turn it is in a priority; nil if nothing there may run.
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

// frontQueue is the queue of the owner that is furthest behind. Virtual times grow while a queue waits: it is put in order again
// when that shows at the top.
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

// charge takes what was used, less what was charged before; the kind's debt is paid from the pool as far as there is any.
func (s *Scheduler) charge(j *job, k *kind, o *owner, used, before Cost) {
	var d Cost
	for i := range d {
		d[i] = max(0, used[i]) - max(0, before[i])
	}
	s.totalBudget.take(d)
	for i := range o.budget { // those of owners who are not in debt are filled only here
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
	was, is := s.settings.Rates.dominantShare(before), s.settings.Rates.dominantShare(used)
	if before == (Cost{}) {
		is += minCharge
	}
	o.virtualTime += (is - was) / o.weight
	if !o.budget.solvent() {
		s.throttledOwners[o] = struct{}{}
	}
}
