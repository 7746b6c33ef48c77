package brain

import (
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// With few samples the optimum is below the latency of the next ordinary call: with little traffic a fifth of the calls
// timed out.
func TestTimeout_FewSamplesKeepFirstTimeout(t *testing.T) {
	r := newRig(t, settings())
	r.serve(3, 0, 50*ms)
	sends := r.step(r.message(0, 0, 0))
	if len(sends) != 1 || sends[0].Timeout < restart.FirstTimeout {
		t.Fatalf("sends after 3 quick calls: %+v", sends)
	}
}

func TestSampleLatency_OnlyServedFirstAttempts(t *testing.T) {
	r := newRig(t, settings())
	s := r.step(r.message(0, 0, 0))
	r.now += 100 * ms
	r.step(r.result(s[0], Rejected))
	r.now += time.Second
	s = r.step(TimerFired{})
	r.now += 100 * ms
	r.step(r.result(s[0], Served))
	if n := r.b.destinations[0].sharedRoute.Samples; n != 0 {
		t.Fatalf("%d samples from a repeat", n)
	}
}

// Calls to hung destinations held all slots until the deadlines of their messages, which may not be repeated.
func TestCancelOverdue_UnresponsiveDestinations(t *testing.T) {
	set := settings()
	set.Slots = 4
	r := newRig(t, set)
	r.serve(30, 0, 20*ms)
	r.serve(30, 1, 20*ms)
	r.serve(30, 2, 20*ms)
	var events []Event
	for range 4 {
		events = append(events, r.message(2, 0, 0), r.message(2, 1, 0))
	}
	for i := 0; i < 100 && r.b.callsInFlight < 4; i++ {
		r.step(events...)
		events = nil
		r.now += 50 * ms
	}
	if r.b.callsInFlight != 4 {
		t.Fatalf("%d slots in use", r.b.callsInFlight)
	}
	m := r.message(0, 2, 0)
	r.step(m)
	r.now += 2 * restart.FirstTimeout
	r.step(TimerFired{})
	if r.cancels != 1 {
		t.Fatalf("%d calls cancelled for one message", r.cancels)
	}
}

// Single lost calls, at destinations that serve their other calls, held all slots until their deadlines.
func TestCancelOverdue_LostCalls(t *testing.T) {
	set := settings()
	set.Slots = 4
	r := newRig(t, set)
	r.serve(30, 0, 20*ms)
	r.serve(30, 1, 20*ms)
	lost := map[MessageID]bool{}
	for i := 0; len(lost) < 4 && i < 50; i++ { // each destination loses some calls and serves others in between
		for _, x := range r.step(r.message(2, DestinationID(i%2), 0)) {
			if r.now += 20 * ms; i%5 == 0 || i%5 == 1 {
				lost[x.Message] = true
			} else {
				r.step(r.result(x, Served))
			}
		}
	}
	if r.b.callsInFlight != 4 {
		t.Fatalf("%d slots in use", r.b.callsInFlight)
	}
	m := r.message(0, 2, 0)
	r.step(m)
	for range 8 {
		r.now += 500 * ms
		r.step(TimerFired{})
	}
	if r.cancels != 1 {
		t.Fatalf("%d calls cancelled for one message", r.cancels)
	}
}

// With few slots, the slots of cancelled calls went to the same hung destinations again and again.
func TestCancelOverdue_SlotsGoToRespondingDestinations(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	r.serve(30, 1, 20*ms)
	a, b := r.message(0, 0, 0), r.message(0, 1, 0)
	ma := &message{Message: a, class: &r.b.settings.Classes[0]}
	mb := &message{Message: b, class: &r.b.settings.Classes[0]}
	ra, rb := r.b.destinations[0].sharedRoute, r.b.destinations[1].sharedRoute
	ra.failureRate, rb.failureRate, ra.recentLatency, rb.recentLatency = 0.1, 0.1, 0.02, 0.02
	ra.consecutiveErrors, ra.lastSentAt = 2, r.now
	if r.b.priority(ma, ra) >= r.b.priority(mb, rb) {
		t.Fatal("a destination that lost its last calls has the higher priority")
	}
	ra.lastSentAt = r.now - 20*time.Second
	if r.b.priority(ma, ra) < 0.9*r.b.priority(mb, rb) {
		t.Fatal("a destination that lost calls long ago has a much lower priority")
	}
}
