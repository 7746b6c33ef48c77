package controlplane

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// Risk describes how far the turn stores are from tolerating FaultTolerance.Losses further losses, by the partition map.
type Risk struct {
	Partitions   int           // partitions at risk: their synced replicas lie in fewer than Losses + 1 failure domains
	Unavailable  int           // partitions at risk without a reachable primary; they get no replicas until one returns
	MinReplicas  int           // fewest domains with a synced replica that any partition has; Losses + 1 or more without risk
	Unsynced     int           // replicas that are being synced in the partitions at risk
	RecoveryTime time.Duration // estimate until no partition is at risk; 0 without risk, or RecoveryUnknown
}

// RecoveryUnknown is the RecoveryTime of a risk that does not end by itself: a partition at risk has no replica that is being
// synced.
const RecoveryUnknown time.Duration = -1

// AssessRisk counts the partitions that would be lost, or lose their last synced replica, if tolerance.Losses more failure
// domains were lost now. A replica counts if its turn store is alive and it is the primary or marked synced; replicas in one
// domain count once, as they are lost together. Without tolerance.Domain each folder is a domain of its own.
//
// RecoveryTime is syncTime (the setting guarantees.sync_time_s) if all missing replicas are being synced on turn stores that
// are alive: the settings guarantee that a machine counts as lost for at most that long after its return. It is a guaranteed
// upper bound, not a measurement.
//
// AssessRisk is pure and only reads the map.
func AssessRisk(partitionMap *tierv1.PartitionMap, tolerance FaultTolerance, alive map[string]*tierv1.StoreNode, syncTime time.Duration) Risk {
	nodes := map[string]*tierv1.StoreNode{}
	for _, node := range partitionMap.GetStoreNodes() {
		nodes[node.Folder] = node
	}
	domain := func(folder string) string {
		if node := nodes[folder]; node != nil && tolerance.Domain != nil {
			return tolerance.Domain(node)
		}
		return folder
	}
	risk := Risk{MinReplicas: tolerance.Losses + 1}
	for i, partition := range partitionMap.GetPartitions() {
		domains := domainsOf(partition, domain, alive)
		if i == 0 {
			risk.MinReplicas = len(domains.synced)
		}
		risk.MinReplicas = min(risk.MinReplicas, len(domains.synced))
		if len(domains.synced) > tolerance.Losses {
			continue
		}
		risk.Partitions++
		risk.Unsynced += domains.unsynced
		reachable := alive[partition.Primary] != nil
		if !reachable {
			risk.Unavailable++
		}
		if !reachable || len(domains.expected) <= tolerance.Losses {
			risk.RecoveryTime = RecoveryUnknown
		} else if risk.RecoveryTime != RecoveryUnknown {
			risk.RecoveryTime = syncTime
		}
	}
	return risk
}

// replicaDomains are the failure domains of one partition's replicas on turn stores that are alive.
type replicaDomains struct {
	synced   map[string]bool // domains with a synced replica
	expected map[string]bool // domains with a replica that is synced or being synced
	unsynced int             // replicas that are being synced
}

// domainsOf returns the failure domains in which a partition has replicas.
func domainsOf(partition *tierv1.Partition, domain func(folder string) string, alive map[string]*tierv1.StoreNode) replicaDomains {
	found := replicaDomains{synced: map[string]bool{}, expected: map[string]bool{}}
	addSynced := func(folder string) {
		found.synced[domain(folder)], found.expected[domain(folder)] = true, true
	}
	if alive[partition.Primary] != nil && len(partition.RecoverFrom) == 0 {
		addSynced(partition.Primary)
	}
	for _, backup := range partition.Backups {
		switch {
		case alive[backup.Folder] == nil:
		case backup.Synced:
			addSynced(backup.Folder)
		default:
			found.unsynced++
			found.expected[domain(backup.Folder)] = true
		}
	}
	return found
}
