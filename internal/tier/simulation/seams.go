package simulation

import (
	"saffronyard.example/saffronyard/internal/tier/controlplane"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/turnstore"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Hooks are where a test plants a fault. A nil one is as if it were not there.
type Hooks struct {
	Store          func(controlplane.Store) controlplane.Store       // around a control-plane process's state
	Files          func(machine string, files wal.FS) wal.FS         // around a machine's file system
	Synced         func(*turnstore.TurnStore, SyncedFunc) SyncedFunc // around a turn store's reports of whole copies
	OnPartitionMap func(*turnstore.TurnStore, *tierv1.PartitionMap)  // hears of the maps that a turn store takes
	TamperReply    func(*Delivery)                                   // with answers on their way back
	Serve          func(tierv1.TurnStore) tierv1.TurnStore           // around what a turn store answers to gateways and others

	Settings func(*settings.Settings) // of each machine
}

// SyncedFunc gives a turn store's reports, and a channel that is closed when they have changed.
type SyncedFunc func() ([]*tierv1.SyncedReplica, <-chan struct{})

func (s Hooks) wrapStore(inner controlplane.Store) controlplane.Store {
	if s.Store == nil {
		return inner
	}
	return s.Store(inner)
}

func (s Hooks) wrapFiles(machine string, inner wal.FS) wal.FS {
	if s.Files == nil {
		return inner
	}
	return s.Files(machine, inner)
}

func (s Hooks) wrapServer(inner tierv1.TurnStore) tierv1.TurnStore {
	if s.Serve == nil {
		return inner
	}
	return s.Serve(inner)
}

func (s Hooks) wrapSynced(store *turnstore.TurnStore) SyncedFunc {
	if s.Synced == nil {
		return store.SyncedReplicas
	}
	return s.Synced(store, store.SyncedReplicas)
}
