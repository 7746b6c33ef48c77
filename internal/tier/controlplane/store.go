package controlplane

import (
	"context"

	"saffronyard.example/saffronyard/internal/tier/consensus"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Store is the replicated control state, as package consensus keeps it.
type Store interface {
	// Primary tells whether this process is the primary and in touch with all backups, and its epoch.
	Primary() (epoch uint64, ok bool)
	// Get gives a key's value here and the sequence of the write that set it.
	Get(key string) (value []byte, sequence uint64)
	// Put is nil only when the keys are synced here and at all backups under this epoch. A nil value removes its key. An
	// error of type consensus.StateTooLarge says that nothing was written and that the epoch goes on. Whatever else it
	// returns, the outcome is unknown.
	Put(ctx context.Context, epoch uint64, sets map[string][]byte) (sequence uint64, err error)
	// Confirm is nil after a round trip to all backups under this epoch that began after the call.
	Confirm(ctx context.Context, epoch uint64) error
	// Changed is closed at the next change of role, view or state.
	Changed() <-chan struct{}
	// PrimaryHint is the internal address of the primary as known, empty if it is not.
	PrimaryHint() string
	// View is the newest view known to be chosen, or nil.
	View() *tierv1.View
	Members() []*tierv1.Member
	Self() *tierv1.Member
}

// Keys of the control state.
const (
	keyConfiguration = "configuration" // the operator's configuration, the bytes that came
	keyPartitionMap  = "turnstores"    // tierv1.PartitionMap
	keyEpochMarker   = "settled"       // epoch in which the state was last written through
)

// healthStore is a Store that knows which of its members and backups answer.
type healthStore interface {
	Health() consensus.Health
}
