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

// eventsName is the file of the ends of events.
const eventsName = "events.ended"

// ident is what names an event and what it says.
type ident struct {
	key    identity.Key
	digest identity.Digest
}

// append writes it in hexadecimal digits.
func (i *ident) append(b []byte) []byte {
	b = hex.AppendEncode(b, i.key[:])
	return hex.AppendEncode(b, i.digest[:])
}

// MarshalText writes it as append does.
func (i *ident) MarshalText() ([]byte, error) { return i.append(nil), nil }

// UnmarshalText reads what MarshalText wrote.
func (i *ident) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(i.key)+len(i.digest) {
		return fmt.Errorf("identity %q can't be read", text)
	}
	copy(i.key[:], raw)
	copy(i.digest[:], raw[len(i.key):])
	return nil
}

// eventBooks is what is known of events by their identity: those that are held, and for a time how the others ended.
// A nil one knows nothing and keeps nothing.
type eventBooks struct {
	table *identity.Table
	file  *identity.File
	held  map[identity.Key]*message
	was   bool // the last flush failed, and that was told
}

func openEvents(c *Config, now time.Duration) (*eventBooks, error) {
	if c.Events == nil {
		return nil, nil
	}
	b := &eventBooks{table: identity.NewTable(c.Events.RememberMost, c.Events.Remember), held: map[identity.Key]*message{}}
	var err error
	b.file, err = identity.Open(filepath.Join(c.State, eventsName), b.table, now)
	return b, err
}

// journalLeast is the least room that the journal needs, in bytes.
const journalLeast = 512 << 10

// journalRoom is the bytes that the journal may take: what the disk's limit leaves of snapshots and of the ends of events.
func (c *Config) journalRoom() (int64, error) {
	room := int64(c.Limits.DiskMB*1e6*journalPart) - c.knowledgeRoom()
	if room < journalLeast && c.Knowledge != nil {
		return 0, fmt.Errorf("knowledge: bytes = %d, twice, leaves less than %d of the disk's %.0f to the journal", c.Knowledge.Bytes, journalLeast, c.Limits.DiskMB*1e6)
	}
	if c.Events == nil {
		return room, nil
	}
	ends := identity.Size(c.Events.RememberMost)
	if room-ends < journalLeast {
		return 0, fmt.Errorf("events: remember_most = %d takes %d bytes of the disk's %.0f and leaves less than %d to the journal", c.Events.RememberMost, ends, c.Limits.DiskMB*1e6, journalLeast)
	}
	return room - ends, nil
}

// known answers a hand-in of an event that has come before; false if it has not.
func (s *Sender) known(sub submission) bool {
	conflict := answerLine{status: http.StatusConflict, text: "an event of this source and id came before with other content"}
	if m := s.ends.held[sub.Ident.key]; m != nil {
		switch {
		case m.Ident.digest != sub.Ident.digest:
			sub.answer <- conflict
		case m.answer != nil: // it came in this very turn: it hears what the first hears
			m.also = append(m.also, sub.answer)
		default:
			sub.answer <- answerLine{status: http.StatusAccepted, id: m.ID}
		}
		return true
	}
	now := s.clock.now()
	e, ok := s.ends.table.Look(now, sub.Ident.key)
	left := e.At + e.Retry - now
	switch {
	case !ok || e.Outcome == identity.HandedBack && left <= 0: // it was asked to come again, and does
		return false
	case e.Digest != sub.Ident.digest:
		sub.answer <- conflict
	case e.Outcome == identity.Delivered:
		sub.answer <- answerLine{status: http.StatusOK, text: delivered}
	case e.Outcome == identity.HandedBack:
		sub.answer <- answerLine{status: http.StatusServiceUnavailable, retry: left, text: handedBack}
	default:
		sub.answer <- answerLine{status: http.StatusInternalServerError, text: givenUp}
	}
	return true
}

// reserve keeps room for an event's end; why there is none, and after how long there may be some.
func (b *eventBooks) reserve(now time.Duration) (ok bool, why string, after time.Duration) {
	if err := b.file.Failed(); err != nil {
		return false, "how events end can't be written down", 0
	}
	if ok, after = b.table.Reserve(now); !ok {
		return false, "all room for remembering events is taken", after
	}
	return true, "", 0
}

func (b *eventBooks) release(id *ident) {
	if b != nil && id != nil {
		b.table.Release()
	}
}

// hold books a message that is an event.
func (b *eventBooks) hold(m *message) {
	if b != nil && m.Ident != nil {
		b.held[m.Ident.key] = m
	}
}

// resumed books an event that an earlier process left; true if that one knew that it was delivered.
func (b *eventBooks) resumed(now time.Duration, m *stored) bool {
	if b == nil || m.Ident == nil {
		return false
	}
	if e, ok := b.table.Look(now, m.Ident.key); ok && e.Outcome == identity.Delivered && e.Digest == m.Ident.digest {
		return true
	}
	b.table.Reserve(now) // it is owed its end whether there is room or not
	return false
}

// end remembers how a message ended, if it is an event.
func (b *eventBooks) end(m *message, now time.Duration, how identity.Outcome, retry time.Duration) {
	if b == nil || m.Ident == nil || m.ended {
		return
	}
	delete(b.held, m.Ident.key)
	e := identity.End{Key: m.Ident.key, Digest: m.Ident.digest, Outcome: how, At: now, Retry: retry}
	b.file.Add(b.table.End(e), e)
}

// dropped forgets an event that was not taken on.
func (b *eventBooks) dropped(m *message) {
	if b != nil && m.Ident != nil && !m.ended && b.held[m.Ident.key] == m {
		delete(b.held, m.Ident.key)
		b.table.Release()
	}
}

// flush writes down how events ended; an error that lasts is told once.
func (b *eventBooks) flush() error {
	if b == nil {
		return nil
	}
	err := b.file.Flush()
	was := b.was
	if b.was = err != nil; was {
		return nil
	}
	return err
}

func (b *eventBooks) close() error {
	if b == nil {
		return nil
	}
	return errors.Join(b.file.Close())
}
