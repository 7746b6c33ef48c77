package brain

import (
	"slices"
	"testing"
	"time"
)

// Rule 3: no call is sent to an endpoint from the batch on in which it is listed as draining.
func TestEndpointUpdate_DrainingEndpointGetsNoCall(t *testing.T) {
	r := newRig(t, settings())
	if s := r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 1}}}, r.message(0, 0, 0)); len(s) != 0 {
		t.Fatalf("sent to a draining endpoint: %+v", s)
	}
	if s := r.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 1, Ready: true}}}); len(s) != 1 {
		t.Fatalf("not sent to the endpoint that is ready again: %+v", s)
	}
	if s := r.step(r.message(0, 1, 0)); len(s) != 0 {
		t.Fatalf("sent to an endpoint that is not in the complete list: %+v", s)
	}
}

func TestWatchEndpoints_RequestedAndRetried(t *testing.T) {
	set := settings()
	set.RequestsEndpoints = true
	b := New(set, 1)
	requests := func(now time.Duration, e ...Event) (n int) {
		for _, a := range b.Step(now, e) {
			if _, ok := a.(WatchEndpoints); ok {
				n++
			}
		}
		return n
	}
	if requests(0) != 1 || requests(time.Second) != 0 {
		t.Fatal("the list is not requested exactly once at the start")
	}
	if requests(2*time.Second, EndpointUpdate{Failed: true}) != 0 || requests(2*time.Second+minListBackoff/2-ms) != 0 || requests(2*time.Second+2*minListBackoff) != 1 {
		t.Fatal("a failed request is not retried once after its back-off")
	}
	// Each consecutive failure doubles the back-off, up to a bound with which a change is received within the 6 s of the
	// protocol. If discovery is overloaded, the back-off is one with which all senders together leave it enough capacity.
	now, backoff := 10*time.Second, minListBackoff
	for n := range 12 {
		update := EndpointUpdate{Failed: true, Overloaded: n >= 6}
		if backoff = min(2*backoff, maxListBackoff); update.Overloaded {
			backoff = overloadedListBackoff
		}
		if requests(now, update) != 0 || requests(now+backoff/2-ms) != 0 || requests(now+backoff/2+backoff) != 1 {
			t.Fatalf("the list is not requested once after a back-off of about %v", backoff)
		}
		now += 2 * backoff
	}
	if requests(now, EndpointUpdate{Failed: true}) != 0 || requests(now+overloadedListBackoff/2-ms) != 0 || requests(now+2*overloadedListBackoff) != 1 {
		t.Fatal("the back-off of an overload does not last until an answer, also after a request that is rejected at once")
	}
	if now += 20 * time.Second; requests(now, EndpointUpdate{}) != 0 || requests(now+1, EndpointUpdate{Failed: true}) != 0 || requests(now+1+2*minListBackoff) != 1 {
		t.Fatal("after an answer, back-offs do not start at the minimum")
	}
}

// Endpoints under ever new ids, and destinations that are not listed and have no messages, must be deleted. A call in
// flight ends normally when its endpoint is removed, and a retry-after outlasts the endpoint.
func TestForgetRemoved_EndpointsAndDestinations(t *testing.T) {
	r := newRig(t, settings())
	list := func(ids ...EndpointID) EndpointUpdate {
		n := EndpointUpdate{Complete: true}
		for _, id := range ids { // even ids share a route, odd ids have routes of their own
			n.Endpoints = append(n.Endpoints, Endpoint{ID: id, Destination: 10 + DestinationID(id%2), Kind: int(id % 2), Ready: true})
		}
		return n
	}
	for id := EndpointID(100); id < 2100; id += 2 {
		sends := append(r.step(list(id, id+1), r.message(0, 10, 0)), r.step(r.message(0, 11, 0))...)
		r.now += 300 * ms
		r.step(list(id+2, id+3)) // endpoints are removed while their calls are in flight
		for _, s := range sends {
			r.step(r.result(s, Served))
		}
		r.now += 5 * time.Second
	}
	r.step(list(5000))
	if e, n, d, o := len(r.b.endpoints), r.b.routeCount, len(r.b.destinations), len(r.b.destinationOrder); e > 100 || n > 100 || d > 5 || o != d {
		t.Errorf("%d endpoints, %d routes, %d destinations, %d in order", e, n, d, o)
	}
	if len(r.failed)+len(r.rejected)+len(r.b.messages) > 0 {
		t.Errorf("failed %v, rejected %v, %d messages left", r.failed, r.rejected, len(r.b.messages))
	}
	r.now += 2 * removedRetention
	r.step(list())
	if len(r.b.endpoints)+r.b.routeCount+len(r.b.destinations)+len(r.b.destinationOrder) > 0 {
		t.Errorf("an empty list leaves %d endpoints, %d routes, %d destinations", len(r.b.endpoints), r.b.routeCount, len(r.b.destinations))
	}

	s := r.step(list(7001), r.message(0, 11, 0))
	e := r.result(s[0], Rejected)
	e.RetryAfter = 2 * removedRetention
	r.step(e)
	r.step(list())
	r.now += removedRetention + time.Second
	if got := r.step(list(), list(7001), r.message(0, 11, 0)); len(got) > 0 {
		t.Error("a retry-after is forgotten with the endpoint")
	}
}

// discovery simulates the discovery of a fleet in virtual time. It processes requests one after another, each in the same
// time. A request that has waited for longer than the time-out has failed and is processed all the same; requests beyond
// maxBacklog of work are rejected at once.
type discovery struct {
	perRequest, timeout, maxBacklog time.Duration
	freeAt                          time.Duration
}

