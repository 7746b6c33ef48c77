package undelivered

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// FileName is the store's file in its folder.
const FileName = "undelivered.db"

// Keeper is a store that need not be there yet: a file that can't be opened, for want of room, damaged, or of a newer
// version, is tried again with each use, so that whoever mends it need not restart the sender.
type Keeper struct {
	folder string
	limits Limits

	mu    sync.Mutex
	store *Store
}

// NewKeeper makes a keeper for a folder.
func NewKeeper(folder string, limits Limits) *Keeper { return &Keeper{folder: folder, limits: limits} }

// Store opens the store, or says why it can't.
func (k *Keeper) Store() (*Store, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store != nil {
		return k.store, nil
	}
	if err := os.MkdirAll(k.folder, 0o700); err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	s, err := Open(filepath.Join(k.folder, FileName), k.limits)
	if err == nil {
		k.store = s
	}
	return s, err
}

// Keep puts entries into the store.
func (k *Keeper) Keep(entries []Entry, now int64) error {
	s, err := k.Store()
	if err != nil {
		return err
	}
	return s.Keep(entries, now)
}

// Missed counts ends that were not offered.
func (k *Keeper) Missed(counts map[[2]string]int64) error {
	if len(counts) == 0 {
		return nil
	}
	s, err := k.Store()
	if err != nil {
		return err
	}
	return s.Missed(counts)
}

// Close closes the store, if it is open.
func (k *Keeper) Close() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store == nil {
		return nil
	}
	s := k.store
	k.store = nil
	return s.Close()
}
