package turnstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/tiertest/observer"
	"saffronyard.example/saffronyard/internal/tier/wal"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// injectionSeeds is in how many seeds an injected fault has to be found, and faultFreeSeeds how many are played without a fault.
const (
	injectionSeeds = 200
	faultFreeSeeds = 40
)

// injection is a fault of the turn stores, their disks or the control plane, made from outside. The zero injection is none. What takes a
// cluster is called for each message, and returns what serves it in place of the turn store's own method.
type injection struct {
	replicate func(c *cluster) func(*TurnStore, context.Context, *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error)
	held      func(c *cluster) func(*TurnStore, context.Context, *tierv1.FactKeysRequest) (*tierv1.FactKeysReply, error)
	fetch     func(c *cluster) func(*TurnStore, context.Context, *tierv1.FetchRequest) (*tierv1.FetchReply, error)
	files     func(wal.FS) wal.FS
	control   func(m *tierv1.PartitionMap)                  // changes a map before a turn store receives it
	reports   func(*TurnStore) []*tierv1.SyncedReplica      // what a turn store reports to the control plane
	successor func(s *script, lost string) (primary string) // whom the control plane makes the primary after a loss
}

// dropsFacts makes a backup say that it has taken facts which it drops, in about one of n messages that carry some.
func dropsFacts(n int, seed uint64) injection {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 5))
	spoilt := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return r.IntN(n) == 0
	}
	return injection{replicate: func(*cluster) func(*TurnStore, context.Context, *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
		return func(store *TurnStore, ctx context.Context, req *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
			if len(req.Facts) > 0 && spoilt() {
				req.Facts = nil
			}
			return store.Replicate(ctx, req)
		}
	}}
}

// takesStale makes a backup say that it has taken what comes under an epoch that is over.
func takesStale() injection {
	return injection{replicate: func(*cluster) func(*TurnStore, context.Context, *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
		return func(store *TurnStore, ctx context.Context, req *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
			reply, err := store.Replicate(ctx, req)
			if err == nil && reply.Stale {
				return &tierv1.ReplicateReply{Acknowledged: true}, nil
			}
			return reply, err
		}
	}}
}

// reportsMissingKeys makes a backup name keys that it does not hold: those of one of n facts of the primary's.
func reportsMissingKeys(n int) injection {
	return injection{held: func(c *cluster) func(*TurnStore, context.Context, *tierv1.FactKeysRequest) (*tierv1.FactKeysReply, error) {
		return func(store *TurnStore, ctx context.Context, req *tierv1.FactKeysRequest) (*tierv1.FactKeysReply, error) {
			reply, err := store.Held(ctx, req)
			if err != nil || !reply.Ok {
				return reply, err
			}
			for i, key := range c.keysAtPrimary(req.Partition) {
				if i%n == 0 && !slices.Contains(reply.Keys, key) {
					reply.Keys = append(reply.Keys, key)
				}
			}
			return reply, nil
		}
	}}
}

// losesFetched makes a backup leave out all facts of one attempt when it is asked for them.
func losesFetched(attempt string) injection {
	return injection{fetch: func(*cluster) func(*TurnStore, context.Context, *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
		return func(store *TurnStore, ctx context.Context, req *tierv1.FetchRequest) (*tierv1.FetchReply, error) {
			reply, err := store.Fetch(ctx, req)
			if err == nil {
				reply.Facts = slices.DeleteFunc(reply.Facts, func(f *tierv1.Fact) bool { return f.Attempt == attempt })
			}
			return reply, err
		}
	}}
}

// logFilesFS is a file system with another way to sync the files of facts.
type logFilesFS struct {
	wal.FS
	wrap func(wal.Handle) wal.Handle
}

func (d logFilesFS) Open(name string) (wal.Handle, error) { return d.wrapped(name)(d.FS.Open(name)) }

func (d logFilesFS) Create(name string) (wal.Handle, error) {
	return d.wrapped(name)(d.FS.Create(name))
}

// wrapped wraps the handle of a file if it is one of facts.
func (d logFilesFS) wrapped(name string) func(wal.Handle, error) (wal.Handle, error) {
	return func(handle wal.Handle, err error) (wal.Handle, error) {
		if err != nil || !strings.Contains(name, "facts-") {
			return handle, err
		}
		return d.wrap(handle), nil
	}
}

// ignoredSync is a file whose syncs do nothing.
type ignoredSync struct{ wal.Handle }

func (ignoredSync) Sync() error { return nil }

// syncsNothing makes disks forget all facts at a loss of power.
func syncsNothing() injection {
	return injection{files: func(disk wal.FS) wal.FS {
		return logFilesFS{disk, func(h wal.Handle) wal.Handle { return ignoredSync{h} }}
	}}
}

// delayedSync is a file of which a sync keeps only what was there at the sync before.
type delayedSync struct {
	wal.Handle
	syncPending bool
}

func (l *delayedSync) Sync() error {
	l.syncPending = true
	return nil
}

// WriteAt makes up for the sync before.
func (l *delayedSync) WriteAt(data []byte, at int64) (int, error) {
	if l.syncPending {
		l.syncPending = false
		if err := l.Handle.Sync(); err != nil {
			return 0, err
		}
	}
	return l.Handle.WriteAt(data, at)
}

// syncsLate makes disks forget what was synced last at a loss of power.
func syncsLate() injection {
	return injection{files: func(disk wal.FS) wal.FS {
		return logFilesFS{disk, func(h wal.Handle) wal.Handle { return &delayedSync{Handle: h} }}
	}}
}

