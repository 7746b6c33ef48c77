package worker

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"runtime/debug"
	"slices"
	"sync"
	"time"
)

// Never is the time of an alarm that does not ring.
const Never = time.Duration(math.MaxInt64)

// turnMost is how many events one step is given: a step is short, however much waits.
const turnMost = 256

// Stepper is what a duty does, free of I/O and clocks.
type Stepper[E, A any] interface {
	// Step takes events in and gives what is to be done, in that order, and when it wants to be called at the latest.
	Step(now time.Duration, events []E) (actions []A, alarm time.Duration)
}

// Duty is a Stepper with its inbox and what carries out its actions.
type Duty[E, A any] struct {
	Name string
	In   *Ring[E]
	Stepper[E, A]
	// Do carries out an action. It may wait, for a disk say: the duty's own events wait meanwhile, and nobody else's. An error
	// ends the duty.
	Do func(ctx context.Context, a A) error

	alarm time.Duration // when it is called at the latest; 0: at once
}

// Turner is a duty as a group or a scheduler runs it.
type Turner interface {
	name() string
	// turn takes one step. worked is whether there was anything to do by then. The clock is read once the events are taken: a process
	// may stand still anywhere, and what came after it woke must not be judged by the time from before.
	turn(ctx context.Context, clock func() time.Duration) (worked bool, err error)
	ready() <-chan struct{}
	next() time.Duration
	stats() Stats
}

func (d *Duty[E, A]) name() string           { return d.Name }
func (d *Duty[E, A]) ready() <-chan struct{} { return d.In.Ready() }
func (d *Duty[E, A]) next() time.Duration    { return d.alarm }
func (d *Duty[E, A]) stats() Stats           { return d.In.Stats() }

func (d *Duty[E, A]) turn(ctx context.Context, clock func() time.Duration) (bool, error) {
	events := d.In.Take(turnMost)
	now := clock()
	if len(events) == 0 && now < d.alarm {
		return false, nil
	}
	var actions []A
	actions, d.alarm = d.Step(now, events)
	for _, a := range actions {
		if err := d.Do(ctx, a); err != nil {
			return true, err
		}
	}
	return true, nil
}

// OnPanic is what a panic in a duty ends.
type OnPanic uint8

// What a panic ends.
const (
	EndProcess OnPanic = iota // it is passed on: state that others rely on may be half made
	EndDuty                   // the duty alone; the group says so, and the rest goes on without it
)

// Group runs duties. The zero value is of no use; fill in Log and Clock.
type Group struct {
	Log   *slog.Logger
	Clock func() time.Duration
	Stall time.Duration                // a turn that lasts longer is named in the log; 0: none is
	Ended func(name string, err error) // told, in the duty's goroutine, that one has ended by itself; may be nil

	mu      sync.Mutex
	running []*running
	watched context.CancelFunc // ends the watchdog; nil before the first duty
}

// running is one duty's goroutine.
type running struct {
	Turner
	panics OnPanic
	stop   context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	since   time.Duration // its present turn's begin; Never between turns
	named   bool          // that turn was said to last long
	turns   uint64
	longest time.Duration
	ended   string // why it is over
}

// Report is a duty as a command shows it.
type Report struct {
	Name      string `json:"name"`
	Turns     uint64 `json:"turns"`
	LongestUS int64  `json:"longest_us"` // of its turns, actions included
	NowUS     int64  `json:"now_us"`     // its present turn has lasted so long; 0 between turns
	Ended     string `json:"ended,omitempty"`
	Inbox     Stats  `json:"inbox"`
}

// Start lets a duty run until the group stops or it fails. Duties that others need are started first.
func (g *Group) Start(t Turner, panics OnPanic) {
	ctx, stop := context.WithCancel(context.Background())
	r := &running{Turner: t, panics: panics, stop: stop, done: make(chan struct{}), since: Never}
	g.mu.Lock()
	g.running = append(g.running, r)
	if g.watched == nil && g.Stall > 0 {
		var watch context.Context
		watch, g.watched = context.WithCancel(context.Background())
		go g.watch(watch.Done())
	}
	g.mu.Unlock()
	go func() {
		defer close(r.done)
		if err := r.run(ctx, g.Clock); err != nil && ctx.Err() == nil {
			r.mu.Lock()
			r.ended = err.Error()
			r.mu.Unlock()
			g.Log.Error("a duty has ended", "duty", t.name(), "err", err)
			if g.Ended != nil {
				g.Ended(t.name(), err)
			}
		}
	}()
}

func (r *running) run(ctx context.Context, clock func() time.Duration) (err error) {
	if r.panics == EndDuty {
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
		r.mark(now)
		_, err := r.turn(ctx, clock)
		after := clock()
		r.mark(Never)
		r.mu.Lock()
		r.turns++
		r.longest = max(r.longest, after-now)
		r.mu.Unlock()
		if err != nil {
			return err
		}
		if at := r.next(); at == Never {
			timer.Stop()
		} else {
			timer.Reset(max(0, at-after))
		}
	}
}

func (r *running) mark(since time.Duration) {
	r.mu.Lock()
	r.since, r.named = since, false
	r.mu.Unlock()
}

// watch names duties that stall, once a turn.
func (g *Group) watch(done <-chan struct{}) {
	tick := time.NewTicker(max(time.Millisecond, g.Stall/4))
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		now := g.Clock()
		for _, r := range g.all() {
			r.mu.Lock()
			if lasts := now - r.since; r.since != Never && lasts >= g.Stall && !r.named {
				r.named = true
				g.Log.Warn("a duty stalls", "duty", r.name(), "for", lasts.Round(time.Millisecond))
			}
			r.mu.Unlock()
		}
	}
}

func (g *Group) all() []*running {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.running)
}

// Reports shows each duty, in the order of starting.
func (g *Group) Reports() []Report {
	now := g.Clock()
	var all []Report
	for _, r := range g.all() {
		r.mu.Lock()
		rep := Report{Name: r.name(), Turns: r.turns, LongestUS: r.longest.Microseconds(), Ended: r.ended, Inbox: r.stats()}
		if r.since != Never {
			rep.NowUS = (now - r.since).Microseconds()
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
	if g.watched != nil {
		g.watched()
	}
	g.mu.Unlock()
	over := time.NewTimer(limit)
	defer over.Stop()
	for _, r := range slices.Backward(g.all()) {
		r.stop()
		select {
		case <-r.done:
		case <-over.C:
			return fmt.Errorf("duty %s has not ended after %v", r.name(), limit)
		}
	}
	return nil
}
