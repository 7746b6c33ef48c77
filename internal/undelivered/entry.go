package undelivered

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
)

// State is the state of an entry; the package comment has the transitions.
type State string

// States of an entry.
const (
	Stored   State = "kept"
	Resolved State = "settled" // by an operator, or by the client's new message
	// Resending is an entry whose message was handed to the sender again, or is about to be. The sender's journal owns the message until
	// the message ends.
	Resending State = "resending"
)

// Entry is one undelivered message, as the store keeps it in JSON. Times are Unix nanoseconds.
type Entry struct {
	Message         string          `json:"message"` // its id
	Member          string          `json:"member"`
	Class           string          `json:"class"`
	Effect          Effect          `json:"effect"`
	Ordered         bool            `json:"ordered,omitempty"`
	Destination     uint32          `json:"destination"`
	Key             string          `json:"key,omitempty"`
	Order           string          `json:"order,omitempty"`
	Event           json.RawMessage `json:"event,omitempty"` // attributes, if the message was submitted as an event
	Body            []byte          `json:"body,omitempty"`
	Ending          string          `json:"how"`
	EndedInResponse bool            `json:"answered,omitempty"` // the response to its submission reported its end
	Reason          Reason          `json:"reason"`
	AcceptedAt      int64           `json:"taken"`
	EndedAt         int64           `json:"ended"`
	Deadline        int64           `json:"deadline"`
	Attempts        []Attempt       `json:"attempts,omitempty"`

	State           State  `json:"state"`
	Resends         int    `json:"lives,omitempty"` // how often it was resent
	ResendRequested bool   `json:"hand,omitempty"`  // an operator requested a resend
	FirstEndedAt    int64  `json:"began,omitempty"` // of a resent message: its first end; else 0
	ResolvedBy      string `json:"by,omitempty"`    // who resolved it
	Resolution      string `json:"why,omitempty"`   // why
	ResolvedAt      int64  `json:"when,omitempty"`
}

// History returns the input of ReasonOf and MayResend.
func (e *Entry) History() History {
	return History{Ending: e.Ending, EndedInResponse: e.EndedInResponse, AcceptedAt: e.AcceptedAt, EndedAt: e.EndedAt, Deadline: e.Deadline, Effect: e.Effect, Ordered: e.Ordered, Key: e.Key, Attempts: e.Attempts}
}

// Key is an entry's key in the store: 8 bytes of the time at which it ended, big endian, and 8 of the SHA-256 of its message's id.
type Key [16]byte

// String returns the key in hexadecimal, as the command line writes it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey reads what String writes; any other text is a *ParseError.
func ParseKey(text string) (Key, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Key{}) {
		return Key{}, parseError("%q is no name of an entry: 32 hexadecimal digits", text)
	}
	return Key(raw), nil
}

// KeyOf returns the key of a message that ended at a time, in Unix nanoseconds.
func KeyOf(message string, ended int64) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(ended))
	sum := sha256.Sum256([]byte(message))
	copy(k[8:], sum[:8])
	return k
}
