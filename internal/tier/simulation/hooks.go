package simulation

import (
	"saffronyard.example/saffronyard/internal/tier/controlplane"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/turnstore"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Hooks are the points at which a test injects a fault into the program. A nil hook does nothing.
type Hooks struct {
	Store          func(controlplane.Store) controlplane.Store       // wraps a control-plane process's state
	Files          func(machine string, files wal.FS) wal.FS         // wraps a machine's file system
	Synced         func(*turnstore.TurnStore, SyncedFunc) SyncedFunc // wraps a turn store's reports of synced replicas
	OnPartitionMap func(*turnstore.TurnStore, *tierv1.PartitionMap)  // is called with each map before a turn store applies it
	TamperReply    func(*Delivery)                                   // may change replies before the caller receives them
	Serve          func(tierv1.TurnStore) tierv1.TurnStore           // wraps a turn store's server

	Settings func(*settings.Settings) // may change each machine's settings
}

// SyncedFunc returns a turn store's reports, and a channel that is closed when they have changed.
type SyncedFunc func() ([]*tierv1.SyncedReplica, <-chan struct{})

func (h Hooks) wrapStore(inner controlplane.Store) controlplane.Store {
	if h.Store == nil {
		return inner
	}
	return h.Store(inner)
}

func (h Hooks) wrapFiles(machine string, inner wal.FS) wal.FS {
	if h.Files == nil {
		return inner
	}
	return h.Files(machine, inner)
}

func (h Hooks) wrapServer(inner tierv1.TurnStore) tierv1.TurnStore {
	if h.Serve == nil {
		return inner
	}
	return h.Serve(inner)
}

func (h Hooks) wrapSynced(store *turnstore.TurnStore) SyncedFunc {
	if h.Synced == nil {
		return store.SyncedReplicas
	}
	return h.Synced(store, store.SyncedReplicas)
}
