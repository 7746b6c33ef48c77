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

// injectedFaultSeeds is the number of seeds within which an injected fault has to be found.
const injectedFaultSeeds = 200

// expectFound plays seeds until one breaks one of the rules.
func expectFound(t *testing.T, hooks Hooks, rules ...Rule) {
	t.Helper()
	expectFoundInBatch(t, Batch{Options: Options{Hooks: hooks}}, rules...)
}

// expectFoundInBatch plays the seeds of a batch until one breaks one of the rules.
func expectFoundInBatch(t *testing.T, batch Batch, rules ...Rule) {
	t.Helper()
	if testing.Short() || raceDetector {
		t.Skip("many seeds: played without -short and -race")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var hit *Failure
	batch.Seeds, batch.Jobs = injectedFaultSeeds, 4
	batch.Failed = func(f Failure) {
		if hit == nil {
			hit = &f
		}
		cancel()
	}
	total := batch.Play(ctx)
	assert.Assert(t, hit != nil, "not found in %d seeds", total.Played)
	assert.Equal(t, hit.SimulatorError, "")
	t.Logf("found after %d seeds:\n%v%v", total.Played, hit.Script, hit.Violation)
	for _, rule := range rules {
		if hit.Violation.Rule == rule {
			return
		}
	}
	t.Errorf("found by rule %s, not by one of %v", hit.Violation.Rule, rules)
}

// endlessLeaseStore is a control state whose lease never expires, and that confirms reads without a round trip.
type endlessLeaseStore struct {
	controlplane.Store
	epoch atomic.Uint64
}

func (s *endlessLeaseStore) Primary() (uint64, bool) {
	epoch, ok := s.Store.Primary()
	if ok {
		s.epoch.Store(epoch)
		return epoch, true
	}
	if last := s.epoch.Load(); last != 0 && s.Store.View().GetEpoch() <= last { // this process has not received a higher epoch
		return last, true
	}
	return epoch, false
}

func (s *endlessLeaseStore) Confirm(context.Context, uint64) error { return nil }

// Point 1: a partitioned primary continues as if it were still in contact with a quorum.
func TestInjectedFault_EndlessLease(t *testing.T) {
	expectFound(t, Hooks{Store: func(s controlplane.Store) controlplane.Store { return &endlessLeaseStore{Store: s} }},
		RuleRead, RuleStale, RuleMonotonic, RuleRejection, RuleIdempotent)
}

// orderRecord is a part of the keys under which the control plane records accepted changes.
const orderRecord = "order"

// hidingStore hides the control plane's records of accepted changes.
type hidingStore struct{ controlplane.Store }

func (s hidingStore) Get(key string) ([]byte, uint64) {
	if strings.Contains(key, orderRecord) {
		return nil, 0
	}
	return s.Store.Get(key)
}

// Point 2: the records of accepted changes are lost, so that an accepted change is rejected when it is sent again.
func TestInjectedFault_ForgottenChanges(t *testing.T) {
	expectFound(t, Hooks{Store: func(s controlplane.Store) controlplane.Store { return hidingStore{s} }}, RuleIdempotent, RuleRejection)
}

// Point 3: a primary reports replicas as synced that it has not compared.
func TestInjectedFault_EarlySynced(t *testing.T) {
	var mu sync.Mutex
	maps := map[*turnstore.TurnStore]*tierv1.PartitionMap{}
	hooks := Hooks{
		OnPartitionMap: func(store *turnstore.TurnStore, m *tierv1.PartitionMap) {
			mu.Lock()
			defer mu.Unlock()
			maps[store] = m
		},
		TamperReply: func(d *Delivery) {
			if strings.HasSuffix(d.Path, "/Held") { // the facts that a replica lacks never become known
				d.Reply = []byte{0xff}
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
	expectFound(t, hooks, RuleTurn, RuleBudget, RuleRecovery)
}

// allSynced reports all replicas of a folder's partitions.
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

// unretainingStore drops the replicas that the control plane took out of the map while their turn stores had no session.
type unretainingStore struct{ controlplane.Store }

func (s unretainingStore) Get(key string) ([]byte, uint64) {
	body, sequence := s.Store.Get(key)
	if key != partitionMapKey || body == nil {
		return body, sequence
	}
	return withoutRetained(body), sequence
}

func (s unretainingStore) Put(ctx context.Context, epoch uint64, sets map[string][]byte) (uint64, error) {
	if body := sets[partitionMapKey]; body != nil {
		sets = maps.Clone(sets)
		sets[partitionMapKey] = withoutRetained(body)
	}
	return s.Store.Put(ctx, epoch, sets)
}

// withoutRetained returns a map of partitions without its retained replicas.
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

// Point 3: the control plane drops replicas that were taken out of the map while their turn stores had no session, and then the machine
// with the only synced replicas loses its disk.
func TestInjectedFault_ForgottenReplicas(t *testing.T) {
	if testing.Short() || raceDetector {
		t.Skip("many seeds: played without -short and -race")
	}
	hooks := Hooks{Store: func(s controlplane.Store) controlplane.Store { return unretainingStore{s} }}
	for n := range injectedFaultSeeds {
		result, err := Play(lossAfterSessionExpiry, Options{Hooks: hooks})
		assert.NilError(t, err)
		if result.Violation != nil {
			t.Logf("found after %d plays: %v", n+1, result.Violation)
			assert.Equal(t, result.Violation.Rule, RuleRecovery)
			return
		}
	}
	t.Fatalf("not found in %d plays", injectedFaultSeeds)
}

// unsyncedFS is a file system of the control plane whose syncs do nothing.
type unsyncedFS struct{ wal.FS }

type unsyncedHandle struct{ wal.Handle }

func (unsyncedHandle) Sync() error { return nil }

func (l unsyncedFS) Open(name string) (wal.Handle, error) {
	h, err := l.FS.Open(name)
	if err != nil {
		return nil, err
	}
	return unsyncedHandle{h}, nil
}

func (l unsyncedFS) Create(name string) (wal.Handle, error) {
	h, err := l.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return unsyncedHandle{h}, nil
}

// Point 4: a member that restarts has lost its promises and its replica.
func TestInjectedFault_ForgottenPromise(t *testing.T) {
	expectFound(t, Hooks{Files: func(machine string, files wal.FS) wal.FS {
		if !strings.HasPrefix(machine, "core-") {
			return files
		}
		return unsyncedFS{files}
	}}, RuleChain, RuleRead, RuleStale, RuleMonotonic, RuleOneValue, RuleRejection, RuleRecovery)
}

// Point 5: a caller receives the response to another caller's request.
func TestInjectedFault_WrongCaller(t *testing.T) {
	var mu sync.Mutex
	n := 0
	var before []byte
	expectFound(t, Hooks{TamperReply: func(d *Delivery) {
		if d.Path != runPath {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if n++; n%100 == 0 {
			d.Reply = before
		}
		before = bytes.Clone(d.Reply)
	}}, RuleCaller)
}

// Point 5: a call that is not idempotent is made twice.
func TestInjectedFault_SecondCall(t *testing.T) {
	var n atomic.Int64
	expectFound(t, Hooks{TamperReply: func(d *Delivery) {
		if d.Path == runPath && n.Add(1)%100 == 0 {
			d.Repeat()
		}
	}}, RuleOnce)
}

// Replicas and members are spread over machines only, while zones and regions are lost.
func TestInjectedFault_ReplicasSpreadOverMachines(t *testing.T) {
	expectFound(t, Hooks{Settings: func(s *settings.Settings) {
		s.MachineFailures, s.ZoneFailures, s.RegionFailures = s.Losses(), 0, 0
	}}, RuleRecovery, RuleTurn, RuleBudget)
}

// Control-plane members are spread over machines only, while replicas are spread over zones.
func TestInjectedFault_MembersInOneZone(t *testing.T) {
	expectFound(t, Hooks{Settings: func(s *settings.Settings) {
		if s.ZoneFailures > 0 && strings.HasPrefix(s.Node, "core-") {
			s.Zone = s.Node
		}
	}}, RuleRecovery)
}
