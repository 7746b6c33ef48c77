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

// due is an event that is to come.
type due struct {
	at    time.Duration
	n     int
	event brain.Event
}

type agenda []due

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(due)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// world feeds a Brain with what a generated day brings: destinations that serve, fail, reject, ask for waits, hang
// and change, lists that churn, and processes that start again.
type world struct {
	t       *testing.T
	seed    uint64
	rng     *rand.Rand
	s       brain.Settings
	now     time.Duration
	agenda  agenda
	n       int
	brain   *brain.Brain
	twin    *brain.Brain // must decide the same; nil for none
	make    func() (b, twin *brain.Brain)
	mode    map[brain.DestinationID]int
	dest    map[brain.EndpointID]brain.DestinationID
	listed  map[brain.EndpointID]brain.Endpoint
	nextE   brain.EndpointID
	nextM   brain.MessageID
	dests   int
	pending map[brain.MessageID]*pendingMessage
	counts  map[string]int
	rules   *rules // what is checked beside; nil for nothing

	record func(events []brain.Event, actions []brain.Action) // sees each batch and its actions, if set
	fleet  func() []brain.Event                               // further events of a batch, if set
}

type pendingMessage struct {
	msg   brain.Message
	sends int
	out   map[int]brain.EndpointID
	tried int
	over  bool
}

const ms = time.Millisecond

func settings(rng *rand.Rand) brain.Settings {
	s := brain.Settings{Senders: 1 + rng.IntN(4), Zone: rng.IntN(2), Slots: []int{0, 3, 8, 40}[rng.IntN(4)], MaxPending: []int{0, 20, 60, 400}[rng.IntN(4)],
		MaxAttempts: []int{0, 2, 6}[rng.IntN(3)], MayCancel: rng.IntN(2) == 0, SendsRetryAfter: rng.IntN(2) == 0, MaxRetryAfter: 2 * time.Second,
		IdleConnTimeout: []time.Duration{0, 500 * ms, 15 * time.Second}[rng.IntN(3)], RequestsEndpoints: rng.IntN(2) == 0, StepInterval: []time.Duration{0, 5 * ms}[rng.IntN(2)],
		OrderingCooldown: 400 * ms, OverloadMultiple: 2, SlowStartCapacity: 0.2, OverloadWindow: 3 * time.Second, SlowStartDuration: 10 * time.Second, OverShareValue: 0.05,
		CrossZoneCost: 0.02 * float64(rng.IntN(2)), ExponentialDecay: rng.IntN(2) == 0, RatingIsLimit: rng.IntN(3) == 0}
	apart := rng.IntN(3)
	for k := range 2 {
		s.Kinds = append(s.Kinds, brain.Kind{PerEndpointRoutes: apart == 2 || apart == 1 && k == 1, MaxBatch: 1 + 2*rng.IntN(2)*rng.IntN(2)})
	}
	for _, e := range []brain.Idempotency{brain.Idempotent, brain.IdempotentByKey, brain.NonIdempotent} {
		for _, ordered := range []bool{false, true} {
			s.Classes = append(s.Classes, brain.Class{LatencyTarget: 2 * time.Second, Deadline: time.Duration(3+rng.IntN(20)) * time.Second, Idempotency: e, Ordered: ordered,
				IdempotencyKeyZonal: rng.IntN(3) == 0, IdempotencyKeyTTL: time.Duration(1+rng.IntN(8)) * time.Second, Value: 1 + float64(rng.IntN(2)), LateValue: 0.5})
		}
	}
	for range rng.IntN(4) {
		s.Tenants = append(s.Tenants, brain.Tenant{Share: 0.3, Allowance: 1 + 20*rng.Float64()})
	}
	return s
}

func (w *world) at(d time.Duration, e brain.Event) {
	w.n++
	heap.Push(&w.agenda, due{w.now + d, w.n, e})
}

func (w *world) endpoint(d brain.DestinationID) brain.Endpoint {
	w.nextE++
	w.dest[w.nextE] = d
	return brain.Endpoint{ID: w.nextE, Destination: d, Kind: int(d) % 2, Zone: w.rng.IntN(2), Ready: true, Rating: 20 * w.rng.Float64() * float64(w.rng.IntN(2))}
}

