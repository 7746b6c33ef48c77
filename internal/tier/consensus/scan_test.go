package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"saffronyard.example/saffronyard/internal/tier/wal"
)

// Scan returns the committed values under a prefix. Removed keys are not among them, and a map that was returned does not change.
func TestScan(t *testing.T) {
	s := newManualNode(t, wal.NewMemory(), "a")
	s.runFor(time.Second)
	write := func(sets map[string][]byte) {
		t.Helper()
		outcome := s.putSets(sets)
		s.runFor(20 * time.Millisecond)
		assert.NilError(t, (<-outcome).err)
	}
	write(map[string][]byte{"a/1": {1}, "a/2": {2}, "b/1": {3}})
	before := s.node.Scan("a/")
	assert.DeepEqual(t, before, map[string][]byte{"a/1": {1}, "a/2": {2}})
	write(map[string][]byte{"a/1": nil, "a/3": {4}})
	assert.DeepEqual(t, s.node.Scan("a/"), map[string][]byte{"a/2": {2}, "a/3": {4}})
	assert.DeepEqual(t, before, map[string][]byte{"a/1": {1}, "a/2": {2}})
	assert.DeepEqual(t, s.node.Scan("c/"), map[string][]byte{})
}
