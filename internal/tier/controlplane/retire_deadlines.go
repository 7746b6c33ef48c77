package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// A machine is to be emptied in half of the time that its order has left, so that a loss meanwhile can be repaired in the
// other half. Both numbers are estimates: a number of moves that was too low rises as the time runs out.
const (
	deadlineReserveDivisor = 2 // of the time left: this part of it is planned for
	moveTimeDivisor        = 3 // of the contact window: a move is taken to last so long
)

// requiredMoves returns how many partitions have to move at a time for the machines that are to be emptied to be empty in
// time. timeLeft is what the orders with a deadline have left, by node. It is pure.
func requiredMoves(m *tierv1.PartitionMap, timeLeft map[string]time.Duration, moveTime time.Duration) int {
	moves := 0
	for node, partitions := range partitionsByRetiringNode(m) {
		if left, bounded := timeLeft[node]; bounded {
			moves += concurrentMoves(partitions, left/deadlineReserveDivisor, moveTime)
		}
	}
	return moves
}

// concurrentMoves returns how many of the moves have to be made at a time for all to be over within a time.
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

// maxRetireDuration bounds the duration of an order: a longer one counts as none.
const maxRetireDuration = 30 * 24 * time.Hour

// retireDuration returns the duration of an order in seconds; 0 where there is none.
func retireDuration(seconds float64) time.Duration {
	if !(seconds > 0) || seconds > maxRetireDuration.Seconds() { // also for NaN
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// retireDeadlines has until when machines are to be emptied, by node, on the monotonic clock of the process that got the
// orders. The zero time is that of an order without a deadline.
type retireDeadlines map[string]time.Time

// record records the deadline of an order that has come. One that is repeated, as it could not be accepted yet, keeps the
// deadline that it had at first.
func (d retireDeadlines) record(node string, now time.Time, duration time.Duration) {
	switch deadline := d[node]; {
	case duration == 0:
		d[node] = time.Time{}
	case now.After(deadline):
		d[node] = now.Add(duration)
	}
}

// prune forgets deadlines that are over and belong to none of the orders.
func (d retireDeadlines) prune(now time.Time, orders []string) {
	for node, deadline := range d {
		if now.After(deadline) && !slices.Contains(orders, node) {
			delete(d, node)
		}
	}
}

// remaining returns the time that each of the orders with a deadline has left. How long ago another process accepted an
// order is not known: its deadline counts as over, so that its machine is emptied as fast as possible.
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
