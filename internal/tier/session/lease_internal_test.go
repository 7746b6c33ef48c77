package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A search that took longer than it may was held up in this process: it does not show that the process is partitioned.
func TestLease_DelayedSearchShowsNothing(t *testing.T) {
	const limit = time.Second
	begun := time.Now()
	l := lease{length: time.Second}
	assert.Assert(t, l.holds(begun.Add(time.Hour)), "nothing has come")
	l.renew(begun)
	late := begun.Add(time.Minute)
	l.searchFailed(3*limit, limit)
	assert.Assert(t, !l.holds(late))
	l.searchFailed(limit, limit)
	assert.Assert(t, l.holds(late))
	l.searchSucceeded(late)
	assert.Assert(t, l.holds(late) && !l.holds(late.Add(l.length)))
	l.renew(begun) // of a call before
	assert.Assert(t, l.holds(late), "a lease was shortened")
}
