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

const wait = 20 * time.Second

var errDead = errors.New("the process is dead")

// mortal is a process that dies at its n-th step, before it or after it. Steps are those of the store, and the effects of
// slices on the world outside. Once it is dead nothing of it reaches either.
type mortal struct {
	mu     sync.Mutex
	steps  int
	dies   int
	after  bool
	dead   bool
	killed chan struct{}
}

func (m *mortal) do(f func() error) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		return errDead
	}
	m.steps++
	if m.steps != m.dies {
		return f()
	}
	m.dead = true
	close(m.killed)
	if m.after {
		f()
	}
	return errDead
}

// dying is a store of a mortal process.
type dying struct {
	jobStore
	m *mortal
}

func (d dying) Add(r []store.Record, timer string, ran time.Time) error {
	return d.m.do(func() error { return d.jobStore.Add(r, timer, ran) })
}
func (d dying) Intend(id work.ID) error {
	return d.m.do(func() error { return d.jobStore.Intend(id) })
}
func (d dying) ClearIntent(id work.ID) error {
	return d.m.do(func() error { return d.jobStore.ClearIntent(id) })
}
func (d dying) RecordFailure(id work.ID, n int, p string) error {
	return d.m.do(func() error { return d.jobStore.RecordFailure(id, n, p) })
}
func (d dying) Checkpoint(id work.ID, s []byte, e int64, m []store.Record) error {
	return d.m.do(func() error { return d.jobStore.Checkpoint(id, s, e, m) })
}
func (d dying) Complete(id work.ID, m []store.Record) error {
	return d.m.do(func() error { return d.jobStore.Complete(id, m) })
}

// world is what slices do to others: so often each.
type world struct {
	mu      sync.Mutex
	effects map[string]int
}

func (w *world) happen(m *mortal, what string) error {
	return m.do(func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.effects[what]++
		return nil
	})
}

func (w *world) happened(what string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.effects[what] > 0
}

// counting is a kind whose jobs have three slices with an effect each; the second makes another job, which has one.
func counting(name string, w *world, m *mortal, repeat, settles bool) *Kind {
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
	k := &Kind{Name: name, Idempotent: repeat, Slice: func(_ context.Context, t Task) (Result, error) {
		r, what := next(t)
		return r, w.happen(m, what)
	}}
	if settles {
		k.CheckDone = func(_ context.Context, t Task) (bool, Result, error) {
			r, what := next(t)
			return w.happened(what), r, nil
		}
	}
	return k
}

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func config(path string) Config {
	return Config{Path: path, Bytes: 1 << 20, Workers: 2, Settings: work.Settings{Limits: work.Limits{Jobs: 1000, OwnerJobs: 1000, Depth: 2},
		Kinds: map[string]work.Kind{}}, Random: func() float64 { return 0 }}
}

// waitUntilIdle waits until nothing but parked jobs is left.
func waitUntilIdle(t *testing.T, r *Runner) Report {
	t.Helper()
	for over := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
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
		if time.Now().After(over) {
			t.Fatalf("%+v", rep.Jobs)
		}
	}
}

// The process dies at each step that writes or has an effect, before it and after it: the next one goes on, and each slice
// has been done once; or once more where its kind says that this does no harm; or, where nobody can say, its job is parked.
func TestRunner_DiesAtEachStep(t *testing.T) {
	jobs := []JobSpec{{Kind: "repeat", Owner: "a"}, {Kind: "settle", Owner: "b"}, {Kind: "neither", Owner: "c"}}
	play := func(t *testing.T, dies int, after bool) (steps int) {
		path := filepath.Join(t.TempDir(), "work.db")
		w := &world{effects: map[string]int{}}
		kinds := func(m *mortal) []*Kind {
			return []*Kind{counting("repeat", w, m, true, false), counting("settle", w, m, false, true), counting("neither", w, m, false, false)}
		}
		first := &mortal{dies: dies, after: after, killed: make(chan struct{})}
		c := config(path)
		c.wrapStore = func(k jobStore) jobStore { return dying{k, first} }
		r, err := Start(c, kinds(first), quiet())
		if err != nil {
			t.Fatal(err)
		}
		submitted := r.Submit(jobs...) == nil
		if dies == 0 {
			waitUntilIdle(t, r)
		} else {
			select {
			case <-first.killed:
			case <-time.After(wait):
				t.Fatal("it does not come to this step")
			}
		}
		if err := r.Close(wait); err != nil {
			t.Fatal(err)
		}
		if dies == 0 {
			return first.steps
		}
		second := &mortal{killed: make(chan struct{})}
		if r, err = Start(config(path), kinds(second), quiet()); err != nil {
			t.Fatal(err)
		}
		defer r.Close(wait)
		rep := waitUntilIdle(t, r)
		for _, j := range rep.Jobs {
			if j.Kind != "neither" || !strings.Contains(j.Err, "may have been done") {
				t.Errorf("%+v is parked", j)
			}
		}
		if len(rep.Jobs) > 2 {
			t.Errorf("%d are parked", len(rep.Jobs))
		}
		twice := 0
		for what, n := range w.effects {
			if n > 1 {
				twice += n - 1
				if !strings.HasPrefix(what, "repeat") {
					t.Errorf("%s happened %d times", what, n)
				}
			}
		}
		if twice > 2 { // two slices may be under way
			t.Errorf("%d effects came again", twice)
		}
		if submitted || len(w.effects) > 0 {
			for _, kind := range []string{"repeat a", "settle b", "neither c"} {
				if kind == "neither c" && len(rep.Jobs) > 0 {
					continue
				}
				for _, what := range []string{"0", "1", "2", "1 child"} {
					if w.effects[kind+" "+what] == 0 {
						t.Errorf("%s %s never happened: %v", kind, what, w.effects)
					}
				}
			}
		}
		return 0
	}
	steps := play(t, 0, false)
	if steps < 30 {
		t.Fatalf("%d steps", steps)
	}
	for dies := 1; dies <= steps; dies++ {
		for _, after := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/%v", dies, after), func(t *testing.T) {
				t.Parallel()
				play(t, dies, after)
			})
		}
	}
}

