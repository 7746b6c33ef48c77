package brain

import (
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain/restart"
)

const ms = time.Millisecond

// settings is a plain deployment: one destination kind, classes safe, keyed, unsafe and ordered.
func settings() Settings {
	return Settings{Senders: 2, Slots: 10, MaxPending: 100, MaxAttempts: 6, MayCancel: true, StepInterval: 5 * ms,
		OrderingCooldown: 300 * ms, OverloadMultiple: 2, SlowStartCapacity: 0.2,
		OverloadWindow: 2 * time.Second, SlowStartDuration: 10 * time.Second, Kinds: []Kind{{MaxBatch: 1}, {PerEndpointRoutes: true, MaxBatch: 3}},
		Classes: []Class{
			{LatencyTarget: 2 * time.Second, Deadline: 20 * time.Second, Idempotency: Idempotent, Value: 1, LateValue: 0.3},
			{LatencyTarget: 2 * time.Second, Deadline: 20 * time.Second, Idempotency: IdempotentByKey, IdempotencyKeyTTL: 6 * time.Second, Value: 1, LateValue: 0.3},
			{LatencyTarget: 2 * time.Second, Deadline: 20 * time.Second, Idempotency: NonIdempotent, Value: 1, LateValue: 0.3},
			{LatencyTarget: 2 * time.Second, Deadline: 20 * time.Second, Idempotency: Idempotent, Ordered: true, Value: 1, LateValue: 0.3},
		}}
}

// rig drives one Brain by hand and keeps what it did.
type rig struct {
	*testing.T
	b       *Brain
	now     time.Duration
	next    MessageID
	sends   []Send
	sentAt  map[MessageID]time.Duration
	tries   map[MessageID]int
	failed  map[MessageID]bool
	refused map[MessageID]bool
	cancels int
}

func newRig(t *testing.T, s Settings) *rig {
	r := &rig{T: t, b: New(s, 7), now: time.Hour, sentAt: map[MessageID]time.Duration{}, tries: map[MessageID]int{},
		failed: map[MessageID]bool{}, refused: map[MessageID]bool{}}
	r.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 1, Ready: true}, {ID: 2, Destination: 1, Ready: true},
		{ID: 3, Destination: 2, Kind: 1, Ready: true}, {ID: 4, Destination: 2, Kind: 1, Ready: true}}})
	return r
}

func (r *rig) step(events ...Event) []Send {
	var sends []Send
	for _, a := range r.b.Step(r.now, events) {
		switch a := a.(type) {
		case Send:
			sends = append(sends, a)
			r.sentAt[a.Message] = r.now
			r.tries[a.Message]++
		case Fail:
			r.failed[a.Message] = true
		case Reject:
			r.refused[a.Message] = true
		case Cancel:
			r.cancels++
		}
	}
	r.sends = append(r.sends, sends...)
	return sends
}

func (r *rig) message(class int, dest DestinationID, key uint64) Message {
	r.next++
	return Message{ID: r.next, Class: class, Destination: dest, OrderingKey: key, Deadline: r.now + 20*time.Second}
}

func (r *rig) end(s Send, o Outcome) AttemptResult {
	return AttemptResult{Message: s.Message, Attempt: r.tries[s.Message] - 1, Endpoint: s.Endpoint, Outcome: o,
		Elapsed: r.now - r.sentAt[s.Message], Final: o == Served}
}

// serve runs n messages through a destination, one at a time, each served after lat.
func (r *rig) serve(n int, dest DestinationID, lat time.Duration) {
	r.Helper()
	for range n {
		sends := r.step(r.message(0, dest, 0))
		r.now += lat
		for _, s := range sends {
			r.step(r.end(s, Served))
		}
		r.now += 20 * ms
	}
}

