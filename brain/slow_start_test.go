package brain

import (
	"testing"
	"time"
)

// Rule 4: after an outage the load stays within the capacity that a destination has during its slow start.
func TestSlowStart_DoesNotOverloadReturningDestination(t *testing.T) {
	s := settings()
	r := newRig(t, s)
	r.serve(100, 0, 30*ms) // 20 calls a second, far more than are allowed later
	route := r.b.destinations[0].sharedRoute
	usual := route.servedRate()
	returned := false
	var sentAt []time.Duration
	var inFlight []Send
	outageAt := r.now
	returnedAt := time.Duration(0)
	for r.now < outageAt+14*time.Second {
		r.now += 10 * ms
		returned = r.now > outageAt+6*time.Second
		var events []Event
		for _, x := range inFlight {
			o := ConnectFailed
			if returned {
				o = Served
			}
			events = append(events, r.result(x, o))
		}
		if r.b.pending < 60 {
			events = append(events, r.message(0, 0, 0))
		}
		inFlight = r.step(append(events, TimerFired{})...)
		if returned {
			if returnedAt == 0 {
				returnedAt = r.now
			}
			for range inFlight {
				sentAt = append(sentAt, r.now)
			}
		}
	}
	if route.state == healthy || len(sentAt) < 5 {
		t.Fatalf("state %v, %d calls after the return", route.state, len(sentAt))
	}
	for i := range sentAt {
		n, j := 0, i
		for ; j < len(sentAt) && sentAt[j] < sentAt[i]+s.OverloadWindow; j++ {
			n++
		}
		share := s.SlowStartCapacity + (1-s.SlowStartCapacity)*(sentAt[i]+s.OverloadWindow-returnedAt).Seconds()/s.SlowStartDuration.Seconds()
		if limit := s.OverloadMultiple * share * usual * s.OverloadWindow.Seconds(); float64(n) > limit+1 {
			t.Fatalf("%d calls in %v from %v after the return, at most %.1f allowed", n, s.OverloadWindow, sentAt[i]-returnedAt, limit)
		}
	}
}

// Rule 4, with 200 senders: each observed a failed call or two, and together they overloaded the destination when it
// returned. Senders that have observed failures may send as many calls as the destination can then take; beyond that they
// must send less than twice as many as the other senders.
func TestSlowStart_ManySendersDoNotOverload(t *testing.T) {
	const senders, perSecond, outage = 200, 5, 15 * time.Second
	s, list := fleetSettings(senders)
	brains := make([]*Brain, senders)
	aware := make([]bool, senders)
	start := time.Hour
	for i := range brains {
		brains[i] = New(s, uint64(i+1))
		brains[i].Step(start, []Event{list})
	}
	var ended, inFlight []inFlightCall
	var fromAware, fromOthers int
	id := MessageID(0)
	attempts := map[MessageID]int{}
	for now := start; now < start+outage+s.OverloadWindow; now += 20 * ms {
		events := make([][]Event, senders)
		submit := func(i, dest int) {
			id++
			events[i] = append(events[i], Message{ID: id, Destination: DestinationID(dest), Deadline: now + 20*time.Second})
		}
		if tick := int(now / (20 * ms)); tick%(50/perSecond) == 0 {
			submit(int(id*37)%senders, 0)
		} else if tick%2 == 0 {
			submit(int(id*37)%senders, 1+int(id)%99)
		}
		if now == start+11*time.Second { // a burst of 40 messages for it, each at another sender
			for i := range 40 {
				submit(i*5, 0)
			}
		}
		ended, inFlight = splitEnded(now, inFlight)
		for _, c := range ended {
			events[c.sender] = append(events[c.sender], c.result)
			aware[c.sender] = aware[c.sender] || c.result.Outcome == ConnectFailed && now < start+outage
		}
		for i, b := range brains {
			for _, a := range b.Step(now, append(events[i], TimerFired{})) {
				call, ok := a.(Send)
				if !ok {
					continue
				}
				unreachable := call.Endpoint == 1 && now < start+outage
				result := AttemptResult{Message: call.Message, Attempt: attempts[call.Message], Endpoint: call.Endpoint,
					Elapsed: 40 * ms, Outcome: Served, Final: true}
				if unreachable {
					result.Outcome, result.Final = ConnectFailed, false
				}
				attempts[call.Message]++
				inFlight = append(inFlight, inFlightCall{i, result, now + 40*ms})
				if call.Endpoint == 1 && now >= start+outage {
					if aware[i] {
						fromAware++
					} else {
						fromOthers++
					}
				}
			}
		}
	}
	share := s.SlowStartCapacity + (1-s.SlowStartCapacity)*s.OverloadWindow.Seconds()/s.SlowStartDuration.Seconds()
	limit := s.OverloadMultiple * share * perSecond * s.OverloadWindow.Seconds()
	if float64(fromAware+fromOthers) > limit && fromAware >= 2*fromOthers {
		t.Fatalf("%d calls from senders that observed failures, %d from others, at most %.1f allowed", fromAware, fromOthers, limit)
	}
}
