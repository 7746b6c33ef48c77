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
	Urgent Priority = iota // a caller waits for the result
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

// ID identifies a job; 0 means no job.
type ID uint64

// Job is a piece of background work that is done in slices. Times are of the scheduler's clock.
type Job struct {
	ID        ID
	Kind      string
	Owner     string // a member, or a subsystem
	Priority  Priority
	Earliest  time.Duration // no slice starts before this time
	Deadline  time.Duration // 0: none. Orders jobs of one owner and priority; a job that misses it still runs
	SliceCost Cost          // estimate of one slice
	Remaining time.Duration // estimate of all slices
	Lock      string        // held by one job at a time, from its first slice to its end; empty: none
	Resource  string        // dependency with one circuit breaker, such as a disk, a peer or a receiver; empty: none
	Size      int64         // bytes in memory and store
	Depth     int           // number of ancestors: jobs that spawned this one, directly or indirectly
}

// state is a job's state; doc.go has the transitions.
type state int

const (
	ready               state = iota // in its owner's queue
	delayed                          // until delayedUntil
	running                          // a slice of it runs
	awaitingLock                     // another job holds its lock
	awaitingResource                 // the circuit breaker of its resource is open
	awaitingRetryBudget              // its kind has no retry credit
	parked                           // until an operator runs or drops it
)

type job struct {
	Job
	state        state
	seq          uint64        // order in which jobs became ready
	readySince   time.Duration // when it last became ready
	delayedUntil time.Duration // in state delayed
	failures     int
	lastFailure  string
	effective    Priority // its own Priority, or one inherited from a job that waits for its lock
	holdsLock    bool     // it holds Job.Lock
	dropped      bool     // an operator dropped it while a slice ran
	isRetry      bool     // its next slice repeats one that failed
	used         Cost
	slicesDone   int
	queue        *queue
	heapIndex    int           // in the heap of its queue, or in Scheduler.delayed
	waitElement  *list.Element // in the list of jobs that wait for the same lock or retry budget
}

// laxity returns the latest start time at which the job still meets its deadline. It does not depend on the current time, so the order of
// two jobs never changes as time passes.
func (j *job) laxity() time.Duration {
	if j.Deadline == 0 {
		return never
	}
	return j.Deadline - j.Remaining
}