// fallOut fails calls to destination 0 until that is an outage.
func (r *rig) fallOut() {
	r.Helper()
	for i := 0; r.b.destination(0).sharedRoute.state != outage; i++ {
		if i > 100 {
			r.Fatal("failures make no outage")
		}
		sends := r.step(r.message(1, 0, 0))
		for len(sends) > 0 {
			s := sends[0]
			sends = append(sends[1:], r.step(r.end(s, ConnectFailed))...)
		}
		r.now += 200 * ms
	}
}

// With few samples the argmin lies under the next ordinary call; quiet days then timed out a fifth.
func TestFewSamplesDoNotCutTheTimeout(t *testing.T) {
	r := newRig(t, settings())
	r.serve(3, 0, 50*ms)
	sends := r.step(r.message(0, 0, 0))
	if len(sends) != 1 || sends[0].Timeout < restart.FirstTimeout {
		t.Fatalf("after 3 quick calls: %+v", sends)
	}
}

func TestOnlyServedFirstAttemptsSample(t *testing.T) {
	r := newRig(t, settings())
	s := r.step(r.message(0, 0, 0))
	r.now += 100 * ms
	r.step(r.end(s[0], Rejected))
	r.now += time.Second
	s = r.step(TimerFired{})
	r.now += 100 * ms
	r.step(r.end(s[0], Served))
	if n := r.b.destinations[0].sharedRoute.Samples; n != 0 {
		t.Fatalf("%d samples from a repeat", n)
	}
}

func TestWindow(t *testing.T) {
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
			ends = append(ends, r.end(x, Served))
		}
		s = r.step(ends...)
		if n := r.b.destinations[0].sharedRoute.callsInFlight; float64(n) >= restart.SlotShare*10 {
			t.Fatalf("%d of 10 slots at one destination", n)
		}
	}
	route := r.b.destinations[0].sharedRoute
	before := route.window.Size
	route.window.Halve(r.now, r.now)
	route.window.Halve(r.now-time.Second, r.now) // was out at the cut
	if route.window.Size != math.Max(1, before/2) {
		t.Fatalf("window %v after one cut of %v", route.window.Size, before)
	}
	route.window.Size, route.failureRate = 9, 0.9
	if c := r.b.maxInFlight(route); float64(c) > restart.SlotShare*10/2 {
		t.Fatalf("a failing destination keeps %d slots", c)
	}
}

// Rule 1: each message gets one answer, before its time is up, also with no endpoint and no reply.
func TestEveryMessageIsAnsweredInTime(t *testing.T) {
	r := newRig(t, settings())
	a, b := r.message(0, 9, 0), r.message(2, 0, 0)
	sends := r.step(a, b)
	if len(sends) != 1 || sends[0].Message != b.ID || sends[0].Timeout != 20*time.Second {
		t.Fatalf("an unsafe message waits its time left: %+v", sends)
	}
	deadline := r.now + 20*time.Second
	r.now = r.b.timerAt
	for !r.failed[a.ID] && r.now < deadline {
		r.step(TimerFired{})
		r.now = max(r.b.timerAt, r.now+ms)
	}
	if !r.failed[a.ID] {
		t.Fatal("a message with no endpoint was not failed in time")
	}
	r.now = deadline
	r.step(r.end(sends[0], TimedOut))
	if !r.failed[b.ID] || len(r.b.messages) != 0 || r.b.pending != 0 {
		t.Fatalf("failed %v, still known %d", r.failed, len(r.b.messages))
	}
}

// Rule 1: an alarm that came 64 ns early, by the caller's rounding, was taken for one still to come, and a
// message then ran out of its time unanswered.
func TestAlarmThatComesEarlyIsSetAgain(t *testing.T) {
	r := newRig(t, settings())
	a := r.message(0, 9, 0)
	r.step(a)
	for i := 0; i < 100 && !r.failed[a.ID]; i++ {
		set := r.b.timerAt
		r.now = set - 64*time.Nanosecond
		acts := r.b.Step(r.now, []Event{TimerFired{}})
		for _, x := range acts {
			if f, ok := x.(Fail); ok {
				r.failed[f.Message] = true
			}
		}
		if !r.failed[a.ID] && r.b.timerAt <= set {
			t.Fatal("no alarm was set again")
		}
	}
	if !r.failed[a.ID] || r.now >= a.Deadline {
		t.Fatal("the message was not answered in time")
	}
}

