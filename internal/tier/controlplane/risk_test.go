package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestAssessRisk(t *testing.T) {
	const syncTime = 3 * time.Second
	replica := func(folder string, synced bool) *tierv1.Replica {
		return &tierv1.Replica{Folder: folder, Synced: synced}
	}
	partitionMap := func(partitions ...*tierv1.Partition) *tierv1.PartitionMap {
		m := &tierv1.PartitionMap{Partitions: partitions}
		for folder, zone := range map[string]string{"a": "1", "b": "2", "c": "2"} {
			m.StoreNodes = append(m.StoreNodes, &tierv1.StoreNode{Folder: folder, Node: folder, Zone: zone})
		}
		return m
	}
	alive := func(folders ...string) map[string]*tierv1.StoreNode {
		all := map[string]*tierv1.StoreNode{}
		for _, folder := range folders {
			all[folder] = &tierv1.StoreNode{Folder: folder}
		}
		return all
	}
	complete := &tierv1.Partition{Primary: "a", Backups: []*tierv1.Replica{replica("b", true)}}
	syncing := &tierv1.Partition{Primary: "a", Backups: []*tierv1.Replica{replica("c", false)}}
	alone := &tierv1.Partition{Primary: "a"}
	oneZone := &tierv1.Partition{Primary: "b", Backups: []*tierv1.Replica{replica("c", true)}}
	threeReplicas := &tierv1.Partition{Primary: "a", Backups: []*tierv1.Replica{replica("b", true), replica("c", true)}}
	for _, test := range []struct {
		name      string
		m         *tierv1.PartitionMap
		tolerance FaultTolerance
		alive     map[string]*tierv1.StoreNode
		want      Risk
	}{
		{"no map", nil, FaultTolerance{1, byNode}, alive("a"), Risk{MinReplicas: 2}},
		{"nothing at risk", partitionMap(complete), FaultTolerance{1, byNode}, alive("a", "b"), Risk{MinReplicas: 2}},
		{"more replicas than needed", partitionMap(complete), FaultTolerance{0, byNode}, alive("a", "b"), Risk{MinReplicas: 2}},
		{"two losses to tolerate", partitionMap(complete), FaultTolerance{2, byNode}, alive("a", "b", "c"), Risk{Partitions: 1, MinReplicas: 2, RecoveryTime: RecoveryUnknown}},
		{"a replica being synced", partitionMap(complete, syncing), FaultTolerance{1, byNode}, alive("a", "b", "c"),
			Risk{Partitions: 1, MinReplicas: 1, Unsynced: 1, RecoveryTime: syncTime}},
		{"its turn store is gone", partitionMap(complete, syncing), FaultTolerance{1, byNode}, alive("a", "b"),
			Risk{Partitions: 1, MinReplicas: 1, RecoveryTime: RecoveryUnknown}},
		{"no replica being synced", partitionMap(alone, syncing), FaultTolerance{1, byNode}, alive("a", "c"),
			Risk{Partitions: 2, MinReplicas: 1, Unsynced: 1, RecoveryTime: RecoveryUnknown}},
		{"a synced backup is gone", partitionMap(complete), FaultTolerance{1, byNode}, alive("a"), Risk{Partitions: 1, MinReplicas: 1, RecoveryTime: RecoveryUnknown}},
		{"the primary is gone", partitionMap(complete), FaultTolerance{1, byNode}, alive("b"),
			Risk{Partitions: 1, Unavailable: 1, MinReplicas: 1, RecoveryTime: RecoveryUnknown}},
		{"all replicas are gone", partitionMap(complete), FaultTolerance{1, byNode}, alive("c"),
			Risk{Partitions: 1, Unavailable: 1, RecoveryTime: RecoveryUnknown}},
		{"two replicas in one zone", partitionMap(oneZone), FaultTolerance{1, byZone}, alive("b", "c"),
			Risk{Partitions: 1, MinReplicas: 1, RecoveryTime: RecoveryUnknown}},
		{"the same by machine", partitionMap(oneZone), FaultTolerance{1, byNode}, alive("b", "c"), Risk{MinReplicas: 2}},
		{"three replicas", partitionMap(threeReplicas), FaultTolerance{2, byNode}, alive("a", "b", "c"), Risk{MinReplicas: 3}},
		{"the primary is gone, the backup is not complete", partitionMap(syncing), FaultTolerance{1, byNode}, alive("c"),
			Risk{Partitions: 1, Unavailable: 1, Unsynced: 1, RecoveryTime: RecoveryUnknown}},
		{"replicas in two zones", partitionMap(complete), FaultTolerance{1, byZone}, alive("a", "b"), Risk{MinReplicas: 2}},
		{"no domain given", partitionMap(oneZone), FaultTolerance{Losses: 1}, alive("b", "c"), Risk{MinReplicas: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.DeepEqual(t, AssessRisk(test.m, test.tolerance, test.alive, syncTime), test.want)
		})
	}
}
