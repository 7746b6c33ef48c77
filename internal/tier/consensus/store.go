// Package consensus keeps the control state of the tier: a small set of keys that the primary of a view writes and syncs
// here and at all backups of the view before it answers. Members decide on views (register.go); they keep only epochs
// and records. There is no log that a majority replicates.
package consensus

import (
	"context"
	"errors"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Store is what the control plane role uses of this package.
type Store interface {
	// Primary tells the epoch of this process's view, and whether it is primary and a round trip to all backups began
	// less than a third of the contact window ago.
	Primary() (epoch uint64, ok bool)
	// Get gives the value of a key as it is at all copies, and the sequence of the write that set it.
	Get(key string) (value []byte, sequence uint64)
	// Put is nil only when the sets are synced here and at all backups. Keys with an empty value are removed.
	// ErrNotPrimary: nothing was written, and the epoch is over; an error of type StateTooLarge: nothing was written, and the
	// epoch goes on; any other error: the outcome is unknown.
	Put(ctx context.Context, epoch uint64, sets map[string][]byte) (sequence uint64, err error)
	// Confirm makes a round trip to all backups that begins after the call. ErrNotPrimary where the epoch is over.
	Confirm(ctx context.Context, epoch uint64) error
	// Changed is closed at the next change of role, record or state.
	Changed() <-chan struct{}
	// PrimaryHint is the internal address of the primary as known, or empty.
	PrimaryHint() string
	// View is the newest record known to be chosen, or nil.
	View() *tierv1.View
	// Members are all control plane folders that are known and alive, or members of the record.
	Members() []*tierv1.Member
	// Self is this folder. It has no Folder until the disk could be written for the first time.
	Self() *tierv1.Member
}

var (
	// ErrNotPrimary says that the epoch is over and that nothing was written.
	ErrNotPrimary = errors.New("consensus: not the primary of this epoch")
	// ErrOutcomeUnknown says that the write may or may not stand.
	ErrOutcomeUnknown = errors.New("consensus: the outcome is unknown")
)
