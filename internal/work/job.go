package work

import (
	"container/list"
	"fmt"
	"time"
)

// Priority is how urgent a job is.
type Priority int

// Priorities.
const (
	Urgent Priority = iota // somebody waits for it
	High
	Normal
	Low
	priorities
)

// PriorityNames returns the names of the priorities, the most urgent first.
func PriorityNames() []string { return []string{"urgent", "high", "normal", "low"} }

// String returns the priority's name.
func (p Priority) String() string {
	if p < 0 || p >= priorities {
		return fmt.Sprintf("priority %d", int(p))
	}
	return PriorityNames()[p]
}

// ID is a job's number; 0 is none.
type ID uint64

// Job is a piece of background work that is done in slices. Times are of the scheduler's clock.
type Job struct {
	ID        ID
	Kind      string
	Owner     string // a member, or a subsystem
	Priority  Priority
	Earliest  time.Duration // no slice starts before
	Deadline  time.Duration // 0: none. It orders jobs of one owner and priority; missing it ends nothing
	SliceCost Cost          // estimate of one slice
	Remaining time.Duration // estimate of all slices
	Lock      string        // held by one job at a time, from its first slice to its end; empty: none
	Resource  string        // what it depends on, with one circuit breaker: a disk, a peer, a receiver; empty: nothing
	Size      int64         // bytes in memory and store
	Depth     int           // of jobs spawned by jobs
}

// state is a job's state; doc.go has the transitions.
type state int

const (
	ready               state = iota // in its owner's queue
	delayed                          // until a time
	running                          // a slice of it
	awaitingLock                     // it waits for a lock
	awaitingResource                 // it waits for a resource
	awaitingRetryBudget              // it waits for its kind's retry budget
	parked                           // it waits for an operator
)

type job struct {
	Job
	state        state
	seq          uint64        // the order in which jobs became ready
	readySince   time.Duration // it has been ready
	delayedUntil time.Duration // delayed
	failures     int
	lastFailure  string
	effective    Priority // its own, or inherited from a job that waits for its lock
	holdsLock    bool     // its lock
	dropped      bool     // while it runs
	isRetry      bool     // its next start is a further try
	used         Cost
	slicesDone   int
	queue        *queue
	heapIndex    int           // in its queue's or the delayed heap
	waitElement  *list.Element // among those that wait for the same
}

// laxity is the latest start by which the job meets its deadline. The order of two jobs never changes as time passes.
func (j *job) laxity() time.Duration {
	if j.Deadline == 0 {
		return never
	}
	return j.Deadline - j.Remaining
}
