// Package receiver stands in for the receivers of messages. Model decides, free of I/O and clocks, what
// becomes of each call; Server puts sockets round it.
package receiver

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/fault"
)

// Spec is a receiver as drawn. Rates are calls a second, from all senders together.
type Spec struct {
	Slots   int           // calls that each endpoint serves at once
	Queue   int           // and that wait there
	Service time.Duration // mean time of a call when warm
	Spread  float64       // its coefficient of variation
	Times   string        // exp, lognormal or fixed

	Capacity  float64       // what it can serve when warm
	LimitKind string        // none, rate or window
	Limit     float64       // 0 if none
	Window    time.Duration // of a limit that counts in fixed spans
	TellsWait time.Duration // over 0: above the limit the answer is 429 with a wait

	MaxConnections int           // connections of an endpoint, idle ones counted; 0: any number
	IdleClose      time.Duration // an idle connection is closed after this
	Reports        bool          // answers hold x0 and x1
	ReportEach     time.Duration // refreshed so often
	ReportLate     time.Duration // and shown so much later

	Format encoding.Format // of calls; "" for the platform's

	SlowStartCapacity float64       // share of its capacity right after an outage
	SlowStart         time.Duration // warm after this
	FallMultiple      float64       // more than this multiple of its present capacity
	FallSpan          time.Duration // for this long knocks it over while it is cold
}

// Outcome is how a call ends at the receiver.
type Outcome struct {
	Call    int64
	Status  int           // 200, 429, 500 or 503
	Wait    time.Duration // with 429
	Exit    fault.Exit    // how the answer goes out
	Dropped bool          // no answer: its connection is gone or about to be reset
}

// Change is what a step did to the receiver as a whole.
type Change struct {
	OutageBegan, OutageEnded, Fell bool
	Reset                          bool // connections are to be reset: the machine was gone, or has shut
}

type job struct {
	call     int64
	endpoint int
	left     time.Duration // of service at speed 1
}

type endpoint struct {
	serving []job
	queue   []job
	gone    bool
}

// Model is a receiver: its endpoints' slots and queues, its limit, its warmth and the troubles that run. The
// time passed in never goes back.
type Model struct {
	spec Spec
	rng  *rand.Rand
	now  time.Duration

	on         map[int]fault.Fault // by number
	cond       fault.Condition
	endpoints  []endpoint
	unanswered []job // in silence: taken, not begun

	out     bool          // an outage is on
	warming bool          // since back
	back    time.Duration // when the last outage ended
	fell    bool
	recent  []time.Duration // calls since back, within the span

	tokens  float64 // of a rate
	filled  time.Duration
	span    int64 // which window
	inSpan  int
	shown   report
	coming  []report
	nextRep time.Duration
}

type report struct {
	at   time.Duration // from when on it is shown
	left float64
}

// NewModel makes a receiver with so many endpoints.
func NewModel(spec Spec, endpoints int, seed uint64) *Model {
	m := &Model{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x7265686561727365)), on: map[int]fault.Fault{},
		cond: fault.Combine(nil), endpoints: make([]endpoint, endpoints), shown: report{left: 1}}
	m.tokens = m.burst()
	return m
}

// AddEndpoint adds one and returns its number.
func (m *Model) AddEndpoint() int {
	m.endpoints = append(m.endpoints, endpoint{})
	return len(m.endpoints) - 1
}

// Remove takes an endpoint away; what it had is dropped.
func (m *Model) Remove(now time.Duration, e int) []Outcome {
	out := m.Advance(now)
	ep := &m.endpoints[e]
	for _, j := range append(ep.serving, ep.queue...) {
		out = append(out, Outcome{Call: j.call, Dropped: true})
	}
	*ep = endpoint{gone: true}
	m.unanswered = slices.DeleteFunc(m.unanswered, func(j job) bool {
		if j.endpoint == e {
			out = append(out, Outcome{Call: j.call, Dropped: true})
		}
		return j.endpoint == e
	})
	return out
}

