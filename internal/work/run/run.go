// Package run does background work: workers, cancellation and a watchdog round the decisions of package work, with what
// must outlast the process in package store.
package run

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/store"
)

// Task is a slice that is to be done.
type Task struct {
	ID       work.ID
	Owner    string
	State    []byte // where the last slice said to go on
	Failures int    // in a row
}

// Result is how a slice went.
type Result struct {
	State []byte // where to go on
	More  bool   // there is more; else the job is done
	Delay time.Duration
	Used  work.Cost
	Jobs  []JobSpec // made by it
}

// JobSpec is a job to be taken on.
type JobSpec struct {
	Kind          string
	Owner         string
	Priority      work.Priority
	Delay         time.Duration
	DeadlineAfter time.Duration // it should be done; 0: no deadline
	Remaining     time.Duration
	SliceCost     work.Cost // what a slice is said to use
	Lock          string
	Resource      string
	State         []byte
}

// ErrPark says that a slice is not to be tried again by itself.
var ErrPark = errors.New("this waits for an operator")

// Kind is what a kind of jobs does.
type Kind struct {
	Name    string
	Version int // of its state's form; a job of a newer one waits
	// Memory: its jobs are not kept. One that the process leaves behind is taken on anew by whoever wants it.
	Volatile bool
	// Repeat: a slice does no harm if it is done once more. Without it what is about to be done is written down first.
	Idempotent bool
	// CheckDone says after a kill whether the slice that was about to be done was done, and if so where to go on, as its
	// result. Nil: nobody can say, and the job is parked.
	CheckDone func(ctx context.Context, t Task) (done bool, r Result, err error)
	// Slice does one slice. It ends soon after ctx.
	Slice func(ctx context.Context, t Task) (Result, error)
	// Timer has a job of this kind taken on by schedule; nil: none.
	Timer *Timer
}

// Timer is a schedule and the job that it makes.
type Timer struct {
	work.Schedule
	Job JobSpec
}

// Config is a runner's.
type Config struct {
	Settings       work.Settings
	Path           string // of the store
	Bytes          int64  // of all jobs in it
	Targets        work.Targets
	Load           func() work.LoadSignals // how busy live work is; nil: not at all
	Workers        int
	SlowSlice      time.Duration // a slice that runs for longer is named
	Random         func() float64
	Wall           func() time.Time
	IgnorePressure bool // pressure is not heeded: for measurements

	wrapStore func(jobStore) jobStore // for tests
}

// jobStore is what is kept of jobs; package store has it.
type jobStore interface {
	Add(records []store.Record, timer string, ran time.Time) error
	LastRun(timer string) (time.Time, error)
	MarkIntended(id work.ID) error
	ClearIntended(id work.ID) error
	RecordFailure(id work.ID, fails int, parked string) error
	Park(id work.ID, why string) error
	Checkpoint(id work.ID, state []byte, earliest int64, made []store.Record) error
	Complete(id work.ID, made []store.Record) error
	Load(f func(store.Record) error) error
	Close() error
}

const (
	loadInterval  = 100 * time.Millisecond
	timerInterval = 30 * time.Second // wall clocks jump: schedules and windows are looked at so often
	maxStackBytes = 1 << 20
)

// Runner does background work.
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

	// The loop's.
	sched          *work.Scheduler
	pressure       work.Pressure
	running        map[work.ID]*runningSlice
	records        map[work.ID]*store.Record // of all jobs that are held
	nextVolatileID work.ID                   // numbers of those that are not kept count down from here
	lastRuns       map[string]time.Time      // schedules: of which time the last run was
	dueTimes       map[string]time.Time
	timerFailing   bool // the store
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

// Start opens the store, takes up what an earlier process left, and begins.
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

