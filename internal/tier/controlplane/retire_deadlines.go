package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A machine is to be emptied in half of the time that its order has left, so that a loss meanwhile can be made good in the
// other half. Both parts are estimates: a pace that was too low rises as the time runs out.
const (
	deadlineReserveDivisor = 2 // of the time left, this part is planned for
	moveTimeDivisor        = 3 // of the contact window: what a move is taken to last
)

// requiredMoves is how many partitions have to move at a time for the machines that are to be emptied to be empty in time. left
// is the time that the orders with a time have left, by node. It is pure.
func requiredMoves(m *tierv1.PartitionMap, left map[string]time.Duration, moveTime time.Duration) int {
	pace := 0
	for node, remaining := range partitionsByRetiringNode(m) {
		if time, bounded := left[node]; bounded {
			pace += concurrentMoves(remaining, time/deadlineReserveDivisor, moveTime)
		}
	}
	return pace
}

// concurrentMoves is how many of so many moves have to be made at a time to be over within a time.
func concurrentMoves(moves int, within, moveTime time.Duration) int {
	if within <= 0 {
		return moves
	}
	rounded := time.Duration(moves)*moveTime + within - 1
	return min(moves, int(rounded/within))
}

// partitionsByRetiringNode counts, for each machine that is to be emptied, the partitions that have a copy on it.
func partitionsByRetiringNode(m *tierv1.PartitionMap) map[string]int {
	nodes := map[string]string{} // by folder
	for _, one := range m.GetStoreNodes() {
		if slices.Contains(m.GetRetiring(), one.Node) {
			nodes[one.Folder] = one.Node
		}
	}
	counts := map[string]int{}
	for _, p := range m.GetPartitions() {
		for _, folder := range replicaFolders(p) {
			if node, found := nodes[folder]; found {
				counts[node]++
			}
		}
	}
	return counts
}

// maxRetireDuration bounds the time of an order: one that is longer is none.
const maxRetireDuration = 30 * 24 * time.Hour

// retireDuration gives the time of an order in seconds; 0 where there is none.
func retireDuration(seconds float64) time.Duration {
	if !(seconds > 0) || seconds > maxRetireDuration.Seconds() {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// retireDeadlines keeps until when machines are to be emptied, by the steady clock of the process that got the orders. An order
// without a time has none.
type retireDeadlines map[string]time.Time

// record keeps the time of an order that has come. One that comes again, as it could not be taken yet, has the time that it had
// at first.
func (t retireDeadlines) record(node string, now time.Time, duration time.Duration) {
	switch end := t[node]; {
	case duration == 0:
		t[node] = time.Time{}
	case now.After(end):
		t[node] = now.Add(duration)
	}
}

// prune forgets the times that are over, or of no order, and those of orders that are remembered no more.
func (t retireDeadlines) prune(now time.Time, orders []string) {
	for node, end := range t {
		if now.After(end) && !slices.Contains(orders, node) {
			delete(t, node)
		}
	}
}

// remaining gives the time that each of the orders has left. For how long an order stands that another process took is not known:
// its time counts as over, so that its machine is emptied as fast as can be.
func (t retireDeadlines) remaining(now time.Time, orders []string) map[string]time.Duration {
	left := map[string]time.Duration{}
	for _, node := range orders {
		end, known := t[node]
		switch {
		case !known:
			left[node] = 0
		case !end.IsZero():
			left[node] = end.Sub(now)
		}
	}
	return left
}
