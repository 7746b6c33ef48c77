// Package report summarizes a day beyond the rules: how much worth was served, when and for which member it was least, and the counts
// of each second. Its only input is the event log, and it does no I/O except for writing the page.
package report

import (
	"cmp"
	"math"
	"net/http"
	"slices"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
)

// Second has the counts of one second of a day.
type Second struct {
	Arrived, Delivered, HandedBack, Failed, AboveLimit int
	Asked, Served                                      float64 // worth, by the time of the first hand-in
}

// Member has the sums of a member's messages.
type Member struct {
	Name          string
	Asked, Served float64
	Messages      int
}

// ServedFraction returns the fraction of the worth asked for that was served.
func (m Member) ServedFraction() float64 { return fraction(m.Served, m.Asked) }

// Band is a period of a fault, an outage or slow start of a receiver, or of a sender's absence.
type Band struct {
	Row, What string
	From, To  float64 // seconds
	Kind      string  // trouble, outage, cold, sender, list
}

// Flight is the number of calls in flight at a receiver, at the end of each fifth of a second.
type Flight struct {
	Receiver string
	Out      []int
}

// Summary has the figures of a day.
type Summary struct {
	Name             string
	Messages, Calls  int
	HandIns          int
	Delivered        int
	ServedFraction   float64 // of the worth asked for
	Worst            float64 // ServedFraction in the worst 10 s
	WorstFrom        float64 // start of the worst 10 s, in seconds
	WorstMember      Member
	AboveLimit       int // calls answered 429 or 503
	Failed           int // messages that were not delivered by the end
	Seconds          []Second
	Members          []Member
	Bands            []Band
	Flights          []Flight
	Latency50, Lat99 float64 // seconds from a message's first hand-in to its 200
	Length           float64 // seconds
	Woken            []Woken
	MaxLatenessMS    float64
}

// Woken is a receiver's return to its usual service rate after a burst.
type Woken struct {
	Receiver string
	At       float64 // seconds into the day
	Messages int
	// Usual is the time in seconds from At until the receiver served at its usual rate, which is four fifths of its capacity over half a
	// second, or had served the whole burst. It is negative if that never happened.
	Usual float64
}

// usualFraction and usualSpan define the usual service rate after a burst: this fraction of the capacity over this span.
const (
	usualFraction = 0.8
	usualSpan     = 500_000 // microseconds
)

// findWoken finds for each burst when its receiver reached its usual service rate.
func (s *Summary) findWoken(events []eventlog.Event, fig eventlog.Figures) {
	served := map[int][]int64{}
	for _, e := range events {
		if e.Kind == eventlog.Done && e.Status == 200 {
			served[e.Dest] = append(served[e.Dest], e.T)
		}
	}
	for _, w := range fig.Wakes {
		if w.Dest < 0 || w.Dest >= len(fig.Receivers) {
			continue
		}
		at := w.AtMS * 1000
		k := Woken{Receiver: fig.Receivers[w.Dest].Name, At: float64(at) / 1e6, Messages: w.Messages, Usual: -1}
		want := max(1, usualFraction*fig.Receivers[w.Dest].Capacity*usualSpan/1e6)
		var since []int64
		for _, t := range served[w.Dest] {
			if t < at {
				continue
			}
			since = append(since, t)
			recent := 0
			for i := len(since) - 1; i >= 0 && since[i] > t-usualSpan; i-- {
				recent++
			}
			if float64(recent) >= want || len(since) >= w.Messages {
				k.Usual = float64(t-at) / 1e6
				break
			}
		}
		s.Woken = append(s.Woken, k)
	}
}

// WorstWoken returns the receiver that took longest to reach its usual service rate after a burst. If a receiver never reached it,
// WorstWoken returns that receiver and ok is false.
func (s Summary) WorstWoken() (worst Woken, ok bool) {
	ok = true
	for i, w := range s.Woken {
		if w.Usual < 0 {
			return w, false
		}
		if i == 0 || w.Usual > worst.Usual {
			worst = w
		}
	}
	return worst, ok
}

func fraction(served, asked float64) float64 {
	if asked == 0 {
		return 1
	}
	return served / asked
}

// value returns the worth of a message that is delivered late microseconds after its first hand-in. It is 1 within the latency target,
// then halves with each further latency target down to the worth of a late message, and is 0 after the deadline.
func value(c eventlog.Class, late int64) float64 {
	aim := float64(c.LatencyTarget)
	ms := float64(late) / 1000
	switch {
	case ms <= aim:
		return 1
	case ms > float64(c.Deadline):
		return 0
	}
	return max(c.Value, math.Pow(0.5, (ms-aim)/aim))
}

