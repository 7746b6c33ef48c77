package gateway

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func TestReachability_UnansweredFor(t *testing.T) {
	failure := errorx.ExternalError.New("no answer")
	var c reachability
	assert.Equal(t, c.unansweredFor(), time.Duration(0), "no call yet")
	c.record(nil)
	assert.Equal(t, c.unansweredFor(), time.Duration(0))
	c.record(failure)
	began := c.failingSince
	assert.Assert(t, !began.IsZero())
	c.record(failure)
	assert.Equal(t, c.failingSince, began, "a further failure must not reset the time")
	c.record(nil)
	assert.Equal(t, c.unansweredFor(), time.Duration(0), "an answered call must end the failure")
}

func TestIsolatedAfter(t *testing.T) {
	const window = 4 * time.Second
	for _, c := range []struct {
		withoutControlPlane, withoutTurnStores time.Duration
		want                                   bool
	}{
		{0, 0, false},
		{time.Hour, 0, false},
		{0, time.Hour, false},
		{time.Hour, window, false},
		{window, time.Hour, false},
		{window + 1, window + 1, true},
	} {
		got := isolatedAfter(window, c.withoutControlPlane, c.withoutTurnStores)
		assert.Equal(t, got, c.want, "control plane unanswered for %v, turn stores for %v", c.withoutControlPlane, c.withoutTurnStores)
	}
}
