package run

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/store"
)

const (
	loadInterval  = 100 * time.Millisecond
	timerInterval = 30 * time.Second // schedules and windows are checked this often, since wall clocks jump
	maxStackBytes = 1 << 20
)

// Runner runs background jobs, as the package comment describes.
type Runner struct {
	config    Config
	log       *slog.Logger
	kinds     map[string]*Kind
	store     jobStore
	startedAt time.Time

	requests chan func()
	results  chan sliceResult
	stop     context.CancelFunc
	ctx      context.Context
	done     chan struct{}
	workers  sync.WaitGroup

	// Owned by the loop.
	sched          *work.Scheduler
	pressure       work.Pressure
	running        map[work.ID]*runningSlice
	records        map[work.ID]*store.Record // of all unfinished jobs
	nextVolatileID work.ID                   // IDs of volatile jobs count down from here
	lastRuns       map[string]time.Time      // scheduled time of each timer's last run
	dueTimes       map[string]time.Time
	timerFailing   bool // the last submission of a timer's jobs failed, which was logged
}

type runningSlice struct {
	cancel    context.CancelFunc
	startedAt time.Time
	reported  bool
	kind      *Kind
}

type sliceResult struct {
	id  work.ID
	res Result
	err error
}

// Start opens the store, resumes the jobs that an earlier process left, and starts the loop.
func Start(c Config, kinds []*Kind, log *slog.Logger) (*Runner, error) {
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Wall == nil {
		c.Wall = time.Now
	}
	if c.Workers <= 0 {
		c.Workers = 2
	}
	if c.SlowSlice <= 0 {
		c.SlowSlice = 30 * time.Second
	}
	c.Settings.Limits.Running = c.Workers
	r := &Runner{config: c, log: log, kinds: map[string]*Kind{}, startedAt: time.Now(), requests: make(chan func()), results: make(chan sliceResult, c.Workers),
		done: make(chan struct{}), sched: work.New(c.Settings, c.Random), pressure: work.Pressure{Targets: c.Targets}, running: map[work.ID]*runningSlice{},
		records: map[work.ID]*store.Record{}, nextVolatileID: 1 << 62, lastRuns: map[string]time.Time{}, dueTimes: map[string]time.Time{}}
	for _, k := range kinds {
		r.kinds[k.Name] = k
	}
	st, err := store.Open(c.Path, c.Bytes)
	if err != nil {
		return nil, err
	}
	if r.store = st; c.wrapStore != nil {
		r.store = c.wrapStore(st)
	}
	r.ctx, r.stop = context.WithCancel(context.Background())
	if err := r.resume(); err != nil {
		r.stop()
		return nil, errors.Join(err, r.store.Close())
	}
	go r.loop()
	return r, nil
}

func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }

// call runs f in the loop and waits for it; ErrShuttingDown if the loop has ended.
func (r *Runner) call(f func()) error {
	done := make(chan struct{})
	select {
	case r.requests <- func() { f(); close(done) }:
		<-done
		return nil
	case <-r.ctx.Done():
		return ErrShuttingDown
	}
}

func (r *Runner) loop() {
	defer close(r.done)
	timer := time.NewTimer(0)
	loadTicker := time.NewTicker(loadInterval)
	timerTicker := time.NewTicker(timerInterval)
	defer timer.Stop()
	defer loadTicker.Stop()
	defer timerTicker.Stop()
	r.submitDueTimers()
	for {
		timer.Reset(max(0, min(r.sched.Next()-r.now(), r.nextTimer())))
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.requests:
			f()
		case e := <-r.results:
			r.handleResult(e)
		case <-loadTicker.C:
			r.reportSlowSlices()
			fraction := 1.0
			if r.config.Load != nil && !r.config.IgnorePressure {
				fraction = r.pressure.Step(r.now(), r.config.Load())
			}
			r.step(work.SetAllowance{Fraction: fraction})
		case <-timerTicker.C:
			r.submitDueTimers()
			r.step()
		case <-timer.C:
			r.submitDueTimers()
			r.step()
		}
	}
}

func (r *Runner) step(events ...work.Event) {
	r.apply(r.sched.Step(r.now(), r.config.Wall(), events...))
}

// apply performs the actions of the scheduler.
func (r *Runner) apply(actions []work.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case work.Start:
			r.startSlice(a.ID)
		case work.Reject: // unexpected: CheckCapacity permitted the job before
			r.log.Error("the scheduler rejected a job", "job", a.ID, "why", a.Reason)
			delete(r.records, a.ID)
		case work.Finished:
			if a.Dropped {
				r.deleteDropped(a.ID)
			}
			delete(r.records, a.ID)
		case work.Park:
			r.log.Warn("a job waits for an operator", "job", a.ID, "kind", r.records[a.ID].Kind, "owner", r.records[a.ID].Owner, "why", a.Reason)
		case work.Stop:
			if s := r.running[a.ID]; s != nil {
				s.cancel()
			}
		}
	}
}

// persisted reports whether a job is in the store, and not volatile.
func (r *Runner) persisted(id work.ID) bool { return id < 1<<61 }

// Close cancels the slices that run and waits for them, up to a time-out. A slice that overruns it is logged, and the next process
// treats it as interrupted by a kill.
func (r *Runner) Close(timeout time.Duration) error {
	r.stop()
	<-r.done
	drained := make(chan struct{})
	go func() {
		r.workers.Wait()
		close(drained)
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case e := <-r.results: // a slice that ends while Close waits is recorded
			r.handleResult(e)
		case <-drained:
			r.drainResults()
			return r.store.Close()
		case <-timer.C:
			for id, s := range r.running {
				r.log.Error("a slice does not end", "job", id, "kind", s.kind.Name, "for", time.Since(s.startedAt).Round(time.Millisecond))
			}
			return r.store.Close()
		}
	}
}

// drainResults handles the results that workers left before they ended.
func (r *Runner) drainResults() {
	for {
		select {
		case e := <-r.results:
			r.handleResult(e)
		default:
			return
		}
	}
}
