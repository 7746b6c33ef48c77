package brain_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// scheduledEvent is an event that occurs at a later time.
type scheduledEvent struct {
	at       time.Duration
	sequence int
	event    brain.Event
}

type eventQueue []scheduledEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(scheduledEvent)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation feeds a Brain with the events of a generated day: destinations that serve, fail, reject, ask for a
// retry-after, hang and change, lists that churn, and processes that restart.
type simulation struct {
	t                *testing.T
	seed             uint64
	rng              *rand.Rand
	settings         brain.Settings
	now              time.Duration
	queue            eventQueue
	lastSequence     int
	brain            *brain.Brain
	replica          *brain.Brain // gets the same events and must decide the same; nil for none
	newBrains        func() (b, replica *brain.Brain)
	failureMode      map[brain.DestinationID]int
	destinationOf    map[brain.EndpointID]brain.DestinationID
	listed           map[brain.EndpointID]brain.Endpoint
	lastEndpoint     brain.EndpointID
	lastMessage      brain.MessageID
	destinationCount int
	pending          map[brain.MessageID]*pendingMessage
	counts           map[string]int
	invariants       *invariants // checked in each step; nil for none

	record      func(events []brain.Event, actions []brain.Action) // called with each batch and its actions, if set
	extraEvents func() []brain.Event                               // returns further events of a batch, if set
}

type pendingMessage struct {
	msg           brain.Message
	sends         int
	inFlight      map[int]brain.EndpointID
	priorAttempts int
	ended         bool
}

const ms = time.Millisecond

func settings(rng *rand.Rand) brain.Settings {
	s := brain.Settings{Senders: 1 + rng.IntN(4), Zone: rng.IntN(2), Slots: []int{0, 3, 8, 40}[rng.IntN(4)], MaxPending: []int{0, 20, 60, 400}[rng.IntN(4)],
		MaxAttempts: []int{0, 2, 6}[rng.IntN(3)], MayCancel: rng.IntN(2) == 0, SendsRetryAfter: rng.IntN(2) == 0, MaxRetryAfter: 2 * time.Second,
		IdleConnTimeout: []time.Duration{0, 500 * ms, 15 * time.Second}[rng.IntN(3)], RequestsEndpoints: rng.IntN(2) == 0, StepInterval: []time.Duration{0, 5 * ms}[rng.IntN(2)],
		OrderingCooldown: 400 * ms, OverloadMultiple: 2, SlowStartCapacity: 0.2, OverloadWindow: 3 * time.Second, SlowStartDuration: 10 * time.Second, OverShareValue: 0.05,
		CrossZoneCost: 0.02 * float64(rng.IntN(2)), ExponentialDecay: rng.IntN(2) == 0, RatingIsLimit: rng.IntN(3) == 0}
	routesMode := rng.IntN(3)
	for k := range 2 {
		s.Kinds = append(s.Kinds, brain.Kind{PerEndpointRoutes: routesMode == 2 || routesMode == 1 && k == 1, MaxBatch: 1 + 2*rng.IntN(2)*rng.IntN(2)})
	}
	for _, idempotency := range []brain.Idempotency{brain.Idempotent, brain.IdempotentByKey, brain.NonIdempotent} {
		for _, ordered := range []bool{false, true} {
			s.Classes = append(s.Classes, brain.Class{LatencyTarget: 2 * time.Second, Deadline: time.Duration(3+rng.IntN(20)) * time.Second, Idempotency: idempotency, Ordered: ordered,
				IdempotencyKeyZonal: rng.IntN(3) == 0, IdempotencyKeyTTL: time.Duration(1+rng.IntN(8)) * time.Second, Value: 1 + float64(rng.IntN(2)), LateValue: 0.5})
		}
	}
	for range rng.IntN(4) {
		s.Tenants = append(s.Tenants, brain.Tenant{Share: 0.3, Allowance: 1 + 20*rng.Float64()})
	}
	return s
}

func (w *simulation) schedule(d time.Duration, e brain.Event) {
	w.lastSequence++
	heap.Push(&w.queue, scheduledEvent{w.now + d, w.lastSequence, e})
}

