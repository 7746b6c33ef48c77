package controlplane

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/consensus"
	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// paddedConfiguration returns a valid configuration of exactly size bytes.
func paddedConfiguration(revision, size int) []byte {
	body := configuration(revision, "s")
	return append(body, bytes.Repeat([]byte{' '}, size-len(body))...)
}

func TestConfigurationSizeLimit_ByMemory(t *testing.T) {
	for memory, want := range map[int]int64{1: minConfigurationLimit, 64: minConfigurationLimit, 128: 8 << 20, 512: maxConfigurationLimit, 4096: maxConfigurationLimit, 1 << 20: maxConfigurationLimit} {
		plane := &ControlPlane{}
		plane.Settings.MemoryMB = memory
		assert.Equal(t, plane.configurationSizeLimit(), want, "%d MB", memory)
	}
}

// A configuration may be as large as the limit. With one byte more it is rejected with a message that states the limit, and does
// not take effect, and a smaller one on the same base is accepted.
func TestReplace_ConfigurationAtLimit(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		limit := int(h.plane.configurationSizeLimit())
		w := h.replaceBody(3, paddedConfiguration(5, limit+1))
		assertStatus(t, w, 413)
		assert.Assert(t, strings.Contains(w.Body.String(), fmt.Sprint(limit)), "%s", w.Body)
		assert.Equal(t, h.describe().Body.String(), string(configuration(3, "s")))
		assertStatus(t, h.replaceBody(3, paddedConfiguration(5, limit)), 200)
		assert.Equal(t, h.describe().Body.Len(), limit)
	})
}

// A change that would make the control state too large is rejected each time it is sent, and does not take effect. The primary
// keeps serving: accepted changes are acknowledged again, and other changes are accepted. The change is rejected only if the backups
// confirm that no other process is the primary.
func TestReplace_StateTooLarge(t *testing.T) {
	withHarness(t, func(h *harness) {
		assertStatus(t, h.replace(0, 3), 200)
		h.store.set(func() {
			h.store.tooLarge = func(sets map[string][]byte) bool { return bytes.Contains(sets[keyConfiguration], []byte("huge")) }
		})
		huge := configuration(5, "huge")
		for range 3 {
			confirms := h.store.confirmCount()
			w := h.replaceBody(3, huge)
			assertStatus(t, w, 413)
			assert.Assert(t, strings.Contains(w.Body.String(), errStateTooLarge.Error()), "%s", w.Body)
			assert.Equal(t, h.store.confirmCount(), confirms+1)
			_, ok := h.plane.primary()
			assert.Assert(t, ok)
		}
		h.store.set(func() { h.store.unconfirmed = true })
		assertStatus(t, h.replaceBody(3, huge), 503)
		h.store.set(func() { h.store.unconfirmed = false })
		assert.Equal(t, h.describe().Body.String(), string(configuration(3, "s")))
		assertStatus(t, h.replace(0, 3), 200)
		assertStatus(t, h.replace(3, 5), 200)
		h.store.set(func() { h.store.epoch += 1 << 12 })
		h.advance(time.Second)
		assertStatus(t, h.replaceBody(5, configuration(7, "huge")), 413)
		assertStatus(t, h.replace(0, 3), 200)
		assert.Equal(t, h.describe().Body.String(), string(configuration(5, "s")))
	})
}

// If the control state has no room for a change of the partition map, an order to retire is rejected, and the primary continues
// to answer. It makes its own changes of the map when there is room again.
func TestPartitionMap_StateTooLarge(t *testing.T) {
	withHarness(t, func(h *harness) {
		for _, node := range []string{"v1", "v2", "v3"} {
			h.join(roleTurnStore, node, nil)
		}
		h.advance(2 * time.Second)
		h.store.set(func() {
			h.store.tooLarge = func(sets map[string][]byte) bool { return sets[keyPartitionMap] != nil }
		})
		assertStatus(t, h.retire("v1"), 413)
		assertStatus(t, h.call("GET", "Retire.Describe/v1", nil, nil), 404)
		h.join(roleTurnStore, "v4", nil)
		for range 10 {
			h.advance(300 * time.Millisecond)
			_, ok := h.plane.primary()
			assert.Assert(t, ok)
		}
		assert.Equal(t, len(h.partitionMap().StoreNodes), 3)
		assertStatus(t, h.replace(0, 3), 200)
		h.store.set(func() { h.store.tooLarge = nil })
		assertStatus(t, h.retire("v1"), 200)
		h.advance(2 * time.Second)
		assert.Equal(t, len(h.partitionMap().StoreNodes), 4)
	})
}

