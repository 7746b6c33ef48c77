package simulation

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A process that starts while control-plane machines are partitioned may get only these as seeds. The next process gets all seeds.
func TestRole_SeedsOfNewProcess(t *testing.T) {
	w := newStoppedWorld(Script{Core: 4, Stores: 3, Gateways: 2, Losses: 1})
	m := w.machine(gatewayName(0))
	seeds := func() int {
		w.role(m)
		return len(m.settings.Seeds)
	}
	m.seedsPartitioned = true
	assert.Equal(t, seeds(), seedCount, "no machine is partitioned")
	w.partitionedCore["core-4"] = 1
	assert.Equal(t, seeds(), seedCount)
	m.seedsPartitioned = true
	w.role(m)
	assert.DeepEqual(t, m.settings.Seeds, []string{w.machine("core-4").settings.Control})
	assert.Equal(t, seeds(), seedCount)
}

// The weakest turn store holds the most needed replicas. The leader is returned if no replica is needed.
func TestNeededReplicas(t *testing.T) {
	w := newStoppedWorld(Script{Core: 3, Stores: 3, Gateways: 1, Losses: 1})
	newest := &tierv1.PartitionMap{Version: 1}
	for i := range 3 {
		newest.StoreNodes = append(newest.StoreNodes, &tierv1.StoreNode{Folder: fmt.Sprint("folder-", i+1), Node: storeName(i)})
	}
	for _, replicas := range []struct {
		primary, backup string
		synced          bool
	}{{"folder-1", "folder-2", true}, {"folder-2", "folder-1", false}, {"folder-2", "folder-3", false}, {"folder-3", "folder-1", false}} {
		newest.Partitions = append(newest.Partitions, &tierv1.Partition{Primary: replicas.primary,
			Backups: []*tierv1.Replica{{Folder: replicas.backup, Synced: replicas.synced}}})
	}
	assert.DeepEqual(t, w.neededReplicas(newest), map[string]int{"store-2": 2, "store-3": 1})
	w.checks.views.newestPartitionMap = newest
	assert.Equal(t, w.weakestMachine().name, "store-2")
	w.underFault["store-2"] = true
	assert.DeepEqual(t, w.neededReplicas(newest), map[string]int{"store-1": 1, "store-3": 1})
	w.underFault["store-1"] = true
	assert.Equal(t, w.weakestMachine().name, "store-3")
	w.underFault["store-3"] = true
	assert.Assert(t, w.weakestMachine() == nil, "there is no leader")
}
