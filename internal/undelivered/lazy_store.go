package undelivered

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// LazyStore opens its Store on first use. A file that can't be opened (no space left, damaged, of a newer version) is tried again
// with each use, so that the sender need not be restarted once the file is repaired.
type LazyStore struct {
	folder string
	limits Limits

	// OnResendEnd is called with each resent message as its end is recorded; it may be nil. It is set before the first use.
	OnResendEnd func(e *Entry)

	resender Resender // nil: nothing is resent, and Record drops entries that are too old

	mu    sync.Mutex
	store *Store
}

// NewLazyStore returns a store for a folder, which is created on first use.
func NewLazyStore(folder string, limits Limits) *LazyStore {
	return &LazyStore{folder: folder, limits: limits}
}

// SetResender sets the Resender, which resends messages and drops entries that are too old. It must be called before the first use.
func (l *LazyStore) SetResender(r Resender) { l.resender = r }

// Store returns the store, and opens it if it is not open.
func (l *LazyStore) Store() (*Store, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.store != nil {
		return l.store, nil
	}
	if err := os.MkdirAll(l.folder, 0o700); err != nil {
		return nil, fmt.Errorf("undelivered: %w", err)
	}
	s, err := Open(filepath.Join(l.folder, FileName), l.limits)
	if err == nil {
		s.expiredByResender = l.resender != nil
		l.store = s
	}
	return s, err
}

// Record records entries; see Store.Record.
func (l *LazyStore) Record(entries []Entry, now int64) error {
	s, err := l.Store()
	if err != nil {
		return err
	}
	if err := s.Record(entries, now); err != nil {
		return err
	}
	for i := range entries {
		if l.OnResendEnd != nil && entries[i].Resends > 0 {
			l.OnResendEnd(&entries[i])
		}
	}
	return nil
}

// RecordDropped counts messages that could not be recorded; see Store.RecordDropped.
func (l *LazyStore) RecordDropped(counts map[[2]string]int64) error {
	if len(counts) == 0 {
		return nil
	}
	s, err := l.Store()
	if err != nil {
		return err
	}
	return s.RecordDropped(counts)
}

// ResolveResubmitted resolves entries under keys that clients have submitted anew; see Store.ResolveResubmitted.
func (l *LazyStore) ResolveResubmitted(keys [][2]string) error {
	if len(keys) == 0 {
		return nil
	}
	s, err := l.Store()
	if err != nil {
		return err
	}
	return s.ResolveResubmitted(keys, time.Now().UnixNano())
}

// Close closes the store, if it is open.
func (l *LazyStore) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.store == nil {
		return nil
	}
	s := l.store
	l.store = nil
	return s.Close()
}

// FileName is the store's file in its folder.
const FileName = "undelivered.db"

// ResendPlan says whether an entry would be resent if an operator requested that.
type ResendPlan struct {
	Name       string `json:"name"`
	Member     string `json:"member"`
	WillResend bool   `json:"goes"`
	Why        string `json:"why,omitempty"`
}

// Resender resends entries as background work, and drops entries that are too old.
type Resender interface {
	Plans(f Filter) ([]ResendPlan, error)
	RequestResend(f Filter, want bool) (int, error)
}
