package run

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/work"
	"saffronyard.example/saffronyard/internal/work/store"
)

const waitTimeout = 20 * time.Second

var errCrashed = errors.New("the process has crashed")

// crashingProcess simulates a process that crashes at step crashAt, before or after the step takes effect. Steps are writes to the store
// and side effects of slices. After the crash neither has any effect.
type crashingProcess struct {
	mu          sync.Mutex
	steps       int
	crashAt     int
	afterStep   bool
	crashed     bool
	crashSignal chan struct{}
}

func (m *crashingProcess) do(f func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.crashed {
		return errCrashed
	}
	m.steps++
	if m.steps != m.crashAt {
		return f()
	}
	m.crashed = true
	close(m.crashSignal)
	if m.afterStep {
		f()
	}
	return errCrashed
}

// crashingStore is the store of a crashingProcess.
type crashingStore struct {
	jobStore
	process *crashingProcess
}

func (d crashingStore) Add(r []store.Record, timer string, ran time.Time) error {
	return d.process.do(func() error { return d.jobStore.Add(r, timer, ran) })
}
func (d crashingStore) Intend(id work.ID) error {
	return d.process.do(func() error { return d.jobStore.Intend(id) })
}
func (d crashingStore) ClearIntent(id work.ID) error {
	return d.process.do(func() error { return d.jobStore.ClearIntent(id) })
}
func (d crashingStore) RecordFailure(id work.ID, n int, p string) error {
	return d.process.do(func() error { return d.jobStore.RecordFailure(id, n, p) })
}
func (d crashingStore) Checkpoint(id work.ID, s []byte, e int64, m []store.Record) error {
	return d.process.do(func() error { return d.jobStore.Checkpoint(id, s, e, m) })
}
func (d crashingStore) Complete(id work.ID, m []store.Record) error {
	return d.process.do(func() error { return d.jobStore.Complete(id, m) })
}

// sideEffects counts the side effects of slices by name.
type sideEffects struct {
	mu     sync.Mutex
	counts map[string]int
}

func (w *sideEffects) perform(m *crashingProcess, what string) error {
	return m.do(func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.counts[what]++
		return nil
	})
}

func (w *sideEffects) performed(what string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[what] > 0
}

// threeSliceKind returns a kind whose jobs have three slices with one side effect each. The second slice spawns a job with one slice.
func threeSliceKind(name string, w *sideEffects, m *crashingProcess, idempotent, hasCheckDone bool) *Kind {
	next := func(t Task) (Result, string) {
		n := len(t.State) // "", "p", "pp"; a child begins with "c"
		what := fmt.Sprintf("%s %s %d", name, t.Owner, n)
		if strings.HasPrefix(string(t.State), "c") {
			return Result{}, what + " child"
		}
		r := Result{State: append(bytes.Clone(t.State), 'p'), More: n < 2, Used: work.Cost{work.CPU: 1}}
		if n == 1 {
			r.Jobs = []JobSpec{{Kind: name, Owner: t.Owner, Priority: work.Low, State: []byte("c")}}
		}
		return r, what
	}
	k := &Kind{Name: name, Idempotent: idempotent, Slice: func(_ context.Context, t Task) (Result, error) {
		r, what := next(t)
		return r, w.perform(m, what)
	}}
	if hasCheckDone {
		k.CheckDone = func(_ context.Context, t Task) (bool, Result, error) {
			r, what := next(t)
			return w.performed(what), r, nil
		}
	}
	return k
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func config(path string) Config {
	return Config{Path: path, Bytes: 1 << 20, Workers: 2, Settings: work.Settings{Limits: work.Limits{Jobs: 1000, OwnerJobs: 1000, Depth: 2},
		Kinds: map[string]work.Kind{}}, Random: func() float64 { return 0 }}
}

// waitUntilIdle waits until nothing but parked jobs is left.
func waitUntilIdle(t *testing.T, r *Runner) Report {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		rep, err := r.Report(work.Filter{})
		if err != nil {
			t.Fatal(err)
		}
		left := 0
		for _, j := range rep.Jobs {
			if j.State != "parked" {
				left++
			}
		}
		if left == 0 {
			return rep
		}
		if time.Now().After(deadline) {
			t.Fatalf("%+v", rep.Jobs)
		}
	}
}