// Rule 2: an attempt that may have run is repeated only as its class allows.
func TestRepeats(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		again   bool
	}{
		{"safe after an error", 0, Errored, time.Second, true},
		{"keyed in its window", 1, Errored, time.Second, true},
		{"keyed past its window", 1, Errored, 6 * time.Second, false},
		{"unsafe after an error", 2, Errored, time.Second, false},
		{"unsafe after a refusal", 2, Rejected, time.Second, true},
		{"unsafe without a connection", 2, ConnectFailed, time.Second, true},
		{"unsafe after a broken connection", 2, ConnectionLost, time.Second, false},
	} {
		r := newRig(t, settings())
		m := r.message(c.class, 0, 0)
		s := r.step(m)
		r.now += c.after
		r.step(r.end(s[0], c.outcome))
		for range 40 {
			r.now += 50 * ms
			r.step(TimerFired{})
		}
		if again := r.tries[m.ID] > 1; again != c.again {
			t.Errorf("%s: repeated %v", c.name, again)
		}
		if !c.again && !r.failed[m.ID] || r.refused[m.ID] {
			t.Errorf("%s: failed %v, refused %v", c.name, r.failed[m.ID], r.refused[m.ID])
		}
	}
}

// Rule 3: nothing goes to an endpoint from the batch that names it draining.
func TestDrains(t *testing.T) {
	r := newRig(t, settings())
	if s := r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 1}}}, r.message(0, 0, 0)); len(s) != 0 {
		t.Fatalf("sent to a draining endpoint: %+v", s)
	}
	if s := r.step(EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 1, Ready: true}}}); len(s) != 1 {
		t.Fatalf("not sent to the endpoint that is back: %+v", s)
	}
	if s := r.step(r.message(0, 1, 0)); len(s) != 0 {
		t.Fatalf("sent to an endpoint that the whole list lacks: %+v", s)
	}
}

// Rule 4: after an outage seen here the load stays within what a cold destination bears.
func TestReturningDestinationIsNotPushedOver(t *testing.T) {
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

// Rule 5: a told wait closes the destination to all; a shared call may tell a later end with each outcome.
func TestWaits(t *testing.T) {
	r := newRig(t, settings())
	m1, m2 := r.message(0, 2, 0), r.message(0, 2, 0)
	s := r.step(m1, m2)
	if len(s) < 2 || s[0].Endpoint != s[1].Endpoint {
		t.Fatalf("two messages to one route share no call: %+v", s)
	}
	if c := r.b.callsInFlight; c != 1 {
		t.Fatalf("a shared call holds %d slots", c)
	}
	e1, e2 := r.end(s[0], Rejected), r.end(s[1], Rejected)
	e1.RetryAfter, e2.RetryAfter = 300*ms, 400*ms
	r.step(e1)
	r.now += 10 * ms
	r.step(e2)
	over := r.now + 400*ms
	for r.now < over {
		for _, x := range r.step(r.message(0, 2, 0)) {
			if x.Endpoint == s[0].Endpoint {
				t.Fatalf("sent %v before the wait was over", over-r.now)
			}
		}
		r.now += 20 * ms
	}
}

// Rule 6: messages of one key go in turn, and the key rests after doubt.
func TestOrder(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	a, b := r.message(3, 0, 5), r.message(3, 0, 5)
	s := r.step(a, b)
	if len(s) != 1 || s[0].Message != a.ID {
		t.Fatalf("first %+v", s)
	}
	s2 := r.step(Withdrawn{a.ID})
	if len(s2) != 0 {
		t.Fatal("sent while the earlier attempt has no outcome")
	}
	r.now += 4 * time.Second
	e := r.end(s[0], TimedOut)
	e.Final = true
	if s := r.step(e); len(s) != 0 {
		t.Fatal("the key did not rest after a time-out")
	}
	r.now += 299 * ms
	if s := r.step(TimerFired{}); len(s) != 0 {
		t.Fatal("the key rested too short")
	}
	r.now += 6 * ms
	if s := r.step(TimerFired{}); len(s) != 1 || s[0].Message != b.ID {
		t.Fatalf("then %+v", s)
	}
}

// Hung destinations held all slots to the deadlines of messages that may not be repeated.
func TestSilentCallsGiveTheirSlotsBack(t *testing.T) {
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
		t.Fatalf("%d calls taken back for one message", r.cancels)
	}
}