// endpointUpdate is a change of the list: a few changes, or all of it, with endpoints that come, drain, go and come again.
func (w *world) endpointUpdate() brain.EndpointUpdate {
	if w.rng.IntN(15) == 0 {
		return brain.EndpointUpdate{Failed: true, Overloaded: w.rng.IntN(2) == 0}
	}
	var n brain.EndpointUpdate
	for range 1 + w.rng.IntN(4) {
		d := brain.DestinationID(w.rng.IntN(w.dests))
		var of []brain.EndpointID
		for id := range w.nextE + 1 { // in order: a map's would differ from run to run
			if e, ok := w.listed[id]; ok && e.Destination == d {
				of = append(of, id)
			}
		}
		switch {
		case len(of) > 0 && w.rng.IntN(3) > 0:
			id := of[w.rng.IntN(len(of))]
			e := w.listed[id]
			switch w.rng.IntN(4) {
			case 0: // it drains, and may serve again
				e.Ready = false
				delete(w.listed, id)
				if back := e; w.rng.IntN(2) == 0 {
					back.Ready = true
					w.at(time.Duration(w.rng.IntN(5000))*ms, brain.EndpointUpdate{Endpoints: []brain.Endpoint{back}})
				}
			case 1: // its id comes back under another destination
				e.Destination = brain.DestinationID(w.rng.IntN(w.dests))
				w.listed[id], w.dest[id] = e, e.Destination
			case 2:
				e.Zone = 1 - e.Zone
				w.listed[id] = e
			}
			n.Endpoints = append(n.Endpoints, e)
		case len(of) < 4:
			e := w.endpoint(d)
			w.listed[e.ID] = e
			n.Endpoints = append(n.Endpoints, e)
		}
	}
	if w.rng.IntN(6) == 0 {
		n = brain.EndpointUpdate{Complete: true}
		for id := range w.nextE + 1 {
			if e, ok := w.listed[id]; ok {
				n.Endpoints = append(n.Endpoints, e)
			}
		}
		if w.rng.IntN(8) == 0 { // for a while nothing is listed at all
			n.Endpoints = nil
		}
	}
	return n
}

func (w *world) message() brain.Message {
	w.nextM++
	class := w.rng.IntN(len(w.s.Classes)+1) - w.rng.IntN(20)/19
	m := brain.Message{ID: w.nextM, Class: class, Tenant: w.rng.IntN(len(w.s.Tenants)+2) - 1, Destination: brain.DestinationID(w.rng.IntN(w.dests)),
		Deadline: w.now + time.Duration(w.rng.IntN(12_000))*ms}
	if w.rng.IntN(2) == 0 {
		m.OrderingKey = uint64(1 + w.rng.IntN(6))
	}
	w.pending[m.ID] = &pendingMessage{msg: m, out: map[int]brain.EndpointID{}}
	return m
}

// outcome is what becomes of a call at its destination, and when.
func (w *world) outcome(s brain.Send, n int) (time.Duration, brain.AttemptResult) {
	e := brain.AttemptResult{Message: s.Message, Attempt: n, Endpoint: s.Endpoint}
	if w.rng.IntN(4) == 0 {
		e.LimitReported, e.Remaining, e.Limit = true, w.rng.Float64(), float64(w.rng.IntN(30))
	}
	takes := time.Duration(w.rng.ExpFloat64()*80) * ms
	switch w.mode[w.dest[s.Endpoint]] {
	case 1: // fails
		e.Outcome = []brain.Outcome{brain.Errored, brain.ConnectionLost, brain.Served}[w.rng.IntN(3)]
	case 2: // refuses
		if e.Outcome = brain.Rejected; w.rng.IntN(3) == 0 {
			e.RetryAfter = time.Duration(w.rng.IntN(6000)) * ms
		} else if w.rng.IntN(2) == 0 {
			e.ConnLimitReached = true
		}
	case 3: // hangs
		takes = time.Hour
	case 4: // slow
		takes *= 20
	case 5: // no connection comes up
		if e.Outcome, takes = brain.ConnectFailed, takes/4; w.rng.IntN(10) == 0 {
			e.Outcome = brain.NotSent
		}
	default:
		if w.rng.IntN(30) == 0 {
			e.Outcome = brain.Outcome(w.rng.IntN(8))
		}
	}
	if takes >= s.Timeout {
		takes, e.Outcome = s.Timeout, brain.TimedOut
	}
	e.Elapsed = takes
	e.Final = e.Outcome == brain.Served || w.rng.IntN(200) == 0
	return takes, e
}

// step gives the Brain and its twin the same batch, and lets the world act on what is decided.
func (w *world) step(events []brain.Event) {
	w.t.Helper()
	got := w.brain.Step(w.now, append([]brain.Event(nil), events...))
	if w.record != nil {
		w.record(events, got)
	}
	if w.twin != nil {
		w.compare(events, got, w.twin.Step(w.now, append([]brain.Event(nil), events...)))
	}
	if w.rules != nil {
		w.rules.check(w, events, got)
	}
	for _, a := range got {
		w.counts[fmt.Sprintf("%T", a)]++
		switch a := a.(type) {
		case brain.Send:
			h := w.pending[a.Message]
			n := h.sends
			h.sends++
			h.out[n] = a.Endpoint
			takes, e := w.outcome(a, n)
			w.at(takes, e)
		case brain.Cancel:
			if h := w.pending[a.Message]; h != nil {
				if e, ok := h.out[a.Attempt]; ok && w.rng.IntN(10) > 0 {
					w.at(ms, brain.AttemptResult{Message: a.Message, Attempt: a.Attempt, Endpoint: e, Outcome: brain.Cancelled, Elapsed: ms})
				}
			}
		case brain.Reject:
			w.pending[a.Message].over = true
		case brain.Fail:
			w.pending[a.Message].over = true
		case brain.SetTimer:
			w.at(a.At-w.now, brain.TimerFired{})
		case brain.WatchEndpoints:
			w.at(50*ms, w.endpointUpdate())
		}
	}
}

