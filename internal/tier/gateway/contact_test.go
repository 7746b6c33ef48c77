package gateway

import (
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func TestSilenceOfTurnStores(t *testing.T) {
	failure := errorx.ExternalError.New("no answer")
	var c contact
	assert.Equal(t, c.silence(), time.Duration(0), "none was asked")
	c.observe(nil)
	assert.Equal(t, c.silence(), time.Duration(0))
	c.observe(failure)
	began := c.silentSince
	assert.Assert(t, !began.IsZero())
	c.observe(failure)
	assert.Equal(t, c.silentSince, began, "a further failure does not begin the silence anew")
	c.observe(nil)
	assert.Equal(t, c.silence(), time.Duration(0), "one answer ends the silence")
}

func TestCutOffNeedsBothSilent(t *testing.T) {
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
		got := cutOffAfter(window, c.withoutControlPlane, c.withoutTurnStores)
		assert.Equal(t, got, c.want, "control plane silent for %v, turn stores for %v", c.withoutControlPlane, c.withoutTurnStores)
	}
}