// tally has the messages that a day's events describe.
type tally struct {
	figures  eventlog.Figures
	messages []*message          // in the order of their first hand-ins
	byID     map[string]*message // by the ID of each hand-in
	answered map[string]bool     // hand-ins whose client got an answer
	end      int64               // time of the last event, in microseconds
}

// message is a message with all its hand-ins. Times are in microseconds.
type message struct {
	first     int64
	class     eventlog.Class
	member    string
	delivered int64
	done      bool
}

// Make summarizes a day from its events.
func Make(events []eventlog.Event) Summary {
	var s Summary
	events = eventlog.Day(events)
	t := s.readHandIns(events)
	s.Name, s.Length = t.figures.Name, float64(t.end)/1e6
	s.Seconds = make([]Second, int(t.end/1e6)+1)
	s.countOutcomes(events, t)
	s.countMessages(t)
	s.worst(t.figures.Seconds)
	s.bands(events, t.figures, t.end)
	s.flights(events, t.figures, t.end)
	s.findWoken(events, t.figures)
	return s
}

// readHandIns collects the messages of a day from its hand-ins.
func (s *Summary) readHandIns(events []eventlog.Event) *tally {
	t := &tally{byID: map[string]*message{}, answered: map[string]bool{}}
	byName := map[string]*message{}
	repeats := map[string]string{} // repeated hand-ins of an event, to the first hand-in
	for _, e := range events {
		t.end = max(t.end, e.T)
		switch e.Kind {
		case eventlog.World:
			if e.Figures != nil {
				t.figures = *e.Figures
			}
		case eventlog.HandIn:
			s.HandIns++
			m := byName[e.Msg]
			if m == nil {
				m = &message{first: e.T, class: t.figures.Classes[e.Class], member: e.Tenant}
				byName[e.Msg] = m
				t.messages = append(t.messages, m)
			}
			t.byID[e.ID] = m
			if e.Event != "" {
				repeats[e.ID] = e.Event
			}
		case eventlog.Answer:
			t.answered[e.ID] = e.Status != 0
			if first := repeats[e.ID]; first != "" && e.Status != 0 {
				t.answered[first] = true
			}
		case eventlog.Slip:
			s.MaxLatenessMS = max(s.MaxLatenessMS, float64(e.MaxUS)/1000)
		default: // other events say nothing about hand-ins
		}
	}
	return t
}

// second returns the entry for a time in microseconds. Times outside the day count in its first or last second.
func (s *Summary) second(t int64) *Second {
	return &s.Seconds[min(max(0, int(t/1e6)), len(s.Seconds)-1)]
}

// countOutcomes counts calls and answers by second, and marks the messages that were delivered.
func (s *Summary) countOutcomes(events []eventlog.Event, t *tally) {
	rejected := func(status int) bool {
		return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	}
	for _, e := range events {
		switch e.Kind {
		case eventlog.Call:
			s.Calls++
		case eventlog.Done:
			if rejected(e.Status) {
				s.AboveLimit++
				s.second(e.T).AboveLimit++
			}
			if m := t.byID[e.ID]; m != nil && e.Status == http.StatusOK && t.answered[e.ID] && !m.done {
				m.done, m.delivered = true, e.T
				s.second(e.T).Delivered++
			}
		case eventlog.Notice:
			if e.Outcome == "handed_back" {
				s.second(e.T).HandedBack++
			} else {
				s.second(e.T).Failed++
			}
		case eventlog.Answer:
			if rejected(e.Status) {
				s.second(e.T).HandedBack++
			} else if e.Status != http.StatusOK && e.Status != http.StatusAccepted {
				s.second(e.T).Failed++
			}
		default: // other events are not outcomes
		}
	}
}

// countMessages sums up the messages by second, by member and in total.
func (s *Summary) countMessages(t *tally) {
	members := map[string]*Member{}
	var latencies []float64
	asked, served := 0.0, 0.0
	for _, m := range t.messages {
		s.Messages++
		earned := 0.0
		if m.done {
			s.Delivered++
			earned = value(m.class, m.delivered-m.first)
			latencies = append(latencies, float64(m.delivered-m.first)/1e6)
		} else {
			s.Failed++
		}
		second := s.second(m.first)
		second.Arrived++
		second.Asked++
		second.Served += earned
		asked++
		served += earned
		if members[m.member] == nil {
			members[m.member] = &Member{Name: m.member}
		}
		member := members[m.member]
		member.Asked++
		member.Served += earned
		member.Messages++
	}
	s.ServedFraction = fraction(served, asked)
	for _, m := range members {
		s.Members = append(s.Members, *m)
	}
	slices.SortFunc(s.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.ServedFraction(), b.ServedFraction()), cmp.Compare(a.Name, b.Name))
	})
	if len(s.Members) > 0 {
		s.WorstMember = s.Members[0]
	}
	slices.Sort(latencies)
	if n := len(latencies); n > 0 {
		s.Latency50, s.Lat99 = latencies[(n-1)/2], latencies[(n*99-1)/100]
	}
}

