package worker

import (
	"context"
	"math"
	"time"
)

// Never is the time of an alarm that does not ring.
const Never = time.Duration(math.MaxInt64)

// maxEventsPerStep bounds one step, however many events wait.
const maxEventsPerStep = 256

// Stepper is what a worker does, without I/O or clocks.
type Stepper[E, A any] interface {
	// Step takes events in and returns what is to be done, in that order, and when it wants to be called again at the latest.
	Step(now time.Duration, events []E) (actions []A, alarm time.Duration)
}

// Worker is an actor: a Stepper with its inbox and what executes its actions. Its fields are set before it starts.
type Worker[E, A any] struct {
	Name  string // as logs and commands show it
	Inbox *RingBuffer[E]
	Stepper[E, A]
	// Execute executes one action. It may block, on a disk say: only this worker's events wait meanwhile. An error stops the worker.
	Execute func(ctx context.Context, action A) error

	wakeAt time.Duration // when it is called at the latest; 0: at once
}

// Runner is a worker of any types, as a Group or a Scheduler runs it.
type Runner interface {
	name() string
	// runOnce takes one step; worked is whether there was anything to do. The clock is read after the events are taken: a process may stand
	// still anywhere, and an event that came after it went on must not be judged by the time from before.
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
