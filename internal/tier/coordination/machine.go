package coordination

import (
	"time"
)

// Config is what a Machine goes by.
type Config struct {
	// HistoryRetention is how long a watch may go on from a revision that it was given (guarantees.history_retention_s).
	HistoryRetention time.Duration
}

// Event is one that Step takes in: Request or WatchCancelled.
type Event interface{ isEvent() }

// Request is a call with a token of the caller's, under which its response comes.
type Request struct {
	Token uint64
	Call  Call
}

// WatchCancelled drops a watch that is held, without a response.
type WatchCancelled struct{ Token uint64 }

func (Request) isEvent()        {}
func (WatchCancelled) isEvent() {}

// Response is the result of the request with a token.
type Response struct {
	Token  uint64
	Result Result
}

// Actions are what a Step asks for; see the package's comment for their order.
type Actions struct {
	Writes    map[string][]byte // records by key; an empty value removes the record
	Confirm   bool              // some response states what is in force
	Responses []Response
}

// Machine is the state machine. It is not safe for concurrent use. Make one with Load.
type Machine struct {
	retention time.Duration // of puts in the history, with an allowance

	locks     map[string]*lock
	lastFence uint64
	counters  map[string]uint64
	keys      map[string]Put
	groups    map[string]*group
	watches   map[uint64]*watch // that are held, by token

	// Of the step that is under way.
	now     time.Duration
	actions Actions
}

// Step applies events in their order at a time, which never goes back, and then answers the watches that can be answered.
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
	if len(m.actions.Writes) > 0 { // removals go along with writes, and cause none
		m.removeExpiredLocks()
		m.trimHistories()
	}
	return m.actions
}

// apply applies one call.
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

// respond adds a response that states what is in force.
func (m *Machine) respond(token uint64, result Result) {
	m.actions.Confirm = true
	m.actions.Responses = append(m.actions.Responses, Response{token, result})
}

// write adds a record to the writes of the step; nil removes it.
func (m *Machine) write(key string, record []byte) { m.actions.Writes[key] = record }

// nextNumber raises a counter.
func (m *Machine) nextNumber(call NextNumber) Result {
	value := m.counters[call.ID] + 1
	m.counters[call.ID] = value
	m.write(counterKey(call.ID), encodeCounter(value))
	return Number{value}
}

// NextDeadline is the time at which the first watch that is held is due, and whether any is.
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

// Figures counts what the Machine keeps. Locks include those whose hold has expired and was not removed yet.
func (m *Machine) Figures() Figures {
	f := Figures{Locks: len(m.locks), Counters: len(m.counters), Keys: len(m.keys), Watches: len(m.watches)}
	for _, g := range m.groups {
		f.HistoryPuts += len(g.history)
	}
	return f
}
