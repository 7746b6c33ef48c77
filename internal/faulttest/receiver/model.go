// Package receiver simulates the receivers of messages. Model decides the outcome of each call without I/O or a clock; Server
// connects it to sockets.
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

// Spec holds the parameters of a receiver. Rates are calls per second from all senders together.
type Spec struct {
	Slots   int           // calls that each endpoint serves at once
	Queue   int           // calls that may wait at each endpoint
	Service time.Duration // mean service time at full speed
	Spread  float64       // coefficient of variation of the service time
	Times   string        // distribution of the service time: exp, lognormal or fixed

	Capacity  float64       // calls per second that the receiver can serve at full speed
	LimitKind string        // none, rate or window
	Limit     float64       // 0 if none
	Window    time.Duration // length of the fixed windows, for the kind window
	TellsWait time.Duration // if over 0, calls above the limit get 429 with a wait, otherwise 503

	MaxConnections int           // open connections per endpoint, including idle ones; 0: no limit
	IdleClose      time.Duration // an idle connection is closed after this
	Reports        bool          // answers report x0 and x1
	ReportEach     time.Duration // interval between load reports
	ReportLate     time.Duration // delay until a load report is shown

	Format encoding.Format // format of the calls; "" for the platform's

	SlowStartCapacity float64       // share of Capacity right after an outage
	SlowStart         time.Duration // time from the end of an outage to full capacity
	FallMultiple      float64       // in slow start, the receiver collapses at a load above this multiple of its current capacity
	FallSpan          time.Duration // time over which that load is measured
}

// Outcome is how a call ends at the receiver.
type Outcome struct {
	Call    int64
	Status  int           // 200, 429, 500 or 503
	Wait    time.Duration // with 429
	Exit    fault.Exit    // whether the answer is sent intact, broken off or corrupt
	Dropped bool          // no answer: the connection is lost or about to be reset
}

// Change describes how a step changed the state of the receiver.
type Change struct {
	OutageBegan, OutageEnded, Collapsed bool
	Reset                               bool // connections must be reset: the machine was unreachable or has shut down
}

type job struct {
	call      int64
	endpoint  int
	remaining time.Duration // service time left at full speed
}

type endpoint struct {
	serving []job
	queue   []job
	removed bool
}

// Model is the state of a receiver: its endpoints' slots and queues, its limit, its slow start and the active faults. The times
// passed to its methods must never decrease.
type Model struct {
	spec Spec
	rng  *rand.Rand
	now  time.Duration

	active     map[int]fault.Fault // active faults by number
	cond       fault.Condition
	endpoints  []endpoint
	unanswered []job // arrived while the receiver hangs; their service has not begun

	inOutage       bool
	slowStarted    bool          // slow start has begun since the last outage
	slowStartBegan time.Duration // when the last slow start began
	collapsed      bool
	recent         []time.Duration // arrivals in slow start within the last FallSpan

	tokens     float64 // left in the bucket of a rate limit
	refilledAt time.Duration
	window     int64 // number of the current window of a window limit
	inWindow   int
	shown      report
	pending    []report
	nextReport time.Duration
}

type report struct {
	at   time.Duration // when it is first shown
	left float64
}

// NewModel returns a receiver with the given number of endpoints.
func NewModel(spec Spec, endpoints int, seed uint64) *Model {
	m := &Model{spec: spec, rng: rand.New(rand.NewPCG(seed, 0x7265686561727365)), active: map[int]fault.Fault{},
		cond: fault.Combine(nil), endpoints: make([]endpoint, endpoints), shown: report{left: 1}}
	m.tokens = m.burst()
	return m
}

// AddEndpoint adds an endpoint and returns its number.
func (m *Model) AddEndpoint() int {
	m.endpoints = append(m.endpoints, endpoint{})
	return len(m.endpoints) - 1
}

// Remove removes an endpoint and drops its calls.
func (m *Model) Remove(now time.Duration, e int) []Outcome {
	out := m.Advance(now)
	ep := &m.endpoints[e]
	for _, j := range append(ep.serving, ep.queue...) {
		out = append(out, Outcome{Call: j.call, Dropped: true})
	}
	*ep = endpoint{removed: true}
	m.unanswered = slices.DeleteFunc(m.unanswered, func(j job) bool {
		if j.endpoint == e {
			out = append(out, Outcome{Call: j.call, Dropped: true})
		}
		return j.endpoint == e
	})
	return out
}

// Condition returns the combined effect of the active faults. A collapsed receiver counts as shut.
func (m *Model) Condition() fault.Condition {
	c := m.cond
	c.Shut = c.Shut || m.collapsed
	return c
}

