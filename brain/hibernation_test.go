package brain

import (
	"math"
	"runtime"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

// hibernatingRig is a rig whose destinations hibernate after a minute.
func hibernatingRig(t *testing.T) *rig {
	t.Helper()
	s := settings()
	s.HibernateAfter = time.Minute
	return newRig(t, s)
}

// hibernate advances the time by d without any message, until destination 0 hibernates.
func (r *rig) hibernate(d time.Duration) {
	r.Helper()
	end := r.now + d
	for r.now < end {
		r.now = min(end, r.now+20*time.Second)
		r.step(TimerFired{})
	}
	if r.b.hibernated[0] == nil || r.b.destinations[0] != nil {
		r.Fatal("destination 0 does not hibernate")
	}
}

// resolveAll ends the given calls and all calls that are sent meanwhile with outcome o, until no call is in flight.
func (r *rig) resolveAll(sends []Send, o Outcome) {
	for len(sends) > 0 {
		s := sends[0]
		sends = append(sends[1:], r.step(r.result(s, o))...)
	}
}

// After a minute of hibernation the learned time-out and window are nearly unchanged; after hours they are nearly those of
// an unknown destination.
func TestWakeUp_LearnedValuesAge(t *testing.T) {
	for _, c := range []struct {
		hibernation            time.Duration
		minTimeout, maxTimeout time.Duration
		window                 float64
	}{{2 * time.Minute, 0, time.Second, 5}, {12 * time.Hour, 3900 * ms, restart.FirstTimeout, 1}} {
		r := hibernatingRig(t)
		for range 40 {
			var sends []Send
			for range 8 {
				sends = append(sends, r.step(r.message(0, 0, 0))...)
			}
			r.now += 100 * ms
			for len(sends) > 0 { // including the calls that each result admits
				s := sends[0]
				sends = append(sends[1:], r.step(r.result(s, Served))...)
			}
		}
		before := r.b.destinations[0].sharedRoute.Timeout()
		if before > time.Second {
			t.Fatalf("the learned time-out is %v, want at most 1 s", before)
		}
		r.hibernate(c.hibernation)
		d := r.b.destination(0)
		if timeout := d.sharedRoute.Timeout(); timeout < c.minTimeout || timeout > c.maxTimeout {
			t.Errorf("after %v the time-out is %v, it was %v before", c.hibernation, timeout, before)
		}
		if w := d.sharedRoute.window.Size; w < c.window || w > 8 || c.window == 1 && w > 1.1 {
			t.Errorf("after %v the window is %v", c.hibernation, w)
		}
	}
}

// A destination that hibernates and wakes up during its retry-after gets no call before the retry-after is over.
func TestHibernate_WithinRetryAfter(t *testing.T) {
	r := hibernatingRig(t)
	r.b.settings.OverloadWindow = time.Hour // so that the retry-after does not begin an outage
	s := r.step(r.message(0, 0, 0))
	e := r.result(s[0], Rejected)
	e.RetryAfter, e.Final = 10*time.Minute, true
	r.step(e)
	waitEnds := r.now + 10*time.Minute
	r.hibernate(4 * time.Minute)
	for r.now < waitEnds {
		if sends := r.step(r.message(0, 0, 0)); len(sends) > 0 {
			t.Fatalf("sent %v before the retry-after was over", waitEnds-r.now)
		}
		r.now += 7 * time.Second
	}
	r.now = waitEnds + 10*ms
	if sends := r.step(r.message(0, 0, 0)); len(sends) == 0 {
		t.Error("nothing is sent after the retry-after")
	}
}

// A destination hibernates during an outage and is woken up by a burst of messages. One call is sent at a time, and after
// the first served call no more calls than a destination can take during its slow start.
func TestHibernate_WithinOutage(t *testing.T) {
	r := hibernatingRig(t)
	r.serve(60, 0, 50*ms)
	r.beginOutage()
	for _, h := range r.b.messages { // end all pending messages
		r.step(Withdrawn{h.ID})
	}
	r.hibernate(10 * time.Minute)
	if st := r.b.hibernated[0].state; st != outage {
		t.Fatalf("hibernated in state %d, want an outage", st)
	}
	var burst []Event
	for range 60 {
		burst = append(burst, r.message(0, 0, 0))
	}
	sends := r.step(burst...)
	for i := 0; len(sends) == 0; i++ {
		if i > 200 {
			t.Fatal("no probe is sent")
		}
		r.now += 50 * ms
		sends = r.step(TimerFired{})
	}
	if len(sends) != 1 {
		t.Fatalf("%d calls to a destination in an outage, want 1", len(sends))
	}
	returnedAt := r.now
	before := r.b.destinations[0].sharedRoute.rateBeforeOutage
	count := 0
	pending := sends
	for r.now < returnedAt+2*time.Second {
		r.now += 50 * ms
		var next []Send
		for _, s := range pending {
			next = append(next, r.step(r.result(s, Served))...)
		}
		next = append(next, r.step(TimerFired{})...)
		count += len(next)
		pending = next
	}
	if r.b.destinations[0].sharedRoute.state != warmingUp {
		t.Errorf("state %d, want a slow start", r.b.destinations[0].sharedRoute.state)
	}
	if limit := before*2*(0.2+0.8*0.2)*2 + 4; float64(count) > limit {
		t.Errorf("%d calls in the first 2 s, want at most %.1f", count, limit)
	}
}

// A rate limit survives hibernation. Within hours its send rate approaches the initial one, and finally the limit is
// unknown.
func TestWakeUp_RateLimitAges(t *testing.T) {
	for _, c := range []struct {
		hibernation time.Duration
		limit       float64
	}{{2 * time.Minute, 30}, {2 * time.Hour, 30}, {10 * time.Hour, 0}} {
		r := hibernatingRig(t)
		for range 30 {
			r.now += 200 * ms // the send rate allows one call in that time
			s := r.step(r.message(0, 0, 0))
			r.now += 50 * ms
			e := r.result(s[0], Served)
			e.LimitReported, e.Remaining, e.Limit = true, 0.9, 30
			r.step(e)
		}
		sendRate := r.b.destinations[0].sharedRoute.sendRate
		if sendRate < 20 {
			t.Fatalf("the send rate has grown to %v only", sendRate)
		}
		r.hibernate(c.hibernation)
		d := r.b.destination(0)
		initial := r.b.initialSendRate(30)
		if d.sharedRoute.limit != c.limit {
			t.Errorf("after %v the limit is %v", c.hibernation, d.sharedRoute.limit)
		}
		if restored := d.sharedRoute.sendRate; c.limit > 0 && (restored < initial || restored > sendRate) || c.hibernation == 2*time.Hour && math.Abs(restored-(initial+(sendRate-initial)/4)) > 0.3 {
			t.Errorf("after %v the send rate is %v, it was %v before and is %v initially", c.hibernation, restored, sendRate, initial)
		}
	}
}

// Endpoints that are replaced during hibernation get no call, and their replacements do. An entry of the list that has not
// changed does not wake up its destination.
func TestHibernated_EndpointsReplaced(t *testing.T) {
	r := hibernatingRig(t)
	r.serve(5, 0, 50*ms)
	r.hibernate(3 * time.Minute)
	r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true}}})
	if r.b.hibernated[0] == nil {
		t.Error("an unchanged entry of the list wakes up its destination")
	}
	r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 9, Ready: true}, {ID: 1}}})
	r.hibernate(3 * time.Minute)
	if s := r.step(r.message(0, 0, 0)); len(s) != 1 || s[0].Endpoint != 9 {
		t.Errorf("sends %+v, want one to endpoint 9", s)
	}
	r.step(r.result(r.sends[len(r.sends)-1], Served))
	r.hibernate(3 * time.Minute)
	// A complete list without endpoint 9 removes it.
	r.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 2, Destination: 1, Ready: true}}})
	if s := r.step(r.message(0, 0, 0)); len(s) != 0 {
		t.Errorf("sent to a removed endpoint: %+v", s)
	}
}

