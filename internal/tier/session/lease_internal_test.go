package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A search that took much longer than its limit was delayed in this process: it must not count as evidence of a partition.
func TestLease_DelayedSearchShowsNothing(t *testing.T) {
	const limit = time.Second
	begun := time.Now()
	l := lease{length: time.Second}
	assert.Assert(t, l.valid(begun.Add(time.Hour)), "no answer yet")
	l.renew(begun)
	late := begun.Add(time.Minute)
	l.searchFailed(3*limit, limit)
	assert.Assert(t, !l.valid(late))
	l.searchFailed(limit, limit)
	assert.Assert(t, l.valid(late))
	l.searchSucceeded(late)
	assert.Assert(t, l.valid(late) && !l.valid(late.Add(l.length)))
	l.renew(begun) // of an earlier call
	assert.Assert(t, l.valid(late), "a lease was shortened")
}
