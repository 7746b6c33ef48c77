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

// retireRecordsLimit bounds the orders to retire that are remembered, and with them the turn store map that every session
// gets. An order is sent again for ack_timeout_ms or less: 256 machines are not emptied and taken away in that time.
const retireRecordsLimit = 256

// retireRequest is an order to empty a machine, with all that the decision on it needs.
type retireRequest struct {
	ordered  bool // it was taken before
	known    bool // the machine is known to keep data
	remain   int  // turn stores that are alive and would be left without it
	mapped   int  // machines that keep data by the map and would be left without it: some may be down for now
	losses   int  // to be borne at once
	settling bool // after a takeover, not all that are there need have come yet
}

// retireVerdict is the decision on an order to empty a machine.
type retireVerdict int

const (
	retireTake        retireVerdict = iota
	retireTaken                     // before: it is acknowledged again, also when the machine has been taken away since
	retireWait                      // a refusal would end the order, though it may be possible in a moment
	retireUnknownNode               // no such machine
	retireTooFew                    // too few would remain
	retireTooLarge                  // the control state would be too large with it
)

func (r retireRequest) decide() retireVerdict {
	enough := r.remain >= r.losses+1
	switch {
	case r.ordered:
		return retireTaken
	case r.known && enough:
		return retireTake
	case r.settling, r.known && r.mapped > r.losses:
		return retireWait
	case !r.known:
		return retireUnknownNode
	default:
		return retireTooFew
	}
}

// createRetire takes the order to empty a storage machine.
func (plane *ControlPlane) createRetire(w http.ResponseWriter, r *http.Request, node string) answer {
	body, err := readBody(w, r, orderBytes)
	if _, ok := plane.primary(); !ok {
		return plane.redirect(r)
	}
	if err != nil {
		return refusedBody(err)
	}
	var order struct {
		Duration float64 `json:"duration_s"`
	}
	if len(body) > 0 && json.Unmarshal(body, &order) != nil {
		return refused(http.StatusBadRequest, "the body is no JSON object with duration_s")
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeLimit)
	defer cancel()
	verdict, v, err := plane.writeIfRetirable(ctx, node, order.Duration)
	if err == nil && verdict != retireTake && verdict != retireWait && plane.confirm.wait(ctx, v.epoch) != nil {
		err = errUnconfirmed
	}
	switch {
	case errors.Is(err, errNotPrimary):
		return plane.redirect(r)
	case err != nil:
		return unavailable(err.Error())
	}
	switch verdict {
	case retireTake, retireTaken:
		return retireAnswer(v.partitionMap, node)
	case retireWait:
		return unavailable("the storage machines are not all heard yet")
	case retireUnknownNode:
		return refused(http.StatusNotFound, "no storage machine of that name is known")
	case retireTooLarge:
		return refused(http.StatusRequestEntityTooLarge, errStateTooLarge.Error())
	default:
		return refused(http.StatusConflict, "too few storage machines would remain")
	}
}

// writeIfRetirable decides on an order to retire, and writes it if it can be carried out, in one step with the decision. It
// gives the view that was decided on; with retireTake, which says that it was written, the view that has it.
func (plane *ControlPlane) writeIfRetirable(ctx context.Context, node string, duration float64) (retireVerdict, *view, error) {
	decide := func(v *view) retireVerdict {
		verdict := plane.retireRequest(v, node).decide()
		if verdict == retireTake || verdict == retireWait {
			plane.noteRetireTime(node, duration, v.partitionMap.GetRetiring())
		}
		return verdict
	}
	write := func(ctx context.Context, v *view) (retireVerdict, *view, error) {
		return plane.writeRetire(ctx, v, node, duration)
	}
	return decideAndWrite(ctx, plane, retireTake, decide, write)
}