// Condition is what the troubles that run now come to.
func (m *Model) Condition() fault.Condition {
	c := m.cond
	c.Shut = c.Shut || m.fell
	return c
}

// Warmth is the share of its capacity that the receiver has at a time, were it not out.
func (m *Model) Warmth(now time.Duration) float64 {
	if !m.warming || m.spec.SlowStart <= 0 {
		return 1
	}
	part := float64(now-m.back) / float64(m.spec.SlowStart)
	return min(1, m.spec.SlowStartCapacity+(1-m.spec.SlowStartCapacity)*part)
}

// Begin lets a trouble run from now on, under a number of its own.
func (m *Model) Begin(now time.Duration, number int, t fault.Fault) ([]Outcome, Change) {
	out := m.Advance(now)
	var c Change
	if t.Kind == fault.SlowStart {
		if !m.out { // within an outage its end does the same
			m.cool(now)
		}
		return out, c
	}
	m.on[number] = t
	more, c := m.recombine(now)
	return append(out, more...), c
}

// End ends a trouble.
func (m *Model) End(now time.Duration, number int) ([]Outcome, Change) {
	out := m.Advance(now)
	delete(m.on, number)
	more, c := m.recombine(now)
	return append(out, more...), c
}

func (m *Model) cool(now time.Duration) {
	m.warming, m.back, m.recent = true, now, nil
}

// recombine takes in what the troubles now come to.
func (m *Model) recombine(now time.Duration) ([]Outcome, Change) {
	was := m.cond
	var on []fault.Fault
	for _, n := range sortedKeys(m.on) {
		on = append(on, m.on[n])
	}
	m.cond = fault.Combine(on)
	var out []Outcome
	c := Change{}
	switch {
	case m.cond.Unreachable:
	case was.Unreachable, m.cond.Shut && !was.Shut:
		// Back from nowhere its connections mean nothing to it; shutting, it breaks them itself.
		out, c.Reset = m.dropAll(), true
	case was.Hung && !m.cond.Hung:
		held := m.unanswered
		m.unanswered = nil
		for _, j := range held {
			if o, full := m.enqueue(j); full {
				out = append(out, o)
			}
		}
	}
	switch is := m.cond.Outage(); {
	case m.fell: // nothing changes that any more
	case is && !m.out:
		m.out, m.warming, c.OutageBegan = true, false, true
	case !is && m.out:
		m.out, c.OutageEnded = false, true
		m.cool(now)
	}
	m.start()
	return out, c
}

