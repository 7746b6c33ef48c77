package sender

import (
	"net/http"
	"path/filepath"
	"time"

	"saffronyard.example/saffronyard/internal/identity"
)

// eventsFileName is the file of the outcomes of events, in the state folder.
const eventsFileName = "events.ended"

// eventDedup recognizes repeated events by their identity: the pending ones, and for the retention time the outcomes of those that
// have ended. A nil eventDedup remembers nothing.
type eventDedup struct {
	table       *identity.Table
	file        *identity.File
	pending     map[identity.Key]*message
	flushFailed bool // the last flush failed, and its error was returned
}

// openEventDedup reads the outcomes that an earlier process left; nil if no events are accepted.
func openEventDedup(c *Config, now time.Duration) (*eventDedup, error) {
	if c.Events == nil {
		return nil, nil
	}
	b := &eventDedup{table: identity.NewTable(c.Events.MaxRemembered, c.Events.Retention), pending: map[identity.Key]*message{}}
	var err error
	b.file, err = identity.Open(filepath.Join(c.StateDir, eventsFileName), b.table, now)
	return b, err
}

// answerKnownEvent answers the submission of an event that was submitted before; false if it was not.
func (s *Sender) answerKnownEvent(sub submission) bool {
	conflict := response{status: http.StatusConflict, text: "an event of this source and id came before with other content"}
	if m := s.eventDedup.pending[sub.Identity.key]; m != nil {
		switch {
		case m.Identity.digest != sub.Identity.digest:
			sub.answer <- conflict
		case m.reply != nil: // the first submission came in this turn: both get the same answer
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
	case !ok || e.Outcome == identity.HandedBack && left <= 0: // the Retry-After that its client was given has passed
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

// reserve reserves room for an event's outcome. Without room, it gives the reason and the time after which there may be room.
func (b *eventDedup) reserve(now time.Duration) (ok bool, why string, retryAfter time.Duration) {
	if err := b.file.Err(); err != nil {
		return false, "how events end can't be written down", 0
	}
	if ok, retryAfter = b.table.Reserve(now); !ok {
		return false, "all room for remembering events is taken", retryAfter
	}
	return true, "", 0
}

// release gives back the room of an event that was not accepted after all.
func (b *eventDedup) release(id *eventIdentity) {
	if b != nil && id != nil {
		b.table.Release()
	}
}

// register adds a message to the pending ones if it is an event.
func (b *eventDedup) register(m *message) {
	if b != nil && m.Identity != nil {
		b.pending[m.Identity.key] = m
	}
}

// wasDelivered reports whether an event that an earlier process left is recorded as delivered. If it is not, wasDelivered reserves
// room for its outcome.
func (b *eventDedup) wasDelivered(now time.Duration, m *storedMessage) bool {
	if b == nil || m.Identity == nil {
		return false
	}
	if e, ok := b.table.Lookup(now, m.Identity.key); ok && e.Outcome == identity.Delivered && e.Digest == m.Identity.digest {
		return true
	}
	b.table.Reserve(now) // even without room: its outcome must be recorded
	return false
}

// recordEnd records how a message ended, if it is an event. retryAfter is only set for one that was handed back.
func (b *eventDedup) recordEnd(m *message, now time.Duration, outcome identity.Outcome, retryAfter time.Duration) {
	if b == nil || m.Identity == nil || m.ended {
		return
	}
	delete(b.pending, m.Identity.key)
	e := identity.Entry{Key: m.Identity.key, Digest: m.Identity.digest, Outcome: outcome, At: now, RetryAfter: retryAfter}
	b.file.Add(b.table.Record(e), e)
}

// forget drops an event that was not accepted.
func (b *eventDedup) forget(m *message) {
	if b != nil && m.Identity != nil && !m.ended && b.pending[m.Identity.key] == m {
		delete(b.pending, m.Identity.key)
		b.table.Release()
	}
}

// flush writes the recorded outcomes. A persistent error is returned once.
func (b *eventDedup) flush() error {
	if b == nil {
		return nil
	}
	err := b.file.Flush()
	failedBefore := b.flushFailed
	if b.flushFailed = err != nil; failedBefore {
		return nil
	}
	return err
}

// close writes the remaining outcomes and closes the file.
func (b *eventDedup) close() error {
	if b == nil {
		return nil
	}
	return b.file.Close()
}

// eventsExtension is the event deduplication as an extension: its file is written before the journal drops a message.
type eventsExtension struct {
	noopExtension
	*eventDedup
}

// beforeFlush writes the recorded outcomes.
func (x eventsExtension) beforeFlush() error { return x.flush() }

// shutdown closes the file.
func (x eventsExtension) shutdown() error { return x.close() }
