package brain

import (
	"testing"
	"time"
)

// Rule 4: after an outage the load stays within what a destination bears that warms up.
func TestSlowStart_DoesNotOverloadReturningDestination(t *testing.T) {
	s := settings()
	r := newRig(t, s)
	r.serve(100, 0, 30*ms) // 20 a second, far more than later allowed
	route := r.b.destinations[0].sharedRoute
	usual := route.servedRate()
	up := false
	var at []time.Duration
	var open []Send
	outage := r.now
	returned := time.Duration(0)
	for r.now < outage+14*time.Second {
		r.now += 10 * ms
		up = r.now > outage+6*time.Second
		var events []Event
		for _, x := range open {
			o := ConnectFailed
			if up {
				o = Served
			}
			events = append(events, r.end(x, o))
		}
		if r.b.pending < 60 {
			events = append(events, r.message(0, 0, 0))
		}
		open = r.step(append(events, TimerFired{})...)
		if up {
			if returned == 0 {
				returned = r.now
			}
			for range open {
				at = append(at, r.now)
			}
		}
	}
	if route.state == healthy || len(at) < 5 {
		t.Fatalf("state %v, %d calls after the return", route.state, len(at))
	}
	for i := range at {
		n, j := 0, i
		for ; j < len(at) && at[j] < at[i]+s.OverloadWindow; j++ {
			n++
		}
		share := s.SlowStartCapacity + (1-s.SlowStartCapacity)*(at[i]+s.OverloadWindow-returned).Seconds()/s.SlowStartDuration.Seconds()
		if bears := s.OverloadMultiple * share * usual * s.OverloadWindow.Seconds(); float64(n) > bears+1 {
			t.Fatalf("%d calls in %v from %v after the return, %.1f bearable", n, s.OverloadWindow, at[i]-returned, bears)
		}
	}
}

// Rule 4, with 200 senders: each saw a call or two fail, and together they overloaded the destination when it returned.
// Those that saw failures may send what the destination then bears, or less than the others.
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
	var ended, open []sent
	var fromAware, fromOthers int
	id := MessageID(0)
	tries := map[MessageID]int{}
	for now := start; now < start+outage+s.OverloadWindow; now += 20 * ms {
		events := make([][]Event, senders)
		give := func(i, dest int) {
			id++
			events[i] = append(events[i], Message{ID: id, Destination: DestinationID(dest), Deadline: now + 20*time.Second})
		}
		if tick := int(now / (20 * ms)); tick%(50/perSecond) == 0 {
			give(int(id*37)%senders, 0)
		} else if tick%2 == 0 {
			give(int(id*37)%senders, 1+int(id)%99)
		}
		if now == start+11*time.Second { // a clump for it, at as many senders
			for i := range 40 {
				give(i*5, 0)
			}
		}
		ended, open = endedBy(now, open)
		for _, c := range ended {
			events[c.by] = append(events[c.by], c.end)
			aware[c.by] = aware[c.by] || c.end.Outcome == ConnectFailed && now < start+outage
		}
		for i, b := range brains {
			for _, a := range b.Step(now, append(events[i], TimerFired{})) {
				call, ok := a.(Send)
				if !ok {
					continue
				}
				down := call.Endpoint == 1 && now < start+outage
				end := AttemptResult{Message: call.Message, Attempt: tries[call.Message], Endpoint: call.Endpoint,
					Elapsed: 40 * ms, Outcome: Served, Final: true}
				if down {
					end.Outcome, end.Final = ConnectFailed, false
				}
				tries[call.Message]++
				open = append(open, sent{i, end, now + 40*ms})
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
	bears := s.OverloadMultiple * share * perSecond * s.OverloadWindow.Seconds()
	if float64(fromAware+fromOthers) > bears && fromAware >= 2*fromOthers {
		t.Fatalf("%d calls from senders that saw it fail, %d from others, %.1f bearable", fromAware, fromOthers, bears)
	}
}
