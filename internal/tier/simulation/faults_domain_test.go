package simulation

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// newStoppedWorld is a system of a script whose machines are there, and don't run.
func newStoppedWorld(s Script) *world {
	w := newWorld(s, Options{})
	for i := range s.Core {
		w.addMachine(coreName(i), roleControlPlane, s.zoneOf(i, s.Core))
	}
	for i := range s.Stores {
		w.addMachine(storeName(i), roleTurnStore, s.zoneOf(i, s.Stores))
	}
	for i := range s.Gateways {
		w.addMachine(gatewayName(i), roleGateway, s.zoneOf(i, s.Gateways))
	}
	w.addOutsideMachine("endpoint", endpointIP)
	return w
}

// Where machines lie in a system is where the drawing takes them to be.
func TestScript_ZonesOfMachines(t *testing.T) {
	for seed := range uint64(200) {
		s := Generate(seed, KillZone)
		w := newStoppedWorld(s)
		for name, m := range w.machines {
			if m.kind != roleOutside {
				assert.Equal(t, m.failureDomain(), s.domainOf(name), "%v%s", s, name)
			}
		}
	}
}

func TestPartitionDomain_KeepsLinksInside(t *testing.T) {
	w := newStoppedWorld(Script{Core: 4, Stores: 3, Gateways: 2, Losses: 1, Unit: Zones, Zones: 3})
	side := w.machinesOf("zone-1")
	assert.DeepEqual(t, names(side), []string{"core-1", "core-4", "store-1", "gateway-1"})
	both := w.linksAcross(side, true, true)
	assert.Equal(t, len(both), 2*4*5)
	assert.Assert(t, !slices.Contains(both, [2]string{"core-1", "core-4"}))
	assert.Assert(t, !slices.Contains(both, [2]string{"core-1", "endpoint"}))
	in := w.linksAcross(side, true, false)
	assert.Equal(t, len(in), 4*5)
	assert.Assert(t, slices.Contains(in, [2]string{"core-2", "store-1"}) && !slices.Contains(in, [2]string{"store-1", "core-2"}))
	out := w.linksAcross(side, false, true)
	assert.Equal(t, len(out), 4*5)
	assert.Assert(t, slices.Contains(out, [2]string{"store-1", "core-2"}) && !slices.Contains(out, [2]string{"core-2", "store-1"}))
}

// A process that starts while some are cut off may be told of these alone, and the one after it is told of all.
func TestRole_SeedsOfNewProcess(t *testing.T) {
	w := newStoppedWorld(Script{Core: 4, Stores: 3, Gateways: 2, Losses: 1})
	m := w.machine(gatewayName(0))
	seeds := func() int {
		w.role(m)
		return len(m.settings.Seeds)
	}
	m.seedsPartitioned = true
	assert.Equal(t, seeds(), seedCount, "nobody is cut off")
	w.partitionedCore["core-4"] = 1
	assert.Equal(t, seeds(), seedCount)
	m.seedsPartitioned = true
	w.role(m)
	assert.DeepEqual(t, m.settings.Seeds, []string{w.machine("core-4").settings.Control})
	assert.Equal(t, seeds(), seedCount)
}

func TestMaxMembersLost(t *testing.T) {
	domains := map[string]string{"a": "zone-1", "b": "zone-1", "c": "zone-2"}
	assert.Equal(t, maxMembersLost(domains, 1), 2)
	assert.Equal(t, maxMembersLost(domains, 5), 3)
	assert.Equal(t, maxMembersLost(nil, 1), 0)
}

// Each of the new kinds is played without a broken promise.
func TestFaultKinds_Groups(t *testing.T) {
	for _, kind := range slices.Concat(domainKinds, nearKinds, []FaultKind{SplitCore, SplitOneWay, PartitionSeeds, ConcurrentChanges}) {
		t.Run(string(kind), func(t *testing.T) {
			if (testing.Short() || raceDetector) && kind != PartitionZone && kind != PartitionConfirming {
				t.Skip("played without -short and -race")
			}
			result, err := Play(Generate(1, kind), Options{})
			assert.NilError(t, err)
			assert.Assert(t, result.Violation == nil, "%v", result.Violation)
			assert.Assert(t, result.Orders > 0 && result.Turns > 0, "%+v", result)
		})
	}
}

// The weakest turn store holds the most copies that are needed, and the leader is taken where none is.
func TestNeededReplicas(t *testing.T) {
	w := newStoppedWorld(Script{Core: 3, Stores: 3, Gateways: 1, Losses: 1})
	newest := &tierv1.PartitionMap{Version: 1}
	for i := range 3 {
		newest.StoreNodes = append(newest.StoreNodes, &tierv1.StoreNode{Folder: fmt.Sprint("folder-", i+1), Node: storeName(i)})
	}
	for _, copies := range []struct {
		primary, backup string
		synced          bool
	}{{"folder-1", "folder-2", true}, {"folder-2", "folder-1", false}, {"folder-2", "folder-3", false}, {"folder-3", "folder-1", false}} {
		newest.Partitions = append(newest.Partitions, &tierv1.Partition{Primary: copies.primary,
			Backups: []*tierv1.Replica{{Folder: copies.backup, Synced: copies.synced}}})
	}
	assert.DeepEqual(t, w.neededReplicas(newest), map[string]int{"store-2": 2, "store-3": 1})
	w.checks.views.newestPartitionMap = newest
	assert.Equal(t, w.weakestMachine().name, "store-2")
	w.underFault["store-2"] = true
	assert.DeepEqual(t, w.neededReplicas(newest), map[string]int{"store-1": 1, "store-3": 1})
	w.underFault["store-1"] = true
	assert.Equal(t, w.weakestMachine().name, "store-3")
	w.underFault["store-3"] = true
	assert.Assert(t, w.weakestMachine() == nil, "nobody leads")
}
