package controlplane

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	tierv1 "dockshift.example/dockshift/proto/saffronyard/tier/v1"
	"google.golang.org/protobuf/proto"
)

// createRetire takes the order to empty a storage machine.
func (plane *ControlPlane) createRetire(w http.ResponseWriter, r *http.Request, node string) {
	body, ok := readBody(w, r, orderBytes)
	if !ok {
		return
	}
	if _, ok := plane.primary(); !ok {
		plane.redirect(w, r)
		return
	}
	var order struct {
		Duration float64 `json:"duration_s"`
	}
	if len(body) > 0 && json.Unmarshal(body, &order) != nil {
		writeError(w, http.StatusBadRequest, "the body is no JSON object with duration_s")
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), writeLimit)
	defer cancel()
	if err := plane.lockWriter(ctx); err != nil {
		unavailable(w, "another write is under way")
		return
	}
	defer plane.unlockWriter()
	v, ok := plane.primary()
	if !ok {
		plane.redirect(w, r)
		return
	}
	if slices.Contains(v.partitionMap.GetRetiring(), node) {
		if err := plane.confirm.wait(ctx, v.epoch); err != nil {
			unavailable(w, "the backups do not confirm it")
			return
		}
		writeJSON(w, http.StatusOK, map[string]string{"lifecycle_state": lifecycle(v.partitionMap, node, plane.spread.Losses)})
		return
	}
	known, remain := plane.remaining(v.partitionMap, node)
	if !known || remain < plane.spread.Losses+1 {
		if time.Since(v.since) < plane.window(gracePart) || known && mapped(v.partitionMap, node) > plane.spread.Losses { // not all that are there have come yet: a final answer would end the order
			unavailable(w, "the storage machines are not all heard yet")
			return
		}
		if err := plane.confirm.wait(ctx, v.epoch); err != nil {
			unavailable(w, "the backups do not confirm it")
			return
		}
		if !known {
			writeError(w, http.StatusNotFound, "no storage machine of that name is known")
		} else {
			writeError(w, http.StatusConflict, "too few storage machines would remain")
		}
		return
	}
	next := &tierv1.PartitionMap{}
	if v.partitionMap != nil {
		next = proto.Clone(v.partitionMap).(*tierv1.PartitionMap)
	}
	next.Retiring = append(next.Retiring, node)
	if err := plane.putPartitionMap(ctx, v.epoch, next); err != nil {
		unavailable(w, "the outcome is unknown")
		return
	}
	wake(plane.reconcileNow)
	plane.Log.Info().Str("event", "retire").Str("node", node).Float64("duration_s", order.Duration).Msg("")
	writeJSON(w, http.StatusOK, map[string]string{"lifecycle_state": lifecycle(next, node, plane.spread.Losses)})
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

func (plane *ControlPlane) describeRetire(w http.ResponseWriter, r *http.Request, node string) {
	discardBody(r)
	v, ok := plane.confirmed(w, r)
	if !ok {
		return
	}
	if !slices.Contains(v.partitionMap.GetRetiring(), node) {
		writeError(w, http.StatusNotFound, "that machine is not asked to be emptied")
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"lifecycle_state": lifecycle(v.partitionMap, node, plane.spread.Losses)})
}

// lifecycle tells whether a node that is to be emptied may be taken away with its disk: no partition has a copy there,
// and each has its synced copies notPrimary.
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
			return "in_progress"
		}
		for _, c := range p.Backups {
			if mine[c.Folder] {
				return "in_progress"
			}
			if c.Synced {
				synced++
			}
		}
		if synced < losses+1 {
			return "in_progress"
		}
	}
	return "completed"
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
