package controlplane

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// expire returns the input right after the sessions of machines have expired.
func (model *placementModel) expire(machines ...*modelMachine) Input {
	for _, m := range machines {
		m.partitioned = true
	}
	in := model.input()
	in.RecentlyExpired = map[string]bool{}
	for _, m := range machines {
		in.RecentlyExpired[m.folder] = true
	}
	return in
}

// modelAfterExpiry returns a model of three machines with one loss to tolerate, in which the first machine's replicas were
// removed because its session expired.
func modelAfterExpiry(t *testing.T) *placementModel {
	model := newModel(t, nil, 3, 3, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	assert.Assert(t, model.assign(model.expire(model.machines[0])))
	for range 3 {
		model.step()
	}
	for _, p := range model.partitionMap.Partitions {
		assert.Assert(t, !slices.Contains(replicaFolders(p), model.machines[0].folder))
	}
	return model
}

// countServed counts the partitions of which some machine acknowledges a turn.
func (model *placementModel) countServed() (n int) {
	for _, m := range model.machines {
		m.receiveMap(model)
	}
	for i := range model.partitionMap.Partitions {
		if slices.ContainsFunc(model.machines, func(m *modelMachine) bool { return model.acknowledge(m, i) }) {
			n++
		}
	}
	return n
}

// The session of a second turn store expires while the first, which has no replicas any more, is still unresponsive: the third
// does not serve alone, so that nothing acknowledged is lost if its disk is lost.
func TestSessionExpiry_LastStoreWaits(t *testing.T) {
	model := modelAfterExpiry(t)
	model.assign(model.expire(model.machines[0], model.machines[1]))
	for i, p := range model.partitionMap.Partitions {
		assert.Equal(t, len(p.Backups), 1, "partition %d: %v", i, p)
	}
	model.countServed()
	model.wipe(model.machines[2], false)
	model.machines[0].partitioned, model.machines[1].partitioned = false, false
	model.assign(model.input())
	model.reports = nil
	model.runUntilStable()
	assert.Equal(t, model.countServed(), partitionCount)
	model.assertBalanced(false)
}

// A turn store that returns within the wait is still a synced backup, in the same epoch.
func TestSessionExpiry_StoreBackWithinWaitStaysBackup(t *testing.T) {
	model := modelAfterExpiry(t)
	for _, p := range model.partitionMap.Partitions {
		assert.Assert(t, len(p.Backups) == 1 && p.Backups[0].Synced, "%v", p)
	}
	second, third := model.machines[1], model.machines[2]
	before := model.partitionMap
	model.assign(model.expire(model.machines[0], second))
	waiting := model.partitionMap
	second.partitioned = false
	in := model.expire(model.machines[0])
	in.MayMove = false // primaries are balanced later
	model.assign(in)
	for i, p := range model.partitionMap.Partitions {
		assert.Assert(t, proto.Equal(p, waiting.Partitions[i]), "partition %d: %v", i, p)
		assert.Assert(t, findBackup(p, second.folder).Synced, "partition %d: %v", i, p)
		if was := before.Partitions[i]; was.Primary == third.folder {
			assert.Assert(t, proto.Equal(p, was), "partition %d: %v", i, p)
		}
	}
	assert.Equal(t, model.countServed(), partitionCount)
}

// When the wait is over, the last turn store serves alone the partitions of which it has everything acknowledged.
func TestSessionExpiry_LastStoreGoesOnAfterWait(t *testing.T) {
	model := modelAfterExpiry(t)
	model.assign(model.expire(model.machines[0], model.machines[1]))
	in := model.input()
	assert.Assert(t, model.assign(in))
	for i, p := range model.partitionMap.Partitions {
		assert.Equal(t, p.Primary, model.machines[2].folder, "partition %d: %v", i, p)
		assert.Equal(t, len(p.Backups), 0, "partition %d: %v", i, p)
	}
	assert.Equal(t, model.countServed(), partitionCount)
}

// Assign waits after an expiry only if no turn store can take another replica; otherwise it makes the same map as long after
// the expiry.
func TestSessionExpiry_WaitOnlyWithoutReplacement(t *testing.T) {
	for _, test := range []struct {
		machines, losses, expired int
		waits                     bool
	}{
		{2, 1, 1, true}, {3, 2, 1, true}, {3, 2, 2, true}, {4, 2, 2, true},
		{3, 1, 1, false}, {4, 1, 1, false}, {4, 2, 1, false}, {5, 2, 2, false},
	} {
		model := newModel(t, nil, test.machines, test.machines, FaultTolerance{test.losses, byNode})
		model.assign(model.input())
		model.runUntilStable()
		in := model.expire(model.machines[:test.expired]...)
		now, _ := Assign(model.partitionMap, in)
		in.RecentlyExpired = nil
		later, changed := Assign(model.partitionMap, in)
		assert.Assert(t, changed, "%+v", test)
		waits := !slices.Equal(partitionStrings(now), partitionStrings(later))
		assert.Equal(t, waits, test.waits, "%+v", test)
		if !test.waits {
			continue
		}
		for i, p := range now.Partitions {
			assert.Equal(t, len(p.Backups), len(model.partitionMap.Partitions[i].Backups), "%+v: %v", test, p)
		}
	}
}

func partitionStrings(m *tierv1.PartitionMap) (list []string) {
	for _, p := range m.Partitions {
		list = append(list, p.String())
	}
	return list
}

// An expired turn store that comes back with another disk is not waited for.
func TestSessionExpiry_NoWaitForLostDisk(t *testing.T) {
	model := newModel(t, nil, 2, 2, FaultTolerance{1, byNode})
	model.assign(model.input())
	model.runUntilStable()
	first := model.machines[0]
	in := model.expire(first)
	assert.Assert(t, model.assign(in)) // the other machine is the primary of all partitions
	expired := in.RecentlyExpired
	model.wipe(first, false)
	first.partitioned = false
	in = model.input()
	in.RecentlyExpired = expired
	assert.Assert(t, model.assign(in))
	for i, p := range model.partitionMap.Partitions {
		assert.Assert(t, len(p.Backups) == 1 && p.Backups[0].Folder == first.folder, "partition %d: %v", i, p)
	}
}

// Sessions of several turn stores expire, one after the other or at once, and they return within the wait. If all but one
// expire, that one may lose its disk. Everything acknowledged is served again.
func TestSessionExpiry_SeveralAreNoLosses(t *testing.T) {
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 9))
		model := newModel(t, r, 3, 3, FaultTolerance{1, byNode})
		model.assign(model.input())
		model.runUntilStable()
		for range 10 {
			order := r.Perm(len(model.machines))
			last := model.machines[order[2]]
			var expired []*modelMachine
			for _, i := range order[:2] {
				expired = append(expired, model.machines[i])
				model.tracef("the session of %s expires", model.machines[i].node)
				model.assign(model.expire(expired...))
				for range r.IntN(3) {
					model.countServed()
					for range r.IntN(40) {
						model.syncReplica(model.machines[r.IntN(len(model.machines))], r.IntN(partitionCount))
					}
					model.assign(model.expire(expired...))
					model.reports = nil
				}
			}
			model.countServed()
			if r.IntN(2) == 0 {
				model.tracef("%s loses its disk", last.node)
				model.wipe(last, r.IntN(3) == 0)
			}
			for _, m := range expired {
				m.partitioned = false
			}
			model.reports = nil
			model.runUntilStable()
			assert.Equal(t, model.countServed(), partitionCount, "seed %d: %v", seed, model.trace)
			model.assertBalanced(false)
		}
	}
}

