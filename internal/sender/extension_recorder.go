package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// Recorder keeps messages that were not delivered. It is told of an end only after that is in the journal, and of each end
// until it has said once that it keeps it: an end that it has seen before changes nothing. Its methods may block: the loop
// does not call them.
type Recorder interface {
	// Record puts ends where they outlast the process. It may take its time: it is not called by the loop.
	Record(entries []undelivered.Entry, now int64) error
	// RecordDropped counts ends that were not offered, by member and reason.
	RecordDropped(counts map[[2]string]int64) error
	// ResolveResubmitted tells of messages that clients submitted under a key, by member and key: one that is kept under it is its
	// client's again.
	ResolveResubmitted(keys [][2]string) error
}

// The bounds of what waits for the recorder, and the pauses before what it failed to keep is offered again.
const (
	maxRecorderBatch       = 256                    // ends in one batch
	recorderJournalDivisor = 4                      // so much of the journal's budget is for ends that wait for the recorder
	minRecorderBackoff     = 200 * time.Millisecond // the pause before what failed is offered again, then doubled
	maxRecorderBackoff     = 10 * time.Second       // up to this
	maxSubmittedKeys       = 20_000                 // keys of submissions that wait for a recorder that is slow or fails
)

// recorderQueue is the loop's side of a recorder. A nil one keeps nothing.
type recorderQueue struct {
	recorder      Recorder
	offers        chan recorderBatch
	waiting       []*storedMessage    // ended, in the journal, and not offered yet
	offered       []*storedMessage    // offered, and not known to be kept yet
	cost          int64               // bytes that all of these may take in the journal
	maxCost       int64               // above it ends are dropped
	dropped       map[[2]string]int64 // ends that were not offered, by member and reason
	submittedKeys [][2]string         // member and idempotency key of messages that were submitted
	busy          bool                // a batch is offered
}

// recorderBatch is a batch on its way to the recorder.
type recorderBatch struct {
	entries       []undelivered.Entry
	dropped       map[[2]string]int64
	submittedKeys [][2]string
}

// recorderDone is that the recorder keeps what it was offered.
type recorderDone struct{}

// newRecorderQueue makes the queue of a recorder, nil for none; journalBytes is the journal's budget.
func newRecorderQueue(recorder Recorder, journalBytes int64) *recorderQueue {
	if recorder == nil {
		return nil
	}
	return &recorderQueue{recorder: recorder, offers: make(chan recorderBatch, 1), maxCost: journalBytes / recorderJournalDivisor, dropped: map[[2]string]int64{}}
}

// run passes batches on until ctx ends, and calls done after each. What fails is tried again for as long as it takes, as the
// journal holds it; warn is called with the first failure of a batch.
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

// keepOffering offers a batch until the recorder keeps it; false if ctx ended before.
func (b *recorderQueue) keepOffering(ctx context.Context, batch *recorderBatch, warn func(error)) bool {
	for backoff, warned := minRecorderBackoff, false; ; backoff = min(2*backoff, maxRecorderBackoff) {
		err := b.offer(batch)
		if err == nil {
			return true
		}
		if !warned { // an error that lasts is logged once
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

// offer offers a batch once. What the recorder has taken of it is not offered again.
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

// outcomeOf is an attempt's outcome in the recorder's words.
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
	case brain.Served: // it ends a message that is not recorded
	}
	return undelivered.Unknown
}

// shouldRecord reports whether an end that is about to be recorded is to go to the recorder, and reserves the room for it.
func (s *Sender) shouldRecord(m *message, outcome string) bool {
	b := s.recorder
	if b == nil { // what went again is the store's still, and it must hear of its end when it is there again
		return m.Incarnation > 0
	}
	if b.cost+m.cost > b.maxCost && m.Incarnation == 0 { // the recorder is too slow, or its disk fails: nothing else is to suffer for that
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

// offerToRecorder offers what waits, if nothing is offered already.
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
	b.offers <- batch // there is room: none is offered
}

// recorderFinished records that the recorder keeps what it was offered.
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

// recordSubmitted records a submission under an idempotency key. Where the recorder has failed for so long that there are too
// many, the oldest go: what is kept under them stays, and if it goes again its receiver tells by the key that it has come
// before, as long as it does.
func (b *recorderQueue) recordSubmitted(member, key string) {
	if b == nil || key == "" {
		return
	}
	if len(b.submittedKeys) >= maxSubmittedKeys {
		b.submittedKeys = b.submittedKeys[1:]
	}
	b.submittedKeys = append(b.submittedKeys, [2]string{member, key})
}

// entry is a message that has ended, for the recorder.
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
		case brain.NonIdempotent: // as it is at first
		}
		e.AcceptedAt = int64(m.Deadline - c.Deadline)
	}
	for _, t := range m.Attempts {
		e.Attempts = append(e.Attempts, attemptEntry(t))
	}
	e.Reason = undelivered.ReasonOf(e.History())
	return e
}

// attemptEntry is an attempt for the recorder. One without an outcome was in flight at a kill, or when its message was given up.
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

// afterTurn offers what has ended: it is in the journal now.
func (x recorderExtension) afterTurn(context.Context) { x.s.offerToRecorder() }