// CapacityFraction returns the fraction of the full capacity that slow start allows at a time. It does not take outages into account.
func (m *Model) CapacityFraction(now time.Duration) float64 {
	if !m.slowStarted || m.spec.SlowStart <= 0 {
		return 1
	}
	part := float64(now-m.slowStartBegan) / float64(m.spec.SlowStart)
	return min(1, m.spec.SlowStartCapacity+(1-m.spec.SlowStartCapacity)*part)
}

// Begin starts a fault under a number of its own.
func (m *Model) Begin(now time.Duration, number int, t fault.Fault) ([]Outcome, Change) {
	out := m.Advance(now)
	var c Change
	if t.Kind == fault.SlowStart {
		if !m.inOutage { // the end of an outage starts a slow start anyway
			m.beginSlowStart(now)
		}
		return out, c
	}
	m.active[number] = t
	more, c := m.recombine(now)
	return append(out, more...), c
}

// End ends the fault that began under the number.
func (m *Model) End(now time.Duration, number int) ([]Outcome, Change) {
	out := m.Advance(now)
	delete(m.active, number)
	more, c := m.recombine(now)
	return append(out, more...), c
}

func (m *Model) beginSlowStart(now time.Duration) {
	m.slowStarted, m.slowStartBegan, m.recent = true, now, nil
}