// unavailableTime returns for how long, from now on, some partition has a replica on a turn store that is gone, at most limit.
func (h *harness) unavailableTime(gone []string, limit time.Duration) time.Duration {
	const pace = 10 * time.Millisecond
	begun := time.Now()
	for time.Since(begun) < limit {
		waits := slices.ContainsFunc(h.partitionMap().Partitions, func(p *tierv1.Partition) bool {
			return slices.ContainsFunc(replicaFolders(p), func(folder string) bool { return slices.Contains(gone, folder) })
		})
		if !waits {
			break
		}
		h.advance(pace)
	}
	return time.Since(begun)
}

// Partitions are unavailable for no longer than the detection if another turn store can take the replicas, and else for an
// additional bounded wait.
func TestSessionExpiry_UnavailableTime(t *testing.T) {
	detection := testSettings().ContactWindow/sessionTTLDivisor + testSettings().ContactWindow/sessionCheckDivisor + 50*time.Millisecond
	wait := testSettings().ContactWindow / lostReplicaWaitDivisor
	const unbounded = 30 * time.Second // both have replicas: the return of one is awaited
	for _, test := range []struct {
		name            string
		stores, killed  int
		apart           time.Duration // between the first and the second
		shortest, limit time.Duration
	}{
		{"one of four", 4, 1, 0, 0, detection},
		{"one of three", 3, 1, 0, 0, detection},
		{"one of two", 2, 1, 0, wait, wait + detection},
		{"two of three, one after the other", 3, 2, 600 * time.Millisecond, wait, wait + detection},
		{"two of three at once", 3, 2, 0, unbounded, unbounded},
		{"the second long after the first", 3, 2, time.Minute, wait, wait + detection},
	} {
		t.Run(test.name, func(t *testing.T) {
			withHarness(t, func(h *harness) {
				var all []*testProcess
				for _, name := range []string{"v1", "v2", "v3", "v4"}[:test.stores] {
					all = append(all, h.join(roleTurnStore, name, nil))
				}
				h.advance(3 * time.Second)
				gone := []string{"v1.1"}
				all[0].stop()
				if test.killed == 2 {
					h.advance(test.apart)
					gone = append(gone, "v2.1")
					all[1].stop()
				}
				took := h.unavailableTime(gone, unbounded)
				t.Logf("unavailable for %v", took)
				assert.Assert(t, took >= test.shortest && took <= test.limit, "unavailable for %v", took)
			})
		})
	}
}