// An endpoint is listed under another destination while its own hibernates: messages of each destination are sent to its
// own endpoints only.
func TestHibernated_EndpointMovesToAnotherDestination(t *testing.T) {
	r := hibernatingRig(t)
	r.serve(5, 0, 50*ms)
	r.serve(5, 1, 50*ms)
	r.hibernate(3 * time.Minute)
	r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Destination: 1, Ready: true}, {ID: 7, Destination: 0, Ready: true}}})
	for range 8 {
		for _, dest := range []DestinationID{0, 1} {
			s := r.step(r.message(0, dest, 0))
			for _, x := range s {
				if (x.Endpoint == 7) != (dest == 0) {
					t.Fatalf("a message for destination %d is sent to endpoint %d", dest, x.Endpoint)
				}
			}
			r.now += 50 * ms
			r.resolveAll(s, Served)
		}
	}
}

// 500 destinations wake up within one second, with few slots: all messages are served, and no destination waits for long.
func TestWakeUp_ManyAtOnce(t *testing.T) {
	s := settings()
	s.HibernateAfter, s.Slots, s.MaxPending, s.Kinds = time.Minute, 40, 5000, []Kind{{MaxBatch: 1}}
	r := newRig(t, s)
	r.b = New(s, 7)
	var list []Endpoint
	for i := range 5000 {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Destination: DestinationID(i), Ready: true})
	}
	r.step(EndpointUpdate{Complete: true, Endpoints: list})
	for d := range DestinationID(500) {
		r.serve(3, d, 10*ms)
	}
	for range 40 {
		r.now += 10 * time.Second
		for range 4 {
			r.step(TimerFired{})
		}
	}
	if n := len(r.b.hibernated); n != 5000 {
		t.Fatalf("%d of 5000 destinations hibernate", n)
	}
	startedAt := r.now
	firstServed, served := map[DestinationID]time.Duration{}, 0
	type inFlightCall struct {
		send   Send
		endsAt time.Duration
	}
	var inFlight []inFlightCall
	destinationOf := map[MessageID]DestinationID{}
	track := func(sends []Send) {
		for _, s := range sends {
			inFlight = append(inFlight, inFlightCall{s, r.now + 20*ms})
		}
	}
	for tick := 0; served < 1500 && tick < 2000; tick++ {
		var events []Event
		if tick < 100 { // five destinations wake up in each 10 ms, with three messages each
			for k := range 5 {
				for range 3 {
					m := r.message(0, DestinationID(tick*5+k), 0)
					destinationOf[m.ID] = m.Destination
					events = append(events, m)
				}
			}
		}
		var remaining []inFlightCall
		for _, f := range inFlight {
			if f.endsAt > r.now {
				remaining = append(remaining, f)
				continue
			}
			events = append(events, r.result(f.send, Served))
			served++
			if d := destinationOf[f.send.Message]; firstServed[d] == 0 {
				firstServed[d] = r.now - startedAt
			}
		}
		inFlight = remaining
		track(r.step(events...))
		r.now += 10 * ms
	}
	if served != 1500 {
		t.Fatalf("%d of 1500 served, %d failed, %d rejected", served, len(r.failed), len(r.rejected))
	}
	for d, at := range firstServed {
		if wokenAt := time.Duration(int(d)/5) * 10 * ms; at-wokenAt > 3*time.Second {
			t.Errorf("destination %d is first served %v after it woke up", d, at-wokenAt)
		}
	}
}

