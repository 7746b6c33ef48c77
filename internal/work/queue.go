package work

import (
	"slices"
)

// queue holds the ready jobs of one owner, kind and priority.
type queue struct {
	owner       *owner
	level       *level
	jobs        indexedHeap[*job]
	virtualTime float64 // the owner's, as of when the queue was last ordered
	heapIndex   int     // in the level's heap; -1: the owner is throttled
}

// level holds the queues of one kind and priority.
type level struct {
	kind   *kind
	queues map[string]*queue
	order  indexedHeap[*queue]
}

type owner struct {
	name            string
	weight          float64
	virtualTime     float64
	budget          *buckets
	jobs            int
	active          int // ready or running
	paused          bool
	idleIndex       int      // in Scheduler.idleOwners; -1: it has jobs
	throttledQueues []*queue // not in their levels' heaps while the owner is in debt or paused
	used            Cost
}

func (s *Scheduler) enqueue(j *job) {
	l := s.levels[j.effective][j.Kind]
	if l == nil {
		l = &level{kind: s.kind(j.Kind), queues: map[string]*queue{}}
		l.order = indexedHeap[*queue]{less: func(a, b *queue) bool {
			return a.virtualTime < b.virtualTime || a.virtualTime == b.virtualTime && a.owner.name < b.owner.name
		}, setIndex: func(q *queue, at int) { q.heapIndex = at }}
		s.levels[j.effective][j.Kind] = l
	}
	q := l.queues[j.Owner]
	if q == nil {
		q = &queue{owner: s.owner(j.Owner), level: l, heapIndex: -1}
		q.jobs = indexedHeap[*job]{less: lessLaxity, setIndex: func(j *job, at int) { j.heapIndex = at }}
		l.queues[j.Owner] = q
	}
	o := q.owner
	if o.active == 0 { // an owner that was idle has no claim to the budget that it did not use
		o.virtualTime = max(o.virtualTime, s.virtualTime)
	}
	o.active++
	s.readyCount++
	j.queue = q
	q.jobs.add(j)
	if q.jobs.Len() == 1 {
		s.orderQueue(q)
	}
}

// orderQueue puts a queue into its level's heap, or among its owner's throttledQueues if the owner is in debt or paused.
func (s *Scheduler) orderQueue(q *queue) {
	if q.owner.paused || !q.owner.budget.solvent() {
		q.owner.throttledQueues = append(q.owner.throttledQueues, q)
		s.throttledOwners[q.owner] = struct{}{}
		return
	}
	q.virtualTime = q.owner.virtualTime
	q.level.order.add(q)
}

// lessLaxity is the order within a queue: the least laxity first, then the first to become ready.
func lessLaxity(a, b *job) bool {
	x, y := a.laxity(), b.laxity()
	return x < y || x == y && a.seq < b.seq
}

// dequeue removes a ready job from its queue, and the queue from its level if the queue is then empty.
func (s *Scheduler) dequeue(j *job) {
	q := j.queue
	q.jobs.remove(j.heapIndex)
	q.owner.active--
	s.readyCount--
	j.queue = nil
	if q.jobs.Len() > 0 {
		return
	}
	if q.heapIndex >= 0 {
		q.level.order.remove(q.heapIndex)
	} else {
		q.owner.throttledQueues = slices.DeleteFunc(q.owner.throttledQueues, func(x *queue) bool { return x == q })
	}
	delete(q.level.queues, q.owner.name)
	if len(q.level.queues) == 0 {
		delete(s.levels[j.effective], j.Kind)
	}
}
