package brain

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A destination returns from an outage with a slow start. Each sender of a fleet lets through what it takes for its part; the sum of all
// is what counts. slowStartDay plays that sum in virtual time.
type slowStartDay struct {
	senders  int
	skew     float64       // shares of the traffic fall with the position of the sender to this power
	load     float64       // traffic for the destination, in parts of its capacity
	hangs    bool          // in the outage calls are never answered; else no connection comes up
	outage   time.Duration // of all its endpoints
	restarts time.Duration // so long after the outage's begin a part of the senders restarts; 0: none does
	part     float64       // that part
	noRates  bool          // and their journals hold no rates
	idle     bool          // half of the senders has no message for the destination until it is out
	seed     uint64
}

const (
	slowStartCapacity   = 12 // calls a second of the destination when it is warm
	slowStartOthers     = 9  // further destinations, with as much traffic each
	slowStartWarmUpTime = 90 * time.Second
)

type slowStartEvent struct {
	at          time.Duration
	seq         int
	sender      int
	incarnation int
	event       Event
}

type slowStartAgenda []slowStartEvent

func (a slowStartAgenda) Len() int { return len(a) }

func (a slowStartAgenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}

func (a slowStartAgenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *slowStartAgenda) Push(x any) { *a = append(*a, x.(slowStartEvent)) }