// A sender that restarts needs the rates of hibernated destinations as well: UsualRates returns each rate once.
func TestUsualRates_OfHibernated(t *testing.T) {
	r := hibernatingRig(t)
	r.serve(60, 0, 50*ms)
	r.serve(3, 1, 50*ms)
	awake := map[DestinationID]float64{}
	for _, e := range r.b.UsualRates() {
		awake[e.Destination] = e.Rate
	}
	r.hibernate(2 * time.Minute)
	hibernated := map[DestinationID]float64{}
	for _, e := range r.b.UsualRates() {
		if _, twice := hibernated[e.Destination]; twice {
			t.Errorf("the rate of destination %d is returned twice", e.Destination)
		}
		hibernated[e.Destination] = e.Rate
	}
	if len(hibernated) != len(awake) || hibernated[0] <= hibernated[1] || hibernated[0] > awake[0] {
		t.Errorf("awake %v, hibernated %v", awake, hibernated)
	}
}

// The number of routes, on which usual rates are based, is the same in hibernation and awake.
func TestHibernate_KeepsRouteCount(t *testing.T) {
	r := hibernatingRig(t)
	n := r.b.routeCount
	for range 3 {
		r.serve(2, 0, 50*ms)
		r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 5, Ready: true}}})
		r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 5}}}) // it has left the list and still refers to the route
		r.hibernate(5 * time.Minute)
		r.step(EndpointUpdate{})
		if r.b.routeCount != n {
			t.Fatalf("%d routes, want %d", r.b.routeCount, n)
		}
	}
	r.step(EndpointUpdate{Complete: true})
	r.now += 10 * time.Minute
	r.step(EndpointUpdate{})
	if r.b.routeCount != 0 || len(r.b.destinationOrder) != 0 || len(r.b.hibernated) != 0 || len(r.b.hibernatedEndpoints) != 0 {
		t.Errorf("%d routes, %d destinations and %d records are left after their removal", r.b.routeCount, len(r.b.destinationOrder), len(r.b.hibernated))
	}
}

