package sender

import (
	"hash/fnv"
	"io"
	"time"

	"saffronyard.example/saffronyard/internal/cloudevents"
)

// followUpBytes is what all records on one message's attempts and end may come to, beside its first.
func followUpBytes(id string) int64 { return 1536 + 14*int64(len(id)) }

// The operations of a record, as the file has them.
const (
	opAccept   = "take"  // a message is accepted; in a compacted file with what came of it so far
	opSend     = "send"  // an attempt begins
	opEnd      = "end"   // an attempt ended, and not the message with it
	opOver     = "over"  // the message ended
	opNotified = "told"  // the platform has acknowledged the notice of its end
	opRecorded = "kept"  // the recorder has it
	opRates    = "rates" // the usual rates, and the outages
	opList     = "list"  // the endpoint list, or what has changed in it
)

// record is one line of the journal. Which fields it has goes by Op. Times are the clock's, in Unix nanoseconds. The JSON
// names are the stored format: they do not change, and unknown ones are passed over.
type record struct {
	Op string `json:"op"` // take, send, end, over, told, kept, rates, list
	ID string `json:"id"`

	// take: the message as its client handed it in; in a compacted file with what came of it so far
	Key      string        `json:"key,omitempty"`
	OrderKey string        `json:"order,omitempty"` // key of the order, in an ordered class
	Class    string        `json:"class,omitempty"`
	Tenant   string        `json:"tenant,omitempty"`
	Dest     uint32        `json:"dest,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty"`
	Body     []byte        `json:"body,omitempty"`
	// What its class said of its repeats: the effect, and of a keyed one for how long a key is remembered, and whether in its zone only.
	Effect    string        `json:"effect,omitempty"`
	KeyWindow time.Duration `json:"window,omitempty"`
	KeyInZone bool          `json:"in_zone,omitempty"`
	// Of a message that came as an event: its attributes, its data being the body, and its identity.
	Event    *cloudevents.Event `json:"event,omitempty"`
	Identity *eventIdentity     `json:"ident,omitempty"`
	Attempts []attemptRecord    `json:"tries,omitempty"`
	// Of a kept message that goes again: for which time, and how many of its attempts are those of earlier ones.
	Incarnation     int `json:"life,omitempty"`
	EarlierAttempts int `json:"before,omitempty"`

	Attempt int `json:"try,omitempty"` // end: which attempt, from 0
	// send: the new attempt; end: that it never ran
	Sent     *attemptRecord `json:"sent,omitempty"`
	NeverRan bool           `json:"never,omitempty"`
	// end: that it was recalled, and so counts as no attempt
	Recalled bool `json:"recalled,omitempty"`

	Outcome      string `json:"how,omitempty"` // over
	RetryAfterMS int64  `json:"retry_ms,omitempty"`

	// With a recorder: over: it is to be kept, when it ended, and in a compacted file whether its notice is told; end:
	// how the attempt ended.
	AwaitsRecorder bool          `json:"keep,omitempty"`
	Notified       bool          `json:"told,omitempty"`
	At             time.Duration `json:"at,omitempty"`
	AttemptOutcome string        `json:"out,omitempty"`

	Rates   map[uint32]float64 `json:"rates,omitempty"`   // rates: by destination, as the module knows them
	Outages []outage           `json:"outages,omitempty"` // and who is out, or comes back, as of At
	List    *listRecord        `json:"list,omitempty"`    // list: what discovery has told, or what that changes
}

// attemptRecord is an attempt of a message. It may have run, unless it is marked NeverRan.
type attemptRecord struct {
	At       time.Duration `json:"at"`
	Endpoint string        `json:"endpoint"`
	Zone     int           `json:"zone,omitempty"`
	ZoneName string        `json:"in,omitempty"`    // the zone's name, where a key is remembered in its zone only
	NeverRan bool          `json:"never,omitempty"` // it surely never ran
	Recalled bool          `json:"recalled,omitempty"`
	Outcome  string        `json:"out,omitempty"` // how it ended, with a recorder
}

// The ends of a message. Those that a notice tells of are the words of the platform's notices.
const (
	outcomeDelivered  = "delivered"
	outcomeAnswered   = "answered" // refused or failed in the answer to its client, or withdrawn
	outcomeGivenUp    = "given_up"
	outcomeHandedBack = "handed_back"
)

// storedMessage is a message as the journal holds it: its first record, and what the others have made of it.
type storedMessage struct {
	record                // of op take
	outcome        string // its end, if a notice of it is still owed, or the recorder has not taken it yet
	retryAfterMS   int64
	awaitsRecorder bool          // the recorder has not taken it yet
	notified       bool          // no notice is owed
	endedAt        time.Duration // it ended
	cost           int64         // what it may take in the file
}

// finished reports whether a message is over and nobody is owed anything on it.
func (m *storedMessage) finished() bool { return m.outcome != "" && m.notified && !m.awaitsRecorder }

// apply takes in a further record on the message.
func (m *storedMessage) apply(r *record) {
	switch r.Op {
	case opSend:
		if r.Sent != nil {
			m.Attempts = append(m.Attempts, *r.Sent)
		}
	case opEnd:
		if r.Attempt >= 0 && r.Attempt < len(m.Attempts) {
			t := &m.Attempts[r.Attempt]
			t.NeverRan, t.Recalled, t.Outcome = r.NeverRan, r.Recalled, r.AttemptOutcome
		}
	case opOver:
		m.outcome, m.retryAfterMS, m.awaitsRecorder, m.endedAt = r.Outcome, r.RetryAfterMS, r.AwaitsRecorder, r.At
		m.notified = r.Notified || r.Outcome == outcomeDelivered || r.Outcome == outcomeAnswered
		if !m.awaitsRecorder {
			m.Body, m.Event = nil, nil
		}
	case opNotified:
		m.notified = true
	case opRecorded:
		m.awaitsRecorder, m.Body, m.Event = false, nil, nil
	}
}

// firstPossibleRun is the first attempt that may have run; false if none may.
func (m *storedMessage) firstPossibleRun() (attemptRecord, bool) {
	return m.firstPossibleRunBefore(len(m.Attempts))
}

// firstPossibleRunBefore is the first of the first n attempts that may have run.
func (m *storedMessage) firstPossibleRunBefore(n int) (attemptRecord, bool) {
	for _, t := range m.Attempts[:min(n, len(m.Attempts))] {
		if !t.NeverRan {
			return t, true
		}
	}
	return attemptRecord{}, false
}

// attemptsMade is how many attempts count as such: not those that were recalled before anything was written, nor those of
// earlier incarnations.
func (m *storedMessage) attemptsMade() int {
	own := m.Attempts[min(m.EarlierAttempts, len(m.Attempts)):]
	n := len(own)
	for _, t := range own {
		if t.Recalled {
			n--
		}
	}
	return n
}

// orderKeyHash is the module's number for the ordering key, 0 for none. Two keys with one number are served as one, which
// keeps both orders.
func (m *storedMessage) orderKeyHash() uint64 {
	if m.OrderKey == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, m.OrderKey)
	return max(1, h.Sum64())
}
