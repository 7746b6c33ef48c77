package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// Recorder stores messages that were not delivered. The end of a message is offered to it only after the end is in the journal, and
// repeatedly until Record has succeeded once: recording the same end again must change nothing. Its methods may block, as the loop
// does not call them.
type Recorder interface {
	// Record stores ends durably.
	Record(entries []undelivered.Entry, now int64) error
	// RecordDropped counts ends that were not offered, by member and reason.
	RecordDropped(counts map[[2]string]int64) error
	// ResolveResubmitted reports messages that clients submitted under a key, by member and key: a stored message with that key is its
	// client's responsibility again.
	ResolveResubmitted(keys [][2]string) error
}

// The bounds of the recorder's queue, and the pauses before a failed batch is offered again.
const (
	maxRecorderBatch       = 256                    // ends in one batch
	recorderJournalDivisor = 4                      // 1/recorderJournalDivisor of the journal's budget is for ends that wait for the recorder
	minRecorderBackoff     = 200 * time.Millisecond // the pause before the first retry, then doubled
	maxRecorderBackoff     = 10 * time.Second       // the longest pause
	maxSubmittedKeys       = 20_000                 // keys of submissions that wait for a recorder that is slow or fails
)

// recorderQueue is the loop's side of a recorder. A nil queue records nothing.
type recorderQueue struct {
	recorder      Recorder
	offers        chan recorderBatch
	waiting       []*storedMessage    // ended, in the journal, and not offered yet
	offered       []*storedMessage    // offered, and not known to be stored yet
	cost          int64               // bytes that the waiting and offered ends may take in the journal
	maxCost       int64               // above it ends are dropped
	dropped       map[[2]string]int64 // ends that were not offered, by member and reason
	submittedKeys [][2]string         // member and idempotency key of messages that were submitted
	busy          bool                // a batch is under way
}

// recorderBatch is a batch on its way to the recorder.
type recorderBatch struct {
	entries       []undelivered.Entry
	dropped       map[[2]string]int64
	submittedKeys [][2]string
}

// recorderDone says that the recorder has stored the batch that it was offered.
type recorderDone struct{}

// newRecorderQueue makes the queue of a recorder, nil for none; journalBytes is the journal's budget.
func newRecorderQueue(recorder Recorder, journalBytes int64) *recorderQueue {
	if recorder == nil {
		return nil
	}
	return &recorderQueue{recorder: recorder, offers: make(chan recorderBatch, 1), maxCost: journalBytes / recorderJournalDivisor, dropped: map[[2]string]int64{}}
}

// run passes batches on until ctx ends, and calls done after each. A failed batch is retried without limit, as the journal still holds
// it; warn is called with the first failure of a batch.
func (b *recorderQueue) run(ctx context.Context, warn func(error), done func()) {
	for {
		select {
		case batch := <-b.offers:
			if !b.keepOffering(ctx, &batch, warn) {
				return
			}
			done()
		case <-ctx.Done():
			return
		}
	}
}