// The process crashes before or after each step that writes to the store or has a side effect, and the next process resumes the jobs. Each
// slice must be done exactly once; a slice of an idempotent kind may be done once more, and a job whose interrupted slice can't be checked
// is parked.
func TestRunner_DiesAtEachStep(t *testing.T) {
	jobs := []JobSpec{{Kind: "repeat", Owner: "a"}, {Kind: "settle", Owner: "b"}, {Kind: "neither", Owner: "c"}}
	runWithCrash := func(t *testing.T, crashAt int, afterStep bool) (steps int) {
		path := filepath.Join(t.TempDir(), "work.db")
		w := &sideEffects{counts: map[string]int{}}
		kinds := func(m *crashingProcess) []*Kind {
			return []*Kind{threeSliceKind("repeat", w, m, true, false), threeSliceKind("settle", w, m, false, true), threeSliceKind("neither", w, m, false, false)}
		}
		first := &crashingProcess{crashAt: crashAt, afterStep: afterStep, crashSignal: make(chan struct{})}
		c := config(path)
		c.wrapStore = func(k jobStore) jobStore { return crashingStore{k, first} }
		r, err := Start(c, kinds(first), discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		submitted := r.Submit(jobs...) == nil
		if crashAt == 0 {
			waitUntilIdle(t, r)
		} else {
			select {
			case <-first.crashSignal:
			case <-time.After(waitTimeout):
				t.Fatal("the process does not reach this step")
			}
		}
		if err := r.Close(waitTimeout); err != nil {
			t.Fatal(err)
		}
		if crashAt == 0 {
			return first.steps
		}
		second := &crashingProcess{crashSignal: make(chan struct{})}
		if r, err = Start(config(path), kinds(second), discardLogger()); err != nil {
			t.Fatal(err)
		}
		defer r.Close(waitTimeout)
		rep := waitUntilIdle(t, r)
		for _, j := range rep.Jobs {
			if j.Kind != "neither" || !strings.Contains(j.Err, "may have been done") {
				t.Errorf("%+v is parked", j)
			}
		}
		if len(rep.Jobs) > 2 {
			t.Errorf("%d jobs are parked, want at most 2", len(rep.Jobs))
		}
		repeated := 0
		for what, n := range w.counts {
			if n > 1 {
				repeated += n - 1
				if !strings.HasPrefix(what, "repeat") {
					t.Errorf("%s happened %d times", what, n)
				}
			}
		}
		if repeated > 2 { // two slices may be in flight
			t.Errorf("%d side effects were repeated, want at most 2", repeated)
		}
		if submitted || len(w.counts) > 0 {
			for _, kind := range []string{"repeat a", "settle b", "neither c"} {
				if kind == "neither c" && len(rep.Jobs) > 0 {
					continue
				}
				for _, what := range []string{"0", "1", "2", "1 child"} {
					if w.counts[kind+" "+what] == 0 {
						t.Errorf("%s %s never happened: %v", kind, what, w.counts)
					}
				}
			}
		}
		return 0
	}
	steps := runWithCrash(t, 0, false)
	if steps < 30 {
		t.Fatalf("%d steps", steps)
	}
	for crashAt := 1; crashAt <= steps; crashAt++ {
		for _, afterStep := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/%v", crashAt, afterStep), func(t *testing.T) {
				t.Parallel()
				runWithCrash(t, crashAt, afterStep)
			})
		}
	}
}

