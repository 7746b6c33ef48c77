package run

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/internal/work"
)

// Task is the input of one slice.
type Task struct {
	ID       work.ID
	Owner    string
	State    []byte // checkpoint: the Result.State of the last slice, or JobSpec.State
	Failures int    // consecutive
}

// Result is the outcome of one slice.
type Result struct {
	State []byte // checkpoint for the next slice
	More  bool   // the job needs another slice; else it is done
	Delay time.Duration
	Used  work.Cost
	Jobs  []JobSpec // spawned by the slice; stored in the same transaction as its result
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

// Kind is a kind of jobs: what its slices do, and how an interrupted slice is handled after a kill.
type Kind struct {
	Name    string
	Version int // of the format of State; a job of a newer version is parked
	// Volatile: its jobs are not stored, and end with the process. The caller that needs them must submit them again.
	Volatile bool
	// Idempotent: doing a slice twice does no harm. Without it a slice is marked as intended in the store before it starts.
	Idempotent bool
	// CheckDone finds out after a kill whether the slice that was intended was done, and if so returns its result. Nil: that can't be
	// determined, and the job is parked.
	CheckDone func(ctx context.Context, t Task) (done bool, r Result, err error)
	// Slice does one slice. It must return soon after ctx ends.
	Slice func(ctx context.Context, t Task) (Result, error)
	// Timer submits jobs of this kind by a schedule; nil: none.
	Timer *Timer
}

// Timer is a schedule and the job that it submits.
type Timer struct {
	work.Schedule
	Job JobSpec
}
