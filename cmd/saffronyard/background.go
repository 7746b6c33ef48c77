package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"saffronyard.example/saffronyard/internal/features"
	"saffronyard.example/saffronyard/internal/resend"
	"saffronyard.example/saffronyard/internal/sender"
	"saffronyard.example/saffronyard/internal/undelivered"
	"saffronyard.example/saffronyard/internal/work"
	worker "saffronyard.example/saffronyard/internal/work/run"
)

// backgroundWork is the background work of a sender: its runner, the engine that resends undelivered messages, and the load that live
// traffic puts on the sender.
type backgroundWork struct {
	features *features.Features
	store    *undelivered.LazyStore // nil: undelivered messages are not recorded
	engine   *resend.Engine
	runner   atomic.Pointer[worker.Runner]

	stop     context.CancelFunc
	mu       sync.Mutex
	lastLoad work.LoadSignals
	closing  sync.Once
}

const (
	loadInterval = 100 * time.Millisecond // between two samples of the load of live traffic
	closeTimeout = time.Second            // part of the 3.7 s after SIGTERM; background work closes while the sender shuts down
)

// Errors of report requests and commands to background work.
var (
	errNoWork         = errors.New("background work is not running") // the sender is still starting, or shuts down
	errFeatureRemoved = errors.New("work settings and rules not reloaded: the file no longer has [work], or no longer has [undelivered]")
)

// newEngine creates the engine that resends undelivered messages; start sets its sender.
func (b *backgroundWork) newEngine(c *sender.Config) *resend.Engine {
	began := time.Now()
	b.engine = &resend.Engine{Rules: b.features.Undelivered.Rules(), Store: b.store.Store,
		Clock: func() time.Duration { return time.Since(began) }, Wall: func() time.Time { return time.Now().UTC() }, Window: c.KeyWindow}
	b.store.OnResendEnd = b.engine.RecordResendEnd
	return b.engine
}

// start opens the store of jobs and starts the runner beside a sender that is about to run.
func (b *backgroundWork) start(s *sender.Sender, c *sender.Config, log *slog.Logger) error {
	w := b.features.Work
	folder := w.Folder
	if folder == "" {
		folder = filepath.Join(c.StateDir, "work")
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return fmt.Errorf("work: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go b.sampleLoad(ctx, s.Background())
	var kinds []*worker.Kind
	if b.engine != nil {
		b.engine.Sender, b.engine.Log = s.Background(), log
		kinds = b.engine.Kinds()
	}
	if c.Knowledge != nil {
		kinds = append(kinds, newSnapshotKind(s.Background(), c.Knowledge.Interval))
	}
	r, err := worker.Start(worker.Config{Settings: b.settings(b.features), Path: filepath.Join(folder, "work.db"), Bytes: w.Bytes, Targets: w.Pressure(),
		Load: b.load, Workers: w.Workers, SlowSlice: w.Slow.D()}, kinds, log)
	if err != nil {
		stop()
		return err
	}
	b.runner.Store(r)
	return nil
}

// settings returns the settings of the file. Resends and snapshots are retried without limit, because their own stores record what is
// left to do.
func (b *backgroundWork) settings(f *features.Features) work.Settings {
	set := f.Work.Settings()
	for _, name := range []string{resend.FindMembersKind, resend.ResendKind, resend.ExpireKind, snapshotKind} {
		k := set.Kinds[name]
		k.Retry = work.Retry{InitialBackoff: 200 * time.Millisecond, MaxBackoff: 10 * time.Second, Ratio: 0.1, Credit: 100}
		set.Kinds[name] = k
	}
	return set
}

// snapshotKind is the kind of job that writes snapshots of the knowledge about receivers.
const snapshotKind = "knowledge.snapshot"

func newSnapshotKind(s *sender.Background, every time.Duration) *worker.Kind {
	return &worker.Kind{Name: snapshotKind, Volatile: true, Idempotent: true,
		Slice: func(ctx context.Context, _ worker.Task) (worker.Result, error) {
			n, err := s.Snapshot(ctx)
			return worker.Result{Used: work.Cost{work.DiskWrite: int64(n)}}, err
		},
		Timer: &worker.Timer{Schedule: work.Schedule{Every: every, Missed: work.MissedOnce},
			Job: worker.JobSpec{Kind: snapshotKind, Owner: "knowledge", Priority: work.Low, Lock: snapshotKind, Resource: "state folder", SliceCost: work.Cost{work.DiskWrite: 4096}}}}
}

// sampleLoad records the sender's load signals every loadInterval until ctx ends.
func (b *backgroundWork) sampleLoad(ctx context.Context, s *sender.Background) {
	every := time.NewTicker(loadInterval)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		asked := time.Now()
		load, err := s.LoadSignals(ctx)
		if err != nil { // the sender does not answer: the time waited counts as lateness
			load = work.LoadSignals{TurnLate: time.Since(asked)}
		}
		b.mu.Lock()
		b.lastLoad = load
		b.mu.Unlock()
	}
}

func (b *backgroundWork) load() work.LoadSignals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastLoad
}

func (b *backgroundWork) report(f work.Filter) (any, error) {
	r := b.runner.Load()
	if r == nil {
		return nil, errNoWork
	}
	return r.Report(f)
}

func (b *backgroundWork) command(c work.Command) error {
	r := b.runner.Load()
	if r == nil {
		return errNoWork
	}
	return r.Command(c)
}

// reload reads budgets, weights, windows and rules again from the file. All other settings of the file are read only at the start.
func (b *backgroundWork) reload(file string) error {
	f, err := features.Load(file)
	if err != nil {
		return fmt.Errorf("work settings and rules not reloaded: %w", err)
	}
	if f.Work == nil || b.engine != nil && f.Undelivered == nil {
		return errFeatureRemoved
	}
	if b.engine != nil {
		b.engine.SetRules(f.Undelivered.Rules())
	}
	r := b.runner.Load()
	if r == nil {
		return errNoWork
	}
	return r.Configure(b.settings(f))
}

// close ends background work; only the first call has an effect. It is called as soon as the sender begins to shut down, so that all
// background work is over when the sender ends.
func (b *backgroundWork) close(log *slog.Logger) {
	b.closing.Do(func() { b.shutDown(log) })
}

func (b *backgroundWork) shutDown(log *slog.Logger) {
	b.stop()
	if r := b.runner.Load(); r != nil {
		if err := r.Close(closeTimeout); err != nil {
			log.Error("closing background work failed", "err", err)
		}
	}
}
