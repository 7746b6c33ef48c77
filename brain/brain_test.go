package brain

import (
	"math"
	"math/rand"
	"reflect"
	"testing"
	"time"
)

// Rule 1: a timer that fired 64 ns early, as the caller rounds times, was treated as still set, and a message then expired
// without being failed.
func TestStep_EarlyTimerIsSetAgain(t *testing.T) {
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
			t.Fatal("no new timer was set")
		}
	}
	if !r.failed[a.ID] || r.now >= a.Deadline {
		t.Fatal("the message was not failed before its deadline")
	}
}

// A random run with some invalid events: the same events give the same actions, and no message ends twice.
func TestStep_DeterministicAndEndsMessagesOnce(t *testing.T) {
	run := func() (all []Action) {
		rnd := rand.New(rand.NewSource(3))
		b := New(settings(), 11)
		now := time.Duration(0)
		var endpoints []Endpoint
		for i := range 6 {
			endpoints = append(endpoints, Endpoint{ID: EndpointID(i), Destination: DestinationID(i / 2), Kind: i / 4, Ready: true})
		}
		events := []Event{EndpointUpdate{Complete: true, Endpoints: endpoints}}
		type inFlightSend struct {
			Send
			attempt int
		}
		var inFlight []inFlightSend
		attempts, ended := map[MessageID]int{}, map[MessageID]bool{}
		for id := MessageID(1); id < 3000; id++ {
			events = append(events, Message{ID: id, Class: rnd.Intn(4), Destination: DestinationID(rnd.Intn(4)),
				OrderingKey: uint64(rnd.Intn(3)), Deadline: now + 20*time.Second})
			for len(inFlight) > 0 && rnd.Intn(3) > 0 {
				i := rnd.Intn(len(inFlight))
				o := Outcome(rnd.Intn(8))
				events = append(events, AttemptResult{Message: inFlight[i].Message, Attempt: inFlight[i].attempt, Endpoint: inFlight[i].Endpoint,
					Outcome: o, Elapsed: 50 * ms, Final: o == Served || ended[inFlight[i].Message]})
				ended[inFlight[i].Message] = ended[inFlight[i].Message] || o == Served
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
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
					if ended[a.Message] {
						t.Fatalf("message %d is sent after its end", a.Message)
					}
					inFlight = append(inFlight, inFlightSend{a, attempts[a.Message]})
					attempts[a.Message]++
				case Fail:
					if ended[a.Message] {
						t.Fatalf("message %d ends twice", a.Message)
					}
					ended[a.Message] = true
				}
			}
			all = append(all, acts...)
			now += time.Duration(rnd.Intn(60)) * ms
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("the same events gave different actions")
	}
}

// Two Brains that run alternately act as each does alone.
func TestNew_InstancesAreIndependent(t *testing.T) {
	run := func(bs ...*Brain) (all [][]Action) {
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
	newBrain := func() *Brain { s := settings(); s.Slots = 1; return New(s, 5) } // one call in flight: the loop above has no choice
	if both, alone := run(newBrain(), newBrain()), run(newBrain()); !reflect.DeepEqual(both[0], alone[0]) {
		t.Fatal("a second Brain changes the actions of the first")
	}
}

// Time never goes back, and actions are returned in the order in which they must be carried out.
func TestStep_Contract(t *testing.T) {
	r := newRig(t, settings())
	r.serve(10, 0, 20*ms)
	late := r.b.now
	r.now -= time.Hour
	m := r.message(0, 0, 0)
	m.Deadline = late + 10*time.Second
	if s := r.step(m); len(s) != 1 || s[0].Timeout > 10*time.Second || r.b.now != late {
		t.Fatalf("a batch with an earlier time: %+v, now %v after %v", s, r.b.now, late)
	}
	acts := r.b.Step(late, []Event{r.message(0, 1, 0), r.message(0, 2, 0)})
	for i, a := range acts {
		if _, ok := a.(SetTimer); ok && i != len(acts)-1 {
			t.Fatalf("the timer is not the last action: %+v", acts)
		}
	}
	if b := New(settings(), 1); len(b.Step(-time.Hour, []Event{TimerFired{}})) != 0 {
		t.Fatal("a clock that starts below zero gives actions without messages")
	}
}

// Invalid events cause no panic and lose no message: each message ends once.
func TestStep_InvalidEvents(t *testing.T) {
	nan := math.NaN()
	for name, events := range map[string][]Event{
		"unknown class":       {Message{ID: 1, Class: 9, Deadline: time.Hour + time.Second}},
		"negative class":      {Message{ID: 1, Class: -1, Deadline: time.Hour + time.Second}},
		"unknown tenant":      {Message{ID: 1, Tenant: 7, Deadline: time.Hour + time.Second}},
		"negative tenant":     {Message{ID: 1, Tenant: -7, Deadline: time.Hour + time.Second}},
		"no endpoint":         {Message{ID: 1, Destination: 900, Deadline: time.Hour + time.Second}},
		"deadline in past":    {Message{ID: 1, Deadline: time.Second}},
		"kind out of range":   {EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Kind: -3, Zone: -1, Ready: true}, {ID: 2, Kind: 99, Zone: 99, Ready: true}}}, Message{ID: 1, Deadline: time.Hour + time.Second}},
		"rating not a number": {EndpointUpdate{Endpoints: []Endpoint{{ID: 1, Rating: nan, Ready: true}, {ID: 2, Rating: math.Inf(1), Ready: true}, {ID: 3, Rating: -1, Ready: true}}}, Message{ID: 1, Deadline: time.Hour + time.Second}},
		"unknown attempt":     {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Attempt: 4}, AttemptResult{Message: 1, Attempt: -4}, AttemptResult{Message: 44}},
		"report out of range": {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Outcome: Served, Elapsed: -time.Hour, LimitReported: true, Remaining: nan, Limit: math.Inf(1), Final: true}},
		"invalid limit":       {Message{ID: 1, Deadline: time.Hour + time.Second}, AttemptResult{Message: 1, Outcome: Rejected, RetryAfter: -time.Hour, LimitReported: true, Remaining: -1, Limit: nan}},
	} {
		s := settings()
		s.RatingIsLimit, s.ZoneFees = true, []float64{0.1}
		s.Tenants = []Tenant{{Share: 1, Allowance: 10}}
		r := newRig(t, s)
		r.step(events...)
		sent := len(r.sends)
		for range 30 { // small steps, before the time jumps
			r.now += 100 * ms
			r.step(TimerFired{})
		}
		r.now += 5 * time.Hour
		for _, x := range r.sends[sent:] {
			r.step(r.result(x, TimedOut))
		}
		for _, x := range r.sends[:sent] {
			r.step(r.result(x, TimedOut))
		}
		r.step(TimerFired{})
		ended := name == "report out of range" || r.failed[1] || r.rejected[1]
		if !ended || r.b.pending != 0 {
			t.Errorf("%s: failed %v, rejected %v, %d pending", name, r.failed[1], r.rejected[1], r.b.pending)
		}
	}
}