// request returns when a request that arrives now ends, and whether it is answered.
func (o *discovery) request(now time.Duration) (at time.Duration, answered bool) {
	begin := max(now, o.freeAt)
	if begin-now > o.maxBacklog {
		return now, false
	}
	o.freeAt = begin + o.perRequest
	if o.freeAt-now > o.timeout {
		return now + o.timeout, false
	}
	return o.freeAt, true
}

// runDiscovery simulates a fleet whose senders start at the same time. It returns when each sender received the list, and
// how many requests discovery processed without answering them.
func runDiscovery(senders int, o *discovery, until time.Duration) (receivedAt []time.Duration, wasted int) {
	const start = time.Hour
	s, list := fleetSettings(senders)
	s.RequestsEndpoints = true
	brains := make([]*Brain, senders)
	type response struct {
		at               time.Duration
		answered, wasted bool
	}
	responses := make([]*response, senders)
	for i := range brains {
		brains[i] = New(s, uint64(i+1))
	}
	for now := start; now < start+until; now += 10 * ms {
		for i, b := range brains {
			events := []Event{TimerFired{}}
			if e := responses[i]; e != nil && now >= e.at {
				responses[i] = nil
				if events = append(events, EndpointUpdate{Failed: true, Overloaded: e.wasted}); e.answered {
					events[1] = list
					receivedAt = append(receivedAt, now-start)
				} else if e.wasted {
					wasted++
				}
			}
			for _, a := range b.Step(now, events) {
				if _, ok := a.(WatchEndpoints); ok {
					at, answered := o.request(now)
					responses[i] = &response{at, answered, !answered && at > now}
				}
			}
		}
	}
	return receivedAt, wasted
}

// Eighty senders start at the same time with a discovery that processes fifteen requests a second, each with a time-out of
// two seconds. When they retried a failed request after a second or so, discovery was busy with requests that had already
// failed, and no sender received a drain.
func TestWatchEndpoints_FleetStartsAtOnce(t *testing.T) {
	for _, perRequest := range []time.Duration{25 * ms, 66 * ms, 100 * ms} { // the requests of all senders take 2 to 8 s
		for _, maxBacklog := range []time.Duration{2 * time.Second, 5 * time.Second} { // of queued work, before requests are rejected
			receivedAt, wasted := runDiscovery(80, &discovery{perRequest: perRequest, timeout: 2 * time.Second, maxBacklog: maxBacklog}, 30*time.Second)
			if len(receivedAt) != 80 {
				t.Errorf("%v a request, %v of work: %d of 80 senders have received the list after 30 s, %d requests wasted", perRequest, maxBacklog, len(receivedAt), wasted)
				continue
			}
			slices.Sort(receivedAt)
			t.Logf("%v a request, %v of work: half have received the list after %v, all after %v, %d requests wasted", perRequest, maxBacklog, receivedAt[40], receivedAt[79], wasted)
			if wasted > 2*80 {
				t.Errorf("%v a request, %v of work: %d requests wasted: more than two for each sender", perRequest, maxBacklog, wasted)
			}
		}
	}
}

// A discovery that was overloaded for long, and rejected requests at once, has some requests of every sender queued when
// it can answer again. All senders must leave it enough capacity then, so that each receives the list within 20 s.
func TestWatchEndpoints_FleetAfterOverload(t *testing.T) {
	o := &discovery{perRequest: 66 * ms, timeout: 2 * time.Second, maxBacklog: 5 * time.Second}
	o.freeAt = time.Hour + 25*time.Second // nothing is answered until then
	receivedAt, _ := runDiscovery(80, o, time.Minute)
	if len(receivedAt) != 80 {
		t.Fatalf("%d of 80 senders have received the list", len(receivedAt))
	}
	if last := slices.Max(receivedAt); last > 45*time.Second {
		t.Errorf("the last sender has received the list after %v", last)
	}
}

// A destination whose endpoints have routes of their own leaves the list, is deleted, and is listed again while its
// endpoint is still kept. The endpoint must keep its own route, and the destination must not hibernate, as only
// destinations with a shared route may.
func TestEndpointUpdate_RelistedDestinationKeepsEndpointRoutes(t *testing.T) {
	s := settings()
	s.HibernateAfter = 5 * time.Minute
	r := newRig(t, s)
	r.b = New(s, 7)
	entry := Endpoint{ID: 1, Destination: 4, Kind: 1, Ready: true}
	r.step(EndpointUpdate{Endpoints: []Endpoint{entry}})
	unready := entry
	unready.Ready = false
	r.step(EndpointUpdate{Endpoints: []Endpoint{unready}})
	r.now += time.Second
	r.step(TimerFired{})
	if r.b.destinations[4] != nil {
		t.Fatal("a destination without endpoints and messages is kept")
	}
	if r.b.endpoints[1] == nil {
		t.Fatal("its endpoint is not kept")
	}
	r.step(EndpointUpdate{Endpoints: []Endpoint{entry}})
	if d := r.b.destinations[4]; !d.hasEndpointRoutes || d.sharedRoute != nil {
		t.Errorf("its endpoint has no route of its own any more")
	}
	for range 20 {
		r.now += time.Minute
		r.step(TimerFired{})
	}
	if r.b.destinations[4] == nil {
		t.Error("the destination hibernates")
	}
}
