package brain

import (
	"testing"
	"time"
)

// In an outage the messages closest to their deadlines would each cut off the one probe before it is answered, and the
// destination would seem unresponsive for as long as they come.
func TestPrecedes_ProbeHasTimeForItsAnswer(t *testing.T) {
	late := settings() // all that are late are worth the same
	late.ExponentialDecay, late.Classes[1].LatencyTarget, late.Classes[1].LateValue = true, 200*ms, 0.5
	r := newRig(t, late)
	r.serve(30, 0, 100*ms)
	r.beginOutage()
	for i := range 60 { // they run out of time one after another
		m := r.message(1, 0, 0)
		m.Deadline = r.now + time.Duration(i)*50*ms
		r.step(m)
	}
	r.step(r.message(1, 0, 0)) // one that can wait
	probes := 0
	for range 60 {
		r.now += 50 * ms
		for _, s := range r.step(TimerFired{}) {
			probes++
			if s.Timeout < minProbeInterval {
				t.Errorf("a probe has %v", s.Timeout)
			}
			r.step(r.result(s, ConnectFailed))
		}
	}
	if probes == 0 {
		t.Error("no probe")
	}
}