func (w *world) compare(events []brain.Event, got, want []brain.Action) {
	w.t.Helper()
	if slices.Equal(got, want) {
		return
	}
	i := 0
	for i < min(len(got), len(want)) && got[i] == want[i] {
		i++
	}
	w.t.Fatalf("seed %d at %v, events %+v:\naction %d of %d and %d differs\n got %s\nwant %s", w.seed, w.now, events, i, len(got), len(want), show(got, i), show(want, i))
}

func show(actions []brain.Action, i int) string {
	if i < len(actions) {
		return fmt.Sprintf("%T%+v", actions[i], actions[i])
	}
	return "nothing"
}

// restart begins a new process with what the old one had pending, as the journal would tell it.
func (w *world) restart() {
	rates := w.brain.UsualRates()
	if w.twin != nil {
		if other := w.twin.UsualRates(); !slices.Equal(rates, other) {
			w.t.Fatalf("seed %d at %v: rates %v, want %v", w.seed, w.now, rates, other)
		}
	}
	w.brain, w.twin = w.make()
	w.agenda = nil
	if w.rules != nil {
		w.rules.restart()
	}
	var events []brain.Event
	list := brain.EndpointUpdate{Complete: true}
	for id := range w.nextE + 1 {
		if e, ok := w.listed[id]; ok {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	events = append(events, list)
	for _, r := range rates {
		events = append(events, r)
	}
	for id := range w.nextM + 1 {
		h := w.pending[id]
		if h == nil {
			continue
		}
		if h.over {
			delete(w.pending, id)
			continue
		}
		m := h.msg
		m.PriorAttempts = h.tried + h.sends
		if h.sends > 0 && w.rng.IntN(2) == 0 {
			m.MayHaveRun, m.FirstRunAt = true, w.now-time.Duration(w.rng.IntN(4000))*ms
		}
		*h = pendingMessage{msg: m, out: map[int]brain.EndpointID{}, tried: m.PriorAttempts}
		events = append(events, m)
	}
	w.step(events)
}

func newWorld(t *testing.T, seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 11))
	w := &world{t: t, seed: seed, rng: rng, s: settings(rng), now: time.Duration(rng.IntN(3)) * time.Hour, mode: map[brain.DestinationID]int{},
		dest: map[brain.EndpointID]brain.DestinationID{}, listed: map[brain.EndpointID]brain.Endpoint{}, dests: 1 + rng.IntN(12),
		pending: map[brain.MessageID]*pendingMessage{}, counts: map[string]int{}}
	w.make = func() (b, twin *brain.Brain) { return brain.New(w.s, seed), nil }
	return w
}

func (w *world) play(batches int) map[string]int {
	rng := w.rng
	w.brain, w.twin = w.make()
	w.step([]brain.Event{w.endpointUpdate(), w.endpointUpdate()})
	busy := 1 + rng.IntN(4)
	for range batches {
		var events []brain.Event
		switch gap := time.Duration(rng.ExpFloat64() * 30 * float64(ms)); {
		case rng.IntN(3) == 0 && len(w.agenda) > 0: // the next thing due, alone or with all that is due soon after
			w.now = max(w.now, w.agenda[0].at) + gap/10*time.Duration(rng.IntN(2))
		case rng.IntN(400) == 0: // long silence
			w.now += time.Duration(rng.IntN(90)) * time.Minute
		case rng.IntN(60) == 0:
			w.now += time.Duration(rng.IntN(8)) * time.Second
		default:
			w.now += gap
		}
		for len(w.agenda) > 0 && w.agenda[0].at <= w.now {
			e := heap.Pop(&w.agenda).(due).event
			if end, ok := e.(brain.AttemptResult); ok {
				h := w.pending[end.Message]
				if h == nil {
					continue
				}
				if _, out := h.out[end.Attempt]; !out && rng.IntN(5) > 0 {
					continue // twice now and then
				}
				delete(h.out, end.Attempt)
				h.over = h.over || end.Final
			}
			events = append(events, e)
		}
		for range rng.IntN(busy + 1) {
			events = append(events, w.message())
		}
		if rng.IntN(40) == 0 { // a burst, and for one destination
			d := brain.DestinationID(w.rng.IntN(w.dests))
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
			w.mode[brain.DestinationID(rng.IntN(w.dests))] = rng.IntN(7)
		case x == 4 && w.nextM > 0:
			id := 1 + brain.MessageID(rng.IntN(int(w.nextM)))
			events = append(events, brain.Withdrawn{Message: id})
			if h := w.pending[id]; h != nil {
				h.over = true
			}
		case x == 5:
			events = append(events, brain.TimerFired{})
		case x == 6 && rng.IntN(8) == 0:
			w.restart()
			events = nil // the new process was handed all that is pending
		}
		if w.fleet != nil {
			events = append(events, w.fleet()...)
		}
		if rng.IntN(5) == 0 {
			rng.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
		}
		w.step(events)
	}
	return w.counts
}
