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

// What a panic ends.
const (
	PropagatePanic PanicPolicy = iota // it is passed on: state that others rely on may be half made
	StopWorker                        // the duty alone; the group says so, and the rest goes on without it
)

// PanicPolicy is what a panic in a duty ends.
type PanicPolicy uint8

// Group runs duties. The zero value is of no use; fill in Log and Clock.
type Group struct {
	Log            *slog.Logger
	Clock          func() time.Duration
	StallThreshold time.Duration                // a turn that lasts longer is named in the log; 0: none is
	OnExit         func(name string, err error) // told, in the duty's goroutine, that one has ended by itself; may be nil

	mu           sync.Mutex
	workers      []*runningWorker
	stopWatchdog context.CancelFunc // ends the watchdog; nil before the first duty
}

// runningWorker is one duty's goroutine.
type runningWorker struct {
	Runner
	onPanic PanicPolicy
	stop    context.CancelFunc
	done    chan struct{}

	mu          sync.Mutex
	stepStart   time.Duration // its present turn's begin; Never between turns
	stallLogged bool          // that turn was said to last long
	steps       uint64
	longest     time.Duration
	exitReason  string // why it is over
}

// Report is a duty as a command shows it.
type Report struct {
	Name          string `json:"name"`
	Steps         uint64 `json:"turns"`
	LongestStepUS int64  `json:"longest_us"` // of its turns, actions included
	CurrentStepUS int64  `json:"now_us"`     // its present turn has lasted so long; 0 between turns
	ExitReason    string `json:"ended,omitempty"`
	Inbox         Stats  `json:"inbox"`
}

// Start lets a duty run until the group stops or it fails. Duties that others need are started first.
func (g *Group) Start(t Runner, panics PanicPolicy) {
	ctx, stop := context.WithCancel(context.Background())
	r := &runningWorker{Runner: t, onPanic: panics, stop: stop, done: make(chan struct{}), stepStart: Never}
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
			g.Log.Error("a duty has ended", "duty", t.name(), "err", err)
			if g.OnExit != nil {
				g.OnExit(t.name(), err)
			}
		}
	}()
}

// watchdog names duties that stall, once a turn.
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
				g.Log.Warn("a duty stalls", "duty", r.name(), "for", lasts.Round(time.Millisecond))
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

// Reports shows each duty, in the order of starting.
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

// Stop ends the duties, the one started last first, each after its present turn. One that has not ended by the time that
// limit gives is left behind and named in the error.
func (g *Group) Stop(limit time.Duration) error {
	g.mu.Lock()
	if g.stopWatchdog != nil {
		g.stopWatchdog()
	}
	g.mu.Unlock()
	over := time.NewTimer(limit)
	defer over.Stop()
	for _, r := range slices.Backward(g.snapshot()) {
		r.stop()
		select {
		case <-r.done:
		case <-over.C:
			return fmt.Errorf("duty %s has not ended after %v", r.name(), limit)
		}
	}
	return nil
}

func (r *runningWorker) run(ctx context.Context, clock func() time.Duration) (err error) {
	if r.onPanic == StopWorker {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("panic: %v\n%s", p, debug.Stack())
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
