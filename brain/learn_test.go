package brain

import (
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// A learned outage that may still last admits one call, and no other until that call is answered; then the destination
// warms up, as at a sender that observed the outage. An observation that is older than outages last has no effect.
func TestObservation_OutageByAge(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		outage bool
	}{{0, true}, {10 * time.Second, true}, {29 * time.Second, true}, {40 * time.Second, false}, {time.Hour, false}} {
		r := newRig(t, settings())
		r.step(Observation{Health: Unhealthy, HealthFor: c.age + 5*time.Second, HealthAge: c.age, Rate: 4, Window: 9, Samples: 50, MeanLatency: 50 * ms, MedianLatency: 60 * ms, MinLatency: 20 * ms, Timeout: 120 * ms})
		d := r.b.destination(0).sharedRoute
		if (d.state == outage) != c.outage {
			t.Fatalf("%v old: state %d", c.age, d.state)
		}
		if !c.outage {
			continue
		}
		sends := r.step(r.message(0, 0, 0), r.message(0, 0, 0), r.message(0, 0, 0))
		if len(sends) != 1 {
			t.Fatalf("%v old: %d calls at once", c.age, len(sends))
		}
		r.now += 30 * ms // the destination has recovered: one call shows it
		r.step(r.result(sends[0], Served))
		if d.state != warmingUp || d.rateBeforeOutage < 4 {
			t.Errorf("%v old: state %d after it answered, %v calls a second before", c.age, d.state, d.rateBeforeOutage)
		}
	}
}

// Newer evidence of own calls takes precedence, for health and for an outage.
func TestObservation_OwnEvidenceWins(t *testing.T) {
	r := newRig(t, settings())
	r.growWindow(3)
	r.now += 2 * time.Second
	r.step(Observation{Health: Unhealthy, HealthFor: 10 * time.Second, HealthAge: 5 * time.Second})
	if d := r.b.destination(0).sharedRoute; d.state != healthy {
		t.Errorf("an observation of 5 s ago overrides a call served 2 s ago: state %d", d.state)
	}
	r.step(Observation{Health: Unhealthy, HealthFor: 10 * time.Second, HealthAge: time.Second})
	if d := r.b.destination(0).sharedRoute; d.state != outage {
		t.Errorf("an outage observed since the last served call is ignored: state %d", d.state)
	}

	r = newRig(t, settings())
	r.beginOutage()
	r.step(Observation{Health: Healthy, HealthAge: 0, Window: 20})
	if d := r.b.destination(0).sharedRoute; d.state != outage || d.window.Size > 1 {
		t.Errorf("a learned observation ends an own outage: state %d, window %v", d.state, d.window.Size)
	}
	if n := r.burst(5); n > 1 {
		t.Errorf("%d calls at once after another sender has observed it as healthy", n)
	}
}

// A retry-after that another sender or an earlier process received holds until its end, and a call in flight is revoked.
func TestObservation_RetryAfter(t *testing.T) {
	r := newRig(t, settings())
	sends := r.step(r.message(0, 0, 0))
	if len(sends) != 1 {
		t.Fatal("no call is sent")
	}
	if got := r.revocations(Observation{RetryAfter: 2 * time.Second}, r.message(0, 0, 0)); len(got) != 1 || got[0].Reason != RetryAfterReceived {
		t.Errorf("revoked: %v", got)
	}
	r.step(r.result(sends[0], Served))
	for until := r.now + 2*time.Second; r.now < until; r.now += 50 * ms {
		if n := len(r.step(TimerFired{})); n > 0 {
			t.Fatalf("a call is sent with %v of the retry-after left", until-r.now)
		}
	}
	if n := len(r.step(TimerFired{})); n != 1 {
		t.Errorf("%d calls after the retry-after", n)
	}
}

// A learned slow start continues from the time at which it began.
func TestObservation_WarmingUp(t *testing.T) {
	for _, ago := range []time.Duration{time.Second, 9 * time.Second, 11 * time.Second} {
		r := newRig(t, settings())
		r.step(Observation{Health: WarmingUp, HealthFor: ago, HealthAge: 100 * ms, Rate: 10, Window: 8})
		d := r.b.destination(0).sharedRoute
		if warm := ago >= r.b.settings.SlowStartDuration; (d.state == healthy) != warm || !warm && d.stateSince != r.now-ago {
			t.Errorf("%v ago: state %d since %v", ago, d.state, r.now-d.stateSince)
		}
		if n := r.burst(6); d.state == warmingUp && n > 1 {
			t.Errorf("%v ago: %d calls at once", ago, n)
		}
	}
}

