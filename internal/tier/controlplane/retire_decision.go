package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// retireRequest is an order to retire a machine, with the inputs of the decision on it.
type retireRequest struct {
	alreadyOrdered  bool // the order was accepted before
	knownNode       bool // the machine is known to keep data
	remainingStores int  // turn stores that are alive and would remain without the machine
	remainingMapped int  // machines that keep data according to the map and would remain; some may be down temporarily
	losses          int  // simultaneous losses to tolerate
	takeoverGrace   bool // shortly after a takeover: turn stores that are alive may not have reconnected yet
}

// retireDecision is the decision on an order to retire a machine.
type retireDecision int

const (
	// retireAccept: the order can be carried out and is to be written.
	retireAccept retireDecision = iota
	// retireAlreadyOrdered: the order was accepted before, and is acknowledged again, even if the machine has been removed since.
	retireAlreadyOrdered
	// retireTryLater: the order may become possible shortly, while a rejection would be final.
	retireTryLater
	// retireUnknownNode: no machine of that name keeps data.
	retireUnknownNode
	// retireTooFewRemain: too few machines would remain to tolerate the losses.
	retireTooFewRemain
	// retireStateTooLarge: the order was not written, as it would make the control state too large.
	retireStateTooLarge
)

// decide returns the decision on the order. It is pure.
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

// newRetireRequest returns an order to retire a node, with the current inputs of the decision.
func (plane *ControlPlane) newRetireRequest(state *publishedState, node string) retireRequest {
	known, remaining := plane.remainingStores(state.partitionMap, node)
	return retireRequest{
		alreadyOrdered:  slices.Contains(state.partitionMap.GetRetiring(), node),
		knownNode:       known,
		remainingStores: remaining,
		remainingMapped: remainingMappedNodes(state.partitionMap, node),
		losses:          plane.faultTolerance.Losses,
		takeoverGrace:   time.Since(state.since) < plane.windowFraction(takeoverGraceDivisor),
	}
}

// remainingMappedNodes counts the other machines that keep data according to the map and are not to be emptied. Some may be
// down temporarily.
func remainingMappedNodes(m *tierv1.PartitionMap, node string) int {
	nodes := map[string]bool{}
	for _, store := range m.GetStoreNodes() {
		if store.Node != node && !slices.Contains(m.GetRetiring(), store.Node) {
			nodes[store.Node] = true
		}
	}
	return len(nodes)
}

// remainingStores returns whether a node is known to keep data, and how many turn stores that are alive would remain without it.
func (plane *ControlPlane) remainingStores(m *tierv1.PartitionMap, node string) (known bool, remaining int) {
	plane.mu.Lock()
	alive, draining, _ := plane.sessions.storeNodes(time.Now())
	for key := range plane.sessions.byKey {
		known = known || key.role == roleTurnStore && key.node == node
	}
	plane.mu.Unlock()
	for _, store := range m.GetStoreNodes() {
		known = known || store.Node == node
	}
	for folder, store := range alive {
		if store.Node != node && !draining[folder] && !slices.Contains(m.GetRetiring(), store.Node) {
			remaining++
		}
	}
	return known, remaining
}
