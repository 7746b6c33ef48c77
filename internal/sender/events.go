package sender

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"saffronyard.example/saffronyard/internal/identity"
)

// eventsFileName is the file of the ends of events.
const eventsFileName = "events.ended"

// eventIdentity is what names an event and what it says.
type eventIdentity struct {
	key    identity.Key
	digest identity.Digest
}

// append writes it in hexadecimal digits.
func (i *eventIdentity) append(b []byte) []byte {
	b = hex.AppendEncode(b, i.key[:])
	return hex.AppendEncode(b, i.digest[:])
}

// MarshalText writes it as append does.
func (i *eventIdentity) MarshalText() ([]byte, error) { return i.append(nil), nil }

// UnmarshalText reads what MarshalText wrote.
func (i *eventIdentity) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(i.key)+len(i.digest) {
		return fmt.Errorf("identity %q can't be read", text)
	}
	copy(i.key[:], raw)
	copy(i.digest[:], raw[len(i.key):])
	return nil
}

// eventDedup is what is known of events by their identity: those that are held, and for a time how the others ended.
// A nil one knows nothing and keeps nothing.
type eventDedup struct {
	table       *identity.Table
	file        *identity.File
	pending     map[identity.Key]*message
	flushFailed bool // the last flush failed, and that was told
}

func openEventDedup(c *Config, now time.Duration) (*eventDedup, error) {
	if c.Events == nil {
		return nil, nil
	}
	b := &eventDedup{table: identity.NewTable(c.Events.MaxRemembered, c.Events.Retention), pending: map[identity.Key]*message{}}
	var err error
	b.file, err = identity.Open(filepath.Join(c.StateDir, eventsFileName), b.table, now)
	return b, err
}

// minJournalBytes is the least room that the journal needs, in bytes.
const minJournalBytes = 512 << 10

// journalDiskBytes is the bytes that the journal may take: what the disk's limit leaves of snapshots and of the ends of events.
func (c *Config) journalDiskBytes() (int64, error) {
	room := int64(c.Limits.DiskMB*1e6*journalDiskFraction) - c.knowledgeDiskBytes()
	if room < minJournalBytes && c.Knowledge != nil {
		return 0, fmt.Errorf("knowledge: bytes = %d, twice, leaves less than %d of the disk's %.0f to the journal", c.Knowledge.MaxBytes, minJournalBytes, c.Limits.DiskMB*1e6)
	}
	if c.Events == nil {
		return room, nil
	}
	ends := identity.MaxFileBytes(c.Events.MaxRemembered)
	if room-ends < minJournalBytes {
		return 0, fmt.Errorf("events: remember_most = %d takes %d bytes of the disk's %.0f and leaves less than %d to the journal", c.Events.MaxRemembered, ends, c.Limits.DiskMB*1e6, minJournalBytes)
	}
	return room - ends, nil
}

// answerKnownEvent answers a hand-in of an event that has come before; false if it has not.
func (s *Sender) answerKnownEvent(sub submission) bool {
	conflict := response{status: http.StatusConflict, text: "an event of this source and id came before with other content"}
	if m := s.eventDedup.pending[sub.Identity.key]; m != nil {
		switch {
		case m.Identity.digest != sub.Identity.digest:
			sub.answer <- conflict
		case m.reply != nil: // it came in this very turn: it hears what the first hears
			m.alsoWaiting = append(m.alsoWaiting, sub.answer)
		default:
			sub.answer <- response{status: http.StatusAccepted, messageID: m.ID}
		}
		return true
	}
	now := s.clock.now()
	e, ok := s.eventDedup.table.Lookup(now, sub.Identity.key)
	left := e.At + e.RetryAfter - now
	switch {
	case !ok || e.Outcome == identity.HandedBack && left <= 0: // it was asked to come again, and does
		return false
	case e.Digest != sub.Identity.digest:
		sub.answer <- conflict
	case e.Outcome == identity.Delivered:
		sub.answer <- response{status: http.StatusOK, text: outcomeDelivered}
	case e.Outcome == identity.HandedBack:
		sub.answer <- response{status: http.StatusServiceUnavailable, retryAfter: left, text: outcomeHandedBack}
	default:
		sub.answer <- response{status: http.StatusInternalServerError, text: outcomeGivenUp}
	}
	return true
}

// reserve keeps room for an event's end; why there is none, and after how long there may be some.
func (b *eventDedup) reserve(now time.Duration) (ok bool, why string, after time.Duration) {
	if err := b.file.Err(); err != nil {
		return false, "how events end can't be written down", 0
	}
	if ok, after = b.table.Reserve(now); !ok {
		return false, "all room for remembering events is taken", after
	}
	return true, "", 0
}

func (b *eventDedup) release(id *eventIdentity) {
	if b != nil && id != nil {
		b.table.Release()
	}
}

// register books a message that is an event.
func (b *eventDedup) register(m *message) {
	if b != nil && m.Identity != nil {
		b.pending[m.Identity.key] = m
	}
}

// wasDelivered books an event that an earlier process left; true if that one knew that it was delivered.
func (b *eventDedup) wasDelivered(now time.Duration, m *storedMessage) bool {
	if b == nil || m.Identity == nil {
		return false
	}
	if e, ok := b.table.Lookup(now, m.Identity.key); ok && e.Outcome == identity.Delivered && e.Digest == m.Identity.digest {
		return true
	}
	b.table.Reserve(now) // it is owed its end whether there is room or not
	return false
}

// recordEnd remembers how a message ended, if it is an event.
func (b *eventDedup) recordEnd(m *message, now time.Duration, how identity.Outcome, retry time.Duration) {
	if b == nil || m.Identity == nil || m.ended {
		return
	}
	delete(b.pending, m.Identity.key)
	e := identity.End{Key: m.Identity.key, Digest: m.Identity.digest, Outcome: how, At: now, RetryAfter: retry}
	b.file.Add(b.table.Record(e), e)
}

// forget forgets an event that was not taken on.
func (b *eventDedup) forget(m *message) {
	if b != nil && m.Identity != nil && !m.ended && b.pending[m.Identity.key] == m {
		delete(b.pending, m.Identity.key)
		b.table.Release()
	}
}

// flush writes down how events ended; an error that lasts is told once.
func (b *eventDedup) flush() error {
	if b == nil {
		return nil
	}
	err := b.file.Flush()
	was := b.flushFailed
	if b.flushFailed = err != nil; was {
		return nil
	}
	return err
}

func (b *eventDedup) close() error {
	if b == nil {
		return nil
	}
	return errors.Join(b.file.Close())
}
