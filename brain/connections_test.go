package brain

import (
	"testing"
	"time"
)

// Receivers that take few connections were filled by idle ones of 50 senders, on quiet days too.
func TestIdleConns_ClosedWhereConnectsFail(t *testing.T) {
	r := fleetRig(t, 50)
	closes := func(d time.Duration) (n int) {
		for end := r.now + d; r.now < end; r.now += 100 * ms {
			for _, a := range r.b.Step(r.now, []Event{TimerFired{}}) {
				if _, ok := a.(CloseIdleConns); ok {
					n++
				}
			}
		}
		return n
	}
	r.serve(3, 1, 30*ms)
	if n := closes(2 * time.Second); n != 0 {
		t.Fatalf("%d closed before any trouble", n)
	}
	s := r.step(r.message(2, 0, 0))
	r.now += 20 * ms
	r.step(r.result(s[0], ConnectFailed))
	r.serve(1, 2, 30*ms)
	if n := closes(5 * time.Second); n == 0 {
		t.Fatal("idle connections are kept after a connect that failed")
	}
}

// Something on the way drops idle connections silently: the next call on one hangs and may have run.
func TestIdleConns_ClosedEarlierWhereDroppedSilently(t *testing.T) {
	r := fleetRig(t, 50)
	r.serve(3, 0, 30*ms)
	r.now += 2 * time.Second
	s := r.step(r.message(0, 0, 0))
	r.now += s[0].Timeout
	s = r.step(r.result(s[0], TimedOut))
	for i := 0; i < 100 && len(s) == 0; i++ {
		r.now += 50 * ms
		s = r.step(TimerFired{})
	}
	r.now += 30 * ms
	r.step(r.result(s[0], Served))
	idleTimeout, _ := r.b.idleTimeout(r.b.endpoints[1])
	if idleTimeout > 1100*ms {
		t.Fatalf("connections are kept for %v though one idle for 2 s was dropped", idleTimeout)
	}
}

// With 300 senders most rejections came from endpoints that had all the connections they take, most of them idle. Two
// of these in a row were an outage to a sender with little traffic, which then hardly sent anything for ten seconds.
func TestConnLimit_IsNoOutage(t *testing.T) {
	s, _ := fleetSettings(300)
	r := newRig(t, s)
	r.b = New(s, 7)
	r.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 1, Ready: true}, {ID: 2, Ready: true}, {ID: 3, Destination: 1, Ready: true}}})
	r.serve(1, 0, 50*ms)
	startedAt := r.now
	sends := r.step(r.message(1, 0, 0))
	callsByEndpoint := map[EndpointID]int{}
	for i := range 4 {
		for ; len(sends) == 0; r.now += 10 * ms {
			if r.now-startedAt > 10*time.Second {
				t.Fatalf("the message waits after %d refusals, its destination in state %d", i, r.b.destinations[0].sharedRoute.state)
			}
			sends = r.step(TimerFired{})
		}
		callsByEndpoint[sends[0].Endpoint]++
		r.now += 50 * ms
		end := r.result(sends[0], Rejected)
		end.ConnLimitReached = true
		sends = r.step(end)
	}
	if callsByEndpoint[1] == 0 || callsByEndpoint[2] == 0 {
		t.Errorf("calls by endpoint %v: one of the two is not tried", callsByEndpoint)
	}
	if d := r.b.destinations[0].sharedRoute; d.state != healthy || d.closedUntil > r.now {
		t.Errorf("the destination is in state %d, closed for %v", d.state, d.closedUntil-r.now)
	}
	// What was seen at one endpoint holds for the kind.
	if idleTimeout, _ := r.b.idleTimeout(r.b.endpoints[3]); idleTimeout > s.IdleConnTimeout/100 {
		t.Errorf("idle connections are still kept for %v", idleTimeout)
	}
}

// An endpoint takes eight connections from all senders together, as the fewest of any. Three senders may keep theirs;
// each of three hundred has a small part of one, and what all of them kept used up every limit in the first seconds,
// before any of them had seen a rejection.
func TestIdleTimeout_ShorterWithManySenders(t *testing.T) {
	for senders, want := range map[int]time.Duration{3: 15 * time.Second, 8: 15 * time.Second, 60: 2 * time.Second, 300: 400 * ms} {
		r := fleetRig(t, senders)
		if idleTimeout, _ := r.b.idleTimeout(r.b.endpoints[1]); idleTimeout != want {
			t.Errorf("%d senders: idle connections are kept for %v, want %v", senders, idleTimeout, want)
		}
	}
}

