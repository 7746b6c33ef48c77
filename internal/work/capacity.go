package work

import (
	"fmt"
	"time"
)

// CapacityError reports jobs that can't be accepted: a bound of Limits would be exceeded, or a priority does not exist.
type CapacityError struct{ Reason string }

// Error returns the reason.
func (e *CapacityError) Error() string { return e.Reason }

// CheckCapacity returns a *CapacityError unless all the jobs can be accepted together.
func (s *Scheduler) CheckCapacity(jobs ...Job) error {
	if reason := s.capacityExceeded(jobs); reason != "" {
		return &CapacityError{Reason: reason}
	}
	return nil
}

func (s *Scheduler) capacityExceeded(jobs []Job) string {
	n, size := len(s.jobs), s.bytes
	perOwner := map[string]int{}
	for i := range jobs {
		j := &jobs[i]
		n++
		size += j.Size
		perOwner[j.Owner]++
		current := 0
		if o := s.owners[j.Owner]; o != nil {
			current = o.jobs
		}
		l := &s.settings.Limits
		switch {
		case j.Priority < 0 || j.Priority >= priorities:
			return j.Priority.String()
		case l.Depth > 0 && j.Depth > l.Depth:
			return fmt.Sprintf("the job is spawned %d deep; the limit is %d", j.Depth, l.Depth)
		case l.Jobs > 0 && n > l.Jobs:
			return fmt.Sprintf("the limit of %d jobs is reached", l.Jobs)
		case l.Bytes > 0 && size > l.Bytes:
			return fmt.Sprintf("jobs take %d bytes; the limit would be exceeded", s.bytes)
		case l.OwnerJobs > 0 && current+perOwner[j.Owner] > l.OwnerJobs:
			return fmt.Sprintf("owner %s has %d jobs; the limit per owner is %d", j.Owner, current, l.OwnerJobs)
		}
	}
	return ""
}

func (s *Scheduler) submit(e Submit) {
	if s.jobs[e.ID] != nil || e.ID == 0 {
		s.actions = append(s.actions, Reject{e.ID, "its ID is 0 or already in use"})
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