func (w *simulation) endpoint(d brain.DestinationID) brain.Endpoint {
	w.lastEndpoint++
	w.destinationOf[w.lastEndpoint] = d
	return brain.Endpoint{ID: w.lastEndpoint, Destination: d, Kind: int(d) % 2, Zone: w.rng.IntN(2), Ready: true, Rating: 20 * w.rng.Float64() * float64(w.rng.IntN(2))}
}

// endpointUpdate returns a failed request, a few changes of the list, or the complete list. Endpoints are added, drain,
// are removed and are added again.
func (w *simulation) endpointUpdate() brain.EndpointUpdate {
	if w.rng.IntN(15) == 0 {
		return brain.EndpointUpdate{Failed: true, Overloaded: w.rng.IntN(2) == 0}
	}
	var update brain.EndpointUpdate
	for range 1 + w.rng.IntN(4) {
		d := brain.DestinationID(w.rng.IntN(w.destinationCount))
		var listed []brain.EndpointID
		for id := range w.lastEndpoint + 1 { // in order of ids: the order of a map differs from run to run
			if e, ok := w.listed[id]; ok && e.Destination == d {
				listed = append(listed, id)
			}
		}
		switch {
		case len(listed) > 0 && w.rng.IntN(3) > 0:
			id := listed[w.rng.IntN(len(listed))]
			e := w.listed[id]
			switch w.rng.IntN(4) {
			case 0: // it drains, and may become ready again
				e.Ready = false
				delete(w.listed, id)
				if relisted := e; w.rng.IntN(2) == 0 {
					relisted.Ready = true
					w.schedule(time.Duration(w.rng.IntN(5000))*ms, brain.EndpointUpdate{Endpoints: []brain.Endpoint{relisted}})
				}
			case 1: // its id is listed under another destination
				e.Destination = brain.DestinationID(w.rng.IntN(w.destinationCount))
				w.listed[id], w.destinationOf[id] = e, e.Destination
			case 2:
				e.Zone = 1 - e.Zone
				w.listed[id] = e
			}
			update.Endpoints = append(update.Endpoints, e)
		case len(listed) < 4:
			e := w.endpoint(d)
			w.listed[e.ID] = e
			update.Endpoints = append(update.Endpoints, e)
		}
	}
	if w.rng.IntN(6) == 0 {
		update = brain.EndpointUpdate{Complete: true}
		for id := range w.lastEndpoint + 1 {
			if e, ok := w.listed[id]; ok {
				update.Endpoints = append(update.Endpoints, e)
			}
		}
		if w.rng.IntN(8) == 0 { // the list is empty for a while
			update.Endpoints = nil
		}
	}
	return update
}

func (w *simulation) message() brain.Message {
	w.lastMessage++
	class := w.rng.IntN(len(w.settings.Classes)+1) - w.rng.IntN(20)/19
	m := brain.Message{ID: w.lastMessage, Class: class, Tenant: w.rng.IntN(len(w.settings.Tenants)+2) - 1, Destination: brain.DestinationID(w.rng.IntN(w.destinationCount)),
		Deadline: w.now + time.Duration(w.rng.IntN(12_000))*ms}
	if w.rng.IntN(2) == 0 {
		m.OrderingKey = uint64(1 + w.rng.IntN(6))
	}
	w.pending[m.ID] = &pendingMessage{msg: m, inFlight: map[int]brain.EndpointID{}}
	return m
}