// resume takes up what an earlier process left.
func (r *Runner) resume() error {
	var events []work.Event
	err := r.store.Load(func(rec store.Record) error {
		parked := rec.ParkedReason
		k := r.kinds[rec.Kind]
		switch {
		case k == nil:
			parked = "nobody here does " + rec.Kind
		case rec.Version > k.Version:
			parked = fmt.Sprintf("it is of version %d of %s, and this is %d", rec.Version, rec.Kind, k.Version)
		case rec.Intended && k.CheckDone == nil && parked == "":
			parked = "the process ended while a slice of it was under way: it may have been done"
		}
		r.records[rec.ID] = &rec
		events = append(events, work.Submit{Job: r.job(&rec), Failures: rec.Failures, ParkedReason: parked})
		return nil
	})
	if err != nil {
		return err
	}
	for _, k := range r.kinds {
		if k.Timer != nil {
			if r.lastRuns[k.Name], err = r.store.LastRun(k.Name); err != nil {
				return err
			}
		}
	}
	// What is held already is held, whatever the bounds are now; but no more run than there are workers.
	open := r.config.Settings
	open.Limits = work.Limits{Running: r.config.Workers}
	r.step(append([]work.Event{work.Configure{Settings: open}}, events...)...)
	r.step(work.Configure{Settings: r.config.Settings})
	return nil
}

// job is a record as the scheduler takes it: its times are of the runner's clock.
func (r *Runner) job(rec *store.Record) work.Job {
	j := work.Job{ID: rec.ID, Kind: rec.Kind, Owner: rec.Owner, Priority: rec.Priority, SliceCost: rec.SliceCost, Remaining: time.Duration(rec.Remaining), Lock: rec.Lock,
		Resource: rec.Resource, Depth: rec.Depth, Size: int64(len(rec.State)) + 200}
	wall, now := r.config.Wall().UnixNano(), r.now()
	if rec.Earliest > 0 {
		j.Earliest = now + time.Duration(rec.Earliest-wall)
	}
	if rec.Deadline > 0 {
		j.Deadline = max(1, now+time.Duration(rec.Deadline-wall))
	}
	return j
}

func (r *Runner) record(n *JobSpec, depth int) store.Record {
	wall := r.config.Wall().UnixNano()
	rec := store.Record{Kind: n.Kind, Owner: n.Owner, Priority: n.Priority, SliceCost: n.SliceCost, Remaining: int64(n.Remaining), Lock: n.Lock, Resource: n.Resource, Depth: depth, State: n.State}
	if k := r.kinds[n.Kind]; k != nil {
		rec.Version = k.Version
	}
	if n.Delay > 0 {
		rec.Earliest = wall + int64(n.Delay)
	}
	if n.DeadlineAfter > 0 {
		rec.Deadline = wall + int64(n.DeadlineAfter)
	}
	return rec
}

// ErrShuttingDown says that the runner has ended.
var ErrShuttingDown = errors.New("background work is ending")

// call runs f in the loop.
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

// Submit takes jobs on, all or none. When it returns without an error those that are kept are on the disk.
func (r *Runner) Submit(jobs ...JobSpec) error {
	err := ErrShuttingDown
	if e := r.call(func() { err = r.submit(jobs, 0, "", time.Time{}) }); e != nil {
		return e
	}
	return err
}

func (r *Runner) submit(jobs []JobSpec, depth int, timer string, ran time.Time) error {
	var keep []store.Record
	var all []*store.Record
	var ask []work.Job
	for i := range jobs {
		k := r.kinds[jobs[i].Kind]
		if k == nil {
			return fmt.Errorf("there is no kind of work %q", jobs[i].Kind)
		}
		rec := r.record(&jobs[i], depth)
		ask = append(ask, r.job(&rec))
		if k.Volatile {
			r.nextVolatileID--
			rec.ID = r.nextVolatileID
			all = append(all, &rec)
		} else {
			keep = append(keep, rec)
		}
	}
	if err := r.sched.CheckCapacity(ask...); err != nil {
		return err
	}
	if len(keep) > 0 || timer != "" {
		if err := r.store.Add(keep, timer, ran); err != nil {
			return err
		}
	}
	for i := range keep {
		all = append(all, &keep[i])
	}
	r.accept(all)
	return nil
}

// accept tells the scheduler of jobs that stand where they are to.
func (r *Runner) accept(all []*store.Record) {
	var events []work.Event
	for _, rec := range all {
		r.records[rec.ID] = rec
		events = append(events, work.Submit{Job: r.job(rec)})
	}
	r.step(events...)
}