// Where connections are short, the open one serves all that waits, and no message is spent on trying for another: one
// at a time tries, the one that has tried least.
func TestConnLimit_WaitingMessagesUseOpenConnection(t *testing.T) {
	r := fleetRig(t, 300)
	r.serve(1, 0, 50*ms)
	r.now += time.Second // its connection is closed by then
	first := r.step(r.message(1, 0, 0))
	if len(first) != 1 {
		t.Fatalf("%d sent", len(first))
	}
	reject := func(s Send) []Send {
		r.now += 50 * ms
		end := r.result(s, Rejected)
		end.ConnLimitReached = true
		return r.step(end)
	}
	if s := reject(first[0]); len(s) != 0 {
		t.Fatalf("%d sent just after the refusal", len(s))
	}
	var waiting []Event
	for range 3 {
		waiting = append(waiting, r.message(1, 0, 0))
	}
	sends := r.step(waiting...)
	for startedAt := r.now; len(sends) == 0; sends = r.step(TimerFired{}) {
		if r.now += 10 * ms; r.now-startedAt > 2*time.Second {
			t.Fatal("no connection is tried for")
		}
	}
	if len(sends) != 1 || sends[0].Message == first[0].Message {
		t.Fatalf("sent %v: want one, and not the message that was refused", sends)
	}
	for i := range 4 {
		if len(sends) != 1 {
			t.Fatalf("%d calls on the connection that stands, after %d: want one at a time", len(sends), i)
		}
		r.now += 50 * ms
		sends = r.step(r.result(sends[0], Served))
	}
	if len(sends) != 0 {
		t.Fatalf("%d more calls than messages", len(sends))
	}
	r.now += 200 * ms
	r.step(TimerFired{})
	if n := r.b.endpoints[1].openConns; n != 0 {
		t.Errorf("%d connections stay open with nothing left to send, in the way of other senders", n)
	}
}

// With 300 senders and one endpoint that takes ten connections, of which opening one takes twice as long as a call, the
// connections were all idle, and messages used their attempts up on rejections.
func TestConnLimit_ManySendersAtOneEndpoint(t *testing.T) {
	const senders, maxConns, perSecond, span = 300, 10, 40, 20 * time.Second
	s, list := fleetSettings(senders)
	s.MaxAttempts = 6
	list.Endpoints = list.Endpoints[:1]
	brains := make([]*Brain, senders)
	for i := range brains {
		brains[i] = New(s, uint64(i+1))
		brains[i].Step(time.Hour, []Event{list})
	}
	type inFlightCall struct {
		sender  int
		result  AttemptResult
		endsAt  time.Duration
		hasConn bool // it stands on a connection
	}
	var inFlight []inFlightCall
	openConns, idle := 0, make([]int, senders)
	tries := map[MessageID]int{}
	var accepted, served, rejected int
	for now := time.Hour; now < time.Hour+span+10*time.Second; now += 10 * ms {
		events := make([][]Event, senders)
		if now < time.Hour+span && int(now/(10*ms))*perSecond%100 < perSecond {
			accepted++
			sender := accepted * 37 % senders
			events[sender] = append(events[sender], Message{ID: MessageID(accepted), Class: 1, Destination: 0, Deadline: now + 10*time.Second})
		}
		remaining := inFlight[:0]
		for _, c := range inFlight {
			if now < c.endsAt {
				remaining = append(remaining, c)
				continue
			}
			events[c.sender] = append(events[c.sender], c.result)
			if c.hasConn {
				idle[c.sender]++
			}
		}
		inFlight = remaining
		for i, b := range brains {
			for _, a := range b.Step(now, append(events[i], TimerFired{})) {
				switch a := a.(type) {
				case CloseIdleConns:
					openConns -= idle[i]
					idle[i] = 0
				case Send:
					end := AttemptResult{Message: a.Message, Attempt: tries[a.Message], Endpoint: 1, Outcome: Served, Final: true, Elapsed: 50 * ms}
					tries[a.Message]++
					call := inFlightCall{sender: i, hasConn: true}
					switch {
					case idle[i] > 0:
						idle[i]--
					case openConns < maxConns:
						openConns++
						end.Elapsed = 150 * ms
					default:
						end.Outcome, end.Final, end.ConnLimitReached, call.hasConn = Rejected, false, true, false
					}
					if end.Outcome == Served {
						served++
					} else {
						rejected++
					}
					call.result, call.endsAt = end, now+end.Elapsed
					inFlight = append(inFlight, call)
				}
			}
		}
	}
	t.Logf("%d messages, %d served, %d refusals", accepted, served, rejected)
	if served < accepted*85/100 {
		t.Errorf("%d of %d messages served, with %d refusals for want of connections", served, accepted, rejected)
	}
}
