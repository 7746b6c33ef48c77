package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// retireRequest is an order to empty a machine, with all that the decision on it needs.
type retireRequest struct {
	alreadyOrdered  bool // it was taken before
	knownNode       bool // the machine is known to keep data
	remainingStores int  // turn stores that are alive and would be left without it
	remainingMapped int  // machines that keep data by the map and would be left without it: some may be down for now
	losses          int  // to be borne at once
	takeoverGrace   bool // after a takeover, not all that are there need have come yet
}

// retireDecision is the decision on an order to empty a machine.
type retireDecision int

const (
	retireAccept         retireDecision = iota
	retireAlreadyOrdered                // before: it is acknowledged again, also when the machine has been taken away since
	retireTryLater                      // a refusal would end the order, though it may be possible in a moment
	retireUnknownNode                   // no such machine
	retireTooFewRemain                  // too few would remain
	retireStateTooLarge                 // the control state would be too large with it
)

func (r retireRequest) decide() retireDecision {
	enough := r.remainingStores >= r.losses+1
	switch {
	case r.alreadyOrdered:
		return retireAlreadyOrdered
	case r.knownNode && enough:
		return retireAccept
	case r.takeoverGrace, r.knownNode && r.remainingMapped > r.losses:
		return retireTryLater
	case !r.knownNode:
		return retireUnknownNode
	default:
		return retireTooFewRemain
	}
}

func (plane *ControlPlane) retireRequest(v *view, node string) retireRequest {
	known, remain := plane.remainingStores(v.partitionMap, node)
	return retireRequest{alreadyOrdered: slices.Contains(v.partitionMap.GetRetiring(), node), knownNode: known, remainingStores: remain,
		remainingMapped: remainingMappedNodes(v.partitionMap, node), losses: plane.faultTolerance.Losses, takeoverGrace: time.Since(v.since) < plane.windowFraction(takeoverGraceDivisor)}
}

// remainingMappedNodes is how many machines besides a node the map keeps data on, and is not asked to take it off: some may be down for now.
func remainingMappedNodes(m *tierv1.PartitionMap, node string) int {
	nodes := map[string]bool{}
	for _, one := range m.GetStoreNodes() {
		if one.Node != node && !slices.Contains(m.GetRetiring(), one.Node) {
			nodes[one.Node] = true
		}
	}
	return len(nodes)
}

// remainingStores tells whether a node is known to keep data, and how many turn stores would be left without it.
func (plane *ControlPlane) remainingStores(m *tierv1.PartitionMap, node string) (known bool, remain int) {
	plane.mu.Lock()
	alive, leaving, _ := plane.sessions.storeNodes(time.Now())
	for at := range plane.sessions.sessions {
		known = known || at.role == roleTurnStore && at.node == node
	}
	plane.mu.Unlock()
	for _, one := range m.GetStoreNodes() {
		known = known || one.Node == node
	}
	for folder, one := range alive {
		if one.Node != node && !leaving[folder] && !slices.Contains(m.GetRetiring(), one.Node) {
			remain++
		}
	}
	return known, remain
}
