package work

import (
	"fmt"
	"time"
)

// CapacityError is jobs that can't be accepted: a bound of Limits would be exceeded, or a priority does not exist.
type CapacityError struct{ Reason string }

// Error returns the reason.
func (e *CapacityError) Error() string { return e.Reason }

// CheckCapacity returns a *CapacityError if the jobs can't be accepted, all of them together.
func (s *Scheduler) CheckCapacity(jobs ...Job) error {
	if reason := s.capacityExceeded(jobs); reason != "" {
		return &CapacityError{Reason: reason}
	}
	return nil
}

func (s *Scheduler) capacityExceeded(jobs []Job) string {
	n, size := len(s.jobs), s.bytes
	by := map[string]int{}
	for i := range jobs {
		j := &jobs[i]
		n++
		size += j.Size
		by[j.Owner]++
		present := 0
		if o := s.owners[j.Owner]; o != nil {
			present = o.jobs
		}
		l := &s.settings.Limits
		switch {
		case j.Priority < 0 || j.Priority >= priorities:
			return j.Priority.String()
		case l.Depth > 0 && j.Depth > l.Depth:
			return fmt.Sprintf("jobs make jobs %d deep; %d is the most", j.Depth, l.Depth)
		case l.Jobs > 0 && n > l.Jobs:
			return fmt.Sprintf("%d jobs are held; there is no room for more", l.Jobs)
		case l.Bytes > 0 && size > l.Bytes:
			return fmt.Sprintf("jobs hold %d bytes; there is no room for more", s.bytes)
		case l.OwnerJobs > 0 && present+by[j.Owner] > l.OwnerJobs:
			return fmt.Sprintf("%s has %d jobs; one owner may have %d", j.Owner, present, l.OwnerJobs)
		}
	}
	return ""
}

func (s *Scheduler) submit(e Submit) {
	if s.jobs[e.ID] != nil || e.ID == 0 {
		s.actions = append(s.actions, Reject{e.ID, "its number is taken"})
		return
	}
	if err := s.CheckCapacity(e.Job); err != nil {
		s.actions = append(s.actions, Reject{e.ID, err.Error()})
		return
	}
	j := &job{Job: e.Job, failures: e.Failures, lastFailure: e.ParkedReason, effective: e.Priority, heapIndex: -1}
	s.jobs[j.ID] = j
	s.bytes += j.Size
	o := s.owner(j.Owner)
	if o.jobs++; o.idleIndex >= 0 {
		s.idleOwners.remove(o.idleIndex)
	}
	if e.ParkedReason != "" {
		j.state = parked
		return
	}
	s.readyAt(j, j.Earliest)
}

// readyAt makes a job ready at a time, or now if that is past.
func (s *Scheduler) readyAt(j *job, at time.Duration) {
	if at > s.now {
		j.state, j.delayedUntil = delayed, at
		s.delayed.add(j)
		return
	}
	s.ready(j)
}

// ready makes a job ready: it enters its owner's queue.
func (s *Scheduler) ready(j *job) {
	j.state = ready
	s.nextSequence++
	j.seq, j.readySince = s.nextSequence, s.now
	s.enqueue(j)
}