// A new primary has not observed the expiry of the sessions: the wait begins when the takeover grace is over.
func TestSessionExpiry_NewPrimaryWaitsAfterGrace(t *testing.T) {
	withHarness(t, func(h *harness) {
		var all []*testProcess
		for _, name := range []string{"v1", "v2", "v3"} {
			all = append(all, h.join(roleTurnStore, name, nil))
		}
		h.advance(3 * time.Second)
		all[0].stop()
		h.advance(time.Second)
		h.store.set(func() { h.store.primary = false })
		all[1].stop()
		h.advance(5 * time.Second)
		h.store.set(func() { h.store.primary, h.store.epoch = true, h.store.epoch+1<<12 })
		took := h.unavailableTime([]string{"v1.1", "v2.1"}, 30*time.Second)
		window := testSettings().ContactWindow
		shortest := window/takeoverGraceDivisor + window/lostReplicaWaitDivisor
		assert.Assert(t, took >= shortest && took <= shortest+window/sessionCheckDivisor+100*time.Millisecond, "unavailable for %v", took)
	})
}

// A draining turn store is not waited for after it has stopped.
func TestSessionExpiry_NoWaitForDrainingStore(t *testing.T) {
	withHarness(t, func(h *harness) {
		draining := h.join(roleTurnStore, "v1", nil)
		h.join(roleTurnStore, "v2", nil)
		h.advance(3 * time.Second)
		draining.mu.Lock()
		draining.request.Draining = true
		draining.mu.Unlock()
		h.advance(time.Second)
		draining.stop()
		took := h.unavailableTime([]string{"v1.1"}, 30*time.Second)
		assert.Assert(t, took < disconnectedTTL+testSettings().ContactWindow/sessionCheckDivisor+50*time.Millisecond, "unavailable for %v", took)
	})
}