// The latencies and the window of a healthy destination are learned. The window of another sender is learned only in part,
// counts for less with age, and never replaces one that this process observed.
func TestObservation_LatencyAndWindow(t *testing.T) {
	window := func(o Observation) float64 {
		r := newRig(t, settings())
		o.Health, o.Samples, o.MeanLatency, o.MedianLatency, o.MinLatency, o.Timeout = Healthy, 100, 50*ms, 60*ms, 20*ms, 120*ms
		r.step(o)
		d := r.b.destination(0).sharedRoute
		if o.LatencyAge == 0 && (d.Samples == 0 || d.CachedOptimum != 120*ms || d.unresponsiveAfter() >= restart.FirstTimeout) {
			t.Errorf("%+v: %d samples, time-out %v", o, d.Samples, d.CachedOptimum)
		}
		if o.LatencyAge > 10*time.Hour && d.Samples > 0 {
			t.Errorf("%+v: %d samples", o, d.Samples)
		}
		return d.window.Size
	}
	local, remote := window(Observation{Local: true, Window: 5}), window(Observation{Window: 5})
	stale, none := window(Observation{Window: 5, WindowAge: 30 * time.Minute, LatencyAge: 20 * time.Hour}), window(Observation{})
	if local != 5 || !(remote < local && remote > none) || !(stale < remote) || none != 1 {
		t.Errorf("local %v, remote %v, stale %v, none %v", local, remote, stale, none)
	}
	// An observation of a destination that has served this process changes nothing.
	r := newRig(t, settings())
	r.growWindow(3)
	d := r.b.destination(0).sharedRoute
	before, seen := d.window.Size, d.Samples
	if r.step(Observation{Health: Healthy, Window: 9, Samples: 3, MeanLatency: ms, MedianLatency: ms, Timeout: ms}); d.window.Size != before || d.Samples != seen {
		t.Errorf("window %v, %d samples; before %v, %d", d.window.Size, d.Samples, before, seen)
	}
}

// Observations of a destination that no list names are dropped, and so are impossible values.
func TestObservation_UnknownSubjectOrValues(t *testing.T) {
	r := newRig(t, settings())
	r.step(Observation{Destination: 99, Health: Unhealthy}, Observation{Endpoint: 99, RetryAfter: time.Hour}, Observation{Endpoint: 1, Destination: 5, RetryAfter: time.Hour})
	if n := r.burst(1); n != 1 || r.b.destinations[99] != nil {
		t.Errorf("%d calls after observations of destinations that no list names", n)
	}
	r.step(Observation{Destination: 1, Window: 1e9, Samples: 1, MeanLatency: -1, MedianLatency: -5, Limit: -3, Health: 77})
	if n := len(r.step(r.message(0, 1, 0))); n != 1 {
		t.Errorf("%d calls after an observation with impossible values", n)
	}
}

// While other senders probe a destination as well, each sends a part of the probes. Once another sender has observed a
// served call, a probe is sent at once.
func TestProbeShare_OtherProbers(t *testing.T) {
	probes := func(others int) int {
		r := newRig(t, settings())
		r.beginOutage()
		n := 0
		for i := range 300 {
			r.now += 50 * ms
			var events []Event
			if i%100 == 0 && others > 0 {
				events = append(events, Observation{Health: Unhealthy, HealthFor: time.Minute, OtherProbers: others})
			}
			for _, s := range r.step(append(events, r.message(2, 0, 0))...) {
				n++
				r.step(r.result(s, ConnectFailed))
			}
		}
		return n
	}
	alone, shared, many := probes(0), probes(3), probes(100)
	if shared*2 > alone || shared < alone/6 || many < shared-1 {
		t.Errorf("%d probes alone, %d with three other senders, %d with a hundred", alone, shared, many)
	}
	for _, h := range []Health{Healthy, WarmingUp} {
		r := newRig(t, settings())
		r.beginOutage()
		r.step(Observation{Health: Unhealthy, HealthFor: time.Minute, OtherProbers: 3})
		r.now += 2 * time.Second
		r.burst(1)
		r.now += 5 * time.Second // the earlier probe counts as unresponsive by now
		for _, d := range []*route{r.b.destination(0).sharedRoute} {
			d.tokens, d.refilledAt = 0, r.now
		}
		sends := r.step(r.message(0, 0, 0))
		if len(sends) != 0 {
			t.Fatal("a probe is sent too early")
		}
		if sends = r.step(Observation{Health: h}); len(sends) != 1 {
			t.Errorf("%d calls after another sender has observed an answer", len(sends))
		}
	}
}

// A learned minimum latency makes waiting messages expire earlier: they fail when they can no longer be served, not up to
// that latency later.
func TestObservation_ReschedulesExpiries(t *testing.T) {
	r := newRig(t, settings())
	r.step(Observation{RetryAfter: time.Minute})
	// Each step examines only the message that expires next, which is that of destination 1.
	r.step(Observation{Destination: 1, RetryAfter: time.Minute})
	next, waiting := r.message(0, 1, 0), r.message(0, 0, 0)
	next.Deadline -= 500 * ms
	if sends := r.step(next, waiting); len(sends) != 0 {
		t.Fatalf("sent before the retry-after is over: %+v", sends)
	}
	r.step(Observation{Samples: 50, MeanLatency: 3 * time.Second, MedianLatency: 3 * time.Second, MinLatency: 2 * time.Second, Timeout: 4 * time.Second})
	if err := r.b.CheckIndexes(); err != nil {
		t.Fatal(err)
	}
	minLatency := r.b.destinations[0].sharedRoute.MinLatency
	if minLatency < time.Second {
		t.Fatalf("the minimum latency was not learned: %v", minLatency)
	}
	r.now = waiting.Deadline - minLatency
	r.step(TimerFired{})
	if !r.failed[waiting.ID] {
		t.Error("a message that can no longer be served in time still waits")
	}
}
