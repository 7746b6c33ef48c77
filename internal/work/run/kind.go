package run

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/internal/work"
)

// Task is a slice to do.
type Task struct {
	ID       work.ID
	Owner    string
	State    []byte // checkpoint: the Result.State of the last slice, or JobSpec.State
	Failures int    // in a row
}

// Result is what a slice did.
type Result struct {
	State []byte // checkpoint for the next slice
	More  bool   // the job needs another slice; else it is done
	Delay time.Duration
	Used  work.Cost
	Jobs  []JobSpec // spawned by the slice, accepted in the same transaction
}

// JobSpec is a job to submit.
type JobSpec struct {
	Kind          string
	Owner         string
	Priority      work.Priority
	Delay         time.Duration
	DeadlineAfter time.Duration // from now; 0: no deadline
	Remaining     time.Duration
	SliceCost     work.Cost // estimate of one slice
	Lock          string
	Resource      string
	State         []byte
}

// Kind is a kind of jobs: what its slices do, and what may be done to them after a kill.
type Kind struct {
	Name    string
	Version int // of the format of State; a job of a newer version is parked
	// Volatile: its jobs are not stored, and are gone with the process. Whoever wants them submits them anew.
	Volatile bool
	// Idempotent: doing a slice twice does no harm. Without it a slice is marked as intended in the store before it starts.
	Idempotent bool
	// CheckDone finds out after a kill whether the slice that was intended was done, and if so returns its result. Nil: nobody can
	// tell, and the job is parked.
	CheckDone func(ctx context.Context, t Task) (done bool, r Result, err error)
	// Slice does one slice. It returns soon after ctx ends.
	Slice func(ctx context.Context, t Task) (Result, error)
	// Timer submits jobs of this kind by a schedule; nil: none.
	Timer *Timer
}

// Timer is a schedule and the job that it makes.
type Timer struct {
	work.Schedule
	Job JobSpec
}