func TestNearlyFullSenderRefuses(t *testing.T) {
	set := settings()
	set.MaxPending = 10
	r := newRig(t, set)
	for range 12 {
		r.step(r.message(2, 9, 0))
	}
	if len(r.refused) == 0 || r.b.pending > 10 {
		t.Fatalf("%d refused, %d held", len(r.refused), r.b.pending)
	}
}

// What a restart finds taken on is tried: with all room taken by it the newest were refused without a call, as if they had come
// just now.
func TestResumedMessagesAreNotRefusedForRoom(t *testing.T) {
	set := settings()
	set.MaxPending = 20
	r := newRig(t, set)
	var events []Event
	for n := range set.MaxPending {
		m := r.message(n%3, DestinationID(n%3), 0)
		m.Resumed = true
		events = append(events, m)
	}
	sends := r.step(events...)
	fresh := r.message(0, 0, 0)
	sends = append(sends, r.step(fresh)...)
	if !r.refused[fresh.ID] {
		t.Error("a new message is taken on where there is no room")
	}
	for n := 0; len(sends) > 0; n++ {
		s := sends[0]
		r.now += 20 * ms
		sends = append(sends[1:], r.step(r.end(s, Served))...)
	}
	if want := set.MaxPending; len(r.tries) != want || len(r.refused) != 1 || len(r.failed) != 0 {
		t.Errorf("%d of %d messages are tried, %d refused, %d given up", len(r.tries), want, len(r.refused), len(r.failed))
	}
}

func TestListIsAskedForAndAskedAgain(t *testing.T) {
	set := settings()
	set.RequestsEndpoints = true
	b := New(set, 1)
	asks := func(now time.Duration, e ...Event) (n int) {
		for _, a := range b.Step(now, e) {
			if _, ok := a.(WatchEndpoints); ok {
				n++
			}
		}
		return n
	}
	if asks(0) != 1 || asks(time.Second) != 0 {
		t.Fatal("the list is watched once from the start")
	}
	if asks(2*time.Second, EndpointUpdate{Failed: true}) != 0 || asks(2*time.Second+minListBackoff/2-ms) != 0 || asks(2*time.Second+2*minListBackoff) != 1 {
		t.Fatal("a failed watch is asked for again")
	}
	// Each failure in a row doubles the pause, up to one with which a change is heard in the protocol's 6 s; where discovery has
	// more to do than it can, it is one with which all senders together leave it room.
	now, pause := 10*time.Second, minListBackoff
	for n := range 12 {
		news := EndpointUpdate{Failed: true, Overloaded: n >= 6}
		if pause = min(2*pause, maxListBackoff); news.Overloaded {
			pause = overloadedListBackoff
		}
		if asks(now, news) != 0 || asks(now+pause/2-ms) != 0 || asks(now+pause/2+pause) != 1 {
			t.Fatalf("after a pause of about %v the list is asked for once", pause)
		}
		now += 2 * pause
	}
	if asks(now, EndpointUpdate{Failed: true}) != 0 || asks(now+overloadedListBackoff/2-ms) != 0 || asks(now+2*overloadedListBackoff) != 1 {
		t.Fatal("it is left room until it has answered, also by a call that it turns away at once")
	}
	if now += 20 * time.Second; asks(now, EndpointUpdate{}) != 0 || asks(now+1, EndpointUpdate{Failed: true}) != 0 || asks(now+1+2*minListBackoff) != 1 {
		t.Fatal("once it was told, pauses begin anew")
	}
}

