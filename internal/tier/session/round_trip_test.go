package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRoundTrip_Estimate(t *testing.T) {
	const ms = time.Millisecond
	r := roundTrip{}
	assert.Equal(t, r.answerWait(300*ms, 750*ms), 300*ms)
	assert.Assert(t, r.findableWithin(375*ms), "without an estimate, each failed search counts")
	r.restart(400 * ms)
	assert.Equal(t, r.answerWait(300*ms, 750*ms), 500*ms)
	assert.Assert(t, r.findableWithin(800*ms) && !r.findableWithin(799*ms))
	r.observe(320 * ms) // shorter observations count gradually
	assert.Equal(t, r.estimate, 390*ms)
	r.observe(-10 * ms) // answered before the poll time-out
	assert.Assert(t, r.estimate > 300*ms)
	r.observe(700 * ms) // longer observations count at once
	assert.Equal(t, r.estimate, 700*ms)
	assert.Equal(t, r.answerWait(300*ms, 750*ms), 750*ms)
	r.bound(900 * ms)
	assert.Equal(t, r.estimate, 700*ms)
	r.bound(80 * ms)
	assert.Equal(t, r.estimate, 80*ms)
	for range 100 {
		r.decay()
	}
	assert.Assert(t, r.estimate < time.Microsecond)
}
