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

// plantedSeeds is how many histories may be needed to find a planted fault.
const plantedSeeds = 200

// dropsRecords writes configurations without the records of their orders.
type dropsRecords struct{ Store }

func (s dropsRecords) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sets = maps.Clone(sets)
	maps.DeleteFunc(sets, func(key string, _ []byte) bool { return strings.HasPrefix(key, keyChangePrefix) })
	return s.Store.Put(ctx, epoch, sets)
}

// hidesRecords reads back the newest record only, as if nothing had been taken before it: so decided the program that
// compared an order with the configuration in force and nothing else.
type hidesRecords struct{ Store }

func (s hidesRecords) Get(key string) ([]byte, uint64) {
	value, sequence := s.Store.Get(key)
	if revision, is := strings.CutPrefix(key, keyChangePrefix); is && value != nil && revision != "" {
		value = append(make([]byte, 8), value[8:]...)
	}
	return value, sequence
}

// clings goes on as the primary for a while after its lease has ended, as a process does that was paused just after it had
// looked at its lease.
type clings struct {
	Store
	mu    *sync.Mutex
	epoch uint64
	until time.Time
}

const clingTime = 4 * time.Second

func newClings(s Store) *clings { return &clings{Store: s, mu: new(sync.Mutex)} }

func (s *clings) Primary() (uint64, bool) {
	epoch, ok := s.Store.Primary()
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.epoch, s.until = epoch, time.Now().Add(clingTime)
	} else if time.Now().Before(s.until) {
		return s.epoch, true
	}
	return epoch, ok
}

// confirmsNothing clings, and claims round trips to the backups that it did not make.
type confirmsNothing struct{ *clings }

func (confirmsNothing) Confirm(context.Context, uint64) error { return nil }

// hopes takes a write whose outcome is unknown for done.
type hopes struct{ Store }

func (s hopes) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	sequence, err := s.Store.Put(ctx, epoch, sets)
	if err != nil {
		_, sequence = s.Store.Get(keyConfiguration)
	}
	return sequence + 1, nil
}

// TestPlantedFaultsAreFound plants a fault between consensus and control plane, and expects a history that shows it.
func TestPlantedFaultsAreFound(t *testing.T) {
	for name, wrap := range map[string]func(Store) Store{
		"records are not written":      func(s Store) Store { return dropsRecords{s} },
		"records are not read back":    func(s Store) Store { return hidesRecords{s} },
		"confirmations are not asked":  func(s Store) Store { return confirmsNothing{newClings(s)} },
		"unknown writes count as done": func(s Store) Store { return hopes{s} },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(plantedSeeds) {
				if broken := play(t, seed, wrap).check(); len(broken) > 0 {
					text := broken[0].Error()
					t.Logf("found by history %d: %d findings, the first: %s", seed+1, len(broken), text[:min(120, len(text))])
					return
				}
			}
			t.Errorf("not found by %d histories", plantedSeeds)
		})
	}
}

// TestOrdersDoNotRestOnTheLease: a primary that is deposed and does not know it may be unable to answer, but what it answers
// holds, as it is confirmed by a round trip.
func TestOrdersDoNotRestOnTheLease(t *testing.T) {
	for seed := range uint64(*orderSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			for _, err := range play(t, seed, func(s Store) Store { return newClings(s) }).check() {
				t.Error(err)
			}
		})
	}
}