// A store that is full, or fails for a while: what is not taken is said to be so, what is done and can't be written down is
// done again only where that does no harm, and it goes on when the disk does.
func TestRunner_StoreFails(t *testing.T) {
	w := &world{effects: map[string]int{}}
	m := &mortal{killed: make(chan struct{})}
	c := config(filepath.Join(t.TempDir(), "work.db"))
	fails := &failing{}
	c.wrapStore = func(k jobStore) jobStore { fails.jobStore = k; return fails }
	c.Settings.Kinds["repeat"] = work.Kind{Retry: work.Retry{InitialBackoff: 1, MaxBackoff: 1, Credit: 100}}
	r, err := Start(c, []*Kind{counting("repeat", w, m, true, false), counting("neither", w, m, false, false)}, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close(wait)
	fails.set(true)
	if err := r.Submit(JobSpec{Kind: "repeat", Owner: "a"}); !errors.Is(err, errFull) {
		t.Error(err)
	}
	fails.set(false)
	if err := r.Submit(JobSpec{Kind: "repeat", Owner: "a"}, JobSpec{Kind: "neither", Owner: "b", Delay: time.Hour}); err != nil {
		t.Fatal(err)
	}
	settle := func() { // all but the one that waits for an hour
		for over := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
			if rep, _ := r.Report(work.Filter{Kind: "repeat"}); len(rep.Jobs) == 0 {
				return
			}
			if time.Now().After(over) {
				t.Fatal("it does not go on")
			}
		}
	}
	settle()
	fails.checkpoints(true)
	if err := r.Submit(JobSpec{Kind: "repeat", Owner: "z"}); err != nil {
		t.Fatal(err)
	}
	for over := time.Now().Add(wait); !w.happened("repeat z 0"); time.Sleep(time.Millisecond) {
		if time.Now().After(over) {
			t.Fatal("it was not begun")
		}
	}
	fails.checkpoints(false)
	settle()
	// What can't be done twice and can't be written down is parked.
	fails.checkpoints(true)
	if err := r.Command(work.Command{Verb: work.Run, Kind: "neither"}); err != nil {
		t.Fatal(err)
	}
	rep := waitUntilIdle(t, r)
	if len(rep.Jobs) != 1 || !strings.Contains(rep.Jobs[0].Err, "can't be written down") || w.effects["neither b 0"] != 1 {
		t.Errorf("%+v, %v", rep.Jobs, w.effects)
	}
	big := config(filepath.Join(t.TempDir(), "small.db"))
	big.Bytes = 1000
	r2, err := Start(big, []*Kind{counting("repeat", w, m, true, false)}, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer r2.Close(wait)
	if err := r2.Submit(JobSpec{Kind: "repeat", Owner: "a", State: make([]byte, 2000)}); !errors.Is(err, store.ErrFull) {
		t.Error(err)
	}
}

var errFull = errors.New("no space left on device")

type failing struct {
	jobStore
	mu          sync.Mutex
	all, checks bool
}

func (f *failing) set(on bool)         { f.mu.Lock(); f.all = on; f.mu.Unlock() }
func (f *failing) checkpoints(on bool) { f.mu.Lock(); f.checks = on; f.mu.Unlock() }

func (f *failing) Add(r []store.Record, timer string, ran time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.all {
		return errFull
	}
	return f.jobStore.Add(r, timer, ran)
}

func (f *failing) Checkpoint(id work.ID, s []byte, e int64, m []store.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checks {
		return errFull
	}
	return f.jobStore.Checkpoint(id, s, e, m)
}

// What panics, hangs, makes jobs that make jobs, or is of a newer version.
func TestRunner_FaultyJobs(t *testing.T) {
	var logged syncBuffer
	c := config(filepath.Join(t.TempDir(), "work.db"))
	c.SlowSlice = 50 * time.Millisecond
	c.Settings.Limits.OwnerJobs = 20
	for _, k := range []string{"panics", "breeds"} {
		c.Settings.Kinds[k] = work.Kind{Retry: work.Retry{InitialBackoff: 1, MaxBackoff: 1, MaxFailures: 2, Credit: 100}}
	}
	hangs := make(chan struct{})
	var bred atomic.Int32
	kinds := []*Kind{
		{Name: "panics", Idempotent: true, Slice: func(context.Context, Task) (Result, error) { panic("at the disco") }},
		{Name: "hangs", Idempotent: true, Slice: func(ctx context.Context, _ Task) (Result, error) { <-hangs; return Result{}, nil }},
		{Name: "breeds", Idempotent: true, Slice: func(context.Context, Task) (Result, error) {
			bred.Add(1)
			return Result{Jobs: make10("breeds")}, nil
		}},
		{Name: "parks", Idempotent: true, Slice: func(context.Context, Task) (Result, error) {
			return Result{}, fmt.Errorf("ask somebody: %w", ErrPark)
		}},
	}
	c.Workers = 3
	r, err := Start(c, kinds, slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Submit(JobSpec{Kind: "nonsense"}); err == nil || !strings.Contains(err.Error(), "no kind of work") {
		t.Error(err)
	}
	if err := r.Submit(JobSpec{Kind: "panics", Owner: "a"}, JobSpec{Kind: "parks", Owner: "a"}, JobSpec{Kind: "hangs", Owner: "h"}); err != nil {
		t.Fatal(err)
	}
	for over := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		rep, _ := r.Report(work.Filter{State: "parked"})
		if len(rep.Jobs) == 2 && strings.Contains(logged.String(), "a slice takes long") {
			if !strings.Contains(rep.Jobs[0].Err, "at the disco") || !strings.Contains(rep.Jobs[0].Err, "runner_test.go") || !strings.Contains(rep.Jobs[1].Err, "ask somebody") {
				t.Errorf("%+v", rep.Jobs)
			}
			break
		}
		if time.Now().After(over) {
			t.Fatalf("%+v\n%s", rep.Jobs, logged.String())
		}
	}
	if n := strings.Count(logged.String(), "a slice takes long"); n != 1 || !strings.Contains(logged.String(), "TestRunner_FaultyJobs") {
		t.Errorf("it is named %d times", n)
	}
	close(hangs)
	if err := r.Submit(JobSpec{Kind: "breeds", Owner: "b"}); err != nil {
		t.Fatal(err)
	}
	rep := waitUntilIdle(t, r)
	if bred.Load() > 40 || rep.JobCount > 25 {
		t.Errorf("%d slices, %d jobs are held", bred.Load(), rep.JobCount)
	}
	for _, j := range rep.Jobs {
		if j.Kind == "breeds" && !strings.Contains(j.Err, "not taken") {
			t.Errorf("%+v", j)
		}
	}
	if err := r.Close(wait); err != nil {
		t.Fatal(err)
	}
	// The next process knows an earlier version only, and of some nothing at all.
	st, err := store.Open(c.Path, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Add([]store.Record{{Kind: "parks", Version: 2, Owner: "n"}}, "", time.Time{}); err != nil {
		t.Fatal(err)
	}
	st.Close()
	if r, err = Start(c, kinds[3:], quiet()); err != nil {
		t.Fatal(err)
	}
	defer r.Close(wait)
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

// Leaving in the middle of ten slices: those that heed their context are called off, one that does not is named, and it
// ends in time; the next process takes all of them up.
func TestRunner_Close(t *testing.T) {
	var logged syncBuffer
	c := config(filepath.Join(t.TempDir(), "work.db"))
	c.Workers = 10
	begun := make(chan struct{}, 10)
	deaf := make(chan struct{})
	defer close(deaf)
	slow := func(deafened bool) func(context.Context, Task) (Result, error) {
		return func(ctx context.Context, _ Task) (Result, error) {
			begun <- struct{}{}
			if deafened {
				<-deaf
			}
			<-ctx.Done()
			return Result{}, ctx.Err()
		}
	}
	r, err := Start(c, []*Kind{{Name: "slow", Idempotent: true, Slice: slow(false)}, {Name: "deaf", Idempotent: true, Slice: slow(true)}}, slog.New(slog.NewTextHandler(&logged, nil)))
	if err != nil {
		t.Fatal(err)
	}
	for range 9 {
		if err := r.Submit(JobSpec{Kind: "slow", Owner: "a"}); err != nil {
			t.Fatal(err)
		}
	}
	r.Submit(JobSpec{Kind: "deaf", Owner: "a"})
	for range 10 {
		<-begun
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
	if r, err = Start(c, []*Kind{{Name: "slow", Idempotent: true, Slice: quick}, {Name: "deaf", Idempotent: true, Slice: quick}}, quiet()); err != nil {
		t.Fatal(err)
	}
	defer r.Close(wait)
	if rep := waitUntilIdle(t, r); rep.Kinds == nil || rep.JobCount != 0 {
		t.Errorf("%+v", rep)
	}
}

// What an earlier process left begins no more at once than there are workers.
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
	var now, most atomic.Int32
	begun := make(chan struct{}, 10)
	r, err := Start(c, []*Kind{{Name: "slow", Idempotent: true, Slice: func(context.Context, Task) (Result, error) {
		n := now.Add(1)
		defer now.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		begun <- struct{}{}
		time.Sleep(2 * time.Millisecond)
		return Result{}, nil
	}}}, quiet())
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close(wait)
	waitUntilIdle(t, r)
	if most.Load() > int32(c.Workers) || len(begun) != 10 {
		t.Errorf("%d at once of %d, %d workers", most.Load(), len(begun), c.Workers)
	}
}

func make10Records(kind string) []store.Record {
	var out []store.Record
	for range 10 {
		out = append(out, store.Record{Kind: kind, Owner: "a"})
	}
	return out
}

// A slice that is called off as the process leaves may have been done: the next one does not do it again by itself.
func TestRunner_CancelledSliceMayHaveBeenDone(t *testing.T) {
	c := config(filepath.Join(t.TempDir(), "work.db"))
	begun, times := make(chan struct{}), 0
	kind := &Kind{Name: "once", Slice: func(ctx context.Context, _ Task) (Result, error) {
		times++
		close(begun)
		<-ctx.Done()
		return Result{}, ctx.Err()
	}}
	r, err := Start(c, []*Kind{kind}, quiet())
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Submit(JobSpec{Kind: "once", Owner: "a"}); err != nil {
		t.Fatal(err)
	}
	<-begun
	if err := r.Close(wait); err != nil {
		t.Fatal(err)
	}
	if r, err = Start(c, []*Kind{kind}, quiet()); err != nil {
		t.Fatal(err)
	}
	defer r.Close(wait)
	if rep := waitUntilIdle(t, r); len(rep.Jobs) != 1 || !strings.Contains(rep.Jobs[0].Err, "may have been done") || times != 1 {
		t.Errorf("%+v, done %d times", rep.Jobs, times)
	}
}

// Timed work keeps its promise over restarts, and with a clock that jumps: what is missed runs once.
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
			r.call(func() { r.submitDueTimers() }) // it looks every so often
		}
	}
	ran := make(chan struct{}, 100)
	kind := func(memory bool) *Kind {
		return &Kind{Name: "timed", Idempotent: true, Volatile: memory, Timer: &Timer{work.Schedule{Every: time.Hour}, JobSpec{Kind: "timed", Owner: "a"}},
			Slice: func(context.Context, Task) (Result, error) { ran <- struct{}{}; return Result{}, nil }}
	}
	for _, memory := range []bool{false, true} {
		c.Path = filepath.Join(t.TempDir(), "work.db")
		r, err := Start(c, []*Kind{kind(memory)}, quiet())
		if err != nil {
			t.Fatal(err)
		}
		count := func(want int) {
			t.Helper()
			waitUntilIdle(t, r)
			if len(ran) != want {
				t.Errorf("memory %v: it ran %d times, want %d", memory, len(ran), want)
			}
			for len(ran) > 0 {
				<-ran
			}
		}
		count(0)
		jump(r, time.Hour)
		count(1)
		jump(r, -30*time.Minute) // set back
		count(0)
		jump(r, 40*time.Minute)
		count(0)
		if err := r.Close(wait); err != nil {
			t.Fatal(err)
		}
		jump(nil, 10*time.Hour) // nobody is there
		if r, err = Start(c, []*Kind{kind(memory)}, quiet()); err != nil {
			t.Fatal(err)
		}
		r.call(func() {})
		count(1)
		if err := r.Close(wait); err != nil {
			t.Fatal(err)
		}
	}
}
