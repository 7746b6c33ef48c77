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

func lifecycleResponse(m *tierv1.PartitionMap, node string) response {
	state := retireInProgress
	if slices.Contains(m.GetRetired(), node) {
		state = retireCompleted
	}
	return okResponse(map[string]string{"lifecycle_state": state})
}
