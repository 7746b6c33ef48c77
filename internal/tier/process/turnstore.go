package process

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"saffronyard.example/saffronyard/internal/tier/metrics"
	"saffronyard.example/saffronyard/internal/tier/rpc"
	"saffronyard.example/saffronyard/internal/tier/session"
	"saffronyard.example/saffronyard/internal/tier/turnstore"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

const (
	megabyteShift = 20 // bits: MB to bytes
	memoryDivisor = 2  // of the machine's memory: the part for the entries of a turn store
	graceDivisor  = 2  // of the grace period: the part for handing partitions over
)

// turnStoreRun is a turn store from the opening of its disk to the end of TurnStore.Run. To other processes the next turnStoreRun
// looks like a restarted process: it listens again, has a new session, and serves the contents of its write-ahead log.
type turnStoreRun struct {
	ctx     context.Context
	cancel  context.CancelFunc
	store   *turnstore.TurnStore
	session *session.Client
}

// startTurnStore opens the disk and starts the turn-store role. If the disk fails and may recover, the process keeps running and
// reopens the disk later. Other errors of the first opening are returned.
func (process *Process) startTurnStore(ctx context.Context, config Config) error {
	if config.FS == nil {
		config.FS = wal.OS{}
	}
	var current atomic.Pointer[turnStoreRun]
	var shuttingDown atomic.Bool
	attempt := func() (diskWorker, error) {
		t, err := process.openTurnStore(ctx, config)
		if err != nil {
			return nil, err
		}
		current.Store(t)
		return t, nil
	}
	first, err := attempt()
	if err != nil && !diskMayRecover(err) {
		return err
	}
	process.runComponent(ctx, func(ctx context.Context) error {
		return diskRetrier{log: config.Log, open: attempt, shuttingDown: shuttingDown.Load, sleep: sleep}.run(ctx, first, err)
	})
	// The turn store keeps serving until its partitions have other primaries, for at most a part of the grace period.
	process.shutdown = func() {
		config.Log.Info().Str("event", "leaving").Str("node", config.Settings.Node).Msg("graceful shutdown begins")
		shuttingDown.Store(true)
		if t := current.Load(); t != nil && t.ctx.Err() == nil {
			t.session.Drain()
			handOver, cancel := context.WithTimeout(t.ctx, config.Settings.GracePeriod/graceDivisor)
			defer cancel()
			t.store.AwaitHandover(handOver)
		}
		process.cancel()
	}
	return nil
}

// turnStoreConfig returns the configuration of a turn store by the settings.
func (process *Process) turnStoreConfig(config Config) turnstore.Config {
	settings := config.Settings
	return turnstore.Config{
		Node:               settings.Node,
		Dir:                settings.DataDir,
		FS:                 config.FS,
		Dial:               dialer(process.client, dialTurnStore),
		DiskBytes:          int64(settings.DiskMB) << megabyteShift,
		MemoryBytes:        int64(settings.MemoryMB) << megabyteShift / memoryDivisor,
		Log:                config.Log,
		ReleaseGracePeriod: turnstore.ReleaseGracePeriod(settings.ContactWindow),
	}
}

// openTurnStore opens the disk and listens at the port of turn stores.
func (process *Process) openTurnStore(ctx context.Context, config Config) (*turnStoreRun, error) {
	settings := config.Settings
	address := settings.Internal(TurnStorePort)
	store, err := turnstore.Open(process.turnStoreConfig(config))
	if err != nil {
		return nil, err
	}
	sessionClient := session.New(session.Config{Settings: settings, Role: RoleTurnStore, Folder: store.Folder(), Address: address, EmptyFolder: store.WasEmpty(),
		Dial: dialer(process.client, dialControlPlane), Synced: store.SyncedReplicas, Disk: store.DiskState, Log: config.Log, PartitionMap: store.ApplyPartitionMap})
	mux := http.NewServeMux()
	mux.Handle(tierv1.TurnStorePathPrefix, tierv1.NewTurnStoreServer(store))
	mux.Handle(metricsPattern, metrics.Handler(func() metrics.Figures {
		figures := store.Metrics()
		figures.SessionRemaining = sessionClient.Remaining()
		return figures
	}))
	ctx, cancel := context.WithCancel(ctx)
	if _, err := rpc.Serve(ctx, address, mux); err != nil {
		cancel()
		_ = store.Close()
		return nil, err
	}
	config.Log.Info().Str("event", "started").Str("role", RoleTurnStore).Str("node", settings.Node).Str("folder", store.Folder()).Msg("turn store started")
	return &turnStoreRun{ctx: ctx, cancel: cancel, store: store, session: sessionClient}, nil
}

// run serves until the process ends and returns the error of TurnStore.Run, which reopens a failed disk itself. Listener, connections
// and session are closed when it returns.
func (open *turnStoreRun) run() error {
	var loops sync.WaitGroup
	loops.Go(func() { open.session.Run(open.ctx) })
	err := open.store.Run(open.ctx)
	open.cancel()
	loops.Wait()
	_ = open.store.Close()
	return err
}
