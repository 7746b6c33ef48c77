package brain

import (
	"math"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

func TestWindow_BoundsCallsInFlight(t *testing.T) {
	r := newRig(t, settings())
	burst := func(n int) (out []Send) {
		var events []Event
		for range n {
			events = append(events, r.message(0, 0, 0))
		}
		return r.step(events...)
	}
	s := burst(20)
	if len(s) != 1 {
		t.Fatalf("the window starts at %d", len(s))
	}
	for i := 0; i < 30 && len(r.sends) < 20; i++ {
		r.now += 10 * ms
		var ends []Event
		for _, x := range s {
			ends = append(ends, r.result(x, Served))
		}
		s = r.step(ends...)
		if n := r.b.destinations[0].sharedRoute.callsInFlight; float64(n) >= restart.SlotShare*10 {
			t.Fatalf("%d of 10 slots at one destination", n)
		}
	}
	route := r.b.destinations[0].sharedRoute
	before := route.window.Size
	route.window.Halve(r.now, r.now)
	route.window.Halve(r.now-time.Second, r.now) // was in flight at the first halving
	if route.window.Size != math.Max(1, before/2) {
		t.Fatalf("window %v after one halving of %v", route.window.Size, before)
	}
	route.window.Size, route.failureRate = 9, 0.9
	if c := r.b.maxInFlight(route); float64(c) > restart.SlotShare*10/2 {
		t.Fatalf("a failing destination may use %d slots", c)
	}
}

// A window that had grown and was then hardly used let an unresponsive destination take most slots at once.
func TestWindow_ShrinksWhileUnused(t *testing.T) {
	r := newRig(t, settings())
	r.serve(3, 0, 20*ms)
	route := r.b.destinations[0].sharedRoute
	route.window.Size = 7
	r.serve(40, 0, 20*ms)
	if route.window.Size > 3 {
		t.Fatalf("window %v for one call at a time", route.window.Size)
	}
}