// outcome returns the result of a call, and after what time it occurs.
func (w *simulation) outcome(s brain.Send, n int) (time.Duration, brain.AttemptResult) {
	e := brain.AttemptResult{Message: s.Message, Attempt: n, Endpoint: s.Endpoint}
	if w.rng.IntN(4) == 0 {
		e.LimitReported, e.Remaining, e.Limit = true, w.rng.Float64(), float64(w.rng.IntN(30))
	}
	latency := time.Duration(w.rng.ExpFloat64()*80) * ms
	switch w.failureMode[w.destinationOf[s.Endpoint]] {
	case 1: // fails
		e.Outcome = []brain.Outcome{brain.Errored, brain.ConnectionLost, brain.Served}[w.rng.IntN(3)]
	case 2: // rejects
		if e.Outcome = brain.Rejected; w.rng.IntN(3) == 0 {
			e.RetryAfter = time.Duration(w.rng.IntN(6000)) * ms
		} else if w.rng.IntN(2) == 0 {
			e.ConnLimitReached = true
		}
	case 3: // hangs
		latency = time.Hour
	case 4: // slow
		latency *= 20
	case 5: // connects fail
		if e.Outcome, latency = brain.ConnectFailed, latency/4; w.rng.IntN(10) == 0 {
			e.Outcome = brain.NotSent
		}
	default:
		if w.rng.IntN(30) == 0 {
			e.Outcome = brain.Outcome(w.rng.IntN(8))
		}
	}
	if latency >= s.Timeout {
		latency, e.Outcome = s.Timeout, brain.TimedOut
	}
	e.Elapsed = latency
	e.Final = e.Outcome == brain.Served || w.rng.IntN(200) == 0
	return latency, e
}

// step gives the Brain and its replica the same batch, and carries out the actions.
func (w *simulation) step(events []brain.Event) {
	w.t.Helper()
	got := w.brain.Step(w.now, append([]brain.Event(nil), events...))
	if w.record != nil {
		w.record(events, got)
	}
	if w.replica != nil {
		w.compare(events, got, w.replica.Step(w.now, append([]brain.Event(nil), events...)))
	}
	if w.invariants != nil {
		w.invariants.check(w, events, got)
	}
	for _, a := range got {
		w.counts[fmt.Sprintf("%T", a)]++
		switch a := a.(type) {
		case brain.Send:
			m := w.pending[a.Message]
			n := m.sends
			m.sends++
			m.inFlight[n] = a.Endpoint
			takes, e := w.outcome(a, n)
			w.schedule(takes, e)
		case brain.Cancel:
			if m := w.pending[a.Message]; m != nil {
				if e, ok := m.inFlight[a.Attempt]; ok && w.rng.IntN(10) > 0 {
					w.schedule(ms, brain.AttemptResult{Message: a.Message, Attempt: a.Attempt, Endpoint: e, Outcome: brain.Cancelled, Elapsed: ms})
				}
			}
		case brain.Reject:
			w.pending[a.Message].ended = true
		case brain.Fail:
			w.pending[a.Message].ended = true
		case brain.SetTimer:
			w.schedule(a.At-w.now, brain.TimerFired{})
		case brain.WatchEndpoints:
			w.schedule(50*ms, w.endpointUpdate())
		}
	}
}

func (w *simulation) compare(events []brain.Event, got, want []brain.Action) {
	w.t.Helper()
	if slices.Equal(got, want) {
		return
	}
	i := 0
	for i < min(len(got), len(want)) && got[i] == want[i] {
		i++
	}
	w.t.Fatalf("seed %d at %v, events %+v:\naction %d of %d and %d differs\n got %s\nwant %s", w.seed, w.now, events, i, len(got), len(want), formatAction(got, i), formatAction(want, i))
}

func formatAction(actions []brain.Action, i int) string {
	if i < len(actions) {
		return fmt.Sprintf("%T%+v", actions[i], actions[i])
	}
	return "nothing"
}