// The store is full or fails for a while. Submit must return the error. A slice whose result can't be stored is done again only if its kind
// is idempotent, and else its job is parked. Jobs continue when the store works again.
func TestRunner_StoreFails(t *testing.T) {
	w := &sideEffects{counts: map[string]int{}}
	m := &crashingProcess{crashSignal: make(chan struct{})}
	c := config(filepath.Join(t.TempDir(), "work.db"))
	st := &failingStore{}
	c.wrapStore = func(k jobStore) jobStore { st.jobStore = k; return st }
	c.Settings.Kinds["repeat"] = work.Kind{Retry: work.Retry{InitialBackoff: 1, MaxBackoff: 1, Credit: 100}}
	r, err := Start(c, []*Kind{threeSliceKind("repeat", w, m, true, false), threeSliceKind("neither", w, m, false, false)}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close(waitTimeout)
	st.failAdd(true)
	if err := r.Submit(JobSpec{Kind: "repeat", Owner: "a"}); !errors.Is(err, errFull) {
		t.Error(err)
	}
	st.failAdd(false)
	if err := r.Submit(JobSpec{Kind: "repeat", Owner: "a"}, JobSpec{Kind: "neither", Owner: "b", Delay: time.Hour}); err != nil {
		t.Fatal(err)
	}
	waitForRepeatJobs := func() { // all jobs but the one that is delayed by an hour
		for deadline := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
			if rep, _ := r.Report(work.Filter{Kind: "repeat"}); len(rep.Jobs) == 0 {
				return
			}
			if time.Now().After(deadline) {
				t.Fatal("the jobs are not finished")
			}
		}
	}
	waitForRepeatJobs()
	st.failCheckpoint(true)
	if err := r.Submit(JobSpec{Kind: "repeat", Owner: "z"}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(waitTimeout); !w.performed("repeat z 0"); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the slice was not started")
		}
	}
	st.failCheckpoint(false)
	waitForRepeatJobs()
	// A slice that is not idempotent and whose result can't be stored has its job parked.
	st.failCheckpoint(true)
	if err := r.Command(work.Command{Verb: work.Run, Kind: "neither"}); err != nil {
		t.Fatal(err)
	}
	rep := waitUntilIdle(t, r)
	if len(rep.Jobs) != 1 || !strings.Contains(rep.Jobs[0].Err, "the slice can't be stored") || w.counts["neither b 0"] != 1 {
		t.Errorf("%+v, %v", rep.Jobs, w.counts)
	}
	small := config(filepath.Join(t.TempDir(), "small.db"))
	small.Bytes = 1000
	r2, err := Start(small, []*Kind{threeSliceKind("repeat", w, m, true, false)}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer r2.Close(waitTimeout)
	if err := r2.Submit(JobSpec{Kind: "repeat", Owner: "a", State: make([]byte, 2000)}); !errors.Is(err, store.ErrFull) {
		t.Error(err)
	}
}

var errFull = errors.New("no space left on device")

type failingStore struct {
	jobStore
	mu                        sync.Mutex
	addFails, checkpointFails bool
}

func (f *failingStore) failAdd(on bool)        { f.mu.Lock(); f.addFails = on; f.mu.Unlock() }
func (f *failingStore) failCheckpoint(on bool) { f.mu.Lock(); f.checkpointFails = on; f.mu.Unlock() }

func (f *failingStore) Add(r []store.Record, timer string, ran time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addFails {
		return errFull
	}
	return f.jobStore.Add(r, timer, ran)
}

func (f *failingStore) Checkpoint(id work.ID, s []byte, e int64, m []store.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checkpointFails {
		return errFull
	}
	return f.jobStore.Checkpoint(id, s, e, m)
}