// A random run with odd events: the same events give the same actions, and nothing is answered twice.
func TestDeterminismAndOneAnswer(t *testing.T) {
	play := func() (all []Action) {
		rnd := rand.New(rand.NewSource(3))
		b := New(settings(), 11)
		now := time.Duration(0)
		var endpoints []Endpoint
		for i := range 6 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(i), Destination: DestinationID(i / 2), Kind: i / 4, Ready: true})
		}
		events := []Event{EndpointUpdate{Complete: true, Endpoints: endpoints}}
		type out struct {
			Send
			try int
		}
		var open []out
		tries, over := map[MessageID]int{}, map[MessageID]bool{}
		for id := MessageID(1); id < 3000; id++ {
			events = append(events, Message{ID: id, Class: rnd.Intn(4), Destination: DestinationID(rnd.Intn(4)),
				OrderingKey: uint64(rnd.Intn(3)), Deadline: now + 20*time.Second})
			for len(open) > 0 && rnd.Intn(3) > 0 {
				i := rnd.Intn(len(open))
				o := Outcome(rnd.Intn(8))
				events = append(events, AttemptResult{Message: open[i].Message, Attempt: open[i].try, Endpoint: open[i].Endpoint,
					Outcome: o, Elapsed: 50 * ms, Final: o == Served || over[open[i].Message]})
				over[open[i].Message] = over[open[i].Message] || o == Served
				open = append(open[:i], open[i+1:]...)
			}
			if rnd.Intn(50) == 0 {
				events = append(events, Withdrawn{MessageID(rnd.Intn(int(id)) + 1)}, AttemptResult{Message: 1 << 40},
					EndpointUpdate{Endpoints: []Endpoint{{ID: EndpointID(rnd.Intn(8)), Destination: 1, Ready: rnd.Intn(2) == 0}}})
			}
			acts := b.Step(now, events)
			events = nil
			for _, a := range acts {
				switch a := a.(type) {
				case Send:
					if over[a.Message] {
						t.Fatalf("sent %d after its end", a.Message)
					}
					open = append(open, out{a, tries[a.Message]})
					tries[a.Message]++
				case Fail:
					if over[a.Message] {
						t.Fatalf("second answer for %d", a.Message)
					}
					over[a.Message] = true
				}
			}
			all = append(all, acts...)
			now += time.Duration(rnd.Intn(60)) * ms
		}
		return all
	}
	if a, b := play(), play(); !reflect.DeepEqual(a, b) {
		t.Fatal("the same events gave other actions")
	}
}

func TestSource_LineWidth(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if n := len([]rune(strings.ReplaceAll(l, "\t", "    "))); n > 110 {
				t.Errorf("%s:%d has %d characters", file, i+1, n)
			}
		}
	}
}

// A window grown and then hardly used let a silent destination take most slots at once.
func TestUnusedWindowFades(t *testing.T) {
	r := newRig(t, settings())
	r.serve(3, 0, 20*ms)
	route := r.b.destinations[0].sharedRoute
	route.window.Size = 7
	r.serve(40, 0, 20*ms)
	if route.window.Size > 3 {
		t.Fatalf("window %v for one call at a time", route.window.Size)
	}
}

