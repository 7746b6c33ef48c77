package controlplane

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Lifecycle states of an order to retire, as sent to operators.
const (
	retireInProgress = "in_progress"
	retireCompleted  = "completed"
)

// maxRetireRecords bounds the recorded orders to retire, and so the size of the partition map, which every session gets.
// Operators repeat an order for at most guarantees.ack_timeout_ms: fewer than 256 machines are emptied and removed in that
// time.
const maxRetireRecords = 256

// withRetireOrder returns a copy of the map with an order to retire added. Beyond maxRetireRecords it drops the oldest orders
// whose machines have been emptied and are no longer in the map.
func withRetireOrder(m *tierv1.PartitionMap, node string) *tierv1.PartitionMap {
	next := &tierv1.PartitionMap{}
	if m != nil {
		next = proto.Clone(m).(*tierv1.PartitionMap)
	}
	next.Retiring = append(next.Retiring, node)
	present := map[string]bool{}
	for _, store := range next.StoreNodes {
		present[store.Node] = true
	}
	for i := 0; i < len(next.Retiring) && len(next.Retiring) > maxRetireRecords; {
		name := next.Retiring[i]
		at := slices.Index(next.Retired, name)
		if at < 0 || present[name] {
			i++
			continue
		}
		next.Retiring = slices.Delete(next.Retiring, i, i+1)
		next.Retired = slices.Delete(next.Retired, at, at+1)
	}
	return next
}

// newlyRetired returns the machines that are empty in a map and not recorded in it as retired. They must be recorded before any
// operator is informed: from then on the machine may be removed with its disk at any moment, and later losses elsewhere do not
// make it needed again.
func newlyRetired(m *tierv1.PartitionMap, losses int) (nodes []string) {
	for _, node := range m.GetRetiring() {
		if !slices.Contains(m.Retired, node) && lifecycleState(m, node, losses) == retireCompleted {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// lifecycleState returns, by the replicas in a map, whether a node that is to be emptied may be removed with its disk: no
// partition has a replica there, and each has enough synced replicas elsewhere.
func lifecycleState(m *tierv1.PartitionMap, node string, losses int) string {
	onNode := map[string]bool{} // by folder
	for _, store := range m.StoreNodes {
		if store.Node == node {
			onNode[store.Folder] = true
		}
	}
	for _, partition := range m.Partitions {
		synced := 1 // the primary
		if onNode[partition.Primary] {
			return retireInProgress
		}
		for _, replica := range partition.Backups {
			if onNode[replica.Folder] {
				return retireInProgress
			}
			if replica.Synced {
				synced++
			}
		}
		if synced < losses+1 {
			return retireInProgress
		}
	}
	return retireCompleted
}
