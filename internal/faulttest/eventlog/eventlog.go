// Package eventlog is the event log of a fault test, with one JSON object per line. The simulated components append events as they
// happen; the judge and the report read the log and have no other input about a day.
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

// Kind is the kind of an event.
type Kind string

// The kinds of event. Each comment names the fields that the kind sets, by their names in Event; all kinds set T.
const (
	World        Kind = "world"   // Figures: the first line
	Start        Kind = "start"   // Sender, Run: a process was started; Detail is "new" if its folder was empty
	Ready        Kind = "ready"   // Sender, Run: the process passes its readiness check
	Term         Kind = "term"    // Sender, Run: SIGTERM is about to be sent
	Killed       Kind = "kill"    // Sender, Run: SIGKILL is about to be sent; Detail is "lost" if the folder is deleted too
	Paused       Kind = "pause"   // Sender, Run, State: SIGSTOP (on) or SIGCONT (off) is about to be sent
	Folder       Kind = "folder"  // Sender, Detail: "kept" if a copy of its folder was made, "old" if its next process gets that copy
	Link         Kind = "link"    // Sender (from), Endpoint (to), Detail: the condition of this direction of the link from now on
	Exit         Kind = "exit"    // Sender, Run, Status: the process has ended; Detail is "crash" if the kit did not end it
	HandIn       Kind = "handin"  // Sender, ID, Msg, Class, Tenant, Dest, DeadlineMS, Order, Attempt: stamped before the request is written
	Answer       Kind = "answer"  // Sender, ID, Status, RetryMS; Status is 0 if no answer came, and Detail has the reason
	Call         Kind = "call"    // Dest, Endpoint, Sender, ID, Call, First, With: the last byte of a call has arrived; Detail is "unknown", and State the reason, for a call of a message that was not handed in
	Done         Kind = "done"    // Call, ID, Dest, Status, WaitMS, Detail: stamped before the answer is written
	Notice       Kind = "notice"  // Sender, ID, Outcome, RetryMS
	Changed      Kind = "change"  // Endpoint, Dest, State: discovery's list was changed
	ListSent     Kind = "told"    // Sender, Run, Endpoint, Dest, State: the sender got this state; stamped after the answer is written; Detail is "deemed" if the sender did not request it in time
	FaultChanged Kind = "trouble" // Dest, Detail (the fault), State on or off
	Outage       Kind = "outage"  // Dest, State on or off; with off also Capacity
	Fell         Kind = "fell"    // Dest: the receiver failed under overload and stays down
	Slip         Kind = "slip"    // once a second: MaxUS and P99US of the kit's own lateness, Count of its samples
	KitFailure   Kind = "fault"   // Detail: an operation of the kit itself failed
	End          Kind = "end"     // the day is over
)

// Details of calls that ended without a valid answer.
const (
	DetailReset          = "reset"  // the connection was broken after the last byte
	DetailCorrupt        = "spoilt" // the answer is unreadable; Status is that of its first line if that line is readable
	DetailClosedBySender = "left"   // the sender closed its connection
)

