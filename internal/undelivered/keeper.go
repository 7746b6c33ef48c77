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

// LazyStore is a store that need not be there yet: a file that can't be opened, for want of room, damaged, or of a newer
// version, is tried again with each use, so that whoever mends it need not restart the sender.
type LazyStore struct {
	folder string
	limits Limits

	// OnResendEnd is told of each message that went again, as its end is kept; nil: nobody. It is set before the first use.
	OnResendEnd func(e *Entry)

	resender Resender // nil: nothing goes again, and Keep drops what is too old

	mu    sync.Mutex
	store *Store
}

// ResendPlan is what would become of an entry if an operator had it go again.
type ResendPlan struct {
	Name       string `json:"name"`
	Member     string `json:"member"`
	WillResend bool   `json:"goes"`
	Why        string `json:"why,omitempty"`
}

// Resender has kept messages go again as background work, which drops what is too old, too.
type Resender interface {
	Plans(f Filter) ([]ResendPlan, error)
	RequestResend(f Filter, want bool) (int, error)
}

// SetResender has messages go again by r, which also drops what is too old. It is called before the first use.
func (k *LazyStore) SetResender(r Resender) { k.resender = r }

// NewLazyStore makes a keeper for a folder.
func NewLazyStore(folder string, limits Limits) *LazyStore {
	return &LazyStore{folder: folder, limits: limits}
}

// Store opens the store, or says why it can't.
func (k *LazyStore) Store() (*Store, error) {
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
		s.expiredByResender = k.resender != nil
		k.store = s
	}
	return s, err
}

// Record puts entries into the store.
func (k *LazyStore) Record(entries []Entry, now int64) error {
	s, err := k.Store()
	if err != nil {
		return err
	}
	if err := s.Record(entries, now); err != nil {
		return err
	}
	for i := range entries {
		if k.OnResendEnd != nil && entries[i].Resends > 0 {
			k.OnResendEnd(&entries[i])
		}
	}
	return nil
}

// RecordDropped counts ends that were not offered.
func (k *LazyStore) RecordDropped(counts map[[2]string]int64) error {
	if len(counts) == 0 {
		return nil
	}
	s, err := k.Store()
	if err != nil {
		return err
	}
	return s.RecordDropped(counts)
}

// ResolveResubmitted settles what is kept under keys that clients have handed in anew.
func (k *LazyStore) ResolveResubmitted(keys [][2]string) error {
	if len(keys) == 0 {
		return nil
	}
	s, err := k.Store()
	if err != nil {
		return err
	}
	return s.ResolveResubmitted(keys, time.Now().UnixNano())
}

// Close closes the store, if it is open.
func (k *LazyStore) Close() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.store == nil {
		return nil
	}
	s := k.store
	k.store = nil
	return s.Close()
}
