// Package eventlog is the record of a rehearsal: one JSON object a line, written as things happen by the
// stand-ins and read by the judge and the report, which know of a day nothing else.
package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Kind says what happened.
type Kind string

// The kinds of event. The fields that each sets are named beside it; T is set by all.
const (
	World        Kind = "world"   // Figures: the first line
	Start        Kind = "start"   // Sender, Run: a process was started; Note "new" if its folder was empty
	Ready        Kind = "ready"   // Sender, Run: it answers its readiness check
	Term         Kind = "term"    // Sender, Run: SIGTERM is about to be sent
	Killed       Kind = "kill"    // Sender, Run: SIGKILL is about to be sent; Note "lost" if its folder goes too
	Paused       Kind = "pause"   // Sender, Run, State on or off: SIGSTOP, SIGCONT is about to be sent
	Folder       Kind = "folder"  // Sender, Note: "kept" a copy of its folder is taken, "old" its next process gets that copy
	Link         Kind = "link"    // Sender (from), Endpoint (to), Note: the direction between the two is so from now on
	Exit         Kind = "exit"    // Sender, Run, Status: it has ended; Note "crash" if nobody asked it to
	HandIn       Kind = "handin"  // Sender, ID, Msg, Class, Tenant, Dest, DeadlineMS, Order, Try: stamped before it is written
	Answer       Kind = "answer"  // Sender, ID, Status, RetryMS; Status 0: none came, and Note says why
	Call         Kind = "call"    // Dest, Endpoint, Sender, ID, Call, First, With: the last byte of a call has come; Note "unknown" and State, why, for one that is nothing handed in
	Done         Kind = "done"    // Call, ID, Dest, Status, WaitMS, Note: stamped before the answer is written
	Notice       Kind = "notice"  // Sender, ID, Outcome, RetryMS
	Changed      Kind = "change"  // Endpoint, Dest, State: discovery's list was changed
	ListSent     Kind = "told"    // Sender, Run, Endpoint, Dest, State: stamped after it is written; Note "deemed" if it never was
	FaultChanged Kind = "trouble" // Dest, Note (what), State on or off
	Outage       Kind = "outage"  // Dest, State on or off; off: Capacity
	Fell         Kind = "fell"    // Dest: knocked over for good
	Slip         Kind = "slip"    // once a second: MaxUS and P99US of the kit's own lateness, Count of samples
	KitFailure   Kind = "fault"   // Note: the kit itself failed at something
	End          Kind = "end"     // the day is over
)

// Notes on calls that ended without a sound answer.
const (
	DetailReset          = "reset"  // the connection was broken after the last byte
	DetailCorrupt        = "spoilt" // an answer that can't be read; Status tells its first line if that is sound
	DetailClosedBySender = "left"   // the sender closed its connection
)

// Event is one line. Times are microseconds since the day's start on the kit's one monotonic clock.
type Event struct {
	T        int64    `json:"t"`
	Kind     Kind     `json:"kind"`
	Sender   string   `json:"sender,omitempty"`
	Run      int      `json:"run,omitempty"`   // which process of that sender, from 1
	ID       string   `json:"id,omitempty"`    // of one hand-in
	Event    string   `json:"event,omitempty"` // a hand-in that repeats one event at one sender: ID of the first
	Msg      string   `json:"msg,omitempty"`   // of the message, the same for all its hand-ins
	Class    string   `json:"class,omitempty"`
	Tenant   string   `json:"tenant,omitempty"`
	Order    string   `json:"order,omitempty"` // key of the order
	Dest     int      `json:"dest,omitempty"`
	Endpoint string   `json:"endpoint,omitempty"`
	Call     int64    `json:"call,omitempty"`
	With     int64    `json:"with,omitempty"`  // the first of several messages that came in one call; 0 for that itself
	First    int64    `json:"first,omitempty"` // microseconds: a call's first byte
	Status   int      `json:"status,omitempty"`
	WaitMS   int64    `json:"wait_ms,omitempty"`
	RetryMS  int64    `json:"retry_ms,omitempty"`
	Deadline int64    `json:"deadline_ms,omitempty"`
	Attempt  int      `json:"try,omitempty"` // from 0
	Outcome  string   `json:"outcome,omitempty"`
	State    string   `json:"state,omitempty"`
	Detail   string   `json:"note,omitempty"`
	Capacity float64  `json:"capacity,omitempty"` // calls a second when warm
	MaxUS    int64    `json:"max_us,omitempty"`
	P99US    int64    `json:"p99_us,omitempty"`
	Count    int      `json:"count,omitempty"`
	Figures  *Figures `json:"figures,omitempty"`
}

