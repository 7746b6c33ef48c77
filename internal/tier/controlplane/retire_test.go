package controlplane

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestRetireRequest_Decide(t *testing.T) {
	for _, c := range []struct {
		name    string
		request retireRequest
		want    retireDecision
	}{
		{"enough remain", retireRequest{knownNode: true, remainingStores: 2, remainingMapped: 2, losses: 1}, retireAccept},
		{"just too few", retireRequest{knownNode: true, remainingStores: 1, remainingMapped: 1, losses: 1}, retireTooFewRemain},
		{"others are down", retireRequest{knownNode: true, remainingStores: 1, remainingMapped: 2, losses: 1}, retireTryLater},
		{"unknown", retireRequest{remainingStores: 5, remainingMapped: 5, losses: 1}, retireUnknownNode},
		{"unknown yet", retireRequest{remainingStores: 5, losses: 1, takeoverGrace: true}, retireTryLater},
		{"too few yet", retireRequest{knownNode: true, remainingStores: 1, losses: 1, takeoverGrace: true}, retireTryLater},
		{"again", retireRequest{alreadyOrdered: true, knownNode: true, remainingStores: 2, remainingMapped: 2, losses: 1}, retireAlreadyOrdered},
		{"again, when too few are left", retireRequest{alreadyOrdered: true, knownNode: true, losses: 1}, retireAlreadyOrdered},
		{"again, when it is gone", retireRequest{alreadyOrdered: true, remainingStores: 2, remainingMapped: 2, losses: 1}, retireAlreadyOrdered},
		{"again, after a takeover", retireRequest{alreadyOrdered: true, losses: 1, takeoverGrace: true}, retireAlreadyOrdered},
	} {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, c.request.decide(), c.want) })
	}
}

// The order to empty a machine is acknowledged again after the machine was emptied and taken away, and however many are
// lost later.
func TestRetire_AcknowledgedAgainAfterRemoval(t *testing.T) {
	withHarness(t, func(h *harness) {
		state := func(node string) string {
			w := h.call("GET", "Retire.Describe/"+node, nil, nil)
			assertStatus(t, w, 200)
			return w.Body.String()
		}
		const completed = `{"lifecycle_state":"completed"}`
		stores := map[string]*testProcess{}
		for _, node := range []string{"v1", "v2", "v3"} {
			stores[node] = h.join(roleTurnStore, node, nil)
		}
		h.advance(2 * time.Second)
		assertStatus(t, h.retire("v1"), 200)
		h.advance(8 * time.Second)
		assert.Equal(t, state("v1"), completed)
		again := func(what string) {
			t.Helper()
			w := h.retire("v1")
			assertStatus(t, w, 200)
			assert.Equal(t, w.Body.String(), completed, what)
			assert.Equal(t, state("v1"), completed, what)
		}
		stores["v1"].stop()
		h.advance(5 * time.Second)
		assert.Assert(t, !slices.ContainsFunc(h.partitionMap().StoreNodes, func(one *tierv1.StoreNode) bool { return one.Node == "v1" }))
		again("taken away")
		h.store.set(func() { h.store.epoch += 1 << 12 })
		h.advance(300 * time.Millisecond)
		again("right after a takeover")
		stores["v2"].stop()
		h.advance(5 * time.Second)
		again("another is lost")
		h.join(roleTurnStore, "v4", nil)
		h.advance(200 * time.Millisecond)
		again("and is replaced: replicas are being synced")
	})
}

// That a machine is empty is recorded before operators hear of it.
func TestRetire_CompletedOnlyWhenRecorded(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, node := range []string{"v1", "v2", "v3"} {
			h.join(roleTurnStore, node, nil)
		}
		h.advance(2 * time.Second)
		h.store.set(func() {
			h.store.failPut = func(sets map[string][]byte) (bool, bool) { // no map that records it is written
				m := mapIn(t, sets)
				bad := m != nil && len(m.Retired) > 0
				return bad, bad
			}
		})
		assertStatus(t, h.retire("v1"), 200)
		h.advance(8 * time.Second)
		w := h.call("GET", "Retire.Describe/v1", nil, nil)
		if w.Code == 200 {
			assert.Equal(t, w.Body.String(), `{"lifecycle_state":"in_progress"}`)
		} else {
			assertStatus(t, w, 503)
		}
		h.store.set(func() { h.store.failPut = nil })
		h.advance(time.Second)
		assert.Equal(t, h.call("GET", "Retire.Describe/v1", nil, nil).Body.String(), `{"lifecycle_state":"completed"}`)
	})
}

func mapIn(t *testing.T, sets map[string][]byte) *tierv1.PartitionMap {
	body := sets[keyPartitionMap]
	if body == nil {
		return nil
	}
	m := &tierv1.PartitionMap{}
	assert.NilError(t, proto.Unmarshal(body, m))
	return m
}

func TestWithRetireOrder_Bounded(t *testing.T) {
	m := &tierv1.PartitionMap{StoreNodes: []*tierv1.StoreNode{{Node: "n0", Folder: "f0"}}}
	const orders = maxRetireRecords + 40
	for i := range orders {
		m = withRetireOrder(m, fmt.Sprint("n", i))
		if i != 1 { // that one is never emptied
			m.Retired = append(m.Retired, fmt.Sprint("n", i))
		}
	}
	assert.Equal(t, len(m.Retiring), maxRetireRecords)
	assert.DeepEqual(t, m.Retiring[:2], []string{"n0", "n1"}) // n0 is still there, n1 is under way
	assert.Equal(t, m.Retiring[maxRetireRecords-1], fmt.Sprint("n", orders-1))
	assert.Equal(t, len(m.Retired), maxRetireRecords-1)
}
