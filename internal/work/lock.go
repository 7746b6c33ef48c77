package work

import (
	"container/list"
)

type lock struct {
	holder  *job
	waiters *list.List
}

// inheritPriority raises the priority of the job that holds a lock to that of a job that waits for the lock.
func (s *Scheduler) inheritPriority(j *job, p Priority) {
	if p >= j.effective {
		return
	}
	if j.state == ready {
		s.dequeue(j)
		j.effective = p
		s.enqueue(j) // seq does not change, so the job is still ordered by when it became ready
		return
	}
	j.effective = p
}

// unlock releases a job's lock to the first waiter of the highest priority, which becomes ready.
func (s *Scheduler) unlock(j *job) {
	j.effective = j.Priority
	if !j.holdsLock {
		return
	}
	j.holdsLock = false
	l := s.locks[j.Lock]
	l.holder = nil
	var next *list.Element
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if next == nil || e.Value.(*job).effective < next.Value.(*job).effective {
			next = e
		}
	}
	if next == nil {
		delete(s.locks, j.Lock)
		return
	}
	w, _ := l.waiters.Remove(next).(*job)
	w.waitElement = nil
	l.holder, w.holdsLock = w, true
	for e := l.waiters.Front(); e != nil; e = e.Next() {
		if o, ok := e.Value.(*job); ok {
			w.effective = min(w.effective, o.effective)
		}
	}
	s.ready(w)
}
