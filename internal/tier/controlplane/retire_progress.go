package controlplane

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Lifecycle states of an order to retire, as operators read them.
const (
	retireInProgress = "in_progress"
	retireCompleted  = "completed"
)

// maxRetireRecords bounds the orders to retire that are remembered, and with them the turn store map that every session
// gets. An order is sent again for ack_timeout_ms or less: 256 machines are not emptied and taken away in that time.
const maxRetireRecords = 256

// withRetireOrder gives a map with an order to retire added. Beyond retireRecordsLimit the oldest orders are forgotten whose
// machines have been emptied and are not in the map any more.
func withRetireOrder(m *tierv1.PartitionMap, node string) *tierv1.PartitionMap {
	next := &tierv1.PartitionMap{}
	if m != nil {
		next = proto.Clone(m).(*tierv1.PartitionMap)
	}
	next.Retiring = append(next.Retiring, node)
	present := map[string]bool{}
	for _, one := range next.StoreNodes {
		present[one.Node] = true
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

// newlyRetired gives the machines that have been emptied by a map and are not recorded as such in it. They are recorded in
// it before anybody is told: from then on the machine may be taken away with its disk at any moment, and what is lost
// elsewhere later does not make it needed again.
func newlyRetired(m *tierv1.PartitionMap, losses int) (nodes []string) {
	for _, node := range m.GetRetiring() {
		if !slices.Contains(m.Retired, node) && lifecycleState(m, node, losses) == retireCompleted {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// lifecycleState tells, by the copies in a map, whether a node that is to be emptied may be taken away with its disk: no partition has a copy there, and each has its synced
// copies elsewhere.
func lifecycleState(m *tierv1.PartitionMap, node string, losses int) string {
	mine := map[string]bool{}
	for _, one := range m.StoreNodes {
		if one.Node == node {
			mine[one.Folder] = true
		}
	}
	for _, p := range m.Partitions {
		synced := 1
		if mine[p.Primary] {
			return retireInProgress
		}
		for _, c := range p.Backups {
			if mine[c.Folder] {
				return retireInProgress
			}
			if c.Synced {
				synced++
			}
		}
		if synced < losses+1 {
			return retireInProgress
		}
	}
	return retireCompleted
}
