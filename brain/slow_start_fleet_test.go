package brain

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// slowStartScenario simulates a fleet in virtual time while a destination returns from an outage with a slow start. Each
// sender limits its calls to what it estimates as its part; the destination must be able to take the sum of them.
type slowStartScenario struct {
	senders         int
	skew            float64       // a sender's share of the traffic falls with its position to this power
	load            float64       // traffic for the destination, as a fraction of its capacity
	hangs           bool          // during the outage calls are never answered; otherwise connects fail
	outage          time.Duration // duration of the outage
	restartAfter    time.Duration // time from the start of the outage until senders restart; 0 for no restart
	restartFraction float64       // fraction of the senders that restart
	ratesLost       bool          // the journals of senders that restart contain no rates
	halfIdle        bool          // half of the senders have no message for the destination before the outage
	seed            uint64
}

const (
	slowStartCapacity          = 12 // calls a second of the destination after its slow start
	slowStartOtherDestinations = 9  // further destinations, with as much traffic each
	timeBeforeOutage           = 90 * time.Second
)

type slowStartEvent struct {
	at          time.Duration
	seq         int
	sender      int
	incarnation int // of the sender; -1 for a new message, -2 for a restart, -3 for a write of the journal
	event       Event
}

type slowStartQueue []slowStartEvent

func (a slowStartQueue) Len() int { return len(a) }

func (a slowStartQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a slowStartQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *slowStartQueue) Push(x any) { *a = append(*a, x.(slowStartEvent)) }