func (r *Runner) step(events ...work.Event) {
	r.apply(r.sched.Step(r.now(), r.config.Wall(), events...))
}

// apply does what the scheduler says.
func (r *Runner) apply(actions []work.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case work.Start:
			r.startSlice(a.ID)
		case work.Reject: // it was asked before whether there is room
			r.log.Error("a job is refused", "job", a.ID, "why", a.Reason)
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

// persisted reports whether a job stands in the store.
func (r *Runner) persisted(id work.ID) bool { return id < 1<<61 }

func (r *Runner) deleteDropped(id work.ID) {
	if r.persisted(id) {
		if err := r.store.Complete(id, nil); err != nil && !errors.Is(err, store.ErrNotFound) {
			r.log.Error("a dropped job is still in the store and comes back with the next process", "job", id, "err", err)
		}
	}
}

// startSlice has a worker do a slice.
func (r *Runner) startSlice(id work.ID) {
	if r.ctx.Err() != nil { // it is leaving: the next process begins it
		return
	}
	rec := r.records[id]
	k := r.kinds[rec.Kind]
	if k == nil { // it was started by hand, and nobody does it
		r.results <- sliceResult{id, Result{}, fmt.Errorf("nobody here does %s: %w", rec.Kind, ErrPark)}
		return
	}
	settle := rec.Intended && r.persisted(id) && !k.Idempotent
	if !settle && !k.Idempotent && r.persisted(id) {
		if err := r.store.MarkIntended(id); err != nil {
			r.results <- sliceResult{id, Result{}, fmt.Errorf("what is intended can't be written down: %w", err)}
			return
		}
		rec.Intended = true
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.running[id] = &runningSlice{cancel: cancel, startedAt: time.Now(), kind: k}
	t := Task{ID: id, Owner: rec.Owner, State: rec.State, Failures: rec.Failures}
	r.workers.Add(1)
	go func() {
		defer r.workers.Done()
		e := sliceResult{id: id}
		e.res, e.err = runSlice(ctx, k, t, settle)
		r.results <- e
	}()
}

// errNotDone says that a slice that was about to be done was not.
var errNotDone = errors.New("the slice was not done")

// runSlice does a slice, or finds out whether it was done. What panics has failed.
func runSlice(ctx context.Context, k *Kind, t Task, check bool) (res Result, err error) {
	defer func() {
		if p := recover(); p != nil {
			res, err = Result{}, fmt.Errorf("panic: %v\n%s", p, debug.Stack())
		}
	}()
	if !check {
		return k.Slice(ctx, t)
	}
	if k.CheckDone == nil { // an operator has it run all the same
		return k.Slice(ctx, t)
	}
	done, res, err := k.CheckDone(ctx, t)
	if err == nil && !done {
		err = errNotDone
	}
	return res, err
}

func (r *Runner) loop() {
	defer close(r.done)
	timer := time.NewTimer(0)
	facts := time.NewTicker(loadInterval)
	look := time.NewTicker(timerInterval)
	defer timer.Stop()
	defer facts.Stop()
	defer look.Stop()
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
		case <-facts.C:
			r.reportSlowSlices()
			part := 1.0
			if r.config.Load != nil && !r.config.IgnorePressure {
				part = r.pressure.Step(r.now(), r.config.Load())
			}
			r.step(work.SetAllowance{Fraction: part})
		case <-look.C:
			r.submitDueTimers()
			r.step()
		case <-timer.C:
			r.submitDueTimers()
			r.step()
		}
	}
}

