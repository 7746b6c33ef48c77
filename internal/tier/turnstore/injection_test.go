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

// injectionSeeds is the number of seeds within which an injected fault must be detected, and faultFreeSeeds the number of seeds that
// are run without a fault.
const (
	injectionSeeds = 200
	faultFreeSeeds = 40
)

// injection is a fault that is injected into the turn stores, their disks or the control plane. The zero injection is none. A
// function that takes a cluster is called for each message, and returns the function that serves it in place of the turn store's
// method.
type injection struct {
	replicate func(c *cluster) func(*TurnStore, context.Context, *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error)
	held      func(c *cluster) func(*TurnStore, context.Context, *tierv1.FactKeysRequest) (*tierv1.FactKeysReply, error)
	fetch     func(c *cluster) func(*TurnStore, context.Context, *tierv1.FetchRequest) (*tierv1.FetchReply, error)
	files     func(wal.FS) wal.FS
	modifyMap func(m *tierv1.PartitionMap)                  // changes a map before a turn store receives it
	reports   func(*TurnStore) []*tierv1.SyncedReplica      // what a turn store reports to the control plane
	successor func(s *script, lost string) (primary string) // the machine that the control plane makes the primary after a loss
}

// dropsFacts makes a backup acknowledge facts that it drops, in about one of n messages with facts.
func dropsFacts(n int, seed uint64) injection {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 5))
	shouldDrop := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return r.IntN(n) == 0
	}
	return injection{replicate: func(*cluster) func(*TurnStore, context.Context, *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
		return func(store *TurnStore, ctx context.Context, req *tierv1.ReplicateRequest) (*tierv1.ReplicateReply, error) {
			if len(req.Facts) > 0 && shouldDrop() {
				req.Facts = nil
			}
			return store.Replicate(ctx, req)
		}
	}}
}

// acknowledgesStale makes a backup acknowledge requests of a stale epoch.
func acknowledgesStale() injection {
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

// reportsMissingKeys makes a backup report keys of facts that it lacks, for one in n of the primary's keys.
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

// omitsFetched makes a backup omit all facts of one attempt from its replies to Fetch.
func omitsFetched(attempt string) injection {
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

// logFilesFS is a file system that wraps the handles of the files of facts.
type logFilesFS struct {
	wal.FS
	wrap func(wal.Handle) wal.Handle
}

func (d logFilesFS) Open(name string) (wal.Handle, error) { return d.wrapped(name)(d.FS.Open(name)) }

func (d logFilesFS) Create(name string) (wal.Handle, error) {
	return d.wrapped(name)(d.FS.Create(name))
}

// wrapped wraps the handle of a file if the file contains facts.
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

// ignoresSyncs makes disks lose all facts at a power loss.
func ignoresSyncs() injection {
	return injection{files: func(disk wal.FS) wal.FS {
		return logFilesFS{disk, func(h wal.Handle) wal.Handle { return ignoredSync{h} }}
	}}
}

// delayedSync is a file whose syncs take effect only before the next write.
type delayedSync struct {
	wal.Handle
	syncPending bool
}

func (l *delayedSync) Sync() error {
	l.syncPending = true
	return nil
}

// WriteAt performs the pending sync before the write.
func (l *delayedSync) WriteAt(data []byte, at int64) (int, error) {
	if l.syncPending {
		l.syncPending = false
		if err := l.Handle.Sync(); err != nil {
			return 0, err
		}
	}
	return l.Handle.WriteAt(data, at)
}

// delaysSyncs makes disks lose the last synced facts at a power loss.
func delaysSyncs() injection {
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

// promotesUnsynced makes the control plane choose a machine without a synced replica as the primary.
func promotesUnsynced() injection {
	return injection{successor: func(s *script, lost string) string {
		for _, name := range s.cluster.names {
			if name != lost && name != s.backup {
				return name
			}
		}
		return s.backup
	}}
}

// forgetsRetained makes the control plane omit the retained replicas from its maps. These replicas were removed from their partitions
// while they were unresponsive.
func forgetsRetained() injection {
	return injection{modifyMap: func(m *tierv1.PartitionMap) {
		for _, p := range m.Partitions {
			p.Retained, p.RecoverFrom, p.AcknowledgedUntil = nil, nil, 0
		}
	}}
}

// randomScenario is a run of one of the loss tests of this package.
type randomScenario struct {
	name string
	run  func(t reporter, p injection)
}

// drawScenario draws a random run with the faults of its machines and messages.
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
	f := lostRequest + fault(r.IntN(int(faultCount-lostRequest)))
	for !step.tolerates(f) {
		f = lostRequest + fault(r.IntN(int(faultCount-lostRequest)))
	}
	return randomScenario{fmt.Sprintf("%s, fault %d at message %d", step.name, f, at),
		func(t reporter, p injection) { runLoss(t, p, step, f, at) }}
}

// Parts of the failure messages of the checks for lost turns, exceeded budgets and dropped replicas.
const (
	storedIsUnknown    = "is unknown"
	budgetExceeded     = "a turn beyond the budget was granted"
	overdrawn          = "tokens granted of"
	replicaNotRetained = "whether a replica is retained"
)

// always returns the same injection for all seeds.
func always(p injection) func(uint64) injection { return func(uint64) injection { return p } }

// TestInjectedFaults_AreFound injects faults, and expects the loss tests to detect each with one of its failure messages.
func TestInjectedFaults_AreFound(t *testing.T) {
	for _, fault := range []struct {
		name       string
		make       func(seed uint64) injection
		detectedBy []string // one of these must be part of the failure message
	}{
		{"a backup drops one message of facts in six", func(seed uint64) injection { return dropsFacts(6, seed) }, []string{storedIsUnknown, budgetExceeded}},
		{"a backup accepts a stale epoch", always(acknowledgesStale()), []string{storedIsUnknown, overdrawn}},
		{"a backup reports a third of the keys without having them", always(reportsMissingKeys(3)), []string{storedIsUnknown}},
		{"a backup leaves out one attempt that is fetched", always(omitsFetched("t2")), []string{storedIsUnknown}},
		{"syncs do nothing", always(ignoresSyncs()), []string{storedIsUnknown}},
		{"the last sync does nothing", always(delaysSyncs()), []string{storedIsUnknown}},
		{"replicas are reported synced too early", always(reportsEarly()), []string{storedIsUnknown}},
		{"an unsynced replica becomes primary", always(promotesUnsynced()), []string{storedIsUnknown}},
		{"the control plane forgets retained replicas", always(forgetsRetained()), []string{storedIsUnknown, replicaNotRetained}},
	} {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(injectionSeeds) {
				scenario := drawScenario(seed)
				failure := observer.Observe(func(r reporter) { scenario.run(r, fault.make(seed)) })
				if failure == "" {
					continue
				}
				t.Logf("seed %d, %s: %s", seed, scenario.name, failure)
				if containsAny(failure, fault.detectedBy) {
					return
				}
			}
			t.Fatalf("not detected in %d seeds", injectionSeeds)
		})
	}
}

func containsAny(text string, parts []string) bool {
	return slices.ContainsFunc(parts, func(part string) bool { return strings.Contains(text, part) })
}

// TestInjectedFaults_NoneFoundWithout runs the same scenarios without a fault: no check may fail.
func TestInjectedFaults_NoneFoundWithout(t *testing.T) {
	for seed := range uint64(faultFreeSeeds) {
		scenario := drawScenario(seed)
		assert.Equal(t, observer.Observe(func(r reporter) { scenario.run(r, injection{}) }), "", "seed %d, %s", seed, scenario.name)
	}
}
