package undelivered

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// FileName is the store's file in its folder.
const FileName = "undelivered.db"

// Keeper is a store that need not be there yet: a file that can't be opened, for want of room, damaged, or of a newer
// version, is tried again with each use, so that whoever mends it need not restart the sender.
type Keeper struct {
	folder string
	limits Limits

	// Ended is told of each message that went again, as its end is kept; nil: nobody. It is set before the first use.
	Ended func(e *Entry)

	byWork Resender // nil: nothing goes again, and Keep drops what is too old

	mu    sync.Mutex
	store *Store
}

// Plan is what would become of an entry if an operator had it go again.
type Plan struct {
	Name   string `json:"name"`
	Member string `json:"member"`
	Goes   bool   `json:"goes"`
	Why    string `json:"why,omitempty"`
}

// Resender has kept messages go again as background work, which drops what is too old, too.
type Resender interface {
	Plans(f Filter) ([]Plan, error)
	Want(f Filter, want bool) (int, error)
}

// ByWork has messages go again by r, which also drops what is too old. It is called before the first use.
func (k *Keeper) ByWork(r Resender) { k.byWork = r }

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
		s.expires = k.byWork != nil
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
	if err := s.Keep(entries, now); err != nil {
		return err
	}
	for i := range entries {
		if k.Ended != nil && entries[i].Lives > 0 {
			k.Ended(&entries[i])
		}
	}
	return nil
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

// HandedIn settles what is kept under keys that clients have handed in anew.
func (k *Keeper) HandedIn(keys [][2]string) error {
	if len(keys) == 0 {
		return nil
	}
	s, err := k.Store()
	if err != nil {
		return err
	}
	return s.HandedIn(keys, time.Now().UnixNano())
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