// worst finds the ten seconds of arrivals with the lowest fraction of worth served.
func (s *Summary) worst(length float64) {
	s.Worst = s.ServedFraction
	n := min(int(math.Ceil(length)), len(s.Seconds))
	first := true
	for from := 0; from+10 <= n; from++ {
		a, v := 0.0, 0.0
		for _, x := range s.Seconds[from : from+10] {
			a, v = a+x.Asked, v+x.Served
		}
		if w := fraction(v, a); a > 0 && (first || w < s.Worst) {
			s.Worst, s.WorstFrom, first = w, float64(from), false
		}
	}
}

func (s *Summary) bands(events []eventlog.Event, fig eventlog.Figures, end int64) {
	seconds := func(t int64) float64 { return max(0, float64(t)/1e6) }
	name := func(dest int) string {
		if dest >= 0 && dest < len(fig.Receivers) {
			return fig.Receivers[dest].Name
		}
		return "?"
	}
	type open struct{ row, what, kind string }
	var list []open
	from := map[open][]int64{}
	begin := func(o open, t int64) {
		if len(from[o]) == 0 {
			list = append(list, o)
		}
		from[o] = append(from[o], t)
	}
	finish := func(o open, t int64) {
		if at := from[o]; len(at) > 0 {
			s.Bands = append(s.Bands, Band{o.row, o.what, seconds(at[0]), seconds(t), o.kind})
			from[o] = at[1:]
		}
	}
	for _, e := range events {
		switch e.Kind {
		case eventlog.FaultChanged:
			o := open{name(e.Dest), e.Detail, "trouble"}
			if e.Detail == "cold" {
				continue
			}
			if e.State == "on" {
				begin(o, e.T)
			} else {
				finish(o, e.T)
			}
		case eventlog.Outage:
			o := open{name(e.Dest), "cold", "cold"}
			if e.State == "off" {
				begin(o, e.T)
			} else if at := from[o]; len(at) > 0 { // a new outage during slow start
				finish(o, min(e.T, at[0]+fig.SlowStart*1000))
			}
		case eventlog.Fell:
			begin(open{name(e.Dest), "fallen", "outage"}, e.T)
		case eventlog.Term, eventlog.Killed:
			if o := (open{e.Sender, "away", "sender"}); len(from[o]) == 0 {
				begin(o, e.T)
			}
		case eventlog.Ready:
			finish(open{e.Sender, "away", "sender"}, e.T)
		default: // other events begin or end no band
		}
	}
	for _, o := range list {
		for len(from[o]) > 0 {
			to := end
			if o.kind == "cold" {
				to = min(end, from[o][0]+fig.SlowStart*1000)
			}
			finish(o, to)
		}
	}
	slices.SortStableFunc(s.Bands, func(a, b Band) int { return cmp.Or(cmp.Compare(a.Row, b.Row), cmp.Compare(a.From, b.From)) })
}

// step is the sampling interval of the calls in flight, in microseconds.
const step = 200_000

func (s *Summary) flights(events []eventlog.Event, fig eventlog.Figures, end int64) {
	if end < 0 {
		return
	}
	n := int(end/step) + 1
	out := make([][]int, len(fig.Receivers))
	for i := range out {
		out[i] = make([]int, n+1)
	}
	at := map[int64]eventlog.Event{}
	mark := func(dest int, t int64, by int) {
		if dest >= 0 && dest < len(out) {
			out[dest][min(max(0, int((t+step-1)/step)), n)] += by
		}
	}
	for _, e := range events {
		switch e.Kind {
		case eventlog.Call:
			if e.Call != 0 {
				at[e.Call] = e
				mark(e.Dest, e.T, 1)
			}
		case eventlog.Done:
			if c, ok := at[e.Call]; ok {
				mark(c.Dest, e.T, -1)
				delete(at, e.Call)
			}
		default: // other events do not change the number of calls in flight
		}
	}
	for i, r := range fig.Receivers {
		sum, line := 0, make([]int, n)
		for j := range n {
			sum += out[i][j]
			line[j] = sum
		}
		s.Flights = append(s.Flights, Flight{r.Name, line})
	}
}
