package coordination

import (
	"time"
)

// Config is the configuration of a Machine.
type Config struct {
	// HistoryRetention is how long a watch can continue from a revision after it was returned (guarantees.history_retention_s).
	HistoryRetention time.Duration
}

// Event is an input of Step: Request or WatchCancelled.
type Event interface{ isEvent() }

// Request is a call with a token, chosen by the caller, that identifies the response.
type Request struct {
	Token uint64
	Call  Call
}

// WatchCancelled removes a pending watch without a response.
type WatchCancelled struct{ Token uint64 }

func (Request) isEvent()        {}
func (WatchCancelled) isEvent() {}

// Response is the result of the request with a token.
type Response struct {
	Token  uint64
	Result Result
}

// Actions are the output of a Step; see the package comment for their order.
type Actions struct {
	Writes    map[string][]byte // records by key; an empty value removes the record
	Confirm   bool              // there are responses: without writes, a round trip must confirm them first
	Responses []Response
}

// Machine is the state machine. It is not safe for concurrent use. Load creates one.
type Machine struct {
	retention time.Duration // of puts in the history, with the slack

	locks     map[string]*lock
	lastFence uint64
	counters  map[string]uint64
	keys      map[string]Put
	groups    map[string]*group
	watches   map[uint64]*watch // pending, by token

	// State of the current step.
	now     time.Duration
	actions Actions
}

// Step applies events in order, and then answers the watches that have a result. Time never goes back: an earlier now is replaced
// by that of the previous step.
func (m *Machine) Step(now time.Duration, events ...Event) Actions {
	m.now, m.actions = max(now, m.now), Actions{Writes: map[string][]byte{}}
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			m.apply(e)
		case WatchCancelled:
			delete(m.watches, e.Token)
		}
	}
	m.answerWatches()
	if len(m.actions.Writes) > 0 { // removals are added to necessary writes, and never cause one
		m.removeExpiredLocks()
		m.trimHistories()
	}
	return m.actions
}

func (m *Machine) apply(r Request) {
	switch call := r.Call.(type) {
	case AcquireLock:
		m.respond(r.Token, m.acquire(call))
	case RenewLock:
		m.respond(r.Token, m.renew(call))
	case ReleaseLock:
		m.respond(r.Token, m.release(call))
	case NextNumber:
		m.respond(r.Token, m.nextNumber(call))
	case PutKey:
		m.respond(r.Token, m.put(call))
	case ReadKey:
		m.respond(r.Token, m.read(call))
	case WatchGroup:
		m.watch(r.Token, call)
	}
}

// respond adds a response, which must be confirmed.
func (m *Machine) respond(token uint64, result Result) {
	m.actions.Confirm = true
	m.actions.Responses = append(m.actions.Responses, Response{token, result})
}

// write adds a record to the writes of the step; a nil record removes the key.
func (m *Machine) write(key string, record []byte) { m.actions.Writes[key] = record }

// nextNumber increments a counter.
func (m *Machine) nextNumber(call NextNumber) Result {
	value := m.counters[call.ID] + 1
	m.counters[call.ID] = value
	m.write(counterKey(call.ID), encodeCounter(value))
	return Number{value}
}

// NextDeadline returns the earliest deadline of the pending watches; ok is false if there are none.
func (m *Machine) NextDeadline() (at time.Duration, ok bool) {
	for _, w := range m.watches {
		if !ok || w.deadline < at {
			at, ok = w.deadline, true
		}
	}
	return at, ok
}

// Figures are counts for metrics.
type Figures struct {
	Locks, Counters, Keys, HistoryPuts, Watches int
}

// Figures counts the records and the pending watches. Locks include expired ones that were not removed yet.
func (m *Machine) Figures() Figures {
	f := Figures{Locks: len(m.locks), Counters: len(m.counters), Keys: len(m.keys), Watches: len(m.watches)}
	for _, g := range m.groups {
		f.HistoryPuts += len(g.history)
	}
	return f
}
