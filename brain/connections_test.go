package brain

import (
	"testing"
	"time"
)

// Idle connections of 50 senders used up the connection limit of receivers that accept few, even with little traffic.
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
		t.Fatalf("%d closed before any connect failed", n)
	}
	s := r.step(r.message(2, 0, 0))
	r.now += 20 * ms
	r.step(r.result(s[0], ConnectFailed))
	r.serve(1, 2, 30*ms)
	if n := closes(5 * time.Second); n == 0 {
		t.Fatal("idle connections are kept after a connect that failed")
	}
}

// A device on the network path drops idle connections silently: the next call on one hangs and may have run.
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

// With 300 senders most rejections came from endpoints at their connection limit, with most connections idle. Two such
// rejections in a row were an outage to a sender with little traffic, which then hardly sent anything for ten seconds.
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
				t.Fatalf("the message waits after %d rejections, its destination in state %d", i, r.b.destinations[0].sharedRoute.state)
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
		t.Errorf("calls by endpoint %v: one of the two gets no call", callsByEndpoint)
	}
	if d := r.b.destinations[0].sharedRoute; d.state != healthy || d.closedUntil > r.now {
		t.Errorf("the destination is in state %d, closed for %v", d.state, d.closedUntil-r.now)
	}
	// A rejection by one endpoint shortens the idle time-out of its kind.
	if idleTimeout, _ := r.b.idleTimeout(r.b.endpoints[3]); idleTimeout > s.IdleConnTimeout/100 {
		t.Errorf("idle connections are still kept for %v", idleTimeout)
	}
}

// An endpoint accepts at least eight connections from all senders together. Three senders may keep theirs idle. Of 300
// senders each has a small part of one, and the idle connections of all used up every limit in the first seconds, before
// any of them had observed a rejection.
func TestIdleTimeout_ShorterWithManySenders(t *testing.T) {
	for senders, want := range map[int]time.Duration{3: 15 * time.Second, 8: 15 * time.Second, 60: 2 * time.Second, 300: 400 * ms} {
		r := fleetRig(t, senders)
		if idleTimeout, _ := r.b.idleTimeout(r.b.endpoints[1]); idleTimeout != want {
			t.Errorf("%d senders: idle connections are kept for %v, want %v", senders, idleTimeout, want)
		}
	}
}

// At a connection limit, the open connection serves all waiting messages, and no message uses up its attempts on opening
// another: one message at a time tries that, the one with the fewest attempts.
func TestConnLimit_WaitingMessagesUseOpenConnection(t *testing.T) {
	r := fleetRig(t, 300)
	r.serve(1, 0, 50*ms)
	r.now += time.Second // its connection is closed by then
	first := r.step(r.message(1, 0, 0))
	if len(first) != 1 {
		t.Fatalf("%d calls sent for one message", len(first))
	}
	reject := func(s Send) []Send {
		r.now += 50 * ms
		end := r.result(s, Rejected)
		end.ConnLimitReached = true
		return r.step(end)
	}
	if s := reject(first[0]); len(s) != 0 {
		t.Fatalf("%d sent just after the rejection", len(s))
	}
	var waiting []Event
	for range 3 {
		waiting = append(waiting, r.message(1, 0, 0))
	}
	sends := r.step(waiting...)
	for startedAt := r.now; len(sends) == 0; sends = r.step(TimerFired{}) {
		if r.now += 10 * ms; r.now-startedAt > 2*time.Second {
			t.Fatal("no call tries to open a connection")
		}
	}
	if len(sends) != 1 || sends[0].Message == first[0].Message {
		t.Fatalf("sent %v: want one, and not the message that was rejected", sends)
	}
	for i := range 4 {
		if len(sends) != 1 {
			t.Fatalf("%d calls on the open connection, after %d: want one at a time", len(sends), i)
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
		t.Errorf("%d connections stay open with no message left, and use up the limit for other senders", n)
	}
}

// 300 senders share one endpoint that accepts ten connections, and opening a connection takes twice as long as a call. The
// connections were all idle, and messages used up their attempts on rejections.
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
		hasConn bool // it uses a connection
	}
	var inFlight []inFlightCall
	openConns, idle := 0, make([]int, senders)
	tries := map[MessageID]int{}
	var submitted, served, rejected int
	for now := time.Hour; now < time.Hour+span+10*time.Second; now += 10 * ms {
		events := make([][]Event, senders)
		if now < time.Hour+span && int(now/(10*ms))*perSecond%100 < perSecond {
			submitted++
			sender := submitted * 37 % senders
			events[sender] = append(events[sender], Message{ID: MessageID(submitted), Class: 1, Destination: 0, Deadline: now + 10*time.Second})
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
	t.Logf("%d messages, %d served, %d rejections", submitted, served, rejected)
	if served < submitted*85/100 {
		t.Errorf("%d of %d messages served, with %d rejections at the connection limit", served, submitted, rejected)
	}
}
