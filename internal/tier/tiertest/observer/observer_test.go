package observer

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// An observer ends a run where a test would end, returns the failures, and runs the cleanups.
func TestObserver(t *testing.T) {
	var cleaned []int
	reached := false
	failure := Observe(func(r Reporter) {
		r.Cleanup(func() { cleaned = append(cleaned, 1) })
		r.Cleanup(func() { cleaned = append(cleaned, 2) })
		assert.Check(r, false, "goes on")
		assert.Equal(r, 1, 2, "ends")
		cleaned = append(cleaned, 0)
		reached = true
	})
	assert.Assert(t, strings.Contains(failure, "goes on"), failure)
	assert.Assert(t, strings.Contains(failure, "ends"), failure)
	assert.Assert(t, !reached)
	assert.DeepEqual(t, cleaned, []int{2, 1})
	assert.Equal(t, Observe(func(r Reporter) { r.Log("nothing failed") }), "")
}