// handleResult books how a slice went: first where it lasts, then with the scheduler.
func (r *Runner) handleResult(e sliceResult) {
	rec := r.records[e.id]
	if s := r.running[e.id]; s != nil {
		s.cancel()
		delete(r.running, e.id)
	}
	if rec == nil {
		return
	}
	ev := work.SliceEnded{ID: e.id, Used: e.res.Used, More: e.res.More, Delay: e.res.Delay}
	if errors.Is(e.err, errNotDone) { // it is to be done now
		rec.Intended = false
		if err := r.store.ClearIntended(e.id); err != nil {
			rec.Intended = true
			ev.Failure = err.Error()
		} else {
			ev.More = true
		}
		r.step(ev)
		return
	}
	var made []store.Record
	if e.err == nil {
		made, e.err = r.spawnedRecords(rec, e.res.Jobs)
	}
	if e.err == nil && r.persisted(e.id) {
		if e.res.More {
			earliest := int64(0)
			if e.res.Delay > 0 {
				earliest = r.config.Wall().UnixNano() + int64(e.res.Delay)
			}
			e.err = r.store.Checkpoint(e.id, e.res.State, earliest, made)
		} else {
			e.err = r.store.Complete(e.id, made)
		}
		if e.err != nil { // the slice is done, and that can't be written down: if it can't be done twice, nobody may try
			e.err = fmt.Errorf("what was done can't be written down: %w", e.err)
			if !r.kinds[rec.Kind].Idempotent {
				ev.Park = true
			}
			ev.Failure = e.err.Error()
			r.step(ev)
			return
		}
	}
	if e.err == nil {
		rec.State, rec.Intended, rec.Failures = e.res.State, false, 0
		var all []*store.Record
		for i := range made {
			if k := r.kinds[made[i].Kind]; k.Volatile {
				r.nextVolatileID--
				made[i].ID = r.nextVolatileID
			}
			all = append(all, &made[i])
		}
		r.step(ev)
		r.accept(all)
		return
	}
	ev.Failure, ev.Park = e.err.Error(), errors.Is(e.err, ErrPark)
	rec.Failures++
	if r.ctx.Err() != nil { // called off as the runner leaves: it is no failure, and nothing is written
		return
	}
	parked := ""
	if limit := r.maxFailures(rec.Kind); ev.Park || limit > 0 && rec.Failures >= limit {
		parked, ev.Park = ev.Failure, true
	}
	if r.persisted(e.id) {
		// A slice that failed says that it was not done: what is intended no more.
		if err := r.store.RecordFailure(e.id, rec.Failures, parked); err != nil && !errors.Is(err, store.ErrNotFound) {
			r.log.Warn("that a job failed can't be written down", "job", e.id, "err", err)
		} else {
			rec.Intended = false
		}
	}
	r.step(ev)
}

func (r *Runner) maxFailures(kind string) int {
	if k, ok := r.config.Settings.Kinds[kind]; ok && k.Retry != (work.Retry{}) {
		return k.Retry.MaxFailures
	}
	return work.DefaultRetry().MaxFailures
}

// spawnedRecords is the records of jobs that a slice made, if there is room for them.
func (r *Runner) spawnedRecords(by *store.Record, jobs []JobSpec) ([]store.Record, error) {
	var recs []store.Record
	var ask []work.Job
	for i := range jobs {
		k := r.kinds[jobs[i].Kind]
		if k == nil {
			return nil, fmt.Errorf("there is no kind of work %q: %w", jobs[i].Kind, ErrPark)
		}
		if k.Volatile != r.kinds[by.Kind].Volatile {
			return nil, fmt.Errorf("%s is kept and %s is not, or the other way round: %w", by.Kind, jobs[i].Kind, ErrPark)
		}
		rec := r.record(&jobs[i], by.Depth+1)
		recs = append(recs, rec)
		ask = append(ask, r.job(&rec))
	}
	if err := r.sched.CheckCapacity(ask...); err != nil {
		return nil, fmt.Errorf("the jobs that it makes are not taken: %w", err)
	}
	return recs, nil
}

// submitDueTimers takes on what schedules say.
func (r *Runner) submitDueTimers() {
	wall := r.config.Wall()
	for name, k := range r.kinds {
		if k.Timer == nil || wall.Before(r.dueTimes[name]) && r.dueTimes[name].Sub(wall) < timerInterval {
			continue
		}
		runs, last, next := k.Timer.Due(r.lastRuns[name], wall)
		r.dueTimes[name] = next
		if runs == 0 && last.Equal(r.lastRuns[name]) {
			continue
		}
		jobs := make([]JobSpec, runs)
		for i := range jobs {
			jobs[i] = k.Timer.Job
		}
		if err := r.submit(jobs, 0, name, last); err != nil {
			if !r.timerFailing {
				r.log.Warn("timed work is not taken on", "kind", name, "err", err)
			}
			r.timerFailing = true
			r.dueTimes[name] = wall.Add(time.Second)
			continue
		}
		r.timerFailing = false
		r.lastRuns[name] = last
	}
}

