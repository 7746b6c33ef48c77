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

// behind is the work behind the messages.
type behind struct {
	features *features.Features
	keeper   *undelivered.LazyStore // nil: nothing is kept
	engine   *resend.Engine
	runner   atomic.Pointer[worker.Runner]

	stop    context.CancelFunc
	mu      sync.Mutex
	last    work.LoadSignals
	closing sync.Once
}

const (
	factsTime   = 100 * time.Millisecond
	closingTime = time.Second // of the 3.7 s that a SIGTERM leaves, beside the sender's own
)

// errNoWork says that the sender is not that far, or leaving.
var errNoWork = errors.New("background work is not running")

// engineOf makes the engine by which kept messages go again; it is told of the sender as that starts.
func (b *behind) engineOf(c *sender.Config) *resend.Engine {
	began := time.Now()
	b.engine = &resend.Engine{Rules: b.features.Undelivered.Rules(), Store: b.keeper.Store,
		Clock: func() time.Duration { return time.Since(began) }, Wall: func() time.Time { return time.Now().UTC() }, Window: c.KeyWindow}
	b.keeper.OnResendEnd = b.engine.RecordResendEnd
	return b.engine
}

// start begins background work beside a sender that is about to run.
func (b *behind) start(s *sender.Sender, c *sender.Config, log *slog.Logger) error {
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
	go b.look(ctx, s.Background())
	var kinds []*worker.Kind
	if b.engine != nil {
		b.engine.Sender, b.engine.Log = s.Background(), log
		kinds = b.engine.Kinds()
	}
	if c.Knowledge != nil {
		kinds = append(kinds, snapshots(s.Background(), c.Knowledge.Interval))
	}
	r, err := worker.Start(worker.Config{Settings: b.settings(b.features), Path: filepath.Join(folder, "work.db"), Bytes: w.Bytes, Targets: w.Pressure(),
		Load: b.facts, Workers: w.Workers, SlowSlice: w.Slow.D()}, kinds, log)
	if err != nil {
		stop()
		return err
	}
	b.runner.Store(r)
	return nil
}

// settings are the file's; resends are tried for as long as it takes, as the store says what is left to do.
func (b *behind) settings(f *features.Features) work.Settings {
	set := f.Work.Settings()
	for _, name := range []string{resend.FindMembersKind, resend.ResendKind, resend.ExpireKind, snapshotKind} {
		k := set.Kinds[name]
		k.Retry = work.Retry{InitialBackoff: 200 * time.Millisecond, MaxBackoff: 10 * time.Second, Ratio: 0.1, Credit: 100}
		set.Kinds[name] = k
	}
	return set
}

// snapshotKind is the writing down of what is known of receivers.
const snapshotKind = "knowledge.snapshot"

func snapshots(s *sender.Background, every time.Duration) *worker.Kind {
	return &worker.Kind{Name: snapshotKind, Volatile: true, Idempotent: true,
		Slice: func(ctx context.Context, _ worker.Task) (worker.Result, error) {
			n, err := s.Snapshot(ctx)
			return worker.Result{Used: work.Cost{work.DiskWrite: int64(n)}}, err
		},
		Timer: &worker.Timer{Schedule: work.Schedule{Every: every, Missed: work.MissedOnce},
			Job: worker.JobSpec{Kind: snapshotKind, Owner: "knowledge", Priority: work.Low, Lock: snapshotKind, Resource: "state folder", SliceCost: work.Cost{work.DiskWrite: 4096}}}}
}

// look asks the sender how busy it is, time and again.
func (b *behind) look(ctx context.Context, s *sender.Background) {
	every := time.NewTicker(factsTime)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		asked := time.Now()
		f, err := s.Facts(ctx)
		if err != nil { // it does not even answer
			f = work.LoadSignals{TurnLate: time.Since(asked)}
		}
		b.mu.Lock()
		b.last = f
		b.mu.Unlock()
	}
}

func (b *behind) facts() work.LoadSignals {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

func (b *behind) report(f work.Filter) (any, error) {
	r := b.runner.Load()
	if r == nil {
		return nil, errNoWork
	}
	return r.Report(f)
}

func (b *behind) command(c work.Command) error {
	r := b.runner.Load()
	if r == nil {
		return errNoWork
	}
	return r.Command(c)
}

// reload takes budgets, weights, windows and rules from the file as it is now; what else it says is read at the start only.
func (b *behind) reload(file string) error {
	f, err := features.Load(file)
	if err != nil {
		return fmt.Errorf("work and rules are kept as they were: %w", err)
	}
	if f.Work == nil || b.engine != nil && f.Undelivered == nil {
		return errors.New("work and rules are kept as they were: the file has no [work] any more, or no [undelivered]")
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

// close ends background work, once: with the first word that the sender is to leave, so that all is over when that has left.
func (b *behind) close(log *slog.Logger) {
	b.closing.Do(func() { b.end(log) })
}

func (b *behind) end(log *slog.Logger) {
	b.stop()
	if r := b.runner.Load(); r != nil {
		if err := r.Close(closingTime); err != nil {
			log.Error("background work", "err", err)
		}
	}
}
