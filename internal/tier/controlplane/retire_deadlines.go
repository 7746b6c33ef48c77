package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A machine is to be emptied in half of the time that its order has left, so that a loss meanwhile can be repaired in the other
// half. Both divisors are estimates: if they give too few concurrent moves, the number rises as the time runs out.
const (
	deadlineReserveDivisor = 2 // divides the time left: moves are planned for this part of it
	moveTimeDivisor        = 3 // divides the contact window: the estimated duration of a move
)

// requiredMoves returns how many partitions have to move at a time to empty the retiring machines before their deadlines.
// timeLeft is the time left for the orders with a deadline, by node. It is pure.
func requiredMoves(m *tierv1.PartitionMap, timeLeft map[string]time.Duration, moveTime time.Duration) int {
	moves := 0
	for node, partitions := range partitionsByRetiringNode(m) {
		if left, bounded := timeLeft[node]; bounded {
			moves += concurrentMoves(partitions, left/deadlineReserveDivisor, moveTime)
		}
	}
	return moves
}

// concurrentMoves returns how many of the moves have to be made at a time to complete all of them within a duration.
func concurrentMoves(moves int, within, moveTime time.Duration) int {
	if within <= 0 {
		return moves
	}
	rounded := time.Duration(moves)*moveTime + within - 1
	return min(moves, int(rounded/within))
}

// partitionsByRetiringNode counts, for each machine that is to be emptied, the partitions that have a replica on it.
func partitionsByRetiringNode(m *tierv1.PartitionMap) map[string]int {
	nodes := map[string]string{} // by folder
	for _, store := range m.GetStoreNodes() {
		if slices.Contains(m.GetRetiring(), store.Node) {
			nodes[store.Folder] = store.Node
		}
	}
	counts := map[string]int{}
	for _, partition := range m.GetPartitions() {
		for _, folder := range replicaFolders(partition) {
			if node, found := nodes[folder]; found {
				counts[node]++
			}
		}
	}
	return counts
}

// maxRetireDuration bounds the duration of an order: an order with a longer duration has no deadline.
const maxRetireDuration = 30 * 24 * time.Hour

// retireDuration converts the duration of an order from seconds; 0 if the order has no deadline.
func retireDuration(seconds float64) time.Duration {
	if !(seconds > 0) || seconds > maxRetireDuration.Seconds() { // also for NaN
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// retireDeadlines maps nodes to the deadlines for emptying them, on the monotonic clock of the process that received the
// orders. The zero time stands for an order without a deadline.
type retireDeadlines map[string]time.Time

// record records the deadline of an order. An order that is repeated because it could not be accepted yet keeps its first
// deadline.
func (d retireDeadlines) record(node string, now time.Time, duration time.Duration) {
	switch deadline := d[node]; {
	case duration == 0:
		d[node] = time.Time{}
	case now.After(deadline):
		d[node] = now.Add(duration)
	}
}

// prune deletes deadlines that have passed and belong to none of the orders.
func (d retireDeadlines) prune(now time.Time, orders []string) {
	for node, deadline := range d {
		if now.After(deadline) && !slices.Contains(orders, node) {
			delete(d, node)
		}
	}
}

// remaining returns the time left for each of the orders with a deadline. The age of an order that another process accepted is
// not known: its deadline counts as passed, so that its machine is emptied as fast as possible.
func (d retireDeadlines) remaining(now time.Time, orders []string) map[string]time.Duration {
	left := map[string]time.Duration{}
	for _, node := range orders {
		deadline, known := d[node]
		switch {
		case !known:
			left[node] = 0
		case !deadline.IsZero():
			left[node] = deadline.Sub(now)
		}
	}
	return left
}
