package controlplane

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// retireBody is the body of Retire.Create.
type retireBody struct {
	DurationSeconds float64 `json:"duration_s"`
}

// lifecycleBody is the body of a response with the state of an order to retire.
type lifecycleBody struct {
	State string `json:"lifecycle_state"`
}

// createRetire serves Retire.Create, the order to empty a storage machine.
func (plane *ControlPlane) createRetire(w http.ResponseWriter, r *http.Request, node string) response {
	body, err := readBody(w, r, maxRequestBody)
	if _, ok := plane.primary(); !ok {
		return plane.redirectToPrimary(r)
	}
	if err != nil {
		return bodyErrorResponse(err)
	}
	var order retireBody
	if len(body) > 0 && json.Unmarshal(body, &order) != nil {
		return errorResponse(http.StatusBadRequest, "the body is no JSON object with duration_s")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), operatorWriteTimeout)
	defer cancel()
	decided, state, err := plane.decideAndWriteRetire(ctx, node, order.DurationSeconds)
	if err == nil && decided != retireAccept && decided != retireTryLater && plane.barrier.wait(ctx, state.epoch) != nil {
		err = errUnconfirmed
	}
	switch {
	case errors.Is(err, errNotPrimary):
		return plane.redirectToPrimary(r)
	case err != nil:
		return unavailableResponse(err.Error())
	}
	switch decided {
	case retireAccept, retireAlreadyOrdered:
		return lifecycleResponse(state.partitionMap, node)
	case retireTryLater:
		return unavailableResponse("the storage machines are not all heard yet")
	case retireUnknownNode:
		return errorResponse(http.StatusNotFound, "no storage machine of that name is known")
	case retireStateTooLarge:
		return errorResponse(http.StatusRequestEntityTooLarge, errStateTooLarge.Error())
	default: // retireTooFewRemain
		return errorResponse(http.StatusConflict, "too few storage machines would remain")
	}
}

// decideAndWriteRetire decides on an order to retire and, if it can be carried out, writes it under the same lock. It returns
// the state that the decision was based on or, with retireAccept, which means that the order was written, the state that
// contains it. duration is the order's duration in seconds.
func (plane *ControlPlane) decideAndWriteRetire(ctx context.Context, node string, duration float64) (retireDecision, *publishedState, error) {
	decide := func(state *publishedState) retireDecision {
		decided := plane.newRetireRequest(state, node).decide()
		if decided == retireAccept || decided == retireTryLater {
			plane.recordRetireDeadline(node, duration, state.partitionMap.GetRetiring())
		}
		return decided
	}
	write := func(ctx context.Context, state *publishedState) (retireDecision, *publishedState, error) {
		return plane.writeRetire(ctx, state, node, duration)
	}
	return decideAndWrite(ctx, plane, retireAccept, decide, write)
}

// writeRetire writes the partition map with an order to retire, publishes it, and returns a state that contains it; or
// retireStateTooLarge with the state before. The caller holds the writer lock.
func (plane *ControlPlane) writeRetire(ctx context.Context, before *publishedState, node string, duration float64) (retireDecision, *publishedState, error) {
	after := *before
	after.partitionMap = withRetireOrder(before.partitionMap, node)
	after.partitionMap.Retired = append(after.partitionMap.Retired, newlyRetired(after.partitionMap, plane.faultTolerance.Losses)...)
	err := plane.writePartitionMap(ctx, before.epoch, after.partitionMap)
	if errors.Is(err, errStateTooLarge) {
		return retireStateTooLarge, before, nil
	}
	if err != nil {
		return retireAccept, nil, errOutcomeUnknown
	}
	wake(plane.reconcileNow)
	plane.Log.Info().Str("event", "retire").Str("node", node).Float64("duration_s", duration).Msg("accepted an order to retire a machine")
	return retireAccept, &after, nil
}

// recordRetireDeadline records the deadline for emptying a machine, from its order's duration in seconds. It must be called
// before the order is written, as reconcile follows the order from then on.
func (plane *ControlPlane) recordRetireDeadline(node string, duration float64, orders []string) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	now := time.Now()
	plane.retireDeadlines.prune(now, orders)
	plane.retireDeadlines.record(node, now, retireDuration(duration))
}

// describeRetire serves Retire.Describe.
func (plane *ControlPlane) describeRetire(r *http.Request, node string) response {
	discardBody(r)
	state, instead := plane.confirmedState(r)
	if state == nil {
		return instead
	}
	if !slices.Contains(state.partitionMap.GetRetiring(), node) {
		return errorResponse(http.StatusNotFound, "that machine is not asked to be emptied")
	}
	return lifecycleResponse(state.partitionMap, node)
}

// lifecycleResponse returns the response with the state of the order to retire a node, as recorded in the map.
func lifecycleResponse(m *tierv1.PartitionMap, node string) response {
	state := retireInProgress
	if slices.Contains(m.GetRetired(), node) {
		state = retireCompleted
	}
	return okResponse(lifecycleBody{State: state})
}