// The largest control state fits the limit: the largest configuration, a full change history, and a partition map with 10,000
// turn stores in which each list is full.
func TestStateLimit_LargestStateFits(t *testing.T) {
	const storeNodes = 10_000
	name := func(i int) string { return fmt.Sprintf("%032d", i) }
	m := &tierv1.PartitionMap{Version: 1 << 63}
	for i := range storeNodes {
		m.StoreNodes = append(m.StoreNodes, &tierv1.StoreNode{Folder: name(i), Node: name(i), Address: name(i), Zone: name(i)})
	}
	for i := range maxRetireRecords + storeNodes { // beyond maxRetireRecords only machines that are still in the map
		m.Retiring, m.Retired = append(m.Retiring, name(i)), append(m.Retired, name(i))
	}
	for range partitionCount {
		p := &tierv1.Partition{Primary: name(0), Epoch: 1 << 63, AcknowledgedUntil: 1 << 63}
		for i := range maxRetained {
			p.Backups = append(p.Backups, &tierv1.Replica{Folder: name(i), Since: 1 << 63, Synced: true})
			p.Retained = append(p.Retained, &tierv1.RetainedReplica{Folder: name(i), Since: 1 << 63, Until: 1 << 63})
			p.RecoverFrom = append(p.RecoverFrom, name(i))
		}
		m.Partitions = append(m.Partitions, p)
	}
	total := maxConfigurationLimit + maxChangeHistoryBytes + proto.Size(m)
	t.Logf("%d bytes of map, %d in all, limit %d", proto.Size(m), total, consensus.StateLimit)
	assert.Assert(t, total+1<<20 <= consensus.StateLimit) // a mebibyte for framing and small values
}

// With the real consensus, through a takeover and a restart of all processes, each primary rejects a change for which the state
// has no room, and the state does not change.
func TestStateLimit_ThroughTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const limit, order = 256 << 10, 32 << 10
		c := &cluster{limit: limit}
		c.setUp(ctx, t, 1, 3)
		<-time.After(2 * time.Second)
		send := func(base, revision, size int) int {
			t.Helper()
			for range 20 {
				leader := c.leader()
				if leader == nil {
					<-time.After(time.Second)
					continue
				}
				q, err := http.NewRequestWithContext(ctx, "POST", "http://"+leader.ip+":"+operatorPort+"/saffronyard/Configuration.Replace",
					bytes.NewReader(paddedConfiguration(revision, size)))
				assert.NilError(t, err)
				q.Header.Set("X-Base-Revision", fmt.Sprint(base))
				answer, err := clusterTransport{c, "operator"}.RoundTrip(q)
				if err == nil && answer.StatusCode != 503 && answer.StatusCode != 307 {
					return answer.StatusCode
				}
				<-time.After(time.Second)
			}
			t.Fatal("no final response")
			return 0
		}
		assert.Equal(t, send(0, 3, order/2), 200)
		leader := c.leader()
		epoch, _ := leader.store.Primary()
		filler := make([]byte, limit-order) // stands for a partition map that has become very large
		_, err := leader.store.Put(ctx, epoch, map[string][]byte{"filler": filler})
		assert.NilError(t, err)
		assert.Equal(t, send(3, 5, order), 413)
		c.stop(leader, false)
		<-time.After(3 * time.Second)
		assert.Equal(t, send(3, 5, order), 413)
		c.start(leader, false)
		for _, m := range c.machines {
			c.stop(m, true)
		}
		for _, m := range c.machines {
			c.start(m, false)
		}
		<-time.After(5 * time.Second)
		assert.Equal(t, send(3, 5, order), 413)
		assert.Equal(t, send(0, 3, order/2), 200) // accepted before
		assert.Equal(t, send(3, 5, order/2), 200)
		for _, m := range c.machines {
			assert.NilError(t, m.store.DiskError())
		}
		c.stopAll()
		cancel()
		synctest.Wait()
	})
}
