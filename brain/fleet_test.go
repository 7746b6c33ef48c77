package brain

import (
	"math"
	"testing"
	"time"
)

// many is a deployment of n senders with a hundred destinations of one endpoint each.
func many(n int) (Settings, EndpointUpdate) {
	s := settings()
	s.Senders, s.Slots, s.IdleConnTimeout = n, 4, 15*time.Second
	s.Kinds = []Kind{{MaxBatch: 1}}
	list := EndpointUpdate{Complete: true}
	for i := range 100 {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(i + 1), Destination: DestinationID(i), Ready: true})
	}
	return s, list
}

// fleetRig is one sender of many, driven by hand.
func fleetRig(t *testing.T, n int) *rig {
	s, list := many(n)
	r := newRig(t, s)
	r.b = New(s, 7)
	r.step(list)
	return r
}

// sent is a call of one sender of many, and how it ends.
type sent struct {
	by  int
	end AttemptResult
	at  time.Duration
}

// endedBy parts the calls that have ended by now from those that are still out.
func endedBy(now time.Duration, calls []sent) (ended, open []sent) {
	for _, c := range calls {
		if now < c.at {
			open = append(open, c)
		} else {
			ended = append(ended, c)
		}
	}
	return ended, open
}

// Rule 4, at 200 senders: each saw a call or two fail, and together they pushed the destination over when
// it returned. Those who saw failures may send what the destination then bears, or less than the others.
func TestManySendersDoNotPushAReturningDestinationOver(t *testing.T) {
	const senders, perSecond, outage = 200, 5, 15 * time.Second
	s, list := many(senders)
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

// A sender of many sees few calls: two failures are an outage there, eight where senders are few.
func TestFailuresThatCallAnOutage(t *testing.T) {
	for senders, want := range map[int]int{3: maxOutageThreshold, 50: minOutageThreshold, 300: minOutageThreshold} {
		r := fleetRig(t, senders)
		r.serve(10, 3, 30*ms)
		r.now += time.Minute
		if n := r.b.outageThreshold(r.b.destinations[0].sharedRoute); n != want {
			t.Errorf("%d senders: %d failures call an outage, want %d", senders, n, want)
		}
	}
}

// Senders that see an outage begin at once must not go on at once.
func TestSendersSpreadTheirProbes(t *testing.T) {
	s, list := many(100)
	next := map[time.Duration]int{}
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
		next[at/(100*ms)]++
	}
	for at, n := range next {
		if n > 10 {
			t.Fatalf("%d of 20 senders go on in the same tenth of a second, %v", n, at)
		}
	}
}

// A limit of a few calls a second over 300 senders left each one call in half a minute.
func TestAPartOfALimitIsOfUseToASenderOfMany(t *testing.T) {
	r := fleetRig(t, 300)
	served := 0
	for range 4 {
		served += len(r.step(r.message(0, 0, 0)))
		r.now += 300 * ms
		for _, x := range r.sends[len(r.sends)-min(served, 1):] {
			e := r.end(x, Served)
			e.LimitReported, e.Remaining, e.Limit = true, 0.8, 5
			r.step(e)
		}
		r.now += 700 * ms
	}
	if n := len(r.sends); n < 4 {
		t.Fatalf("%d of 4 messages sent in 4 s under a limit of 5 a second", n)
	}
}

// Receivers that take few connections were filled by idle ones of 50 senders, on quiet days too.
func TestIdleConnectionsAreClosedWhereConnectsFail(t *testing.T) {
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
	r.step(r.end(s[0], ConnectFailed))
	r.serve(1, 2, 30*ms)
	if n := closes(5 * time.Second); n == 0 {
		t.Fatal("idle connections are kept after a connect that failed")
	}
}

// Something between drops idle connections unseen: the next call on one hangs and may have run.
func TestConnectionsDroppedUnseenAreKeptShorter(t *testing.T) {
	r := fleetRig(t, 50)
	r.serve(3, 0, 30*ms)
	r.now += 2 * time.Second
	s := r.step(r.message(0, 0, 0))
	r.now += s[0].Timeout
	s = r.step(r.end(s[0], TimedOut))
	for i := 0; i < 100 && len(s) == 0; i++ {
		r.now += 50 * ms
		s = r.step(TimerFired{})
	}
	r.now += 30 * ms
	r.step(r.end(s[0], Served))
	kept, _ := r.b.idleTimeout(r.b.endpoints[1])
	if kept > 1100*ms {
		t.Fatalf("connections are kept for %v though one idle for 2 s was dropped", kept)
	}
}

// A key remembered for 6 s was of no use to a call that waited 4 s for its time-out.
func TestAKeyedRepeatFitsIntoItsWindow(t *testing.T) {
	r := fleetRig(t, 50)
	s := r.step(r.message(1, 0, 0))
	if s[0].Timeout > 3*time.Second && s[0].Timeout < 20*time.Second {
		t.Fatalf("time-out %v in a window of 6 s", s[0].Timeout)
	}
}

