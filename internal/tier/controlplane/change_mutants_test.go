package controlplane

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"
)

// mutantSeeds is the number of seeds within which an injected fault must be found.
const mutantSeeds = 200

// recordDroppingStore writes configurations without their change records.
type recordDroppingStore struct{ Store }

func (s recordDroppingStore) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sets = maps.Clone(sets)
	maps.DeleteFunc(sets, func(key string, _ []byte) bool { return strings.HasPrefix(key, keyChangePrefix) })
	return s.Store.Put(ctx, epoch, sets)
}

// recordHidingStore reads back only the newest record, as if no change had been accepted before it, like an implementation that
// compares a change only with the configuration in force.
type recordHidingStore struct{ Store }

func (s recordHidingStore) Get(key string) ([]byte, uint64) {
	value, sequence := s.Store.Get(key)
	if revision, found := strings.CutPrefix(key, keyChangePrefix); found && value != nil && revision != "" {
		value = append(make([]byte, 8), value[8:]...)
	}
	return value, sequence
}

// staleLeaseStore remains the primary for a while after its lease has ended, like a process that was paused right after it
// checked its lease.
type staleLeaseStore struct {
	Store
	mu    *sync.Mutex
	epoch uint64
	until time.Time
}

const staleLeaseTime = 4 * time.Second

func newStaleLeaseStore(s Store) *staleLeaseStore {
	return &staleLeaseStore{Store: s, mu: new(sync.Mutex)}
}

func (s *staleLeaseStore) Primary() (uint64, bool) {
	epoch, ok := s.Store.Primary()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.epoch, s.until = epoch, time.Now().Add(staleLeaseTime)
	} else if time.Now().Before(s.until) {
		return s.epoch, true
	}
	return epoch, ok
}

// neverConfirmingStore is a staleLeaseStore that reports success of round trips to the backups without making them.
type neverConfirmingStore struct{ *staleLeaseStore }

func (neverConfirmingStore) Confirm(context.Context, uint64) error { return nil }

// optimisticStore reports a write whose outcome is unknown as successful.
type optimisticStore struct{ Store }

func (s optimisticStore) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sequence, err := s.Store.Put(ctx, epoch, sets)
	if err != nil {
		_, sequence = s.Store.Get(keyConfiguration)
	}
	return sequence + 1, nil
}

// TestChanges_MutantsFound injects a fault between consensus and control plane, and expects that the check of some history
// finds it.
func TestChanges_MutantsFound(t *testing.T) {
	for name, wrap := range map[string]func(Store) Store{
		"records are not written":         func(s Store) Store { return recordDroppingStore{s} },
		"records are not read back":       func(s Store) Store { return recordHidingStore{s} },
		"confirmations are not requested": func(s Store) Store { return neverConfirmingStore{newStaleLeaseStore(s)} },
		"unknown writes count as done":    func(s Store) Store { return optimisticStore{s} },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(mutantSeeds) {
				if broken := simulateFaults(t, seed, wrap).check(); len(broken) > 0 {
					text := broken[0].Error()
					t.Logf("found by history %d: %d findings, the first: %s", seed+1, len(broken), text[:min(120, len(text))])
					return
				}
			}
			t.Errorf("not found by %d histories", mutantSeeds)
		})
	}
}

// TestChanges_IndependentOfLease checks that the answers of a deposed primary that has not noticed its deposition are correct:
// it may be unable to answer, but every answer is confirmed by a round trip.
func TestChanges_IndependentOfLease(t *testing.T) {
	for seed := range uint64(*changeSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for _, err := range simulateFaults(t, seed, func(s Store) Store { return newStaleLeaseStore(s) }).check() {
				t.Error(err)
			}
		})
	}
}
