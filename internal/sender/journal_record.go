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
	Op string `json:"op"`
	ID string `json:"id"` // of the message; "" for opRates and opList

	// opAccept: the message as its client submitted it.
	Key       string             `json:"key,omitempty"`      // idempotency key
	OrderKey  string             `json:"order,omitempty"`    // ordering key, in an ordered class
	Class     string             `json:"class,omitempty"`    // by name, as settings may change between two processes
	Tenant    string             `json:"tenant,omitempty"`   // by name
	Dest      uint32             `json:"dest,omitempty"`     // destination
	Deadline  time.Duration      `json:"deadline,omitempty"` // a time
	Body      []byte             `json:"body,omitempty"`     // of an event its data
	Effect    string             `json:"effect,omitempty"`   // what its class said of repeats (effectNames)
	KeyWindow time.Duration      `json:"window,omitempty"`   // how long its receiver remembers the key
	KeyInZone bool               `json:"in_zone,omitempty"`  // it remembers the key in each zone apart
	Event     *cloudevents.Event `json:"event,omitempty"`    // of an event: its attributes
	Identity  *eventIdentity     `json:"ident,omitempty"`    // of an event

	// opAccept of a later incarnation, or in a compacted file: the attempts so far.
	Attempts        []attemptRecord `json:"tries,omitempty"`
	Incarnation     int             `json:"life,omitempty"`   // 0 unless the recorder's message goes again
	EarlierAttempts int             `json:"before,omitempty"` // how many of the attempts are those of earlier incarnations

	// opSend and opEnd.
	Attempt        int            `json:"try,omitempty"`      // opEnd: which attempt, from 0
	Sent           *attemptRecord `json:"sent,omitempty"`     // opSend: the new attempt
	NeverRan       bool           `json:"never,omitempty"`    // opEnd: it surely never ran
	Recalled       bool           `json:"recalled,omitempty"` // opEnd: it was recalled, and counts as no attempt
	AttemptOutcome string         `json:"out,omitempty"`      // opEnd, with a recorder: how it ended (undelivered.Outcome)

	// opOver, or opAccept in a compacted file.
	Outcome        string        `json:"how,omitempty"`
	RetryAfterMS   int64         `json:"retry_ms,omitempty"` // outcomeHandedBack: after how long its client may submit it again
	AwaitsRecorder bool          `json:"keep,omitempty"`     // it goes to the recorder
	Notified       bool          `json:"told,omitempty"`     // no notice of it is owed
	At             time.Duration `json:"at,omitempty"`       // when it ended, if it goes to the recorder; opRates: the time of the outages

	// opRates.
	Rates   map[uint32]float64 `json:"rates,omitempty"`   // usual calls a second, by destination
	Outages []outage           `json:"outages,omitempty"` // receivers that are out of service or recover

	// opList.
	List *listRecord `json:"list,omitempty"`
}

// attemptRecord is an attempt of a message. It may have run, unless it is marked NeverRan.
type attemptRecord struct {
	At       time.Duration `json:"at"`
	Endpoint string        `json:"endpoint"`
	Zone     int           `json:"zone,omitempty"`
	ZoneName string        `json:"in,omitempty"`       // where a key is remembered in its zone only
	NeverRan bool          `json:"never,omitempty"`    // it surely never ran
	Recalled bool          `json:"recalled,omitempty"` // it was recalled before anything was written
	Outcome  string        `json:"out,omitempty"`      // with a recorder: how it ended (undelivered.Outcome)
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
	record
	outcome        string        // its end; "" while it has none
	retryAfterMS   int64         // of one that was handed back
	awaitsRecorder bool          // the recorder has not taken it yet
	notified       bool          // no notice is owed
	endedAt        time.Duration // if it goes to the recorder
	cost           int64         // bytes that it may take in the file, with all that may follow on it
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