func (a *slowStartQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// slowStartSender is one sender, with the contents of its journal.
type slowStartSender struct {
	b           *Brain
	incarnation int
	pending     map[MessageID]*slowStartMessage
	rates       []UsualRate
	outages     []Observation // as of outagesAt
	outagesAt   time.Duration
	aware       bool // it has observed a failed call in the outage
}

type slowStartMessage struct {
	Message
	attempts, notRun int // notRun: attempts that certainly never ran
	firstRunAt       time.Duration
}

type slowStartCall struct {
	at    time.Duration
	aware bool
}

// run returns the calls that reached the destination after its return.
func (w slowStartScenario) run() (calls []slowStartCall, s Settings, returnedAt time.Duration) {
	s = settings()
	s.Senders, s.Slots, s.MaxPending, s.MaxAttempts, s.SlowStartCapacity = w.senders, 10, 400, 12, 0.2
	s.OverloadWindow, s.SlowStartDuration, s.IdleConnTimeout = 3*time.Second, 14*time.Second, 15*time.Second
	s.Kinds = []Kind{{MaxBatch: 1}}
	list := EndpointUpdate{Complete: true}
	for i := range slowStartOtherDestinations + 1 {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(i + 1), Destination: DestinationID(i), Ready: true})
	}
	rng := rand.New(rand.NewPCG(w.seed, 4))
	start := time.Hour
	outageAt := start + timeBeforeOutage
	returnedAt = outageAt + w.outage
	end := returnedAt + s.SlowStartDuration + s.OverloadWindow
	var queue slowStartQueue
	seq := 0
	add := func(at time.Duration, sender, incarnation int, e Event) {
		seq++
		heap.Push(&queue, slowStartEvent{at, seq, sender, incarnation, e})
	}
	senders := make([]*slowStartSender, w.senders)
	weights, sum := make([]float64, w.senders), 0.0
	for i := range senders {
		weights[i] = math.Pow(float64(i+1), -w.skew)
		sum += weights[i]
	}
	senderSettings := func(i int) Settings { // twice the slots that its part of the full load uses
		senderSettings := s
		senderSettings.Slots = max(4, int(2*slowStartCapacity*(slowStartOtherDestinations+1)*0.15*weights[i]/sum))
		return senderSettings
	}
	for i := range senders {
		senders[i] = &slowStartSender{b: New(senderSettings(i), w.seed<<16+uint64(i)), pending: map[MessageID]*slowStartMessage{}}
		add(start, i, 0, list)
	}
	draw := func(firstSender int) int {
		for {
			x := rng.Float64() * sum
			for i, weight := range weights {
				if x -= weight; x < 0 {
					if i < firstSender {
						break
					}
					return i
				}
			}
		}
	}
	id := MessageID(0)
	for at := start; at < end; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / (slowStartCapacity * w.load * (slowStartOtherDestinations + 1))) {
		id++
		to, firstSender := DestinationID(rng.IntN(slowStartOtherDestinations+1)), 0
		if w.halfIdle && to == 0 && at < outageAt {
			firstSender = w.senders / 2
		}
		add(at, draw(firstSender), -1, Message{ID: id, Class: 1, Destination: to, Deadline: at + 28*time.Second})
	}
	if w.restartAfter > 0 {
		for i := range senders {
			if rng.Float64() < w.restartFraction {
				add(outageAt+w.restartAfter+time.Duration(rng.Int64N(int64(2*time.Second))), i, -2, nil)
			}
		}
	}
	for at := start + time.Second; at < end; at += time.Second { // writes of the journals
		for i := range senders {
			add(at, i, -3, nil)
		}
	}
	for len(queue) > 0 {
		e := heap.Pop(&queue).(slowStartEvent)
		if e.at >= end {
			break
		}
		n := senders[e.sender]
		var events []Event
		switch e.incarnation {
		case -3:
			n.rates, n.outages, n.outagesAt = n.b.UsualRates(), n.b.Outages(), e.at
			continue
		case -2:
			n.incarnation++
			n.b = New(senderSettings(e.sender), w.seed<<16+uint64(e.sender)+1<<40)
			events = append(events, list)
			if !w.ratesLost {
				for _, r := range n.rates {
					events = append(events, r)
				}
			}
			for _, o := range n.outages {
				age := e.at - n.outagesAt
				o.HealthAge, o.HealthFor, o.OutageFor = age, o.HealthFor+age, o.OutageFor+age
				if w.ratesLost {
					o.Rate = 0
				}
				events = append(events, o)
			}
			for id := range MessageID(id + 1) {
				if m := n.pending[id]; m != nil {
					resumed := m.Message
					resumed.PriorAttempts, resumed.MayHaveRun, resumed.FirstRunAt = m.attempts, m.attempts > m.notRun, m.firstRunAt
					events = append(events, resumed)
				}
			}
		case -1:
			m := e.event.(Message)
			n.pending[m.ID] = &slowStartMessage{Message: m}
			events = append(events, m)
		default:
			if e.incarnation != n.incarnation {
				continue
			}
			if result, ok := e.event.(AttemptResult); ok {
				m := n.pending[result.Message]
				switch {
				case m == nil:
				case result.Outcome == Served:
					delete(n.pending, result.Message)
				case result.Outcome == ConnectFailed:
					m.notRun++
				}
				if result.Outcome != Served {
					n.aware = n.aware || e.at < returnedAt
				}
			}
			events = append(events, e.event)
		}
		for _, a := range n.b.Step(e.at, events) {
			switch a := a.(type) {
			case SetTimer:
				add(a.At, e.sender, n.incarnation, TimerFired{})
			case Fail:
				delete(n.pending, a.Message)
			case Reject:
				delete(n.pending, a.Message)
			case Send:
				m := n.pending[a.Message]
				if m == nil {
					continue
				}
				result := AttemptResult{Message: a.Message, Attempt: len(n.b.messages[a.Message].attempts) - 1, Endpoint: a.Endpoint, Elapsed: 150 * ms, Outcome: Served, Final: true}
				if m.attempts++; m.attempts == m.notRun+1 {
					m.firstRunAt = e.at
				}
				if a.Endpoint == 1 && e.at >= outageAt {
					switch {
					case e.at >= returnedAt:
						calls = append(calls, slowStartCall{e.at, n.aware})
					case w.hangs:
						result.Outcome, result.Final, result.Elapsed = TimedOut, false, a.Timeout
					default:
						result.Outcome, result.Final, result.Elapsed = ConnectFailed, false, 20*ms
					}
				}
				add(e.at+result.Elapsed, e.sender, n.incarnation, result)
			}
		}
	}
	return calls, s, returnedAt
}

