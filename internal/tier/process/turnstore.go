package process

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"dockshift.example/dockshift/internal/tier/metrics"
	"dockshift.example/dockshift/internal/tier/rpcserver"
	"dockshift.example/dockshift/internal/tier/session"
	"dockshift.example/dockshift/internal/tier/turnstore"
	"dockshift.example/dockshift/internal/tier/wal"
	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
)

const (
	megabyteShift = 20 // bits: MB to bytes
	memoryPart    = 2  // of the machine's memory, for the facts of a turn store
	gracePart     = 2  // of the grace period, for handing partitions over
)

// openTurnStore is a turn store from the opening of its disk to the failure of that. The next one is to all others what
// a restarted process is: it listens anew, its session is a new life's, and it serves what its write-ahead log holds.
type openTurnStore struct {
	ctx     context.Context
	cancel  context.CancelFunc
	store   *turnstore.TurnStore
	session *session.Client
}

// startTurnStore opens the disk and goes on without the process ending where that fails for a while. Other errors of the
// first opening are the start's.
func (p *Process) startTurnStore(ctx context.Context, config Config) error {
	if config.FS == nil {
		config.FS = wal.OS{}
	}
	var open atomic.Pointer[openTurnStore]
	var leaving atomic.Bool
	attempt := func() (diskUser, error) {
		t, err := p.openTurnStore(ctx, config)
		if err != nil {
			return nil, err
		}
		open.Store(t)
		return t, nil
	}
	first, err := attempt()
	if err != nil && !diskMayRecover(err) {
		return err
	}
	p.run(ctx, func(ctx context.Context) error {
		return retryDisk(ctx, config.Log, first, err, attempt, leaving.Load, pause)
	})
	// It serves on until its partitions have other primaries, for half of the time that it has.
	p.leave = func() {
		config.Log.Info().Str("event", "leaving").Str("node", config.Settings.Node).Msg("")
		leaving.Store(true)
		if t := open.Load(); t != nil && t.ctx.Err() == nil {
			t.session.Leave()
			handOver, cancel := context.WithTimeout(t.ctx, config.Settings.Grace/gracePart)
			defer cancel()
			t.store.Released(handOver)
		}
		p.cancel()
	}
	return nil
}

// turnStoreConfig is what the settings give a turn store.
func (p *Process) turnStoreConfig(config Config) turnstore.Config {
	s := config.Settings
	return turnstore.Config{
		Node:        s.Node,
		Dir:         s.DataDir,
		FS:          config.FS,
		Dial:        dialer(p.client, dialTurnStore),
		DiskBytes:   int64(s.DiskMB) << megabyteShift,
		MemoryBytes: int64(s.MemoryMB) << megabyteShift / memoryPart,
		Log:         config.Log,
		ReleaseTime: turnstore.ReleaseTime(s.ContactWindow),
	}
}

// openTurnStore opens the disk and the port.
func (p *Process) openTurnStore(ctx context.Context, config Config) (*openTurnStore, error) {
	s := config.Settings
	address := s.Internal(TurnStorePort)
	store, err := turnstore.Open(p.turnStoreConfig(config))
	if err != nil {
		return nil, err
	}
	held := session.New(session.Config{Settings: s, Role: RoleTurnStore, Folder: store.Folder(), Address: address, Empty: store.WasEmpty(),
		Dial: dialer(p.client, dialControlPlane), Synced: store.Synced, Disk: store.DiskState, Log: config.Log, PartitionMap: store.Apply})
	mux := http.NewServeMux()
	mux.Handle(tierv1.TurnStorePathPrefix, tierv1.NewTurnStoreServer(store))
	mux.Handle(metricsPattern, metrics.Handler(func() metrics.Figures {
		figures := store.Metrics()
		figures.Session = held.Remaining()
		return figures
	}))
	ctx, cancel := context.WithCancel(ctx)
	if _, err := rpcserver.Serve(ctx, address, mux); err != nil {
		cancel()
		_ = store.Close()
		return nil, err
	}
	config.Log.Info().Str("event", "started").Str("role", RoleTurnStore).Str("node", s.Node).Str("folder", store.Folder()).Msg("")
	return &openTurnStore{ctx: ctx, cancel: cancel, store: store, session: held}, nil
}

// run serves until the process ends, or the disk fails, which is its error. Listener, connections and session end with it.
func (t *openTurnStore) run() error {
	var loops sync.WaitGroup
	loops.Go(func() { t.session.Run(t.ctx) })
	err := t.store.Run(t.ctx)
	t.cancel()
	loops.Wait()
	_ = t.store.Close()
	return err
}