// recombine applies the combined effect of the active faults after one began or ended.
func (m *Model) recombine(now time.Duration) ([]Outcome, Change) {
	previous := m.cond
	var active []fault.Fault
	for _, n := range sortedKeys(m.active) {
		active = append(active, m.active[n])
	}
	m.cond = fault.Combine(active)
	var out []Outcome
	c := Change{}
	switch {
	case m.cond.Unreachable:
	case previous.Unreachable, m.cond.Shut && !previous.Shut:
		// A machine that was unreachable has lost the state of its connections; one that shuts down resets them itself.
		out, c.Reset = m.dropAll(), true
	case previous.Hung && !m.cond.Hung:
		resumed := m.unanswered
		m.unanswered = nil
		for _, j := range resumed {
			if o, full := m.enqueue(j); full {
				out = append(out, o)
			}
		}
	}
	switch outage := m.cond.Outage(); {
	case m.collapsed: // a collapse is permanent
	case outage && !m.inOutage:
		m.inOutage, m.slowStarted, c.OutageBegan = true, false, true
	case !outage && m.inOutage:
		m.inOutage, c.OutageEnded = false, true
		m.beginSlowStart(now)
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

// Arrive accepts a call whose last byte has arrived. This or a later step returns its outcome.
func (m *Model) Arrive(now time.Duration, e int, call int64) ([]Outcome, Change) {
	out := m.Advance(now)
	var c Change
	if m.endpoints[e].removed {
		return append(out, Outcome{Call: call, Status: 503}), c
	}
	if m.overloads(now) {
		m.collapsed, c.Collapsed, c.Reset = true, true, true
		out = append(out, m.dropAll()...)
		return append(out, Outcome{Call: call, Dropped: true}), c
	}
	if m.collapsed {
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

// overloads counts a call against the load limit of slow start and reports whether this call makes the receiver collapse.
func (m *Model) overloads(now time.Duration) bool {
	if !m.slowStarted || m.inOutage || m.collapsed || m.CapacityFraction(now) >= 1 {
		return false
	}
	m.recent = append(m.recent, now)
	for m.recent[0] <= now-m.spec.FallSpan {
		m.recent = m.recent[1:]
	}
	budget := m.spec.FallMultiple * m.CapacityFraction(now) * m.spec.Capacity * m.spec.FallSpan.Seconds()
	return float64(len(m.recent)) > budget+max(4, math.Sqrt(budget))
}

// burst returns how many calls a rate limit admits at once after a pause.
func (m *Model) burst() float64 { return max(2, m.spec.Limit/2) }

// refill brings the state of the limit up to a time.
func (m *Model) refill(now time.Duration) {
	switch m.spec.LimitKind {
	case "rate":
		m.tokens = min(m.burst(), m.tokens+m.spec.Limit*(now-m.refilledAt).Seconds())
		m.refilledAt = now
	case "window":
		if window := int64(now / m.spec.Window); window != m.window {
			m.window, m.inWindow = window, 0
		}
	}
}

func (m *Model) perWindow() int { return max(1, int(m.spec.Limit*m.spec.Window.Seconds())) }

// admit counts a call against the limit, or returns how long the limit admits none. Refused calls don't count.
func (m *Model) admit(now time.Duration) (time.Duration, bool) {
	m.refill(now)
	switch m.spec.LimitKind {
	case "rate":
		if m.tokens < 1 {
			return max(m.spec.TellsWait, time.Duration((1-m.tokens)/m.spec.Limit*float64(time.Second))), false
		}
		m.tokens--
	case "window":
		if m.inWindow >= m.perWindow() {
			return time.Duration(m.window+1)*m.spec.Window - now, false
		}
		m.inWindow++
	}
	return 0, true
}

// left returns the unused share of the limit.
func (m *Model) left(now time.Duration) float64 {
	m.refill(now)
	switch m.spec.LimitKind {
	case "rate":
		return m.tokens / m.burst()
	case "window":
		return 1 - float64(m.inWindow)/float64(m.perWindow())
	}
	return 0
}

// Report returns the load report of an answer at a time: the unused share of the limit as it was some time ago, and the limit.
func (m *Model) Report(now time.Duration) (left, limit float64, ok bool) {
	if !m.spec.Reports || m.spec.ReportEach <= 0 {
		return 0, 0, false
	}
	m.publish(now)
	for len(m.pending) > 0 && m.pending[0].at <= now {
		m.shown, m.pending = m.pending[0], m.pending[1:]
	}
	return m.shown.left, m.spec.Limit, true
}

// publish takes the load reports due up to a time. No call may have arrived since the last step.
func (m *Model) publish(now time.Duration) {
	if !m.spec.Reports || m.spec.ReportEach <= 0 {
		return
	}
	if behind := now - m.nextReport; behind > 100*m.spec.ReportEach {
		m.nextReport += (behind/m.spec.ReportEach - 10) * m.spec.ReportEach // after a long idle time, earlier reports would all be the same
	}
	for m.nextReport <= now {
		m.pending = append(m.pending, report{m.nextReport + m.spec.ReportLate, m.left(max(m.nextReport, m.refilledAt))})
		m.nextReport += m.spec.ReportEach
	}
}

// service draws the service time of a call at full speed.
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

// enqueue adds a call to its endpoint's queue, or returns its refusal and true if the queue is full.
func (m *Model) enqueue(j job) (Outcome, bool) {
	e := &m.endpoints[j.endpoint]
	if len(e.serving) >= m.spec.Slots && len(e.queue) >= m.spec.Queue {
		return Outcome{Call: j.call, Status: 503}, true
	}
	e.queue = append(e.queue, j)
	m.start()
	return Outcome{}, false
}

// start moves queued calls into free slots.
func (m *Model) start() {
	for i := range m.endpoints {
		e := &m.endpoints[i]
		for len(e.queue) > 0 && len(e.serving) < m.spec.Slots {
			e.serving, e.queue = append(e.serving, e.queue[0]), e.queue[1:]
		}
	}
}

// speed returns the speed of service at a time; 1 is full speed.
func (m *Model) speed(now time.Duration) float64 {
	if m.cond.Unreachable || m.cond.Hung || m.collapsed {
		return 0
	}
	return m.CapacityFraction(now) / m.cond.Slow
}

// slice bounds a step of Advance in slow start; within a step the speed is taken as constant.
const slice = 20 * time.Millisecond

// Advance serves calls up to a time and returns the outcomes of those that ended.
func (m *Model) Advance(now time.Duration) []Outcome {
	var out []Outcome
	for m.now < now {
		v := m.speed(m.now)
		step := now - m.now
		if v > 0 {
			if m.slowStarted && m.CapacityFraction(m.now) < 1 {
				step = min(step, slice)
			}
			if left, ok := m.shortest(); ok {
				step = min(step, max(time.Microsecond, time.Duration(math.Ceil(float64(left)/v))))
			}
			done := time.Duration(float64(step) * v)
			for i := range m.endpoints {
				e := &m.endpoints[i]
				for j := range e.serving {
					e.serving[j].remaining -= done
				}
			}
		}
		m.now += step
		ended := false
		for i := range m.endpoints {
			e := &m.endpoints[i]
			e.serving = slices.DeleteFunc(e.serving, func(j job) bool {
				if v > 0 && j.remaining <= 0 {
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
			least, ok = min(least, j.remaining), true
		}
	}
	return max(0, least), ok
}

// Next returns when to call Advance next if nothing else happens; false if no call is being served.
func (m *Model) Next() (time.Duration, bool) {
	v := m.speed(m.now)
	left, ok := m.shortest()
	if v <= 0 || !ok {
		return 0, false
	}
	d := time.Duration(math.Ceil(float64(left) / v))
	if m.slowStarted && m.CapacityFraction(m.now) < 1 {
		d = min(d, slice) // the speed rises meanwhile
	}
	return m.now + max(d, time.Microsecond), true
}
