package undelivered

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// State is what an entry waits for.
type State string

// The states.
const (
	Stored   State = "kept"
	Resolved State = "settled" // by hand
	// Resending is one that was handed to the sender again, or is about to be. Until it has ended it is the journal's.
	Resending State = "resending"
)

// Entry is one message that was not delivered.
type Entry struct {
	Message         string          `json:"message"` // its id
	Member          string          `json:"member"`
	Class           string          `json:"class"`
	Effect          Effect          `json:"effect"`
	Ordered         bool            `json:"ordered,omitempty"`
	Destination     uint32          `json:"destination"`
	Key             string          `json:"key,omitempty"`
	Order           string          `json:"order,omitempty"`
	Event           json.RawMessage `json:"event,omitempty"` // attributes, of one that came as an event
	Body            []byte          `json:"body,omitempty"`
	Ending          string          `json:"how"`
	EndedInResponse bool            `json:"answered,omitempty"` // it ended in the answer to its hand-in
	Reason          Reason          `json:"reason"`
	AcceptedAt      int64           `json:"taken"` // Unix nanoseconds
	EndedAt         int64           `json:"ended"`
	Deadline        int64           `json:"deadline"`
	Attempts        []Attempt       `json:"attempts,omitempty"`

	State           State  `json:"state"`
	Resends         int    `json:"lives,omitempty"` // times that it went again
	ResendRequested bool   `json:"hand,omitempty"`  // an operator wants it to go again
	FirstEndedAt    int64  `json:"began,omitempty"` // of one that went again: when it ended first; Unix nanoseconds
	ResolvedBy      string `json:"by,omitempty"`    // who settled it
	Resolution      string `json:"why,omitempty"`   // and why
	ResolvedAt      int64  `json:"when,omitempty"`  // Unix nanoseconds
}

// History is what is asked of an entry.
func (e *Entry) History() History {
	return History{Ending: e.Ending, EndedInResponse: e.EndedInResponse, AcceptedAt: e.AcceptedAt, EndedAt: e.EndedAt, Deadline: e.Deadline, Effect: e.Effect, Ordered: e.Ordered, Key: e.Key, Attempts: e.Attempts}
}

// Key names an entry in the store.
type Key [16]byte

// String is the name as people write it.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey reads a name.
func ParseKey(text string) (Key, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Key{}) {
		return Key{}, fmt.Errorf("%q is no name of an entry: 32 hexadecimal digits", text)
	}
	return Key(raw), nil
}

// KeyOf is the name of a message's entry.
func KeyOf(message string, ended int64) Key {
	var k Key
	binary.BigEndian.PutUint64(k[:], uint64(ended))
	sum := sha256.Sum256([]byte(message))
	copy(k[8:], sum[:8])
	return k
}
