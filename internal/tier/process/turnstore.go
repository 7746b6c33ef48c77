package process

import (
	"context"

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

func (p *Process) startTurnStore(ctx context.Context, config Config) error {
	s := config.Settings
	address := s.Internal(TurnStorePort)
	store, err := turnstore.Open(turnstore.Config{Node: s.Node, Dir: s.DataDir, FS: wal.OS{}, Dial: dialer(p.client, dialTurnStore),
		DiskBytes: int64(s.DiskMB) << megabyteShift, MemoryBytes: int64(s.MemoryMB) << megabyteShift / memoryPart, Log: config.Log})
	if err != nil {
		return err
	}
	if _, err := rpcserver.Serve(ctx, address, tierv1.NewTurnStoreServer(store)); err != nil {
		_ = store.Close()
		return err
	}
	held := session.New(session.Config{Settings: s, Role: RoleTurnStore, Folder: store.Folder(), Address: address, Empty: store.WasEmpty(),
		Dial: dialer(p.client, dialControlPlane), Synced: store.Synced, Log: config.Log, PartitionMap: store.Apply})
	config.Log.Info().Str("event", "started").Str("role", RoleTurnStore).Str("node", s.Node).Str("folder", store.Folder()).Msg("")
	p.run(ctx, func(ctx context.Context) error {
		held.Run(ctx)
		return nil
	})
	p.run(ctx, func(ctx context.Context) error {
		err := store.Run(ctx)
		_ = store.Close()
		return err
	})
	// It serves on until its partitions have other primaries, for half of the time that it has.
	p.leave = func() {
		config.Log.Info().Str("event", "leaving").Str("node", s.Node).Msg("")
		held.Leave()
		handOver, cancel := context.WithTimeout(ctx, s.Grace/gracePart)
		defer cancel()
		store.Released(handOver)
		p.cancel()
	}
	return nil
}
