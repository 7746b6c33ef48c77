package brain

import (
	"testing"
	"time"
)

// In an outage, messages close to their deadlines must not be sent as probes: each would time out before it is answered,
// and the destination would seem unresponsive for as long as such messages arrive.
func TestPrecedes_ProbeHasTimeForItsAnswer(t *testing.T) {
	late := settings() // all late messages have the same value
	late.ExponentialDecay, late.Classes[1].LatencyTarget, late.Classes[1].LateValue = true, 200*ms, 0.5
	r := newRig(t, late)
	r.serve(30, 0, 100*ms)
	r.beginOutage()
	for i := range 60 { // they reach their deadlines one after another
		m := r.message(1, 0, 0)
		m.Deadline = r.now + time.Duration(i)*50*ms
		r.step(m)
	}
	r.step(r.message(1, 0, 0)) // a message with time left
	probes := 0
	for range 60 {
		r.now += 50 * ms
		for _, s := range r.step(TimerFired{}) {
			probes++
			if s.Timeout < minProbeInterval {
				t.Errorf("a probe has a time-out of %v", s.Timeout)
			}
			r.step(r.result(s, ConnectFailed))
		}
	}
	if probes == 0 {
		t.Error("no probe is sent")
	}
}
