package worker

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

// PanicPolicy says what a panic in a worker terminates.
type PanicPolicy uint8

// The panic policies.
const (
	PropagatePanic PanicPolicy = iota // the process: state that other code relies on may be inconsistent
	StopWorker                        // the worker alone; the group logs the panic, and the other workers go on
)

// PanicError reports that a worker under StopWorker panicked.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the panic value and the stack of the goroutine.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// StopTimeoutError reports that a worker did not end in time. It is left running.
type StopTimeoutError struct {
	Worker  string
	Timeout time.Duration
}

// Error names the worker and the time-out.
func (e *StopTimeoutError) Error() string {
	return fmt.Sprintf("worker %s has not ended after %v", e.Worker, e.Timeout)
}

// Group runs workers: it owns their goroutines and the watchdog's, and Stop waits for the workers' end. Log and Clock must be set.
type Group struct {
	Log            *slog.Logger
	Clock          func() time.Duration         // monotonic
	StallThreshold time.Duration                // a step that lasts at least this long is logged; 0: no step is
	OnExit         func(name string, err error) // called, in the worker's goroutine, after a worker has failed; may be nil

	mu           sync.Mutex
	workers      []*runningWorker   // in the order of starting
	stopWatchdog context.CancelFunc // nil before the first worker
}

// runningWorker is one worker's goroutine.
type runningWorker struct {
	Runner
	onPanic PanicPolicy
	stop    context.CancelFunc
	done    chan struct{} // closed as the goroutine ends

	mu          sync.Mutex
	stepStart   time.Duration // of the current step; Never between steps
	stallLogged bool          // for the current step
	steps       uint64
	longest     time.Duration
	exitReason  string // "" while the worker runs, or if it was stopped
}

// Report is a worker as commands show it.
type Report struct {
	Name          string `json:"name"`
	Steps         uint64 `json:"turns"`
	LongestStepUS int64  `json:"longest_us"` // actions included
	CurrentStepUS int64  `json:"now_us"`     // 0 between steps
	ExitReason    string `json:"ended,omitempty"`
	Inbox         Stats  `json:"inbox"`
}

// Start runs a worker until the group stops or it fails. Workers that others depend on must be started first:
// Stop stops them in reverse order.
func (g *Group) Start(w Runner, onPanic PanicPolicy) {
	ctx, stop := context.WithCancel(context.Background())
	r := &runningWorker{Runner: w, onPanic: onPanic, stop: stop, done: make(chan struct{}), stepStart: Never}
	g.mu.Lock()
	g.workers = append(g.workers, r)
	if g.stopWatchdog == nil && g.StallThreshold > 0 {
		var watch context.Context
		watch, g.stopWatchdog = context.WithCancel(context.Background())
		go g.watchdog(watch.Done())
	}
	g.mu.Unlock()
	go func() {
		defer close(r.done)
		if err := r.run(ctx, g.Clock); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.exitReason = err.Error()
			r.mu.Unlock()
			g.Log.Error("a worker failed", "worker", w.name(), "err", err)
			if g.OnExit != nil {
				g.OnExit(w.name(), err)
			}
		}
	}()
}

// watchdog logs steps that last at least StallThreshold, each once.
func (g *Group) watchdog(done <-chan struct{}) {
	tick := time.NewTicker(max(time.Millisecond, g.StallThreshold/4))
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		now := g.Clock()
		for _, r := range g.snapshot() {
			r.mu.Lock()
			if lasts := now - r.stepStart; r.stepStart != Never && lasts >= g.StallThreshold && !r.stallLogged {
				r.stallLogged = true
				g.Log.Warn("a worker stalls", "worker", r.name(), "for", lasts.Round(time.Millisecond))
			}
			r.mu.Unlock()
		}
	}
}

func (g *Group) snapshot() []*runningWorker {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.workers)
}

// Reports returns a report on each worker, in the order of starting.
func (g *Group) Reports() []Report {
	now := g.Clock()
	var all []Report
	for _, r := range g.snapshot() {
		r.mu.Lock()
		rep := Report{Name: r.name(), Steps: r.steps, LongestStepUS: r.longest.Microseconds(), ExitReason: r.exitReason, Inbox: r.stats()}
		if r.stepStart != Never {
			rep.CurrentStepUS = (now - r.stepStart).Microseconds()
		}
		r.mu.Unlock()
		all = append(all, rep)
	}
	return all
}

// Stop ends the workers, the one started last first, each after its current step, all within timeout. The error is a *StopTimeoutError
// for the first one that has not ended by then; those started before it are not stopped.
func (g *Group) Stop(timeout time.Duration) error {
	g.mu.Lock()
	if g.stopWatchdog != nil {
		g.stopWatchdog()
	}
	g.mu.Unlock()
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for _, r := range slices.Backward(g.snapshot()) {
		r.stop()
		select {
		case <-r.done:
		case <-deadline.C:
			return &StopTimeoutError{Worker: r.name(), Timeout: timeout}
		}
	}
	return nil
}

func (r *runningWorker) run(ctx context.Context, clock func() time.Duration) (err error) {
	if r.onPanic == StopWorker {
		defer func() {
			if p := recover(); p != nil {
				err = &PanicError{Value: p, Stack: debug.Stack()}
			}
		}()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.ready():
		case <-timer.C:
		}
		now := clock()
		r.setStepStart(now)
		_, err := r.runOnce(ctx, clock)
		after := clock()
		r.setStepStart(Never)
		r.mu.Lock()
		r.steps++
		r.longest = max(r.longest, after-now)
		r.mu.Unlock()
		if err != nil {
			return err
		}
		if at := r.wakeTime(); at == Never {
			timer.Stop()
		} else {
			timer.Reset(max(0, at-after))
		}
	}
}

func (r *runningWorker) setStepStart(since time.Duration) {
	r.mu.Lock()
	r.stepStart, r.stallLogged = since, false
	r.mu.Unlock()
}