// writeRetire writes the map with an order to retire, shows it, and gives a view that has it; or else retireTooLarge with the
// view as it was. The caller has the right to write.
func (plane *ControlPlane) writeRetire(ctx context.Context, before *view, node string, duration float64) (retireVerdict, *view, error) {
	after := *before
	after.partitionMap = orderRetire(before.partitionMap, node)
	after.partitionMap.Retired = append(after.partitionMap.Retired, newlyRetired(after.partitionMap, plane.spread.Losses)...)
	err := plane.putPartitionMap(ctx, before.epoch, after.partitionMap)
	if errors.Is(err, errStateTooLarge) {
		return retireTooLarge, before, nil
	}
	if err != nil {
		return retireTake, nil, errOutcomeUnknown
	}
	wake(plane.reconcileNow)
	plane.Log.Info().Str("event", "retire").Str("node", node).Float64("duration_s", duration).Msg("")
	return retireTake, &after, nil
}

// noteRetireTime keeps until when a machine is to be emptied, by its order's duration in seconds. It does so before the order
// is written, as it is followed from then on.
func (plane *ControlPlane) noteRetireTime(node string, duration float64, orders []string) {
	plane.mu.Lock()
	defer plane.mu.Unlock()
	now := time.Now()
	plane.retireTimes.prune(now, orders)
	plane.retireTimes.note(node, now, retireDuration(duration))
}

func (plane *ControlPlane) retireRequest(v *view, node string) retireRequest {
	known, remain := plane.remaining(v.partitionMap, node)
	return retireRequest{ordered: slices.Contains(v.partitionMap.GetRetiring(), node), known: known, remain: remain,
		mapped: mapped(v.partitionMap, node), losses: plane.spread.Losses, settling: time.Since(v.since) < plane.window(gracePart)}
}

// orderRetire gives a map with an order to retire added. Beyond retireRecordsLimit the oldest orders are forgotten whose
// machines have been emptied and are not in the map any more.
func orderRetire(m *tierv1.PartitionMap, node string) *tierv1.PartitionMap {
	next := &tierv1.PartitionMap{}
	if m != nil {
		next = proto.Clone(m).(*tierv1.PartitionMap)
	}
	next.Retiring = append(next.Retiring, node)
	present := map[string]bool{}
	for _, one := range next.StoreNodes {
		present[one.Node] = true
	}
	for i := 0; i < len(next.Retiring) && len(next.Retiring) > retireRecordsLimit; {
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
		if !slices.Contains(m.Retired, node) && lifecycle(m, node, losses) == retireCompleted {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

func retireAnswer(m *tierv1.PartitionMap, node string) answer {
	state := retireInProgress
	if slices.Contains(m.GetRetired(), node) {
		state = retireCompleted
	}
	return accepted(map[string]string{"lifecycle_state": state})
}

// mapped is how many machines besides a node the map keeps data on, and is not asked to take it off: some may be down for now.
func mapped(m *tierv1.PartitionMap, node string) int {
	nodes := map[string]bool{}
	for _, one := range m.GetStoreNodes() {
		if one.Node != node && !slices.Contains(m.GetRetiring(), one.Node) {
			nodes[one.Node] = true
		}
	}
	return len(nodes)
}

// remaining tells whether a node is known to keep data, and how many turn stores would be left without it.
func (plane *ControlPlane) remaining(m *tierv1.PartitionMap, node string) (known bool, remain int) {
	plane.mu.Lock()
	alive, leaving, _ := plane.sessions.storeNodes(time.Now())
	for at := range plane.sessions.of {
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

func (plane *ControlPlane) describeRetire(r *http.Request, node string) answer {
	discardBody(r)
	v, a := plane.confirmedView(r)
	if v == nil {
		return a
	}
	if !slices.Contains(v.partitionMap.GetRetiring(), node) {
		return refused(http.StatusNotFound, "that machine is not asked to be emptied")
	}
	return retireAnswer(v.partitionMap, node)
}

// lifecycle tells, by the copies in a map, whether a node that is to be emptied may be taken away with its disk: no partition has a copy there, and each has its synced
// copies elsewhere.
func lifecycle(m *tierv1.PartitionMap, node string, losses int) string {
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
	version, err := plane.put(ctx, epoch, map[string][]byte{keyPartitionMap: body})
	if err != nil {
		return err
	}
	m.Version = version
	plane.changeView(epoch, func(v *view) { v.partitionMap = m })
	return nil
}