func (a *slowStartAgenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// slowStartSender is one sender, and what its journal would hold.
type slowStartSender struct {
	b           *Brain
	incarnation int
	pending     map[MessageID]*slowStartMessage
	rates       []UsualRate
	outages     []Observation // as of
	outagesAt   time.Duration
	aware       bool // it has seen a call fail in the outage
}

type slowStartMessage struct {
	Message
	attempts, ended int // ended: those that surely never ran
	first           time.Duration
}

type slowStartCall struct {
	at    time.Duration
	aware bool
}

// play gives the calls that reached the destination from its return until it was warm.
func (w slowStartDay) play() (calls []slowStartCall, s Settings, back time.Duration) {
	s = settings()
	s.Senders, s.Slots, s.MaxPending, s.MaxAttempts, s.SlowStartCapacity = w.senders, 10, 400, 12, 0.2
	s.OverloadWindow, s.SlowStartDuration, s.IdleConnTimeout = 3*time.Second, 14*time.Second, 15*time.Second
	s.Kinds = []Kind{{MaxBatch: 1}}
	list := EndpointUpdate{Complete: true}
	for i := range slowStartOthers + 1 {
		list.Endpoints = append(list.Endpoints, Endpoint{ID: EndpointID(i + 1), Destination: DestinationID(i), Ready: true})
	}
	rng := rand.New(rand.NewPCG(w.seed, 4))
	start := time.Hour
	out := start + slowStartWarmUpTime
	back = out + w.outage
	end := back + s.SlowStartDuration + s.OverloadWindow
	var agenda slowStartAgenda
	seq := 0
	add := func(at time.Duration, sender, incarnation int, e Event) {
		seq++
		heap.Push(&agenda, slowStartEvent{at, seq, sender, incarnation, e})
	}
	senders := make([]*slowStartSender, w.senders)
	weights, sum := make([]float64, w.senders), 0.0
	for i := range senders {
		weights[i] = math.Pow(float64(i+1), -w.skew)
		sum += weights[i]
	}
	settingsOf := func(i int) Settings { // twice the slots that its part of the full load keeps busy
		own := s
		own.Slots = max(4, int(2*slowStartCapacity*(slowStartOthers+1)*0.15*weights[i]/sum))
		return own
	}
	for i := range senders {
		senders[i] = &slowStartSender{b: New(settingsOf(i), w.seed<<16+uint64(i)), pending: map[MessageID]*slowStartMessage{}}
		add(start, i, 0, list)
	}
	draw := func(first int) int {
		for {
			x := rng.Float64() * sum
			for i, weight := range weights {
				if x -= weight; x < 0 {
					if i < first {
						break
					}
					return i
				}
			}
		}
	}
	id := MessageID(0)
	for at := start; at < end; at += time.Duration(rng.ExpFloat64() * float64(time.Second) / (slowStartCapacity * w.load * (slowStartOthers + 1))) {
		id++
		to, first := DestinationID(rng.IntN(slowStartOthers+1)), 0
		if w.idle && to == 0 && at < out {
			first = w.senders / 2
		}
		add(at, draw(first), -1, Message{ID: id, Class: 1, Destination: to, Deadline: at + 28*time.Second})
	}
	if w.restarts > 0 {
		for i := range senders {
			if rng.Float64() < w.part {
				add(out+w.restarts+time.Duration(rng.Int64N(int64(2*time.Second))), i, -2, nil)
			}
		}
	}
	for at := start + time.Second; at < end; at += time.Second { // the rates that a journal keeps
		for i := range senders {
			add(at, i, -3, nil)
		}
	}
	for len(agenda) > 0 {
		e := heap.Pop(&agenda).(slowStartEvent)
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
			n.b = New(settingsOf(e.sender), w.seed<<16+uint64(e.sender)+1<<40)
			events = append(events, list)
			if !w.noRates {
				for _, r := range n.rates {
					events = append(events, r)
				}
			}
			for _, o := range n.outages {
				age := e.at - n.outagesAt
				o.HealthAge, o.HealthFor, o.OutageFor = age, o.HealthFor+age, o.OutageFor+age
				if w.noRates {
					o.Rate = 0
				}
				events = append(events, o)
			}
			for id := range MessageID(id + 1) {
				if m := n.pending[id]; m != nil {
					again := m.Message
					again.PriorAttempts, again.MayHaveRun, again.FirstRunAt = m.attempts, m.attempts > m.ended, m.first
					events = append(events, again)
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
			if end, ok := e.event.(AttemptResult); ok {
				m := n.pending[end.Message]
				switch {
				case m == nil:
				case end.Outcome == Served:
					delete(n.pending, end.Message)
				case end.Outcome == ConnectFailed:
					m.ended++
				}
				if end.Outcome != Served {
					n.aware = n.aware || e.at < back
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
				end := AttemptResult{Message: a.Message, Attempt: len(n.b.messages[a.Message].attempts) - 1, Endpoint: a.Endpoint, Elapsed: 150 * ms, Outcome: Served, Final: true}
				if m.attempts++; m.attempts == m.ended+1 {
					m.first = e.at
				}
				if a.Endpoint == 1 && e.at >= out {
					switch {
					case e.at >= back:
						calls = append(calls, slowStartCall{e.at, n.aware})
					case w.hangs:
						end.Outcome, end.Final, end.Elapsed = TimedOut, false, a.Timeout
					default:
						end.Outcome, end.Final, end.Elapsed = ConnectFailed, false, 20*ms
					}
				}
				add(e.at+end.Elapsed, e.sender, n.incarnation, end)
			}
		}
	}
	return calls, s, back
}

// worst is the window of an overload span in which most comes beyond what the settings allow and chance explains, of those of
// which two thirds come from senders that saw the outage: by how much, and how much is allowed there.
func worst(calls []slowStartCall, s Settings, back time.Duration) (beyond, allowed float64) {
	beyond = math.Inf(-1)
	first := 0
	for i, c := range calls {
		for calls[first].at <= c.at-s.OverloadWindow {
			first++
		}
		begin := max(back, c.at-s.OverloadWindow)
		share := min(1, s.SlowStartCapacity+(1-s.SlowStartCapacity)*(begin-back).Seconds()/s.SlowStartDuration.Seconds())
		if c.at >= back+s.SlowStartDuration {
			break // it is warm
		}
		n := s.OverloadMultiple * share * slowStartCapacity * s.OverloadWindow.Seconds()
		most := n + 2*math.Sqrt(n) + 2
		aware := 0
		for _, c := range calls[first : i+1] {
			if c.aware {
				aware++
			}
		}
		if all := i + 1 - first; 3*aware >= 2*all && float64(all)-most > beyond {
			beyond, allowed = float64(all)-most, most
		}
	}
	return beyond, allowed
}

// Beyond a budget of N calls only 2 roots of N and 2 more are chance, for the sum of all senders: one or three hundred, with
// even or uneven shares, also of senders that had nothing for the destination before, and of those that restart in the outage
// or in the slowStartDay, with the rates of their journals or without.
func TestSlowStart_FleetWithinBudget(t *testing.T) {
	cases := map[string]slowStartDay{
		"calls fail":                   {},
		"calls hang":                   {hangs: true},
		"uneven shares":                {skew: 1},
		"half had no traffic":          {idle: true},
		"little traffic":               {load: 0.3},
		"restarts in the outage":       {restarts: 12 * time.Second, part: 0.7},
		"restarts in the slowStartDay": {restarts: 16 * time.Second, part: 0.7},
		"restarts after a hang":        {restarts: 16 * time.Second, part: 0.7, hangs: true},
		"some restart late, uneven":    {restarts: 19 * time.Second, part: 0.3, skew: 1},
		"restarts, journals no rates":  {restarts: 16 * time.Second, part: 0.7, noRates: true},
	}
	for name, w := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, w.senders = range []int{1, 2, 3, 6, 20, 30, 80, 300} {
				if w.outage = 15 * time.Second; w.load == 0 {
					w.load = 0.85
				}
				for w.seed = range uint64(2) {
					calls, s, back := w.play()
					beyond, most := worst(calls, s, back)
					if beyond > 0 {
						t.Errorf("%d senders, seed %d: %.1f calls beyond the %.1f that the destination bears", w.senders, w.seed, beyond, most)
					}
					if within(calls, back, s.SlowStartDuration) == 0 {
						t.Errorf("%d senders, seed %d: nothing reaches it while it warms up", w.senders, w.seed)
					}
				}
			}
		})
	}
}

// within counts the calls that came within a time of the return: a slowStartDay that lets nothing through keeps every bound.
func within(calls []slowStartCall, back, span time.Duration) (n int) {
	for _, c := range calls {
		if c.at < back+span {
			n++
		}
	}
	return n
}
