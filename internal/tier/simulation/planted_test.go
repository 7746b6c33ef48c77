package simulation

import (
	"bytes"
	"context"
	"maps"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/controlplane"
	"saffronyard.example/saffronyard/internal/tier/settings"
	"saffronyard.example/saffronyard/internal/tier/turnstore"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// plantedSeeds is in how many seeds a planted fault has to be found.
const plantedSeeds = 200

// found plays seeds until one breaks one of the rules.
func found(t *testing.T, seams Seams, rules ...Rule) {
	t.Helper()
	foundIn(t, Batch{Options: Options{Seams: seams}}, rules...)
}

// foundIn plays the seeds of a batch until one breaks one of the rules.
func foundIn(t *testing.T, batch Batch, rules ...Rule) {
	t.Helper()
	if testing.Short() || raceDetector {
		t.Skip("many seeds: played without -short and -race")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var hit *Failure
	batch.Seeds, batch.Jobs = plantedSeeds, 4
	batch.Failed = func(f Failure) {
		if hit == nil {
			hit = &f
		}
		cancel()
	}
	total := batch.Play(ctx)
	assert.Assert(t, hit != nil, "not found in %d seeds", total.Played)
	assert.Equal(t, hit.Err, "")
	t.Logf("found after %d seeds:\n%v%v", total.Played, hit.Script, hit.Broken)
	for _, rule := range rules {
		if hit.Broken.Rule == rule {
			return
		}
	}
	t.Errorf("found by rule %s, not by one of %v", hit.Broken.Rule, rules)
}

// endless is a control state whose lease never ends, and that confirms nothing by a round trip.
type endless struct {
	controlplane.Store
	epoch atomic.Uint64
}

func (s *endless) Primary() (uint64, bool) {
	epoch, ok := s.Store.Primary()
	if ok {
		s.epoch.Store(epoch)
		return epoch, true
	}
	if last := s.epoch.Load(); last != 0 && s.Store.View().GetEpoch() <= last { // it has heard of no other
		return last, true
	}
	return epoch, false
}

func (s *endless) Confirm(context.Context, uint64) error { return nil }

// Point 1: a primary that was cut off goes on as if it were in touch.
func TestPlantedEndlessLease(t *testing.T) {
	found(t, Seams{Store: func(s controlplane.Store) controlplane.Store { return &endless{Store: s} }},
		RuleRead, RuleStale, RuleFalls, RuleRefusal, RuleRepeat)
}

// orderRecord is the part of the name of the keys under which the control plane remembers orders.
const orderRecord = "order"

// forgetful drops what the control plane remembers of orders that were taken.
type forgetful struct{ controlplane.Store }

func (s forgetful) Get(key string) ([]byte, uint64) {
	if strings.Contains(key, orderRecord) {
		return nil, 0
	}
	return s.Store.Get(key)
}

// Point 2: the record of orders that were taken is lost, and one that comes again is refused.
func TestPlantedForgottenOrders(t *testing.T) {
	found(t, Seams{Store: func(s controlplane.Store) controlplane.Store { return forgetful{s} }}, RuleRepeat, RuleRefusal)
}

// Point 3: a primary reports copies as whole that have not been compared.
func TestPlantedEarlySynced(t *testing.T) {
	var mu sync.Mutex
	maps := map[*turnstore.TurnStore]*tierv1.PartitionMap{}
	seams := Seams{
		Map: func(store *turnstore.TurnStore, m *tierv1.PartitionMap) {
			mu.Lock()
			defer mu.Unlock()
			maps[store] = m
		},
		Tamper: func(d *Delivery) {
			if strings.HasSuffix(d.Path, "/Held") { // what is lacking never becomes known
				d.Answer = []byte{0xff}
			}
		},
		Synced: func(store *turnstore.TurnStore, synced SyncedFunc) SyncedFunc {
			return func() ([]*tierv1.SyncedReplica, <-chan struct{}) {
				_, changed := synced()
				mu.Lock()
				defer mu.Unlock()
				return allSynced(store.Folder(), maps[store]), changed
			}
		}}
	found(t, seams, RuleTurn, RuleBudget, RuleRecovery)
}

// allSynced reports all copies of a folder's partitions.
func allSynced(folder string, m *tierv1.PartitionMap) (list []*tierv1.SyncedReplica) {
	for i, p := range m.GetPartitions() {
		if p.Primary != folder {
			continue
		}
		for _, c := range p.Backups {
			list = append(list, &tierv1.SyncedReplica{Partition: uint32(i), Epoch: p.Epoch, Folder: c.Folder})
		}
	}
	return list
}

// partitionMapKey is the key under which the control plane keeps the map of partitions.
const partitionMapKey = "turnstores"

// unretaining forgets the copies that control took out of the map while they were silent.
type unretaining struct{ controlplane.Store }

func (s unretaining) Get(key string) ([]byte, uint64) {
	body, sequence := s.Store.Get(key)
	if key != partitionMapKey || body == nil {
		return body, sequence
	}
	return withoutRetained(body), sequence
}

func (s unretaining) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	if body := sets[partitionMapKey]; body != nil {
		sets = maps.Clone(sets)
		sets[partitionMapKey] = withoutRetained(body)
	}
	return s.Store.Put(ctx, epoch, sets)
}

// withoutRetained gives a map of partitions without its retained copies.
func withoutRetained(body []byte) []byte {
	m := &tierv1.PartitionMap{}
	if proto.Unmarshal(body, m) != nil {
		return body
	}
	for _, p := range m.Partitions {
		p.Retained = nil
	}
	changed, err := proto.Marshal(m)
	if err != nil {
		return body
	}
	return changed
}

// Point 3: control forgets copies that were taken out while they were silent, and the machine that holds the only synced ones
// loses its disk.
func TestPlantedForgottenCopies(t *testing.T) {
	if testing.Short() || raceDetector {
		t.Skip("many seeds: played without -short and -race")
	}
	seams := Seams{Store: func(s controlplane.Store) controlplane.Store { return unretaining{s} }}
	for n := range plantedSeeds {
		result, err := Play(lossAfterLapse, Options{Seams: seams})
		assert.NilError(t, err)
		if result.Broken != nil {
			t.Logf("found after %d plays: %v", n+1, result.Broken)
			assert.Equal(t, result.Broken.Rule, RuleRecovery)
			return
		}
	}
	t.Fatalf("not found in %d plays", plantedSeeds)
}

// lying is a file system of the control plane whose syncs do nothing.
type lying struct{ wal.FS }

type lyingHandle struct{ wal.Handle }

func (lyingHandle) Sync() error { return nil }

func (l lying) Open(name string) (wal.Handle, error) {
	h, err := l.FS.Open(name)
	if err != nil {
		return nil, err
	}
	return lyingHandle{h}, nil
}

func (l lying) Create(name string) (wal.Handle, error) {
	h, err := l.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return lyingHandle{h}, nil
}

// Point 4: a member that comes back has forgotten its promises and its copy.
func TestPlantedForgottenPromise(t *testing.T) {
	found(t, Seams{Files: func(machine string, files wal.FS) wal.FS {
		if !strings.HasPrefix(machine, "core-") {
			return files
		}
		return lying{files}
	}}, RuleChain, RuleRead, RuleStale, RuleFalls, RuleOneValue, RuleRefusal, RuleRecovery)
}

// Point 5: an answer comes to another caller.
func TestPlantedWrongCaller(t *testing.T) {
	var mu sync.Mutex
	n := 0
	var before []byte
	found(t, Seams{Tamper: func(d *Delivery) {
		if d.Path != actPath {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if n++; n%100 == 0 {
			d.Answer = before
		}
		before = bytes.Clone(d.Answer)
	}}, RuleCaller)
}

// Point 5: a call that may not be repeated is made twice.
func TestPlantedSecondCall(t *testing.T) {
	var n atomic.Int64
	found(t, Seams{Tamper: func(d *Delivery) {
		if d.Path == actPath && n.Add(1)%100 == 0 {
			d.Repeat()
		}
	}}, RuleOnce)
}

// Copies and members are spread over machines, and zones and regions are lost.
func TestPlantedSpreadOverMachines(t *testing.T) {
	found(t, Seams{Settings: func(s *settings.Settings) {
		s.MachineFailures, s.ZoneFailures, s.RegionFailures = s.Losses(), 0, 0
	}}, RuleRecovery, RuleTurn, RuleBudget)
}

// Members of the control plane are spread over machines, and copies over zones.
func TestPlantedMembersOfOneZone(t *testing.T) {
	found(t, Seams{Settings: func(s *settings.Settings) {
		if s.ZoneFailures > 0 && strings.HasPrefix(s.Node, "core-") {
			s.Zone = s.Node
		}
	}}, RuleRecovery)
}