// Figures are what the rules of a day go by. Spans are milliseconds.
type Figures struct {
	Name              string           `json:"name"`
	Seed              uint64           `json:"seed"`
	Seconds           float64          `json:"seconds"` // of arrivals
	AnswerGrace       int64            `json:"answer_grace_ms"`
	Grace             int64            `json:"grace_ms"` // added to each limit
	ReadyGrace        int64            `json:"ready_grace_ms"`
	DrainGrace        int64            `json:"drain_grace_ms"`
	WaitLetIn         int64            `json:"wait_let_in_ms"`
	FallMultiple      float64          `json:"fall_multiple"`
	FallSpan          int64            `json:"fall_span_ms"`
	SlowStartCapacity float64          `json:"cold_from"`
	SlowStart         int64            `json:"cold_ms"`
	OrderRest         int64            `json:"settle_ms"`
	Patience          int64            `json:"patience_ms"`
	Classes           map[string]Class `json:"classes"`
	Receivers         []Receiver       `json:"receivers"` // by number
	Wakes             []Wake           `json:"wakes,omitempty"`
}

// Class is a class of message as the rules see it.
type Class struct {
	Effect        string  `json:"effect"` // safe, keyed or unsafe
	KeyWindow     int64   `json:"key_window_ms,omitempty"`
	Ordered       bool    `json:"ordered,omitempty"`
	LatencyTarget int64   `json:"aim_ms"`
	Deadline      int64   `json:"deadline_ms"`
	Value         float64 `json:"worth"`
}

// Wake is a burst for a receiver.
type Wake struct {
	AtMS     int64 `json:"at_ms"`
	Dest     int   `json:"dest"`
	Messages int   `json:"messages"`
}

// Receiver is a destination.
type Receiver struct {
	Name     string  `json:"name"`
	Kind     string  `json:"kind"`
	Member   string  `json:"member"`
	Capacity float64 `json:"capacity"` // calls a second when warm
}

// Log takes events from all stand-ins. The zero value is of no use; New makes one.
type Log struct {
	start time.Time
	shift atomic.Int64 // of the day's begin after start

	mu       sync.Mutex
	begun    bool
	early    []Event // before the day began
	out      *bufio.Writer
	recorded []Event
	watch    func(Event)
	err      error
}

// New makes a log that counts time from now on, until Restart lets the day itself begin, and writes to w, which may be nil. watch, if not nil, is
// called with every event in order and must be quick.
func New(w io.Writer, watch func(Event)) *Log {
	l := &Log{start: time.Now(), watch: watch}
	if w != nil {
		l.out = bufio.NewWriterSize(w, 1<<16)
	}
	return l
}

// Now is the time since the day's start.
func (l *Log) Now() time.Duration { return time.Since(l.start) - time.Duration(l.shift.Load()) }

// Restart lets the day begin now. What was added before is written down only then, at negative times.
func (l *Log) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	shift := time.Since(l.start)
	l.shift.Store(int64(shift))
	l.release(shift)
}

// release writes down what was kept back, moved by shift.
func (l *Log) release(shift time.Duration) {
	early := l.early
	l.early, l.begun = nil, true
	for _, e := range early {
		e.T -= shift.Microseconds()
		l.add(e)
	}
}

// Add stamps an event with the present time and writes it down.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.T = l.Now().Microseconds()
	l.add(e)
}

// At writes down an event that carries its own time.
func (l *Log) At(at time.Duration, e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.T = at.Microseconds()
	l.add(e)
}

func (l *Log) add(e Event) {
	if !l.begun {
		l.early = append(l.early, e)
		return
	}
	l.recorded = append(l.recorded, e)
	if l.watch != nil {
		l.watch(e)
	}
	if l.out == nil || l.err != nil {
		return
	}
	line, err := json.Marshal(e)
	if err == nil {
		_, err = l.out.Write(append(line, '\n'))
	}
	l.err = err
}

// Wait returns when an event could be added: all stand-ins wait for that, so a kit that is held up there is late.
func (l *Log) Wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// Flush passes on what is still buffered and tells the first error of writing.
func (l *Log) Flush() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.begun {
		l.release(0)
	}
	if l.out != nil && l.err == nil {
		l.err = l.out.Flush()
	}
	return l.err
}

// Events is a copy of all that was written so far.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.recorded...)
}

// Day is the events up to the end of the day: what comes behind is the kit clearing up.
func Day(events []Event) []Event {
	for i, e := range events {
		if e.Kind == End {
			return events[:i+1]
		}
	}
	return events
}

// Read reads a log. A torn last line, as a killed kit leaves it, is passed over and reported by torn; any
// other line that can't be read is an error with its number.
func Read(r io.Reader, name string) (events []Event, torn bool, err error) {
	in := bufio.NewReaderSize(r, 1<<16)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if err != nil && err != io.EOF {
			return events, false, fmt.Errorf("%s:%d: %w", name, n, err)
		}
		whole := err == nil
		if len(bytes.TrimSpace(line)) > 0 {
			var e Event
			if bad := json.Unmarshal(line, &e); bad != nil {
				if !whole {
					return events, true, nil
				}
				return events, false, fmt.Errorf("%s:%d: not an event: %w", name, n, bad)
			}
			if e.Kind == "" {
				return events, false, &NoKindError{File: name, Line: n}
			}
			events = append(events, e)
		}
		if !whole {
			return events, false, nil
		}
	}
}

// NoKindError reports a line of an event log that has no kind.
type NoKindError struct {
	File string
	Line int // from 1
}

// Error implements error.
func (e *NoKindError) Error() string {
	return fmt.Sprintf("%s:%d: an event without a kind", e.File, e.Line)
}
