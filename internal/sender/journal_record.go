package sender

import (
	"hash/fnv"
	"io"
	"time"

	"saffronyard.example/saffronyard/internal/cloudevents"
)

// followUpBytes is the maximum size in bytes of all records on a message after its first: its attempts and its end.
func followUpBytes(id string) int64 { return 1536 + 14*int64(len(id)) }

// The operations of a record, as the file has them.
const (
	opAccept   = "take"  // a message is accepted; in a compacted file, with its state so far
	opSend     = "send"  // an attempt begins
	opEnd      = "end"   // an attempt ended, but not the message
	opOver     = "over"  // the message ended
	opNotified = "told"  // the platform has acknowledged the notice of the message's end
	opRecorded = "kept"  // the recorder has stored the message
	opRates    = "rates" // the usual rates, and the outages
	opList     = "list"  // the endpoint list, or changes to it
)

// record is one line of the journal. Op determines which fields are set. Times are those of the sender's clock, in Unix
// nanoseconds. The JSON names are the stored format: they must not change, and unknown ones are ignored.
type record struct {
	Op string `json:"op"`
	ID string `json:"id"` // of the message; "" for opRates and opList

	// opAccept: the message as its client submitted it.
	Key       string             `json:"key,omitempty"`      // idempotency key
	OrderKey  string             `json:"order,omitempty"`    // ordering key, in an ordered class
	Class     string             `json:"class,omitempty"`    // by name, as settings may change between two processes
	Tenant    string             `json:"tenant,omitempty"`   // by name
	Dest      uint32             `json:"dest,omitempty"`     // destination
	Deadline  time.Duration      `json:"deadline,omitempty"` // a time, not a duration
	Body      []byte             `json:"body,omitempty"`     // of an event: its data
	Effect    string             `json:"effect,omitempty"`   // idempotency of its class when it was accepted (effectNames)
	KeyWindow time.Duration      `json:"window,omitempty"`   // how long its receiver remembers the key
	KeyInZone bool               `json:"in_zone,omitempty"`  // its receiver remembers the key separately in each zone
	Event     *cloudevents.Event `json:"event,omitempty"`    // of an event: its attributes
	Identity  *eventIdentity     `json:"ident,omitempty"`    // of an event: its identity

	// opAccept of a later incarnation, or in a compacted file: the attempts so far.
	Attempts        []attemptRecord `json:"tries,omitempty"`
	Incarnation     int             `json:"life,omitempty"`   // 0 unless it is an undelivered message that is sent again
	EarlierAttempts int             `json:"before,omitempty"` // how many of the attempts belong to earlier incarnations

	// opSend and opEnd.
	Attempt        int            `json:"try,omitempty"`      // opEnd: which attempt, from 0
	Sent           *attemptRecord `json:"sent,omitempty"`     // opSend: the new attempt
	NeverRan       bool           `json:"never,omitempty"`    // opEnd: the attempt certainly never ran
	Recalled       bool           `json:"recalled,omitempty"` // opEnd: the attempt was recalled and is not counted
	AttemptOutcome string         `json:"out,omitempty"`      // opEnd, with a recorder: how the attempt ended (undelivered.Outcome)

	// opOver, or opAccept in a compacted file.
	Outcome        string        `json:"how,omitempty"`
	RetryAfterMS   int64         `json:"retry_ms,omitempty"` // outcomeHandedBack: after how long its client may submit it again
	AwaitsRecorder bool          `json:"keep,omitempty"`     // the recorder has not stored the message yet
	Notified       bool          `json:"told,omitempty"`     // no notice has to be sent any more
	At             time.Duration `json:"at,omitempty"`       // when the message ended, if it goes to the recorder; opRates: the time of the outages

	// opRates.
	Rates   map[uint32]float64 `json:"rates,omitempty"`   // usual calls a second, by destination
	Outages []outage           `json:"outages,omitempty"` // receivers that are out of service or recover

	// opList.
	List *listRecord `json:"list,omitempty"`
}

// attemptRecord is an attempt to deliver a message. It may have run unless NeverRan is set.
type attemptRecord struct {
	At       time.Duration `json:"at"`
	Endpoint string        `json:"endpoint"`
	Zone     int           `json:"zone,omitempty"`
	ZoneName string        `json:"in,omitempty"`       // set if a key is remembered only in the zone of the attempt
	NeverRan bool          `json:"never,omitempty"`    // it certainly never ran
	Recalled bool          `json:"recalled,omitempty"` // it was recalled before anything was written
	Outcome  string        `json:"out,omitempty"`      // with a recorder: how it ended (undelivered.Outcome)
}

// The outcomes of a message. The texts of those that notices report are defined by the platform's protocol.
const (
	outcomeDelivered  = "delivered"
	outcomeAnswered   = "answered" // rejected or failed in the response to its client, or withdrawn
	outcomeGivenUp    = "given_up"
	outcomeHandedBack = "handed_back"
)

// storedMessage is a message in the journal: its first record, and the state that results from the later records.
type storedMessage struct {
	record
	outcome        string        // "" until the message has ended
	retryAfterMS   int64         // if it was handed back
	awaitsRecorder bool          // the recorder has not stored the message yet
	notified       bool          // no notice has to be sent any more
	endedAt        time.Duration // if it goes to the recorder
	cost           int64         // maximum size in bytes of all its records in the file
}

// finished reports whether a message has ended, no notice has to be sent and the recorder need not store it any more.
func (m *storedMessage) finished() bool { return m.outcome != "" && m.notified && !m.awaitsRecorder }

// apply applies a further record to the message.
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

// firstPossibleRun returns the first attempt that may have run; false if none may have.
func (m *storedMessage) firstPossibleRun() (attemptRecord, bool) {
	return m.firstPossibleRunBefore(len(m.Attempts))
}

// firstPossibleRunBefore returns the first of the first n attempts that may have run; false if none may have.
func (m *storedMessage) firstPossibleRunBefore(n int) (attemptRecord, bool) {
	for _, t := range m.Attempts[:min(n, len(m.Attempts))] {
		if !t.NeverRan {
			return t, true
		}
	}
	return attemptRecord{}, false
}

// attemptsMade returns the number of attempts, without those that were recalled before anything was written and without those of
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

// orderKeyHash returns the module's number for the ordering key, 0 for none. Keys with the same number are treated as one key, which
// preserves the order of each.
func (m *storedMessage) orderKeyHash() uint64 {
	if m.OrderKey == "" {
		return 0
	}
	h := fnv.New64a()
	io.WriteString(h, m.OrderKey)
	return max(1, h.Sum64())
}
