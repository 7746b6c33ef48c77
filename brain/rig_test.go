package brain

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// settings is a plain deployment: a kind of destination with a shared route and one with endpoint routes, a class for each
// idempotency, and an ordered class.
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

// rig steps one Brain and records its actions.
type rig struct {
	*testing.T
	b        *Brain
	now      time.Duration
	next     MessageID
	sends    []Send
	sentAt   map[MessageID]time.Duration
	attempts map[MessageID]int
	failed   map[MessageID]bool
	rejected map[MessageID]bool
	cancels  int
}

func newRig(t *testing.T, s Settings) *rig {
	t.Helper()
	r := &rig{T: t, b: New(s, 7), now: time.Hour, sentAt: map[MessageID]time.Duration{}, attempts: map[MessageID]int{},
		failed: map[MessageID]bool{}, rejected: map[MessageID]bool{}}
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
			r.attempts[a.Message]++
		case Fail:
			r.failed[a.Message] = true
		case Reject:
			r.rejected[a.Message] = true
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

func (r *rig) result(s Send, o Outcome) AttemptResult {
	return AttemptResult{Message: s.Message, Attempt: r.attempts[s.Message] - 1, Endpoint: s.Endpoint, Outcome: o,
		Elapsed: r.now - r.sentAt[s.Message], Final: o == Served}
}

// serve runs n messages through a destination, one at a time, each served after latency.
func (r *rig) serve(n int, dest DestinationID, latency time.Duration) {
	r.Helper()
	for range n {
		sends := r.step(r.message(0, dest, 0))
		r.now += latency
		for _, s := range sends {
			r.step(r.result(s, Served))
		}
		r.now += 20 * ms
	}
}

// beginOutage fails calls to destination 0 until it is in an outage.
func (r *rig) beginOutage() {
	r.Helper()
	for i := 0; r.b.destination(0).sharedRoute.state != outage; i++ {
		if i > 100 {
			r.Fatal("failed calls do not begin an outage")
		}
		sends := r.step(r.message(1, 0, 0))
		for len(sends) > 0 {
			s := sends[0]
			sends = append(sends[1:], r.step(r.result(s, ConnectFailed))...)
		}
		r.now += 200 * ms
	}
}

// fleetSettings is a deployment of n senders with a hundred destinations of one endpoint each.
func fleetSettings(n int) (Settings, EndpointUpdate) {
	s := settings()
	s.Senders, s.Slots, s.IdleConnTimeout = n, 4, 15*time.Second
	s.Kinds = []Kind{{MaxBatch: 1}}
	list := EndpointUpdate{Complete: true}
	for i := range 100 {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(i + 1), Destination: DestinationID(i), Ready: true})
	}
	return s, list
}

// fleetRig is a rig for one sender of a fleet of n.
func fleetRig(t *testing.T, n int) *rig {
	t.Helper()
	s, list := fleetSettings(n)
	r := newRig(t, s)
	r.b = New(s, 7)
	r.step(list)
	return r
}

// inFlightCall is a call of one sender of a fleet, with its result.
type inFlightCall struct {
	sender  int
	result  AttemptResult
	endTime time.Duration
}

// splitEnded separates the calls that have ended by now from those in flight.
func splitEnded(now time.Duration, calls []inFlightCall) (ended, open []inFlightCall) {
	for _, c := range calls {
		if now < c.endTime {
			open = append(open, c)
		} else {
			ended = append(ended, c)
		}
	}
	return ended, open
}

// burst submits n messages at once and returns how many calls the step makes.
func (r *rig) burst(n int) int {
	var all []Event
	for range n {
		all = append(all, r.message(0, 0, 0))
	}
	return len(r.step(all...))
}