// restart starts a new process with the messages that were pending in the old one, as a sender does from its journal.
func (w *simulation) restart() {
	rates := w.brain.UsualRates()
	if w.replica != nil {
		if replicaRates := w.replica.UsualRates(); !slices.Equal(rates, replicaRates) {
			w.t.Fatalf("seed %d at %v: rates %v, want %v", w.seed, w.now, rates, replicaRates)
		}
	}
	w.brain, w.replica = w.newBrains()
	w.queue = nil
	if w.invariants != nil {
		w.invariants.restart()
	}
	var events []brain.Event
	list := brain.EndpointUpdate{Complete: true}
	for id := range w.lastEndpoint + 1 {
		if e, ok := w.listed[id]; ok {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	events = append(events, list)
	for _, r := range rates {
		events = append(events, r)
	}
	for id := range w.lastMessage + 1 {
		m := w.pending[id]
		if m == nil {
			continue
		}
		if m.ended {
			delete(w.pending, id)
			continue
		}
		resumed := m.msg
		resumed.PriorAttempts = m.priorAttempts + m.sends
		if m.sends > 0 && w.rng.IntN(2) == 0 {
			resumed.MayHaveRun, resumed.FirstRunAt = true, w.now-time.Duration(w.rng.IntN(4000))*ms
		}
		*m = pendingMessage{msg: resumed, inFlight: map[int]brain.EndpointID{}, priorAttempts: resumed.PriorAttempts}
		events = append(events, resumed)
	}
	w.step(events)
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 11))
	w := &simulation{t: t, seed: seed, rng: rng, settings: settings(rng), now: time.Duration(rng.IntN(3)) * time.Hour, failureMode: map[brain.DestinationID]int{},
		destinationOf: map[brain.EndpointID]brain.DestinationID{}, listed: map[brain.EndpointID]brain.Endpoint{}, destinationCount: 1 + rng.IntN(12),
		pending: map[brain.MessageID]*pendingMessage{}, counts: map[string]int{}}
	w.newBrains = func() (b, replica *brain.Brain) { return brain.New(w.settings, seed), nil }
	return w
}

func (w *simulation) run(batches int) map[string]int {
	rng := w.rng
	w.brain, w.replica = w.newBrains()
	w.step([]brain.Event{w.endpointUpdate(), w.endpointUpdate()})
	maxArrivals := 1 + rng.IntN(4)
	for range batches {
		var events []brain.Event
		switch pause := time.Duration(rng.ExpFloat64() * 30 * float64(ms)); {
		case rng.IntN(3) == 0 && len(w.queue) > 0: // the next scheduled event, alone or with those that follow soon
			w.now = max(w.now, w.queue[0].at) + pause/10*time.Duration(rng.IntN(2))
		case rng.IntN(400) == 0: // a long idle time
			w.now += time.Duration(rng.IntN(90)) * time.Minute
		case rng.IntN(60) == 0:
			w.now += time.Duration(rng.IntN(8)) * time.Second
		default:
			w.now += pause
		}
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			e := heap.Pop(&w.queue).(scheduledEvent).event
			if result, ok := e.(brain.AttemptResult); ok {
				m := w.pending[result.Message]
				if m == nil {
					continue
				}
				if _, inFlight := m.inFlight[result.Attempt]; !inFlight && rng.IntN(5) > 0 {
					continue // otherwise the result is delivered a second time
				}
				delete(m.inFlight, result.Attempt)
				m.ended = m.ended || result.Final
			}
			events = append(events, e)
		}
		for range rng.IntN(maxArrivals + 1) {
			events = append(events, w.message())
		}
		if rng.IntN(40) == 0 { // a burst for one destination
			d := brain.DestinationID(w.rng.IntN(w.destinationCount))
			for range rng.IntN(40) {
				m := w.message()
				m.Destination = d
				w.pending[m.ID].msg = m
				events = append(events, m)
			}
		}
		switch x := rng.IntN(60); {
		case x == 0:
			events = append(events, w.endpointUpdate())
		case x < 4:
			w.failureMode[brain.DestinationID(rng.IntN(w.destinationCount))] = rng.IntN(7)
		case x == 4 && w.lastMessage > 0:
			id := 1 + brain.MessageID(rng.IntN(int(w.lastMessage)))
			events = append(events, brain.Withdrawn{Message: id})
			if m := w.pending[id]; m != nil {
				m.ended = true
			}
		case x == 5:
			events = append(events, brain.TimerFired{})
		case x == 6 && rng.IntN(8) == 0:
			w.restart()
			events = nil // the new process has got all pending messages
		}
		if w.extraEvents != nil {
			events = append(events, w.extraEvents()...)
		}
		if rng.IntN(5) == 0 {
			rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		}
		w.step(events)
	}
	return w.counts
}
