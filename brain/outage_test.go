package brain

import (
	"testing"
	"time"
)

// A destination that failed half of its calls was treated as in an outage at once, and lost most of its throughput.
func TestOutage_HalfFailingDestinationStaysHealthy(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	outageSteps := 0
	for i := range 60 {
		sends := r.step(r.message(0, 0, 0))
		r.now += 300 * ms
		var ends []Event
		for _, x := range sends {
			o := Served
			if i%2 == 0 {
				o = Errored
			}
			ends = append(ends, r.result(x, o))
		}
		r.step(ends...)
		if r.b.destinations[0].sharedRoute.state == outage {
			outageSteps++
		}
	}
	if outageSteps > 0 {
		t.Fatalf("in an outage in %d of 60 steps", outageSteps)
	}
}

// A sender among many makes few calls: two failures are an outage to it, eight with few senders.
func TestOutageThreshold_BySenders(t *testing.T) {
	for senders, want := range map[int]int{3: maxOutageThreshold, 50: minOutageThreshold, 300: minOutageThreshold} {
		r := fleetRig(t, senders)
		r.serve(10, 3, 30*ms)
		r.now += time.Minute
		if n := r.b.outageThreshold(r.b.destinations[0].sharedRoute); n != want {
			t.Errorf("%d senders: %d failures are an outage, want %d", senders, n, want)
		}
	}
}

// Senders whose outage begins at the same time must not probe at the same time.
func TestOutage_SendersSpreadTheirProbes(t *testing.T) {
	s, list := fleetSettings(100)
	firstProbes := map[time.Duration]int{}
	for seed := range uint64(20) {
		r := newRig(t, s)
		r.b = New(s, seed)
		r.step(list, r.message(0, 0, 0))
		r.b.beginOutage(r.b.destinations[0].sharedRoute)
		at := time.Duration(0)
		for range 2000 {
			r.now += 10 * ms
			if sends := r.step(r.message(0, 0, 0)); len(sends) > 0 {
				at = r.now
				break
			}
		}
		firstProbes[at/(100*ms)]++
	}
	for at, n := range firstProbes {
		if n > 10 {
			t.Fatalf("%d of 20 senders probe in the same tenth of a second, %v", n, at)
		}
	}
}