// Invalid settings cause no panic, and all messages end.
func TestNew_InvalidSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"zero value":   func(s *Settings) { *s = Settings{} },
		"no slots":     func(s *Settings) { s.Slots = 0 },
		"negative":     func(s *Settings) { s.Slots, s.Senders, s.MaxPending, s.MaxAttempts = -1, -1, -1, -1 },
		"no deadlines": func(s *Settings) { s.Classes = []Class{{}, {}, {}, {}} },
		"no kinds":     func(s *Settings) { s.Kinds = nil },
		"no slow start": func(s *Settings) {
			s.SlowStartDuration, s.OverloadWindow, s.OverloadMultiple, s.SlowStartCapacity = 0, 0, 0, 0
		},
	} {
		s := settings()
		change(&s)
		r := newRig(t, s)
		for i := range 5 {
			for _, x := range r.step(r.message(i%4, 0, 0)) {
				r.now += 50 * ms
				r.step(r.result(x, Outcome(i)))
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
			t.Errorf("%s: %d messages have not ended", name, r.b.pending)
		}
	}
}

// BenchmarkStep measures the decisions on one message: its submission, its call and the result of the call. The cases
// differ in the number of listed destinations, of those that get messages in turn, and of messages that wait for a further
// destination.
func BenchmarkStep(b *testing.B) {
	for _, c := range []struct {
		name                  string
		listed, busy, waiting int
	}{{"20 listed", 20, 20, 0}, {"1000 listed, 20 busy", 1000, 20, 0}, {"20000 listed, 20 busy", 20000, 20, 0}, {"20000 listed, 20000 busy", 20000, 20000, 0},
		{"20 listed, 50000 held", 20, 20, 50000}} {
		b.Run(c.name, func(b *testing.B) {
			s := settings()
			s.Slots, s.MaxPending, s.Kinds, s.Tenants = 200, 0, []Kind{{MaxBatch: 1}}, []Tenant{{Share: 1, Allowance: 1e6}}
			br := New(s, 1)
			now := time.Hour
			var events []Event
			list := EndpointUpdate{Complete: true}
			for i := range c.listed + 1 { // and one that never answers
				list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(i + 1), Destination: DestinationID(i), Ready: true})
			}
			br.Step(now, []Event{list})
			id := MessageID(0)
			for range c.waiting {
				id++
				events = append(events, Message{ID: id, Destination: DestinationID(c.listed), Deadline: now + 1000*time.Hour})
			}
			br.Step(now, events)
			b.ResetTimer()
			for i := range b.N {
				now += 100 * time.Microsecond
				id++
				acts := br.Step(now, []Event{Message{ID: id, Destination: DestinationID(i % c.busy), Deadline: now + 20*time.Second}})
				now += 100 * time.Microsecond
				events = events[:0]
				for _, a := range acts {
					if s, ok := a.(Send); ok && s.Message > MessageID(c.waiting) {
						events = append(events, AttemptResult{Message: s.Message, Endpoint: s.Endpoint, Outcome: Served, Elapsed: 100 * time.Microsecond, Final: true})
					}
				}
				br.Step(now, events)
			}
		})
	}
}
