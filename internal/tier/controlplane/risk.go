package controlplane

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Risk tells how far the turn stores are from bearing Spread.Losses further losses, as the partition map has it.
type Risk struct {
	Partitions   int           // partitions whose synced copies lie in fewer than Losses + 1 domains
	Unavailable  int           // of these: partitions without a reachable primary; they get no copies until a holder returns
	MinReplicas  int           // fewest domains with a synced copy that any partition has; Losses + 1 or more without risk
	Unsynced     int           // copies under way in the partitions at risk
	RecoveryTime time.Duration // estimate until no partition is at risk; 0 without risk, Unknown where nothing is under way
}

// RecoveryUnknown is the Until of a risk that does not end by itself: a partition at risk has no copy under way.
const RecoveryUnknown time.Duration = -1

// AssessRisk counts the partitions that would be lost, or lose their last synced copy, if Spread.Losses more domains were lost now.
// A copy counts where its turn store is alive and it is the primary's or marked synced; copies in one domain count once, as
// they are lost at once. Where no Domain is given, each folder is a domain of its own.
//
// Until is syncTime (the setting guarantees.sync_time_s) for partitions all of whose missing copies are under way on turn
// stores that are alive: the settings promise that a machine counts as lost for so long at most after it is back. It is an
// upper bound by promise, not a measurement.
//
// AtRisk is pure and reads the map only.
func AssessRisk(partitionMap *tierv1.PartitionMap, spread FaultTolerance, alive map[string]*tierv1.StoreNode, syncTime time.Duration) Risk {
	nodes := map[string]*tierv1.StoreNode{}
	for _, node := range partitionMap.GetStoreNodes() {
		nodes[node.Folder] = node
	}
	domain := func(folder string) string {
		if node := nodes[folder]; node != nil && spread.Domain != nil {
			return spread.Domain(node)
		}
		return folder
	}
	risk := Risk{MinReplicas: spread.Losses + 1}
	for i, partition := range partitionMap.GetPartitions() {
		synced, underWay := map[string]bool{}, map[string]bool{}
		unsynced := 0
		if alive[partition.Primary] != nil && len(partition.RecoverFrom) == 0 {
			synced[domain(partition.Primary)] = true
		}
		for _, backup := range partition.Backups {
			switch {
			case alive[backup.Folder] == nil:
			case backup.Synced:
				synced[domain(backup.Folder)] = true
			default:
				unsynced++
				underWay[domain(backup.Folder)] = true
			}
		}
		if i == 0 {
			risk.MinReplicas = len(synced)
		}
		risk.MinReplicas = min(risk.MinReplicas, len(synced))
		if len(synced) > spread.Losses {
			continue
		}
		risk.Partitions++
		risk.Unsynced += unsynced
		reachable := alive[partition.Primary] != nil
		if !reachable {
			risk.Unavailable++
		}
		for name := range synced {
			underWay[name] = true
		}
		if !reachable || len(underWay) <= spread.Losses {
			risk.RecoveryTime = RecoveryUnknown
		} else if risk.RecoveryTime != RecoveryUnknown {
			risk.RecoveryTime = syncTime
		}
	}
	return risk
}