// The runner handles jobs that panic, hang, spawn jobs recursively, are parked by their slice, are of a newer version, or are of an unknown
// kind.
func TestRunner_FaultyJobs(t *testing.T) {
	var logged syncBuffer
	c := config(filepath.Join(t.TempDir(), "work.db"))
	c.SlowSlice = 50 * time.Millisecond
	c.Settings.Limits.OwnerJobs = 20
	for _, k := range []string{"panics", "spawns"} {
		c.Settings.Kinds[k] = work.Kind{Retry: work.Retry{InitialBackoff: 1, MaxBackoff: 1, MaxFailures: 2, Credit: 100}}
	}
	unblock := make(chan struct{})
	var spawnerSlices atomic.Int32
	kinds := []*Kind{
		{Name: "panics", Idempotent: true, Slice: func(context.Context, Task) (Result, error) { panic("test panic") }},
		{Name: "hangs", Idempotent: true, Slice: func(ctx context.Context, _ Task) (Result, error) { <-unblock; return Result{}, nil }},
		{Name: "spawns", Idempotent: true, Slice: func(context.Context, Task) (Result, error) {
			spawnerSlices.Add(1)
			return Result{Jobs: make10("spawns")}, nil
		}},
		{Name: "parks", Idempotent: true, Slice: func(context.Context, Task) (Result, error) {
			return Result{}, fmt.Errorf("operator must decide: %w", ErrPark)
		}},
	}
	c.Workers = 3
	r, err := Start(c, kinds, slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Submit(JobSpec{Kind: "nonsense"}); err == nil || !strings.Contains(err.Error(), "unknown kind of work") {
		t.Error(err)
	}
	if err := r.Submit(JobSpec{Kind: "panics", Owner: "a"}, JobSpec{Kind: "parks", Owner: "a"}, JobSpec{Kind: "hangs", Owner: "h"}); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
		rep, _ := r.Report(work.Filter{State: "parked"})
		if len(rep.Jobs) == 2 && strings.Contains(logged.String(), "a slice takes long") {
			if !strings.Contains(rep.Jobs[0].Err, "test panic") || !strings.Contains(rep.Jobs[0].Err, "runner_test.go") || !strings.Contains(rep.Jobs[1].Err, "operator must decide") {
				t.Errorf("%+v", rep.Jobs)
			}
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%+v\n%s", rep.Jobs, logged.String())
		}
	}
	if n := strings.Count(logged.String(), "a slice takes long"); n != 1 || !strings.Contains(logged.String(), "TestRunner_FaultyJobs") {
		t.Errorf("the slow slice is logged %d times, want once with its stack", n)
	}
	close(unblock)
	if err := r.Submit(JobSpec{Kind: "spawns", Owner: "b"}); err != nil {
		t.Fatal(err)
	}
	rep := waitUntilIdle(t, r)
	if spawnerSlices.Load() > 40 || rep.JobCount > 25 {
		t.Errorf("%d slices ran, %d jobs are left", spawnerSlices.Load(), rep.JobCount)
	}
	for _, j := range rep.Jobs {
		if j.Kind == "spawns" && !strings.Contains(j.Err, "not accepted") {
			t.Errorf("%+v", j)
		}
	}
	if err := r.Close(waitTimeout); err != nil {
		t.Fatal(err)
	}
	// The next process has an earlier version of one kind, and lacks the other kinds.
	st, err := store.Open(c.Path, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Add([]store.Record{{Kind: "parks", Version: 2, Owner: "n"}}, "", time.Time{}); err != nil {
		t.Fatal(err)
	}
	st.Close()
	if r, err = Start(c, kinds[3:], discardLogger()); err != nil {
		t.Fatal(err)
	}
	defer r.Close(waitTimeout)
	rep = waitUntilIdle(t, r)
	newer, unknown := 0, 0
	for _, j := range rep.Jobs {
		if strings.Contains(j.Err, "of version 2") {
			newer++
		}
		if strings.Contains(j.Err, "nobody here does") {
			unknown++
		}
	}
	if newer != 1 || unknown == 0 {
		t.Errorf("%+v", rep.Jobs)
	}
}

func make10(kind string) []JobSpec {
	var out []JobSpec
	for range 10 {
		out = append(out, JobSpec{Kind: kind, Owner: "b"})
	}
	return out
}

type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// Close during ten slices: those that observe their context are cancelled, one that ignores it is logged, and Close returns in time. The
// next process resumes all ten jobs.
func TestRunner_Close(t *testing.T) {
	var logged syncBuffer
	c := config(filepath.Join(t.TempDir(), "work.db"))
	c.Workers = 10
	started := make(chan struct{}, 10)
	unblock := make(chan struct{})
	defer close(unblock)
	slow := func(ignoresContext bool) func(context.Context, Task) (Result, error) {
		return func(ctx context.Context, _ Task) (Result, error) {
			started <- struct{}{}
			if ignoresContext {
				<-unblock
			}
			<-ctx.Done()
			return Result{}, ctx.Err()
		}
	}
	r, err := Start(c, []*Kind{{Name: "slow", Idempotent: true, Slice: slow(false)}, {Name: "unresponsive", Idempotent: true, Slice: slow(true)}}, slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	for range 9 {
		if err := r.Submit(JobSpec{Kind: "slow", Owner: "a"}); err != nil {
			t.Fatal(err)
		}
	}
	r.Submit(JobSpec{Kind: "unresponsive", Owner: "a"})
	for range 10 {
		<-started
	}
	from := time.Now()
	if err := r.Close(200 * time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(from); took > 10*time.Second || strings.Count(logged.String(), "a slice does not end") != 1 {
		t.Errorf("%v\n%s", took, logged.String())
	}
	if err := r.Submit(JobSpec{Kind: "slow"}); !errors.Is(err, ErrShuttingDown) {
		t.Error(err)
	}
	quick := func(context.Context, Task) (Result, error) { return Result{}, nil }
	if r, err = Start(c, []*Kind{{Name: "slow", Idempotent: true, Slice: quick}, {Name: "unresponsive", Idempotent: true, Slice: quick}}, discardLogger()); err != nil {
		t.Fatal(err)
	}
	defer r.Close(waitTimeout)
	if rep := waitUntilIdle(t, r); rep.Kinds == nil || rep.JobCount != 0 {
		t.Errorf("%+v", rep)
	}
}

// Jobs that an earlier process left run no more slices at once than there are workers.
func TestRunner_ConcurrencyAfterRestart(t *testing.T) {
	c := config(filepath.Join(t.TempDir(), "work.db"))
	st, err := store.Open(c.Path, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Add(make10Records("slow"), "", time.Time{}); err != nil {
		t.Fatal(err)
	}
	st.Close()
	var running, mostRunning atomic.Int32
	started := make(chan struct{}, 10)
	r, err := Start(c, []*Kind{{Name: "slow", Idempotent: true, Slice: func(context.Context, Task) (Result, error) {
		n := running.Add(1)
		defer running.Add(-1)
		for m := mostRunning.Load(); n > m && !mostRunning.CompareAndSwap(m, n); m = mostRunning.Load() {
		}
		started <- struct{}{}
		time.Sleep(2 * time.Millisecond)
		return Result{}, nil
	}}}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close(waitTimeout)
	waitUntilIdle(t, r)
	if mostRunning.Load() > int32(c.Workers) || len(started) != 10 {
		t.Errorf("%d of %d slices ran at once, with %d workers", mostRunning.Load(), len(started), c.Workers)
	}
}

func make10Records(kind string) []store.Record {
	var out []store.Record
	for range 10 {
		out = append(out, store.Record{Kind: kind, Owner: "a"})
	}
	return out
}

// A slice that is cancelled because the process ends may have been done: the next process parks its job instead of repeating the slice.
func TestRunner_CancelledSliceMayHaveBeenDone(t *testing.T) {
	c := config(filepath.Join(t.TempDir(), "work.db"))
	started, runs := make(chan struct{}), 0
	kind := &Kind{Name: "once", Slice: func(ctx context.Context, _ Task) (Result, error) {
		runs++
		close(started)
		<-ctx.Done()
		return Result{}, ctx.Err()
	}}
	r, err := Start(c, []*Kind{kind}, discardLogger())
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Submit(JobSpec{Kind: "once", Owner: "a"}); err != nil {
		t.Fatal(err)
	}
	<-started
	if err := r.Close(waitTimeout); err != nil {
		t.Fatal(err)
	}
	if r, err = Start(c, []*Kind{kind}, discardLogger()); err != nil {
		t.Fatal(err)
	}
	defer r.Close(waitTimeout)
	if rep := waitUntilIdle(t, r); len(rep.Jobs) != 1 || !strings.Contains(rep.Jobs[0].Err, "may have been done") || runs != 1 {
		t.Errorf("%+v, done %d times", rep.Jobs, runs)
	}
}

// Timers run as scheduled across restarts and clock jumps, and missed times cause one run. Volatile kinds behave the same.
func TestRunner_Timers(t *testing.T) {
	c := config(filepath.Join(t.TempDir(), "work.db"))
	var mu sync.Mutex
	wall := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	c.Wall = func() time.Time { mu.Lock(); defer mu.Unlock(); return wall }
	jump := func(r *Runner, d time.Duration) {
		mu.Lock()
		wall = wall.Add(d)
		mu.Unlock()
		if r != nil {
			r.call(func() { r.submitDueTimers() }) // the loop does so every timerInterval
		}
	}
	ran := make(chan struct{}, 100)
	kind := func(volatile bool) *Kind {
		return &Kind{Name: "timed", Idempotent: true, Volatile: volatile, Timer: &Timer{work.Schedule{Every: time.Hour}, JobSpec{Kind: "timed", Owner: "a"}},
			Slice: func(context.Context, Task) (Result, error) { ran <- struct{}{}; return Result{}, nil }}
	}
	for _, volatile := range []bool{false, true} {
		c.Path = filepath.Join(t.TempDir(), "work.db")
		r, err := Start(c, []*Kind{kind(volatile)}, discardLogger())
		if err != nil {
			t.Fatal(err)
		}
		count := func(want int) {
			t.Helper()
			waitUntilIdle(t, r)
			if len(ran) != want {
				t.Errorf("volatile %v: the timer ran %d times, want %d", volatile, len(ran), want)
			}
			for len(ran) > 0 {
				<-ran
			}
		}
		count(0)
		jump(r, time.Hour)
		count(1)
		jump(r, -30*time.Minute) // the clock is set back
		count(0)
		jump(r, 40*time.Minute)
		count(0)
		if err := r.Close(waitTimeout); err != nil {
			t.Fatal(err)
		}
		jump(nil, 10*time.Hour) // no process runs
		if r, err = Start(c, []*Kind{kind(volatile)}, discardLogger()); err != nil {
			t.Fatal(err)
		}
		r.call(func() {})
		count(1)
		if err := r.Close(waitTimeout); err != nil {
			t.Fatal(err)
		}
	}
}
