package worker

import (
	"context"
	"math"
	"time"
)

// Never is the time of an alarm that does not ring.
const Never = time.Duration(math.MaxInt64)

// maxEventsPerStep is how many events one step is given: a step is short, however much waits.
const maxEventsPerStep = 256

// Stepper is what a duty does, free of I/O and clocks.
type Stepper[E, A any] interface {
	// Step takes events in and gives what is to be done, in that order, and when it wants to be called at the latest.
	Step(now time.Duration, events []E) (actions []A, alarm time.Duration)
}

// Worker is a Stepper with its inbox and what carries out its actions.
type Worker[E, A any] struct {
	Name  string
	Inbox *RingBuffer[E]
	Stepper[E, A]
	// Execute carries out an action. It may wait, for a disk say: the duty's own events wait meanwhile, and nobody else's. An error
	// ends the duty.
	Execute func(ctx context.Context, a A) error

	wakeAt time.Duration // when it is called at the latest; 0: at once
}

// Runner is a duty as a group or a scheduler runs it.
type Runner interface {
	name() string
	// runOnce takes one step. worked is whether there was anything to do by then. The clock is read once the events are taken: a process
	// may stand still anywhere, and what came after it woke must not be judged by the time from before.
	runOnce(ctx context.Context, clock func() time.Duration) (worked bool, err error)
	ready() <-chan struct{}
	wakeTime() time.Duration
	stats() Stats
}

func (d *Worker[E, A]) name() string { return d.Name }

func (d *Worker[E, A]) ready() <-chan struct{} { return d.Inbox.Ready() }

func (d *Worker[E, A]) wakeTime() time.Duration { return d.wakeAt }

func (d *Worker[E, A]) stats() Stats { return d.Inbox.Stats() }

func (d *Worker[E, A]) runOnce(ctx context.Context, clock func() time.Duration) (bool, error) {
	events := d.Inbox.Take(maxEventsPerStep)
	now := clock()
	if len(events) == 0 && now < d.wakeAt {
		return false, nil
	}
	var actions []A
	actions, d.wakeAt = d.Step(now, events)
	for _, a := range actions {
		if err := d.Execute(ctx, a); err != nil {
			return true, err
		}
	}
	return true, nil
}