// maxExcess returns the largest number of calls in an overload window beyond those that the settings allow and random
// variation explains, and how many are allowed there. It considers only windows in which at least two thirds of the calls
// come from senders that observed the outage.
func maxExcess(calls []slowStartCall, s Settings, returnedAt time.Duration) (excess, allowed float64) {
	excess = math.Inf(-1)
	first := 0
	for i, c := range calls {
		for calls[first].at <= c.at-s.OverloadWindow {
			first++
		}
		begin := max(returnedAt, c.at-s.OverloadWindow)
		share := min(1, s.SlowStartCapacity+(1-s.SlowStartCapacity)*(begin-returnedAt).Seconds()/s.SlowStartDuration.Seconds())
		if c.at >= returnedAt+s.SlowStartDuration {
			break // the slow start is over
		}
		n := s.OverloadMultiple * share * slowStartCapacity * s.OverloadWindow.Seconds()
		limit := n + 2*math.Sqrt(n) + 2
		aware := 0
		for _, c := range calls[first : i+1] {
			if c.aware {
				aware++
			}
		}
		if all := i + 1 - first; 3*aware >= 2*all && float64(all)-limit > excess {
			excess, allowed = float64(all)-limit, limit
		}
	}
	return excess, allowed
}

// The calls of all senders together may exceed a budget of N calls by 2 times the square root of N and 2 more, by random
// variation. This must hold for 1 to 300 senders with even or uneven shares of the traffic, for senders that had no
// message for the destination before, and for senders that restart during the outage or the slow start, with or without
// the rates of their journals.
func TestSlowStart_FleetWithinBudget(t *testing.T) {
	cases := map[string]slowStartScenario{
		"calls fail":                   {},
		"calls hang":                   {hangs: true},
		"uneven shares":                {skew: 1},
		"half had no traffic":          {halfIdle: true},
		"little traffic":               {load: 0.3},
		"restarts in the outage":       {restartAfter: 12 * time.Second, restartFraction: 0.7},
		"restarts in the slow start":   {restartAfter: 16 * time.Second, restartFraction: 0.7},
		"restarts after a hang":        {restartAfter: 16 * time.Second, restartFraction: 0.7, hangs: true},
		"some restart late, uneven":    {restartAfter: 19 * time.Second, restartFraction: 0.3, skew: 1},
		"restarts, no journaled rates": {restartAfter: 16 * time.Second, restartFraction: 0.7, ratesLost: true},
	}
	for name, w := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, w.senders = range []int{1, 2, 3, 6, 20, 30, 80, 300} {
				if w.outage = 15 * time.Second; w.load == 0 {
					w.load = 0.85
				}
				for w.seed = range uint64(2) {
					calls, s, returnedAt := w.run()
					excess, allowed := maxExcess(calls, s, returnedAt)
					if excess > 0 {
						t.Errorf("%d senders, seed %d: %.1f calls more than the %.1f allowed", w.senders, w.seed, excess, allowed)
					}
					if countWithin(calls, returnedAt, s.SlowStartDuration) == 0 {
						t.Errorf("%d senders, seed %d: no call reaches the destination during its slow start", w.senders, w.seed)
					}
				}
			}
		})
	}
}

// countWithin counts the calls within span of the return: a fleet that sends nothing would stay within every budget.
func countWithin(calls []slowStartCall, returnedAt, span time.Duration) (n int) {
	for _, c := range calls {
		if c.at < returnedAt+span {
			n++
		}
	}
	return n
}