func sortedKeys[V any](m map[int]V) []int {
	keys := make([]int, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (m *Model) dropAll() []Outcome {
	var out []Outcome
	for i := range m.endpoints {
		e := &m.endpoints[i]
		for _, j := range append(e.serving, e.queue...) {
			out = append(out, Outcome{Call: j.call, Dropped: true})
		}
		e.serving, e.queue = nil, nil
	}
	for _, j := range m.unanswered {
		out = append(out, Outcome{Call: j.call, Dropped: true})
	}
	m.unanswered = nil
	return out
}

// Arrive takes in a call whose last byte has come. Its outcome comes with this or a later step.
func (m *Model) Arrive(now time.Duration, e int, call int64) ([]Outcome, Change) {
	out := m.Advance(now)
	var c Change
	if m.endpoints[e].gone {
		return append(out, Outcome{Call: call, Status: 503}), c
	}
	if m.weigh(now) {
		m.fell, c.Fell, c.Reset = true, true, true
		out = append(out, m.dropAll()...)
		return append(out, Outcome{Call: call, Dropped: true}), c
	}
	if m.fell {
		return append(out, Outcome{Call: call, Dropped: true}), c
	}
	switch m.cond.Enter(m.rng.Float64()) {
	case fault.Unresponsive:
		m.unanswered = append(m.unanswered, job{call, e, m.service()})
		return out, c
	case fault.RateLimited:
		return append(out, Outcome{Call: call, Status: 429, Wait: m.cond.Wait}), c
	case fault.Refused:
		return append(out, Outcome{Call: call, Status: 503}), c
	case fault.Failed:
		return append(out, Outcome{Call: call, Status: 500}), c
	case fault.Serve:
	}
	if wait, ok := m.admit(now); !ok {
		if m.spec.TellsWait > 0 {
			return append(out, Outcome{Call: call, Status: 429, Wait: wait}), c
		}
		return append(out, Outcome{Call: call, Status: 503}), c
	}
	if o, full := m.enqueue(job{call, e, m.service()}); full {
		out = append(out, o)
	}
	m.start()
	return out, c
}

// weigh counts a call against what a cold receiver bears, and says whether this one knocks it over.
func (m *Model) weigh(now time.Duration) bool {
	if !m.warming || m.out || m.fell || m.Warmth(now) >= 1 {
		return false
	}
	m.recent = append(m.recent, now)
	for m.recent[0] <= now-m.spec.FallSpan {
		m.recent = m.recent[1:]
	}
	budget := m.spec.FallMultiple * m.Warmth(now) * m.spec.Capacity * m.spec.FallSpan.Seconds()
	return float64(len(m.recent)) > budget+max(4, math.Sqrt(budget))
}

// burst is what a rate lets through at once after a pause.
func (m *Model) burst() float64 { return max(2, m.spec.Limit/2) }

// refill brings the limit's count up to a time.
func (m *Model) refill(now time.Duration) {
	switch m.spec.LimitKind {
	case "rate":
		m.tokens = min(m.burst(), m.tokens+m.spec.Limit*(now-m.filled).Seconds())
		m.filled = now
	case "window":
		if span := int64(now / m.spec.Window); span != m.span {
			m.span, m.inSpan = span, 0
		}
	}
}

func (m *Model) perWindow() int { return max(1, int(m.spec.Limit*m.spec.Window.Seconds())) }

// admit takes a call within the limit, or says how long there will be no room. Refused calls don't count.
func (m *Model) admit(now time.Duration) (time.Duration, bool) {
	m.refill(now)
	switch m.spec.LimitKind {
	case "rate":
		if m.tokens < 1 {
			return max(m.spec.TellsWait, time.Duration((1-m.tokens)/m.spec.Limit*float64(time.Second))), false
		}
		m.tokens--
	case "window":
		if m.inSpan >= m.perWindow() {
			return time.Duration(m.span+1)*m.spec.Window - now, false
		}
		m.inSpan++
	}
	return 0, true
}

// left is the share of the limit that is left.
func (m *Model) left(now time.Duration) float64 {
	m.refill(now)
	switch m.spec.LimitKind {
	case "rate":
		return m.tokens / m.burst()
	case "window":
		return 1 - float64(m.inSpan)/float64(m.perWindow())
	}
	return 0
}

// Report is what an answer at a time tells: the share of the limit left as it was some time ago, and the limit.
func (m *Model) Report(now time.Duration) (left, limit float64, ok bool) {
	if !m.spec.Reports || m.spec.ReportEach <= 0 {
		return 0, 0, false
	}
	m.publish(now)
	for len(m.coming) > 0 && m.coming[0].at <= now {
		m.shown, m.coming = m.coming[0], m.coming[1:]
	}
	return m.shown.left, m.spec.Limit, true
}

// publish takes the reports due up to a time; nothing has come in since the last step.
func (m *Model) publish(now time.Duration) {
	if !m.spec.Reports || m.spec.ReportEach <= 0 {
		return
	}
	if behind := now - m.nextRep; behind > 100*m.spec.ReportEach {
		m.nextRep += (behind/m.spec.ReportEach - 10) * m.spec.ReportEach // long quiet: those before say nothing new
	}
	for m.nextRep <= now {
		m.coming = append(m.coming, report{m.nextRep + m.spec.ReportLate, m.left(max(m.nextRep, m.filled))})
		m.nextRep += m.spec.ReportEach
	}
}

// service draws how long a call takes when warm.
func (m *Model) service() time.Duration {
	mean := float64(m.spec.Service)
	switch m.spec.Times {
	case "exp":
		return time.Duration(m.rng.ExpFloat64() * mean)
	case "fixed":
		return m.spec.Service
	}
	s2 := math.Log(1 + m.spec.Spread*m.spec.Spread)
	return time.Duration(mean * math.Exp(math.Sqrt(s2)*m.rng.NormFloat64()-s2/2))
}

// enqueue puts a call in a queue, or turns it away if that is full.
func (m *Model) enqueue(j job) (Outcome, bool) {
	e := &m.endpoints[j.endpoint]
	if len(e.serving) >= m.spec.Slots && len(e.queue) >= m.spec.Queue {
		return Outcome{Call: j.call, Status: 503}, true
	}
	e.queue = append(e.queue, j)
	m.start()
	return Outcome{}, false
}

// start begins what has a free slot.
func (m *Model) start() {
	for i := range m.endpoints {
		e := &m.endpoints[i]
		for len(e.queue) > 0 && len(e.serving) < m.spec.Slots {
			e.serving, e.queue = append(e.serving, e.queue[0]), e.queue[1:]
		}
	}
}

// speed is how fast service goes at a time.
func (m *Model) speed(now time.Duration) float64 {
	if m.cond.Unreachable || m.cond.Hung || m.fell {
		return 0
	}
	return m.Warmth(now) / m.cond.Slow
}

// slice bounds a step while warmth changes: within it the speed counts as even.
const slice = 20 * time.Millisecond

// Advance counts service down to a time and returns what ended.
func (m *Model) Advance(now time.Duration) []Outcome {
	var out []Outcome
	for m.now < now {
		v := m.speed(m.now)
		step := now - m.now
		if v > 0 {
			if m.warming && m.Warmth(m.now) < 1 {
				step = min(step, slice)
			}
			if left, ok := m.shortest(); ok {
				step = min(step, max(time.Microsecond, time.Duration(math.Ceil(float64(left)/v))))
			}
			done := time.Duration(float64(step) * v)
			for i := range m.endpoints {
				e := &m.endpoints[i]
				for j := range e.serving {
					e.serving[j].left -= done
				}
			}
		}
		m.now += step
		ended := false
		for i := range m.endpoints {
			e := &m.endpoints[i]
			e.serving = slices.DeleteFunc(e.serving, func(j job) bool {
				if v > 0 && j.left <= 0 {
					out = append(out, Outcome{Call: j.call, Status: 200, Exit: m.cond.Leave(m.rng.Float64(), m.rng.Float64())})
					ended = true
					return true
				}
				return false
			})
		}
		if ended {
			m.start()
		}
		if v == 0 {
			m.now = now
		}
	}
	m.publish(now)
	slices.SortStableFunc(out, func(a, b Outcome) int { return cmp.Compare(a.Call, b.Call) })
	return out
}

func (m *Model) shortest() (time.Duration, bool) {
	least, ok := time.Duration(math.MaxInt64), false
	for _, e := range m.endpoints {
		for _, j := range e.serving {
			least, ok = min(least, j.left), true
		}
	}
	return max(0, least), ok
}

// Next is when Advance has something to tell, if nothing else happens.
func (m *Model) Next() (time.Duration, bool) {
	v := m.speed(m.now)
	left, ok := m.shortest()
	if v <= 0 || !ok {
		return 0, false
	}
	d := time.Duration(math.Ceil(float64(left) / v))
	if m.warming && m.Warmth(m.now) < 1 {
		d = min(d, slice) // it gets faster meanwhile
	}
	return m.now + max(d, time.Microsecond), true
}