// Calls lost here and there, on destinations that serve the others, held all slots to their deadlines.
func TestLostCallsGiveTheirSlotsBack(t *testing.T) {
	set := settings()
	set.Slots = 4
	r := newRig(t, set)
	r.serve(30, 0, 20*ms)
	r.serve(30, 1, 20*ms)
	lost := map[MessageID]bool{}
	for i := 0; len(lost) < 4 && i < 50; i++ { // each destination loses calls and serves others between
		for _, x := range r.step(r.message(2, DestinationID(i%2), 0)) {
			if r.now += 20 * ms; i%5 == 0 || i%5 == 1 {
				lost[x.Message] = true
			} else {
				r.step(r.end(x, Served))
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
		t.Fatalf("%d calls taken back for one message", r.cancels)
	}
}

// A destination that fails half of its calls was called out at once and lost most of its throughput.
func TestHalfFailingDestinationIsNotOut(t *testing.T) {
	r := newRig(t, settings())
	r.serve(30, 0, 20*ms)
	outs := 0
	for i := range 60 {
		sends := r.step(r.message(0, 0, 0))
		r.now += 300 * ms
		var ends []Event
		for _, x := range sends {
			o := Served
			if i%2 == 0 {
				o = Errored
			}
			ends = append(ends, r.end(x, o))
		}
		r.step(ends...)
		if r.b.destinations[0].sharedRoute.state == outage {
			outs++
		}
	}
	if outs > 0 {
		t.Fatalf("out in %d of 60 steps", outs)
	}
}

// Where the list rates a destination but answers report no limit, the pace stayed at half of the rate.
func TestPaceGrowsWhereNoLimitIsReported(t *testing.T) {
	set := settings()
	set.RatingIsLimit = true
	r := newRig(t, set)
	r.step(EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Ready: true, Rating: 10}}})
	route := r.b.destinations[0].sharedRoute
	before := route.sendRate
	for range 20 {
		sends := r.step(r.message(0, 0, 0))
		r.now += 300 * ms
		for _, x := range sends {
			e := r.end(x, Served)
			e.LimitReported = true
			r.step(e)
		}
	}
	if route.sendRate <= before || route.sendRate > 10 {
		t.Fatalf("pace %v, %v before", route.sendRate, before)
	}
}

// With few slots, hung destinations got the slots taken back from them again and again.
func TestSlotsGoToDestinationsThatAnswer(t *testing.T) {
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
		t.Fatal("a destination that lost its last calls goes first")
	}
	ra.lastSentAt = r.now - 20*time.Second
	if r.b.priority(ma, ra) < 0.9*r.b.priority(mb, rb) {
		t.Fatal("a destination that lost calls long ago is starved")
	}
}

// A tenant that surged widened its own share, and the others' messages were refused with it.
func TestSurgingTenantIsRefusedFirst(t *testing.T) {
	set := settings()
	set.MaxPending = 60
	set.OverShareValue = 0.05
	set.Tenants = []Tenant{{Allowance: 10}, {Allowance: 10}, {Allowance: 10}}
	r := newRig(t, set)
	owner := map[MessageID]int{}
	for i := range 400 {
		m := r.message(2, 9, 0)
		if i%10 < 2 {
			m.Tenant = 1 + i%2
		}
		owner[m.ID] = m.Tenant
		r.step(m)
		r.now += 10 * ms
	}
	others := 0
	for id := range r.refused {
		if owner[id] > 0 {
			others++
		}
	}
	if len(r.refused) < 100 || others > len(r.refused)/10 {
		t.Fatalf("%d of %d refused are of the other tenants", others, len(r.refused))
	}
}

// Brains share nothing: two that run in turn act as each does alone.
func TestBrainsShareNothing(t *testing.T) {
	play := func(bs ...*Brain) (all [][]Action) {
		all = make([][]Action, len(bs))
		for i := range 200 {
			now := time.Duration(i) * 50 * ms
			for k, b := range bs {
				var events []Event
				if i == 0 {
					events = append(events, EndpointUpdate{Complete: true, Endpoints: []Endpoint{{ID: 1, Ready: true}}})
				}
				events = append(events, Message{ID: MessageID(i), Class: i % 3, Deadline: now + 20*time.Second})
				for _, m := range b.messages {
					if n := len(m.attempts); n > 0 && m.attemptsInFlight > 0 && i%2 == k%2 {
						events = append(events, AttemptResult{Message: m.ID, Attempt: n - 1, Outcome: Served,
							Elapsed: 50 * ms, Final: true})
						break
					}
				}
				all[k] = append(all[k], b.Step(now, events)...)
			}
		}
		return all
	}
	one := func() *Brain { s := settings(); s.Slots = 1; return New(s, 5) } // one call out: one event to choose
	if both, alone := play(one(), one()), play(one()); !reflect.DeepEqual(both[0], alone[0]) {
		t.Fatal("a second brain changed what the first does")
	}
}

