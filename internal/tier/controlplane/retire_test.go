package controlplane

import (
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// The order to empty a machine is acknowledged again after the machine was emptied and removed, however many machines are lost
// later.
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
		again("removed")
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

// Operators are informed that a machine is empty only after this is recorded.
func TestRetire_CompletedOnlyWhenRecorded(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, node := range []string{"v1", "v2", "v3"} {
			h.join(roleTurnStore, node, nil)
		}
		h.advance(2 * time.Second)
		h.store.set(func() {
			h.store.failPut = func(sets map[string][]byte) (bool, bool) { // no map that records a machine as retired is written
				m := partitionMapIn(t, sets)
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

func partitionMapIn(t *testing.T, sets map[string][]byte) *tierv1.PartitionMap {
	body := sets[keyPartitionMap]
	if body == nil {
		return nil
	}
	m := &tierv1.PartitionMap{}
	assert.NilError(t, proto.Unmarshal(body, m))
	return m
}

func TestRetire(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, n := range []string{"v1", "v2", "v3"} {
			h.join(roleTurnStore, n, func(p *testProcess) { p.acknowledgeDelay = 50 * time.Millisecond }) // so that no replica is synced at once
		}
		h.advance(2 * time.Second)
		order := func(node string) *httptest.ResponseRecorder {
			return h.call("POST", "Retire.Create/"+node, nil, strings.NewReader(`{"duration_s":10}`))
		}
		state := func(node string) *httptest.ResponseRecorder { return h.call("GET", "Retire.Describe/"+node, nil, nil) }
		assertStatus(t, order("v9"), 404)
		assertStatus(t, state("v1"), 404)
		assertStatus(t, order("v1"), 200)
		assertStatus(t, order("v1"), 200)
		assertStatus(t, order("v2"), 409)
		assert.Equal(t, state("v1").Body.String(), `{"lifecycle_state":"in_progress"}`)
		h.advance(10 * time.Second)
		assert.Equal(t, state("v1").Body.String(), `{"lifecycle_state":"completed"}`)
		h.store.set(func() { h.store.unconfirmed = true })
		assertStatus(t, state("v1"), 503)
	})
}

// Right after a takeover not all storage machines have a session yet: a 404 or 409 would be final and end the operator's order.
func TestRetire_RightAfterTakeover(t *testing.T) {
	withHarness(t, func(h *harness) {
		order := func(node string) *httptest.ResponseRecorder {
			return h.call("POST", "Retire.Create/"+node, nil, strings.NewReader(`{"duration_s":10}`))
		}
		h.join(roleTurnStore, "v1", nil)
		assertStatus(t, order("v1"), 503)
		assertStatus(t, order("v9"), 503)
		h.advance(2 * time.Second)
		assertStatus(t, order("v1"), 409)
		assertStatus(t, order("v9"), 404)
	})
}

// Machines that are down temporarily count as remaining: the order gets a 503, after which it is sent again,
// instead of a final rejection.
func TestRetire_WhileOthersAreDown(t *testing.T) {
	withHarness(t, func(h *harness) {
		h.join(roleTurnStore, "v1", nil)
		others := []*testProcess{h.join(roleTurnStore, "v2", nil), h.join(roleTurnStore, "v3", nil)}
		h.advance(2 * time.Second)
		for _, p := range others {
			p.stop()
		}
		h.advance(2 * time.Second)
		assertStatus(t, h.call("POST", "Retire.Create/v1", nil, strings.NewReader(`{"duration_s":10}`)), 503)
	})
}