// Event is one line of the log. Times are microseconds since the start of the day, on the kit's single monotonic clock.
type Event struct {
	T        int64    `json:"t"`
	Kind     Kind     `json:"kind"`
	Sender   string   `json:"sender,omitempty"`
	Run      int      `json:"run,omitempty"`   // number of the sender's process, from 1
	ID       string   `json:"id,omitempty"`    // of the hand-in
	Event    string   `json:"event,omitempty"` // ID of the first hand-in, if this one repeats an event at the same sender
	Msg      string   `json:"msg,omitempty"`   // of the message; the same for all its hand-ins
	Class    string   `json:"class,omitempty"`
	Tenant   string   `json:"tenant,omitempty"`
	Order    string   `json:"order,omitempty"` // order key
	Dest     int      `json:"dest,omitempty"`
	Endpoint string   `json:"endpoint,omitempty"`
	Call     int64    `json:"call,omitempty"`
	With     int64    `json:"with,omitempty"`  // Call of the first of several messages in the same request; 0 for the first message itself
	First    int64    `json:"first,omitempty"` // time of a call's first byte, in microseconds
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

// Figures are the parameters of a day that the rules use. Durations are in milliseconds.
type Figures struct {
	Name              string           `json:"name"`
	Seed              uint64           `json:"seed"`
	Seconds           float64          `json:"seconds"` // duration of the arrivals
	AnswerGrace       int64            `json:"answer_grace_ms"`
	Grace             int64            `json:"grace_ms"` // tolerance added to each time limit
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
	Receivers         []Receiver       `json:"receivers"` // by destination number
	Wakes             []Wake           `json:"wakes,omitempty"`
}

// Class has the properties of a message class that the rules use.
type Class struct {
	Effect        string  `json:"effect"` // safe, keyed or unsafe
	KeyWindow     int64   `json:"key_window_ms,omitempty"`
	Ordered       bool    `json:"ordered,omitempty"`
	LatencyTarget int64   `json:"aim_ms"`
	Deadline      int64   `json:"deadline_ms"`
	Value         float64 `json:"worth"`
}

// Wake is a burst of messages for a receiver.
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

// Log collects the events of all simulated components. It must be created with New.
type Log struct {
	start time.Time
	shift atomic.Int64 // time from start until the day begins

	mu       sync.Mutex
	begun    bool
	early    []Event // events from before the day began
	out      *bufio.Writer
	recorded []Event
	watch    func(Event)
	err      error
}

// New creates a log that writes to w, which may be nil. Its clock starts now and is reset when Restart begins the day. watch, if not
// nil, is called with every event in order, with the log locked, and must return quickly.
func New(w io.Writer, watch func(Event)) *Log {
	l := &Log{start: time.Now(), watch: watch}
	if w != nil {
		l.out = bufio.NewWriterSize(w, 1<<16)
	}
	return l
}

// Now returns the time since the start of the day.
func (l *Log) Now() time.Duration { return time.Since(l.start) - time.Duration(l.shift.Load()) }

// Restart begins the day now. Only then are the events that were added before written, with negative times.
func (l *Log) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	shift := time.Since(l.start)
	l.shift.Store(int64(shift))
	l.release(shift)
}

// release writes the buffered events from before the day, with their times moved back by shift. The caller must hold the lock.
func (l *Log) release(shift time.Duration) {
	early := l.early
	l.early, l.begun = nil, true
	for _, e := range early {
		e.T -= shift.Microseconds()
		l.add(e)
	}
}

// Add stamps an event with the current time and writes it.
func (l *Log) Add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.T = l.Now().Microseconds()
	l.add(e)
}

// At writes an event with the given time.
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

// Wait returns when the log's lock is free. All simulated components wait for this lock, so the kit is late if the lock is held too long.
func (l *Log) Wait() {
	l.mu.Lock()
	defer l.mu.Unlock()
}

// Flush writes the buffered events and returns the first error of any write.
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

// Events returns a copy of all events that were written so far.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.recorded...)
}

// Day returns the events up to the end of the day. The events after it are from the kit's cleanup.
func Day(events []Event) []Event {
	for i, e := range events {
		if e.Kind == End {
			return events[:i+1]
		}
	}
	return events
}

// Read reads a log. An incomplete last line, as a killed kit leaves it, is skipped and reported by torn. Any other unreadable line is
// an error with its line number.
func Read(r io.Reader, name string) (events []Event, torn bool, err error) {
	in := bufio.NewReaderSize(r, 1<<16)
	for n := 1; ; n++ {
		line, err := in.ReadBytes('\n')
		if err != nil && err != io.EOF {
			return events, false, fmt.Errorf("%s:%d: %w", name, n, err)
		}
		terminated := err == nil
		if len(bytes.TrimSpace(line)) > 0 {
			var e Event
			if decodeErr := json.Unmarshal(line, &e); decodeErr != nil {
				if !terminated {
					return events, true, nil
				}
				return events, false, fmt.Errorf("%s:%d: not an event: %w", name, n, decodeErr)
			}
			if e.Kind == "" {
				return events, false, &NoKindError{File: name, Line: n}
			}
			events = append(events, e)
		}
		if !terminated {
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
