package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

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

// createRetire takes the order to empty a storage machine.
func (plane *ControlPlane) createRetire(w http.ResponseWriter, r *http.Request, node string) response {
	body, err := readBody(w, r, maxRequestBody)
	if _, ok := plane.primary(); !ok {
		return plane.redirectToPrimary(r)
	}
	if err != nil {
		return bodyErrorResponse(err)
	}
	var order struct {
		Duration float64 `json:"duration_s"`
	}
	if len(body) > 0 && json.Unmarshal(body, &order) != nil {
		return errorResponse(http.StatusBadRequest, "the body is no JSON object with duration_s")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), operatorWriteTimeout)
	defer cancel()
	verdict, v, err := plane.decideAndWriteRetire(ctx, node, order.Duration)
	if err == nil && verdict != retireAccept && verdict != retireTryLater && plane.barrier.wait(ctx, v.epoch) != nil {
		err = errUnconfirmed
	}
	switch {
	case errors.Is(err, errNotPrimary):
		return plane.redirectToPrimary(r)
	case err != nil:
		return unavailableResponse(err.Error())
	}
	switch verdict {
	case retireAccept, retireAlreadyOrdered:
		return lifecycleResponse(v.partitionMap, node)
	case retireTryLater:
		return unavailableResponse("the storage machines are not all heard yet")
	case retireUnknownNode:
		return errorResponse(http.StatusNotFound, "no storage machine of that name is known")
	case retireStateTooLarge:
		return errorResponse(http.StatusRequestEntityTooLarge, errStateTooLarge.Error())
	default:
		return errorResponse(http.StatusConflict, "too few storage machines would remain")
	}
}

// decideAndWriteRetire decides on an order to retire, and writes it if it can be carried out, in one step with the decision. It
// gives the view that was decided on; with retireTake, which says that it was written, the view that has it.
func (plane *ControlPlane) decideAndWriteRetire(ctx context.Context, node string, duration float64) (retireDecision, *view, error) {
	decide := func(v *view) retireDecision {
		verdict := plane.retireRequest(v, node).decide()
		if verdict == retireAccept || verdict == retireTryLater {
			plane.recordRetireDeadline(node, duration, v.partitionMap.GetRetiring())
		}
		return verdict
	}
	write := func(ctx context.Context, v *view) (retireDecision, *view, error) {
		return plane.writeRetire(ctx, v, node, duration)
	}
	return decideAndWrite(ctx, plane, retireAccept, decide, write)
}

// writeRetire writes the map with an order to retire, shows it, and gives a view that has it; or else retireTooLarge with the
// view as it was. The caller has the right to write.
func (plane *ControlPlane) writeRetire(ctx context.Context, before *view, node string, duration float64) (retireDecision, *view, error) {
	after := *before
	after.partitionMap = withRetireOrder(before.partitionMap, node)
	after.partitionMap.Retired = append(after.partitionMap.Retired, newlyRetired(after.partitionMap, plane.faultTolerance.Losses)...)
	err := plane.putPartitionMap(ctx, before.epoch, after.partitionMap)
	if errors.Is(err, errStateTooLarge) {
		return retireStateTooLarge, before, nil
	}
	if err != nil {
		return retireAccept, nil, errOutcomeUnknown
	}
	wake(plane.reconcileNow)
	plane.Log.Info().Str("event", "retire").Str("node", node).Float64("duration_s", duration).Msg("")
	return retireAccept, &after, nil
}

// recordRetireDeadline keeps until when a machine is to be emptied, by its order's duration in seconds. It does so before the order
// is written, as it is followed from then on.
func (plane *ControlPlane) recordRetireDeadline(node string, duration float64, orders []string) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	now := time.Now()
	plane.retireDeadlines.prune(now, orders)
	plane.retireDeadlines.record(node, now, retireDuration(duration))
}

func (plane *ControlPlane) retireRequest(v *view, node string) retireRequest {
	known, remain := plane.remainingStores(v.partitionMap, node)
	return retireRequest{alreadyOrdered: slices.Contains(v.partitionMap.GetRetiring(), node), knownNode: known, remainingStores: remain,
		remainingMapped: remainingMappedNodes(v.partitionMap, node), losses: plane.faultTolerance.Losses, takeoverGrace: time.Since(v.since) < plane.windowFraction(takeoverGraceDivisor)}
}

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

func lifecycleResponse(m *tierv1.PartitionMap, node string) response {
	state := retireInProgress
	if slices.Contains(m.GetRetired(), node) {
		state = retireCompleted
	}
	return okResponse(map[string]string{"lifecycle_state": state})
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

func (plane *ControlPlane) describeRetire(r *http.Request, node string) response {
	discardBody(r)
	v, a := plane.confirmedView(r)
	if v == nil {
		return a
	}
	if !slices.Contains(v.partitionMap.GetRetiring(), node) {
		return errorResponse(http.StatusNotFound, "that machine is not asked to be emptied")
	}
	return lifecycleResponse(v.partitionMap, node)
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

// putPartitionMap writes a turn store map and shows it. The caller has the right to write.
func (plane *ControlPlane) putPartitionMap(ctx context.Context, epoch uint64, m *tierv1.PartitionMap) error {
	m.Version = 0
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return err
	}
	version, err := plane.write(ctx, epoch, map[string][]byte{keyPartitionMap: body})
	if err != nil {
		return err
	}
	m.Version = version
	plane.updateView(epoch, func(v *view) { v.partitionMap = m })
	return nil
}