func (r *Runner) nextTimer() time.Duration {
	next := timerInterval
	wall := r.config.Wall()
	for _, t := range r.dueTimes {
		next = min(next, t.Sub(wall))
	}
	return next
}

// reportSlowSlices names slices that overrun, each once, with what all goroutines do: among them is the one that hangs.
func (r *Runner) reportSlowSlices() {
	for id, s := range r.running {
		if s.reported || time.Since(s.startedAt) < r.config.SlowSlice {
			continue
		}
		s.reported = true
		stack := make([]byte, maxStackBytes)
		stack = stack[:runtime.Stack(stack, true)]
		r.log.Error("a slice takes long", "job", id, "kind", s.kind.Name, "owner", r.records[id].Owner, "for", time.Since(s.startedAt).Round(time.Millisecond), "stack", string(stack))
	}
}

// Command does what an operator wants.
func (r *Runner) Command(c work.Command) error {
	return r.call(func() {
		if c.Verb == work.Run { // what was parked is so no more, in the store too
			for _, v := range r.sched.Views(work.Filter{ID: c.ID, Kind: c.Kind, Owner: c.Owner, State: "parked"}) {
				if r.persisted(v.ID) {
					if err := r.store.Park(v.ID, ""); err != nil {
						r.log.Warn("that a job is parked no more can't be written down", "job", v.ID, "err", err)
					}
				}
				r.records[v.ID].Failures = 0
			}
		}
		r.step(c)
	})
}

// Configure takes other settings.
func (r *Runner) Configure(set work.Settings) error {
	set.Limits.Running = r.config.Workers
	return r.call(func() {
		r.config.Settings = set
		r.step(work.Configure{Settings: set})
	})
}

// Report is what is known of all work.
type Report struct {
	Jobs       []work.View  `json:"jobs"`
	Kinds      []work.Total `json:"kinds"`
	Owners     []work.Total `json:"owners"`
	JobCount   int          `json:"held"`
	Running    int          `json:"running"`
	Allowance  float64      `json:"allow"` // the part of its budget that live traffic leaves
	Worst      string       `json:"worst,omitempty"`
	WorstRatio float64      `json:"over"`
}

// Report tells of the jobs that a filter chooses.
func (r *Runner) Report(f work.Filter) (rep Report, err error) {
	err = r.call(func() {
		rep.Jobs = r.sched.Views(f)
		rep.Kinds, rep.Owners = r.sched.Totals()
		rep.JobCount, rep.Running = r.sched.Len()
		rep.Allowance = r.pressure.Allowance()
		rep.Worst, rep.WorstRatio = r.pressure.Worst()
	})
	return rep, err
}

// Close calls off what runs and waits for it, but not for longer than a time: what overruns is named, and its slice counts
// as one that a kill has cut off.
func (r *Runner) Close(timeout time.Duration) error {
	r.stop()
	<-r.done
	drained := make(chan struct{})
	go func() {
		r.workers.Wait()
		close(drained)
	}()
	over := time.NewTimer(timeout)
	defer over.Stop()
	for left := true; left; {
		select {
		case e := <-r.results: // done in the last moment: it is written down
			r.handleResult(e)
		case <-drained:
			for drain := true; drain; {
				select {
				case e := <-r.results:
					r.handleResult(e)
				default:
					drain = false
				}
			}
			left = false
		case <-over.C:
			for id, s := range r.running {
				r.log.Error("a slice does not end", "job", id, "kind", s.kind.Name, "for", time.Since(s.startedAt).Round(time.Millisecond))
			}
			left = false
		}
	}
	return r.store.Close()
}
