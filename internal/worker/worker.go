package worker

import (
	"context"
	"math"
	"time"
)

// Never is the alarm of a worker that waits for events only.
const Never = time.Duration(math.MaxInt64)

// maxEventsPerStep bounds the events of one step, however many wait.
const maxEventsPerStep = 256

// Stepper is the state machine of a worker, without I/O or clocks.
type Stepper[E, A any] interface {
	// Step processes events and returns the actions to execute, in order, and the time at which it must be called again at the latest.
	Step(now time.Duration, events []E) (actions []A, alarm time.Duration)
}

// Worker is an actor: a Stepper with its inbox and the function that executes its actions. Its fields are set before it starts.
type Worker[E, A any] struct {
	Name  string // as logs and commands show it
	Inbox *RingBuffer[E]
	Stepper[E, A]
	// Execute executes one action. It may block, for example on a disk: only this worker's events wait meanwhile. An error stops the worker.
	Execute func(ctx context.Context, action A) error

	wakeAt time.Duration // when the next step is due at the latest; 0: at once
}

// Runner is a worker of any types, as a Group or a Scheduler runs it.
type Runner interface {
	name() string
	// runOnce takes one step; worked is whether there was anything to do. The clock is read after the events are taken: the process may be
	// suspended anywhere, and an event that arrives after it resumes must not be processed with a time from before the suspension.
	runOnce(ctx context.Context, clock func() time.Duration) (worked bool, err error)
	ready() <-chan struct{}
	wakeTime() time.Duration
	stats() Stats
}

func (w *Worker[E, A]) name() string            { return w.Name }
func (w *Worker[E, A]) ready() <-chan struct{}  { return w.Inbox.Ready() }
func (w *Worker[E, A]) wakeTime() time.Duration { return w.wakeAt }
func (w *Worker[E, A]) stats() Stats            { return w.Inbox.Stats() }

func (w *Worker[E, A]) runOnce(ctx context.Context, clock func() time.Duration) (bool, error) {
	events := w.Inbox.Take(maxEventsPerStep)
	now := clock()
	if len(events) == 0 && now < w.wakeAt {
		return false, nil
	}
	var actions []A
	actions, w.wakeAt = w.Step(now, events)
	for _, a := range actions {
		if err := w.Execute(ctx, a); err != nil {
			return true, err
		}
	}
	return true, nil
}