// Input that makes no sense: no panic, no message lost, one lawful answer each.
func TestInputThatMakesNoSense(t *testing.T) {
	bad := math.NaN()
	for name, events := range map[string][]Event{
		"unknown class":       {Message{ID: 1, Class: 9, Deadline: time.Hour + time.Second}},
		"negative class":      {Message{ID: 1, Class: -1, Deadline: time.Hour + time.Second}},
		"unknown tenant":      {Message{ID: 1, Tenant: 7, Deadline: time.Hour + time.Second}},
		"negative tenant":     {Message{ID: 1, Tenant: -7, Deadline: time.Hour + time.Second}},
		"no endpoint":         {Message{ID: 1, Destination: 900, Deadline: time.Hour + time.Second}},
		"deadline in past":    {Message{ID: 1, Deadline: time.Second}},
		"kind out of range":   {EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Kind: -3, Zone: -1, Ready: true}, {ID: 2, Kind: 99, Zone: 99, Ready: true}}}, Message{ID: 1, Deadline: time.Hour + time.Second}},
		"rating not a number": {EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Rating: bad, Ready: true}, {ID: 2, Rating: math.Inf(1), Ready: true}, {ID: 3, Rating: -1, Ready: true}}}, Message{ID: 1, Deadline: time.Hour + time.Second}},
		"unknown attempt":     {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Attempt: 4}, AttemptResult{Message: 1, Attempt: -4}, AttemptResult{Message: 44}},
		"report out of range": {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Outcome: Served, Elapsed: -time.Hour, LimitReported: true, Remaining: bad, Limit: math.Inf(1), Final: true}},
		"limit of nothing":    {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Outcome: Rejected, RetryAfter: -time.Hour, LimitReported: true, Remaining: -1, Limit: bad}},
	} {
		s := settings()
		s.RatingIsLimit, s.ZoneFees = true, []float64{0.1}
		s.Tenants = []Tenant{{Share: 1, Allowance: 10}}
		r := newRig(t, s)
		r.step(events...)
		sent := len(r.sends)
		for range 30 { // the time jumps, too
			r.now += 100 * ms
			r.step(TimerFired{})
		}
		r.now += 5 * time.Hour
		for _, x := range r.sends[sent:] {
			r.step(r.end(x, TimedOut))
		}
		for _, x := range r.sends[:sent] {
			r.step(r.end(x, TimedOut))
		}
		r.step(TimerFired{})
		over := name == "report out of range" || r.failed[1] || r.refused[1]
		if !over || r.b.pending != 0 {
			t.Errorf("%s: failed %v, refused %v, %d held", name, r.failed[1], r.refused[1], r.b.pending)
		}
	}
}

// Settings that make no sense: the interface stays lawful and never panics.
func TestSettingsThatMakeNoSense(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"nothing stated": func(s *Settings) { *s = Settings{} },
		"no slots":       func(s *Settings) { s.Slots = 0 },
		"negative":       func(s *Settings) { s.Slots, s.Senders, s.MaxPending, s.MaxAttempts = -1, -1, -1, -1 },
		"no deadlines":   func(s *Settings) { s.Classes = []Class{{}, {}, {}, {}} },
		"no kinds":       func(s *Settings) { s.Kinds = nil },
		"no rules": func(s *Settings) {
			s.SlowStartDuration, s.OverloadWindow, s.OverloadMultiple, s.SlowStartCapacity = 0, 0, 0, 0
		},
	} {
		s := settings()
		change(&s)
		r := newRig(t, s)
		for i := range 5 {
			for _, x := range r.step(r.message(i%4, 0, 0)) {
				r.now += 50 * ms
				r.step(r.end(x, Outcome(i)))
			}
		}
		for range 30 {
			r.now += time.Second
			r.step(TimerFired{})
			for id := range r.b.messages {
				if m := r.b.messages[id]; r.now >= m.Deadline && m.attemptsInFlight > 0 {
					r.step(AttemptResult{Message: id, Attempt: len(m.attempts) - 1, Outcome: TimedOut})
				}
			}
		}
		if r.b.pending != 0 {
			t.Errorf("%s: %d messages without an answer", name, r.b.pending)
		}
	}
}

// At 300 senders most refusals came from endpoints that held all the connections they take, most of them idle. Two of
// these in a row were an outage to a sender with little traffic, which then hardly sent anything for ten seconds.
func TestAFullTableOfConnectionsIsNoOutage(t *testing.T) {
	s, _ := many(300)
	r := newRig(t, s)
	r.b = New(s, 7)
	r.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 1, Ready: true}, {ID: 2, Ready: true}, {ID: 3, Destination: 1, Ready: true}}})
	r.serve(1, 0, 50*ms)
	began := r.now
	sends := r.step(r.message(1, 0, 0))
	at := map[EndpointID]int{}
	for i := range 4 {
		for ; len(sends) == 0; r.now += 10 * ms {
			if r.now-began > 10*time.Second {
				t.Fatalf("the message waits after %d refusals, its destination in state %d", i, r.b.destinations[0].sharedRoute.state)
			}
			sends = r.step(TimerFired{})
		}
		at[sends[0].Endpoint]++
		r.now += 50 * ms
		end := r.end(sends[0], Rejected)
		end.ConnLimitReached = true
		sends = r.step(end)
	}
	if at[1] == 0 || at[2] == 0 {
		t.Errorf("calls by endpoint %v: one of the two is not tried", at)
	}
	if d := r.b.destinations[0].sharedRoute; d.state != healthy || d.closedUntil > r.now {
		t.Errorf("the destination is in state %d, closed for %v", d.state, d.closedUntil-r.now)
	}
	// What was seen at one endpoint holds for the kind.
	if kept, _ := r.b.idleTimeout(r.b.endpoints[3]); kept > s.IdleConnTimeout/100 {
		t.Errorf("idle connections are still kept for %v", kept)
	}
}

