package brain

import (
	"testing"
	"time"
)

// Rule 2: an attempt that may have run is repeated only as the idempotency of its class allows.
func TestRetry_RespectsIdempotency(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		again   bool
	}{
		{"safe after an error", 0, Errored, time.Second, true},
		{"keyed in its window", 1, Errored, time.Second, true},
		{"keyed past its window", 1, Errored, 6 * time.Second, false},
		{"unsafe after an error", 2, Errored, time.Second, false},
		{"unsafe after a refusal", 2, Rejected, time.Second, true},
		{"unsafe without a connection", 2, ConnectFailed, time.Second, true},
		{"unsafe after a broken connection", 2, ConnectionLost, time.Second, false},
	} {
		r := newRig(t, settings())
		m := r.message(c.class, 0, 0)
		s := r.step(m)
		r.now += c.after
		r.step(r.result(s[0], c.outcome))
		for range 40 {
			r.now += 50 * ms
			r.step(TimerFired{})
		}
		if again := r.attempts[m.ID] > 1; again != c.again {
			t.Errorf("%s: repeated %v", c.name, again)
		}
		if !c.again && !r.failed[m.ID] || r.rejected[m.ID] {
			t.Errorf("%s: failed %v, refused %v", c.name, r.failed[m.ID], r.rejected[m.ID])
		}
	}
}

// A key that is remembered for 6 s was of no use to a call that waited 4 s for its time-out.
func TestTimeout_LeavesTimeForRepeatWithinKeyTTL(t *testing.T) {
	r := fleetRig(t, 50)
	s := r.step(r.message(1, 0, 0))
	if s[0].Timeout > 3*time.Second && s[0].Timeout < 20*time.Second {
		t.Fatalf("time-out %v in a window of 6 s", s[0].Timeout)
	}
}