// BenchmarkHibernated measures how many bytes a destination with one endpoint takes in the Brain, including all maps,
// awake and hibernated.
func BenchmarkHibernated(b *testing.B) {
	const n = 20_000
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	s := settings()
	s.HibernateAfter, s.Kinds = time.Minute, []Kind{{MaxBatch: 1}}
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Destination: DestinationID(i), Ready: true})
	}
	for b.Loop() {
		before := heap()
		br := New(s, 1)
		br.Step(time.Hour, []Event{EndpointUpdate{Complete: true, Endpoints: list}})
		awake := heap()
		for i := range n {
			br.Step(time.Hour+2*time.Minute+time.Duration(i)*ms, []Event{TimerFired{}})
		}
		if len(br.hibernated) != n {
			b.Fatalf("%d destinations hibernate", len(br.hibernated))
		}
		hibernated := heap()
		b.ReportMetric(float64(awake-before)/n, "B/awake")
		b.ReportMetric(float64(hibernated-before)/n, "B/hibernated")
		runtime.KeepAlive(br)
	}
}

// A destination that has woken up is limited by its own rate grant, not by that of destination 0.
func TestWakeUp_GoesByItsOwnRateGrant(t *testing.T) {
	for _, c := range []struct {
		name   string
		grants []Event
		sends  int
	}{
		{"its own grant is 0", []Event{RateGrant{Destination: 1, Limited: true}}, 0},
		{"the grant of destination 0 is 0", []Event{RateGrant{Destination: 0, Limited: true}}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := hibernatingRig(t)
			r.serve(3, 1, 20*ms)
			r.hibernate(2 * time.Minute)
			if r.b.hibernated[1] == nil {
				t.Fatal("destination 1 does not hibernate")
			}
			r.step(c.grants...)
			sends := 0
			for range 3 {
				for _, s := range r.step(r.message(0, 1, 0)) {
					sends++
					r.now += 20 * ms
					r.step(r.result(s, Served))
				}
				r.now += time.Second
			}
			if sends != c.sends {
				t.Errorf("%d sends, want %d", sends, c.sends)
			}
		})
	}
}