// Step's contract: time never goes back, and actions come in the order in which they are to be done.
func TestStepContract(t *testing.T) {
	r := newRig(t, settings())
	r.serve(10, 0, 20*ms)
	late := r.b.now
	r.now -= time.Hour
	m := r.message(0, 0, 0)
	m.Deadline = late + 10*time.Second
	if s := r.step(m); len(s) != 1 || s[0].Timeout > 10*time.Second || r.b.now != late {
		t.Fatalf("a batch dated back: %+v, now %v after %v", s, r.b.now, late)
	}
	acts := r.b.Step(late, []Event{r.message(0, 1, 0), r.message(0, 2, 0)})
	for i, a := range acts {
		if _, ok := a.(SetTimer); ok && i != len(acts)-1 {
			t.Fatalf("the alarm is not last: %+v", acts)
		}
	}
	if b := New(settings(), 1); len(b.Step(-time.Hour, []Event{TimerFired{}})) != 0 {
		t.Fatal("a clock that starts below zero")
	}
}

// A message that an earlier process had keeps what was done with it: a key out of its window, an unsafe
// one that may have run and one without attempts left are not sent again.
func TestResumedMessages(t *testing.T) {
	for name, c := range map[string]struct {
		class int
		m     Message
		sent  bool
	}{
		"never sent":             {2, Message{}, true},
		"unsafe, never ran":      {2, Message{PriorAttempts: 2}, true},
		"unsafe, may have run":   {2, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, false},
		"keyed, in its window":   {1, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, true},
		"keyed, past its window": {1, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - 6*time.Second}, false},
		"safe, long ago":         {0, Message{PriorAttempts: 1, MayHaveRun: true, FirstRunAt: time.Hour - 15*time.Second}, true},
		"no attempt left":        {0, Message{PriorAttempts: 6, MayHaveRun: true, FirstRunAt: time.Hour - time.Second}, false},
	} {
		r := newRig(t, settings())
		m := r.message(c.class, 0, 0)
		m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = c.m.PriorAttempts, c.m.MayHaveRun, c.m.FirstRunAt
		if sends := r.step(m); len(sends) == 1 != c.sent || r.failed[m.ID] == c.sent {
			t.Errorf("%s: %d sends, failed %v", name, len(sends), r.failed[m.ID])
		}
	}
	// Its window counts from the first send of all, also after further attempts.
	r := newRig(t, settings())
	m := r.message(1, 0, 0)
	m.PriorAttempts, m.MayHaveRun, m.FirstRunAt = 1, true, r.now-5*time.Second
	s := r.step(m)[0]
	r.now += 500 * ms
	r.step(r.end(s, Errored))
	r.now += 600 * ms
	if sends := r.step(TimerFired{}); len(sends) != 0 || !r.failed[m.ID] {
		t.Errorf("past its window: %d sends, failed %v", len(sends), r.failed[m.ID])
	}
}