// An endpoint takes eight connections from all senders together, as the least that is told of any. Three senders may
// keep theirs; of three hundred each has a small part of one, and what all of them kept filled every table in the first
// seconds, before any of them had seen a refusal.
func TestIdleConnectionsOfManySendersAreKeptShort(t *testing.T) {
	for senders, want := range map[int]time.Duration{3: 15 * time.Second, 8: 15 * time.Second, 60: 2 * time.Second, 300: 400 * ms} {
		r := fleetRig(t, senders)
		if kept, _ := r.b.idleTimeout(r.b.endpoints[1]); kept != want {
			t.Errorf("%d senders: idle connections are kept for %v, want %v", senders, kept, want)
		}
	}
}

// Where connections are short, the one that stands serves all that waits, and a message is not spent on trying for
// another: one at a time tries, the one that has tried least.
func TestWhatWaitsUsesTheConnectionThatStands(t *testing.T) {
	r := fleetRig(t, 300)
	r.serve(1, 0, 50*ms)
	r.now += time.Second // its connection is closed by then
	first := r.step(r.message(1, 0, 0))
	if len(first) != 1 {
		t.Fatalf("%d sent", len(first))
	}
	refuse := func(s Send) []Send {
		r.now += 50 * ms
		end := r.end(s, Rejected)
		end.ConnLimitReached = true
		return r.step(end)
	}
	if s := refuse(first[0]); len(s) != 0 {
		t.Fatalf("%d sent just after the refusal", len(s))
	}
	var waiting []Event
	for range 3 {
		waiting = append(waiting, r.message(1, 0, 0))
	}
	sends := r.step(waiting...)
	for began := r.now; len(sends) == 0; sends = r.step(TimerFired{}) {
		if r.now += 10 * ms; r.now-began > 2*time.Second {
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
		sends = r.step(r.end(sends[0], Served))
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

// At 300 senders and one endpoint with a table of ten connections, of which opening one takes twice as long as a call, the
// tables stood full of idle connections, and messages used their attempts up on refusals.
func TestManySendersShareATableOfConnections(t *testing.T) {
	const senders, table, perSecond, span = 300, 10, 40, 20 * time.Second
	s, list := many(senders)
	s.MaxAttempts = 6
	list.Endpoints = list.Endpoints[:1]
	brains := make([]*Brain, senders)
	for i := range brains {
		brains[i] = New(s, uint64(i+1))
		brains[i].Step(time.Hour, []Event{list})
	}
	type sent struct {
		by   int
		end  AttemptResult
		at   time.Duration
		held bool // it stands on a connection
	}
	var open []sent
	standing, idle := 0, make([]int, senders)
	tries := map[MessageID]int{}
	var given, served, refused int
	for now := time.Hour; now < time.Hour+span+10*time.Second; now += 10 * ms {
		events := make([][]Event, senders)
		if now < time.Hour+span && int(now/(10*ms))*perSecond%100 < perSecond {
			given++
			by := given * 37 % senders
			events[by] = append(events[by], Message{ID: MessageID(given), Class: 1, Destination: 0, Deadline: now + 10*time.Second})
		}
		still := open[:0]
		for _, c := range open {
			if now < c.at {
				still = append(still, c)
				continue
			}
			events[c.by] = append(events[c.by], c.end)
			if c.held {
				idle[c.by]++
			}
		}
		open = still
		for i, b := range brains {
			for _, a := range b.Step(now, append(events[i], TimerFired{})) {
				switch a := a.(type) {
				case CloseIdleConns:
					standing -= idle[i]
					idle[i] = 0
				case Send:
					end := AttemptResult{Message: a.Message, Attempt: tries[a.Message], Endpoint: 1, Outcome: Served, Final: true, Elapsed: 50 * ms}
					tries[a.Message]++
					call := sent{by: i, held: true}
					switch {
					case idle[i] > 0:
						idle[i]--
					case standing < table:
						standing++
						end.Elapsed = 150 * ms
					default:
						end.Outcome, end.Final, end.ConnLimitReached, call.held = Rejected, false, true, false
					}
					if end.Outcome == Served {
						served++
					} else {
						refused++
					}
					call.end, call.at = end, now+end.Elapsed
					open = append(open, call)
				}
			}
		}
	}
	t.Logf("%d messages, %d served, %d refusals", given, served, refused)
	if served < given*85/100 {
		t.Errorf("%d of %d messages served, with %d refusals for want of connections", served, given, refused)
	}
}
