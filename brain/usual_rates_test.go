package brain

import (
	"math"
	"testing"
)

// A process that restarts during an outage has served nothing yet: its estimate of the calls that the destination can take
// on its return must be based on the rates of the process before it.
func TestUsualRates_OutlastTheProcess(t *testing.T) {
	before := newRig(t, settings())
	before.serve(300, 0, 80*ms) // ten calls a second
	var restored []Event
	for _, e := range before.b.UsualRates() {
		if e.Destination == 0 && (e.Rate < 5 || e.Rate > 15) {
			t.Errorf("a rate of %.1f with ten calls served a second", e.Rate)
		}
		restored = append(restored, e)
	}
	rate := func(events ...Event) float64 {
		t.Helper()
		r := newRig(t, settings())
		r.step(events...)
		r.beginOutage()
		return r.b.recoveryRate(r.b.destination(0).sharedRoute)
	}
	withRates := rate(restored...)
	if without := rate(); withRates < 2*without {
		t.Errorf("%.2f calls a second, %.2f without restored rates", withRates, without)
	}
	before.beginOutage()
	if continued := before.b.recoveryRate(before.b.destination(0).sharedRoute); withRates > 1.1*continued {
		t.Errorf("%.2f calls a second, %.2f in the process before it", withRates, continued)
	}
	for _, x := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		if invalid := rate(UsualRate{Rate: x}); invalid != rate() {
			t.Errorf("a rate of %v is not ignored: %.2f", x, invalid)
		}
	}
}
