package controlplane

import (
	"context"

	"saffronyard.example/saffronyard/internal/tier/consensus"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Store is the replicated control state, as package consensus keeps it. Tests use one in memory.
type Store interface {
	// Primary returns the epoch of this process, and whether it is the primary of that epoch and in contact with all backups.
	Primary() (epoch uint64, ok bool)
	// Get returns a key's value on this process, and the sequence of the write that set it. The value is nil if the key has none.
	Get(key string) (value []byte, sequence uint64)
	// Scan returns the values of all keys that begin with a prefix.
	Scan(prefix string) map[string][]byte
	// Put returns nil only when the keys are synced on this process and at all backups in this epoch. A nil value removes its
	// key. An error of type consensus.StateTooLarge means that nothing was written and that the epoch goes on. With any other
	// error the outcome is unknown.
	Put(ctx context.Context, epoch uint64, sets map[string][]byte) (sequence uint64, err error)
	// Confirm returns nil after a round trip to all backups in this epoch that began after the call.
	Confirm(ctx context.Context, epoch uint64) error
	// Changed returns a channel that is closed at the next change of role, view or state.
	Changed() <-chan struct{}
	// PrimaryHint returns the internal address of the primary as far as it is known, else an empty string.
	PrimaryHint() string
	// View returns the newest view that is known to be chosen, nil if none is.
	View() *tierv1.View
	// Members returns the members of the control plane that are known.
	Members() []*tierv1.Member
	// Self returns this process.
	Self() *tierv1.Member
}

// healthStore is a Store that reports which of its members and backups answer.
type healthStore interface {
	Health() consensus.Health
}

// Keys of the control state. Stored data contains them: they must never change.
const (
	keyConfiguration = "configuration" // the operators' configuration, byte for byte as received
	keyPartitionMap  = "turnstores"    // tierv1.PartitionMap without its version, which is the sequence of the key
	keyEpochMarker   = "settled"       // the epoch at whose start the state was last replicated, eight bytes, big-endian
	keyChangePrefix  = "order/"        // of the change records; the revision follows in decimal
)
