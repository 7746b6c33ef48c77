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
		{"idempotent after an error", 0, Errored, time.Second, true},
		{"with a key, within its TTL", 1, Errored, time.Second, true},
		{"with a key, after its TTL", 1, Errored, 6 * time.Second, false},
		{"non-idempotent after an error", 2, Errored, time.Second, false},
		{"non-idempotent after a rejection", 2, Rejected, time.Second, true},
		{"non-idempotent after a failed connect", 2, ConnectFailed, time.Second, true},
		{"non-idempotent after a lost connection", 2, ConnectionLost, time.Second, false},
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
			t.Errorf("%s: failed %v, rejected %v", c.name, r.failed[m.ID], r.rejected[m.ID])
		}
	}
}

// With a key TTL of 6 s, a call with a time-out of 4 s left no time for a repeat.
func TestTimeout_LeavesTimeForRepeatWithinKeyTTL(t *testing.T) {
	r := fleetRig(t, 50)
	s := r.step(r.message(1, 0, 0))
	if s[0].Timeout > 3*time.Second && s[0].Timeout < 20*time.Second {
		t.Fatalf("time-out %v with a key TTL of 6 s", s[0].Timeout)
	}
}