// Endpoints under ever new ids leave nothing behind, and a destination that nobody lists or wants any more
// neither; a call that is out when its endpoint goes ends as it does, and a told wait outlasts the endpoint.
func TestWhatLeavesTheListIsForgotten(t *testing.T) {
	r := newRig(t, settings())
	list := func(ids ...EndpointID) EndpointUpdate {
		n := EndpointUpdate{Complete: true}
		for _, id := range ids { // even ones of a shared destination, odd ones routes apart
			n.Endpoints = append(n.Endpoints, Endpoint{ID: id, Destination: 10 + DestinationID(id%2), Kind: int(id % 2), Ready: true})
		}
		return n
	}
	for id := EndpointID(100); id < 2100; id += 2 {
		sends := append(r.step(list(id, id+1), r.message(0, 10, 0)), r.step(r.message(0, 11, 0))...)
		r.now += 300 * ms
		r.step(list(id+2, id+3)) // they go while their calls are out
		for _, s := range sends {
			r.step(r.end(s, Served))
		}
		r.now += 5 * time.Second
	}
	r.step(list(5000))
	if e, n, d, o := len(r.b.endpoints), r.b.routeCount, len(r.b.destinations), len(r.b.destinationOrder); e > 100 || n > 100 || d > 5 || o != d {
		t.Errorf("%d endpoints, %d routes, %d destinations, %d in order", e, n, d, o)
	}
	if len(r.failed)+len(r.refused)+len(r.b.messages) > 0 {
		t.Errorf("failed %v, refused %v, %d messages held", r.failed, r.refused, len(r.b.messages))
	}
	r.now += 2 * removedRetention
	r.step(list())
	if len(r.b.endpoints)+r.b.routeCount+len(r.b.destinations)+len(r.b.destinationOrder) > 0 {
		t.Errorf("an empty list leaves %d endpoints, %d routes, %d destinations", len(r.b.endpoints), r.b.routeCount, len(r.b.destinations))
	}

	s := r.step(list(7001), r.message(0, 11, 0))
	e := r.end(s[0], Rejected)
	e.RetryAfter = 2 * removedRetention
	r.step(e)
	r.step(list())
	r.now += removedRetention + time.Second
	if got := r.step(list(), list(7001), r.message(0, 11, 0)); len(got) > 0 {
		t.Error("a told wait is forgotten with the endpoint")
	}
}

// Where a destination is out, the messages nearest their deadline would each cut the one call that goes there
// before it is answered, and the destination would seem silent for as long as they come.
func TestProbeHasTimeForItsAnswer(t *testing.T) {
	late := settings() // all that are late are worth the same
	late.ExponentialDecay, late.Classes[1].LatencyTarget, late.Classes[1].LateValue = true, 200*ms, 0.5
	r := newRig(t, late)
	r.serve(30, 0, 100*ms)
	r.fallOut()
	for i := range 60 { // they run out of time one after another
		m := r.message(1, 0, 0)
		m.Deadline = r.now + time.Duration(i)*50*ms
		r.step(m)
	}
	r.step(r.message(1, 0, 0)) // one that can wait
	probes := 0
	for range 60 {
		r.now += 50 * ms
		for _, s := range r.step(TimerFired{}) {
			probes++
			if s.Timeout < minProbeInterval {
				t.Errorf("a probe has %v", s.Timeout)
			}
			r.step(r.end(s, ConnectFailed))
		}
	}
	if probes == 0 {
		t.Error("no probe")
	}
}

// A process that restarts within an outage has served nothing itself: what its destination bears on its return
// goes by what the process before it knew.
func TestRatesOutlastTheProcess(t *testing.T) {
	before := newRig(t, settings())
	before.serve(300, 0, 80*ms) // ten a second
	var kept []Event
	for _, e := range before.b.UsualRates() {
		if e.Destination == 0 && (e.Rate < 5 || e.Rate > 15) {
			t.Errorf("a rate of %.1f where ten a second are served", e.Rate)
		}
		kept = append(kept, e)
	}
	rate := func(facts ...Event) float64 {
		t.Helper()
		r := newRig(t, settings())
		r.step(facts...)
		r.fallOut()
		return r.b.recoveryRate(r.b.destination(0).sharedRoute)
	}
	knew := rate(kept...)
	if new := rate(); knew < 2*new {
		t.Errorf("%.2f calls a second, %.2f without what was known", knew, new)
	}
	before.fallOut()
	if same := before.b.recoveryRate(before.b.destination(0).sharedRoute); knew > 1.1*same {
		t.Errorf("%.2f calls a second, %.2f in the process that went on", knew, same)
	}
	for _, x := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		if odd := rate(UsualRate{Rate: x}); odd != rate() {
			t.Errorf("a rate of %v counts: %.2f", x, odd)
		}
	}
}