// reportsEarly makes a primary report all replicas that are not synced as synced.
func reportsEarly() injection {
	return injection{reports: func(store *TurnStore) (reports []*tierv1.SyncedReplica) {
		store.mu.Lock()
		defer store.mu.Unlock()
		for _, p := range store.state.partitions {
			if p.term == nil || p.term.ended {
				continue
			}
			for _, s := range p.term.replicators {
				if s.unsynced {
					reports = append(reports, &tierv1.SyncedReplica{Partition: p.id, Epoch: p.term.epoch, Folder: s.folder})
				}
			}
		}
		return reports
	}}
}

// unsyncedSucceeds makes the control plane name a machine as the primary that has no synced replica.
func unsyncedSucceeds() injection {
	return injection{successor: func(s *script, lost string) string {
		for _, name := range s.cluster.names {
			if name != lost && name != s.backup {
				return name
			}
		}
		return s.backup
	}}
}

// forgetsRetained makes the control plane forget the replicas that were taken out while they were unresponsive.
func forgetsRetained() injection {
	return injection{control: func(m *tierv1.PartitionMap) {
		for _, p := range m.Partitions {
			p.Retained, p.RecoverFrom, p.AcknowledgedUntil = nil, nil, 0
		}
	}}
}

// randomScenario is a run of one of this package's tests of losses.
type randomScenario struct {
	name string
	run  func(t reporter, p injection)
}

// drawScenario draws a run, the faults of its machines and messages included.
func drawScenario(seed uint64) randomScenario {
	r := rand.New(rand.NewPCG(seed, 3))
	at := 1 + r.IntN(faultedMessages)
	switch r.IntN(9) {
	case 0:
		return randomScenario{"a takeover from a frozen primary", runTakeover}
	case 1:
		return randomScenario{"a recovery from two replicas", runRecovery}
	case 2:
		return randomScenario{"retained replicas", runRetained}
	case 3:
		both, victim, operation := r.IntN(2) == 0, []string{"a", "b"}[r.IntN(2)], 1+r.IntN(diskOperations)
		return randomScenario{fmt.Sprintf("a loss of power at operation %d of %s, both machines %v", operation, victim, both),
			func(t reporter, p injection) { runPowerLoss(t, p, both, victim, operation) }}
	case 4:
		at = r.IntN(faultedMessages + 1)
		return randomScenario{fmt.Sprintf("two losses, the second at message %d", at),
			func(t reporter, p injection) { runTwoLosses(t, p, at) }}
	}
	step := repairSteps[r.IntN(len(repairSteps))]
	f := lostRequest + fault(r.IntN(int(faults-lostRequest)))
	for !step.tolerates(f) {
		f = lostRequest + fault(r.IntN(int(faults-lostRequest)))
	}
	return randomScenario{fmt.Sprintf("%s, fault %d at message %d", step.name, f, at),
		func(t reporter, p injection) { runLoss(t, p, step, f, at) }}
}

// What the checks say of facts that are lost, of budgets that are granted twice, and of turns that are not served.
const (
	storedIsUnknown    = "is unknown"
	budgetForgotten    = "the budget is forgotten"
	overdrawn          = "tokens granted of"
	replicaNotRetained = "whether a replica is retained"
)

// always gives one injection for all seeds.
func always(p injection) func(uint64) injection { return func(uint64) injection { return p } }

// TestInjectedFaults_AreFound injects faults, and expects the checks of losses to find each by what it takes away.
func TestInjectedFaults_AreFound(t *testing.T) {
	for _, fault := range []struct {
		name string
		make func(seed uint64) injection
		by   []string // one of these is in what the check says
	}{
		{"a backup drops one message of facts in six", func(seed uint64) injection { return dropsFacts(6, seed) }, []string{storedIsUnknown, budgetForgotten}},
		{"a backup accepts a stale epoch", always(takesStale()), []string{storedIsUnknown, overdrawn}},
		{"a backup reports a third of the keys without having them", always(reportsMissingKeys(3)), []string{storedIsUnknown}},
		{"a backup leaves out one attempt that is fetched", always(losesFetched("t2")), []string{storedIsUnknown}},
		{"syncs do nothing", always(syncsNothing()), []string{storedIsUnknown}},
		{"the last sync does nothing", always(syncsLate()), []string{storedIsUnknown}},
		{"replicas are reported synced too early", always(reportsEarly()), []string{storedIsUnknown}},
		{"an unsynced replica becomes primary", always(unsyncedSucceeds()), []string{storedIsUnknown}},
		{"the control plane forgets retained replicas", always(forgetsRetained()), []string{storedIsUnknown, replicaNotRetained}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(injectionSeeds) {
				play := drawScenario(seed)
				failure := observer.Observe(func(r reporter) { play.run(r, fault.make(seed)) })
				if failure == "" {
					continue
				}
				t.Logf("seed %d, %s: %s", seed, play.name, failure)
				if containsAny(failure, fault.by) {
					return
				}
			}
			t.Fatalf("not found in %d seeds", injectionSeeds)
		})
	}
}

func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}

// TestInjectedFaults_NoneFoundWithout: what finds injected faults finds nothing if there is none.
func TestInjectedFaults_NoneFoundWithout(t *testing.T) {
	for seed := range uint64(faultFreeSeeds) {
		play := drawScenario(seed)
		assert.Equal(t, observer.Observe(func(r reporter) { play.run(r, injection{}) }), "", "seed %d, %s", seed, play.name)
	}
}
