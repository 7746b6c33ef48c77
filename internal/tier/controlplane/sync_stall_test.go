package controlplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

func TestStallTracker(t *testing.T) {
	const usual = 3 * time.Second
	start := time.Unix(0, 0)
	m := &tierv1.PartitionMap{Partitions: []*tierv1.Partition{{Epoch: 1, Primary: "a", Backups: []*tierv1.Replica{{Folder: "b"}}}}}
	alive := map[string]*tierv1.StoreNode{"a": {}, "b": {}}
	var tracker stallTracker
	at := func(seconds float64) (slow, stalled bool) {
		slows, stalls := tracker.observe(start.Add(time.Duration(seconds*float64(time.Second))), usual, m, alive)
		return slows[0], stalls[0]
	}
	expect := func(seconds float64, slow, stalled bool) {
		t.Helper()
		gotSlow, gotStalled := at(seconds)
		assert.Equal(t, gotSlow, slow)
		assert.Equal(t, gotStalled, stalled)
	}
	expect(0, false, false)
	expect(3, false, false)
	expect(3.1, true, true)
	m.Partitions[0].Epoch = 2 // other turn stores are tried: the partition stays slow, and gets the same time again
	expect(3.2, true, false)
	expect(6.3, true, true)
	for epoch := uint64(3); epoch < 100; epoch++ {
		m.Partitions[0].Epoch = epoch
		expect(10, true, false)
	}
	expect(10+3*16, true, false) // at most sixteen times the usual time
	expect(10+3*16+0.1, true, true)
	delete(alive, "a") // nothing can be done without the primary
	expect(100, false, false)
	alive["a"] = &tierv1.StoreNode{}
	expect(101, false, false)
	m.Partitions[0].Backups[0].Synced = true
	expect(200, false, false)
}