// keepOffering offers a batch until the recorder has stored it; false if ctx ended before.
func (b *recorderQueue) keepOffering(ctx context.Context, batch *recorderBatch, warn func(error)) bool {
	for backoff, warned := minRecorderBackoff, false; ; backoff = min(2*backoff, maxRecorderBackoff) {
		err := b.offer(batch)
		if err == nil {
			return true
		}
		if !warned { // a persistent error is logged once
			warn(err)
			warned = true
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// offer offers a batch once. The parts of it that the recorder has taken are not offered again.
func (b *recorderQueue) offer(batch *recorderBatch) error {
	if err := b.recorder.RecordDropped(batch.dropped); err != nil {
		return err
	}
	batch.dropped = nil
	if err := b.recorder.ResolveResubmitted(batch.submittedKeys); err != nil {
		return err
	}
	batch.submittedKeys = nil
	return b.recorder.Record(batch.entries, time.Now().UnixNano())
}

// outcomeOf is an attempt's outcome as the recorder names it.
func outcomeOf(o brain.Outcome) undelivered.Outcome {
	switch o {
	case brain.Errored:
		return undelivered.Errored
	case brain.Rejected:
		return undelivered.Rejected
	case brain.TimedOut:
		return undelivered.TimedOut
	case brain.ConnectFailed:
		return undelivered.ConnectFailed
	case brain.ConnectionLost:
		return undelivered.Reset
	case brain.Cancelled:
		return undelivered.Cancelled
	case brain.NotSent:
		return undelivered.NotSent
	case brain.Served: // not passed by any caller: it ends the message
	}
	return undelivered.Unknown
}

// shouldRecord reports whether a message's end, which is about to be written to the journal, must go to the recorder, and reserves the
// room for it.
func (s *Sender) shouldRecord(m *message, outcome string) bool {
	b := s.recorder
	if b == nil { // the store still has a resent message, and must get its end once a recorder is configured again
		return m.Incarnation > 0
	}
	if b.cost+m.cost > b.maxCost && m.Incarnation == 0 { // the recorder is too slow, or its disk fails: that must not affect anything else
		rec := *m.storedMessage
		rec.outcome, rec.endedAt = outcome, s.clock.now()
		e := s.entry(&rec)
		if len(b.dropped) == 0 {
			s.log.Warn("undelivered messages are not kept: too many wait for the store")
		}
		b.dropped[[2]string{e.Member, string(e.Reason)}]++
		return false
	}
	b.cost += m.cost
	b.waiting = append(b.waiting, m.storedMessage)
	return true
}

// offerToRecorder offers the waiting ends if no batch is under way.
func (s *Sender) offerToRecorder() {
	b := s.recorder
	if b == nil || b.busy || len(b.waiting) == 0 && len(b.submittedKeys) == 0 {
		return
	}
	b.busy = true
	n := min(len(b.waiting), maxRecorderBatch)
	b.offered, b.waiting = b.waiting[:n:n], b.waiting[n:]
	batch := recorderBatch{dropped: b.dropped, submittedKeys: b.submittedKeys}
	b.submittedKeys = nil
	b.dropped = map[[2]string]int64{}
	for _, m := range b.offered {
		batch.entries = append(batch.entries, s.entry(m))
	}
	b.offers <- batch // does not block: no other batch is under way
}

// recorderFinished records that the recorder has stored the batch that it was offered.
func (s *Sender) recorderFinished() {
	b := s.recorder
	for _, m := range b.offered {
		b.cost -= m.cost
		if s.journal.byID[m.ID] == m {
			s.journal.update(m, record{Op: opRecorded})
		}
	}
	b.offered, b.busy = nil, false
}

// recordSubmitted records a submission under an idempotency key. If the recorder has failed for so long that there are too many keys,
// the oldest are dropped. A message stored under a dropped key stays in the store, and if it is resent, its receiver recognizes the
// repeat by the key for as long as it remembers the key.
func (b *recorderQueue) recordSubmitted(member, key string) {
	if b == nil || key == "" {
		return
	}
	if len(b.submittedKeys) >= maxSubmittedKeys {
		b.submittedKeys = b.submittedKeys[1:]
	}
	b.submittedKeys = append(b.submittedKeys, [2]string{member, key})
}

// entry is the recorder's entry of a message that has ended.
func (s *Sender) entry(m *storedMessage) undelivered.Entry {
	e := undelivered.Entry{Message: m.ID, Member: m.Tenant, Class: m.Class, Destination: m.Dest, Key: m.Key, Order: m.OrderKey, Body: m.Body,
		Ending: undelivered.GivenUp, EndedInResponse: m.outcome == outcomeAnswered, Resends: m.Incarnation, EndedAt: int64(m.endedAt), Deadline: int64(m.Deadline), Effect: undelivered.Unsafe}
	switch m.outcome {
	case outcomeHandedBack:
		e.Ending = undelivered.HandedBack
	case outcomeDelivered:
		e.Ending = undelivered.Delivered
	}
	if m.Event != nil {
		e.Event = m.Event.AppendHead(nil)
	}
	if i := indexOf(s.config.Classes, m.Class, -1); i >= 0 {
		c := s.config.Settings.Classes[i]
		e.Ordered = c.Ordered && m.OrderKey != ""
		switch c.Idempotency {
		case brain.Idempotent:
			e.Effect = undelivered.Safe
		case brain.IdempotentByKey:
			e.Effect = undelivered.Keyed
		case brain.NonIdempotent: // the value that is set above
		}
		e.AcceptedAt = int64(m.Deadline - c.Deadline)
	}
	for _, t := range m.Attempts {
		e.Attempts = append(e.Attempts, attemptEntry(t))
	}
	e.Reason = undelivered.ReasonOf(e.History())
	return e
}

// attemptEntry is the recorder's entry of an attempt. An attempt without an outcome was in flight at a kill, or when its message was
// given up.
func attemptEntry(t attemptRecord) undelivered.Attempt {
	a := undelivered.Attempt{At: int64(t.At), Endpoint: t.Endpoint, Outcome: undelivered.Outcome(t.Outcome)}
	switch {
	case t.Outcome != "":
	case t.NeverRan:
		a.Outcome = undelivered.NotSent
	default:
		a.Outcome = undelivered.Unknown
	}
	return a
}

// recorderExtension is the recorder's queue as an extension.
type recorderExtension struct {
	noopExtension
	s *Sender
}

// afterTurn offers the ends of the turn, which are in the journal now.
func (x recorderExtension) afterTurn(context.Context) { x.s.offerToRecorder() }
