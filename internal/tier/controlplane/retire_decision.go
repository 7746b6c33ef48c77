package controlplane

import (
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// retireRequest is an order to retire a machine, with all that the decision on it needs.
type retireRequest struct {
	alreadyOrdered  bool // it was accepted before
	knownNode       bool // the machine is known to keep data
	remainingStores int  // turn stores that are alive and would be left without it
	remainingMapped int  // machines that keep data by the map and would be left without it: some may be down for now
	losses          int  // simultaneous losses to be tolerated
	takeoverGrace   bool // shortly after a takeover: some that are alive may not have come yet
}

// retireDecision is what becomes of an order to retire a machine.
type retireDecision int

const (
	// retireAccept: it can be carried out and is to be written.
	retireAccept retireDecision = iota
	// retireAlreadyOrdered: it was accepted before, and is acknowledged again, also when the machine has been removed since.
	retireAlreadyOrdered
	// retireTryLater: a rejection would end the order, though it may be possible in a moment.
	retireTryLater
	// retireUnknownNode: no machine of that name keeps data.
	retireUnknownNode
	// retireTooFewRemain: too few machines would be left for the losses to be tolerated.
	retireTooFewRemain
	// retireStateTooLarge: it was not written, as the control state would become too large with it.
	retireStateTooLarge
)

// decide returns what becomes of the order. It is pure.
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

// newRetireRequest returns an order to retire a node, with what is known now.
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

// remainingMappedNodes counts the other machines that keep data by the map and are not to be emptied: some may be down for now.
func remainingMappedNodes(m *tierv1.PartitionMap, node string) int {
	nodes := map[string]bool{}
	for _, store := range m.GetStoreNodes() {
		if store.Node != node && !slices.Contains(m.GetRetiring(), store.Node) {
			nodes[store.Node] = true
		}
	}
	return len(nodes)
}

// remainingStores tells whether a node is known to keep data, and how many turn stores that are alive would be left without it.
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
