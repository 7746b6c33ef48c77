package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// Recorder keeps messages that were not delivered. It is told of an end only after that stands in the journal, and
// each end until it has said once that it keeps it: an end that it has seen before changes nothing.
type Recorder interface {
	// Record puts ends where they outlast the process. It may take its time: it is not called by the loop.
	Record(entries []undelivered.Entry, now int64) error
	// RecordDropped counts ends that were not offered, by member and reason.
	RecordDropped(counts map[[2]string]int64) error
	// ResolveResubmitted tells of messages that clients handed in under a key, by member and key: one that is kept under it is its
	// client's again.
	ResolveResubmitted(keys [][2]string) error
}

const (
	recordMost  = 256                    // ends offered at once
	recordPart  = 4                      // a part of the journal's room is for ends that wait for the recorder
	recordAgain = 200 * time.Millisecond // the pause before what failed is offered again, then doubled
	recordPause = 10 * time.Second       // up to this
	handedMost  = 20_000                 // keys of hand-ins that wait for a recorder that is slow or fails
)

// recorderBooks is the loop's side of a recorder. A nil one keeps nothing.
type recorderBooks struct {
	to      Recorder
	offers  chan offer
	waiting []*stored // ended, in the journal, and not offered yet
	out     []*stored // offered
	cost    int64     // in the journal, of all of these
	most    int64
	missed  map[[2]string]int64
	handed  [][2]string // member and key of messages that were handed in
	busy    bool        // something is offered
}

// offer is a batch on its way to the recorder.
type offer struct {
	entries []undelivered.Entry
	missed  map[[2]string]int64
	handed  [][2]string
}

type keptEvent struct{}

func newRecorder(to Recorder, room int64) *recorderBooks {
	if to == nil {
		return nil
	}
	return &recorderBooks{to: to, offers: make(chan offer, 1), most: room / recordPart, missed: map[[2]string]int64{}}
}

// run passes offers on, until ctx ends. What fails is tried again for as long as it takes: the journal holds it.
func (b *recorderBooks) run(ctx context.Context, warn func(error), kept func()) {
	for {
		var o offer
		select {
		case o = <-b.offers:
		case <-ctx.Done():
			return
		}
		for pause, told := recordAgain, false; ; pause = min(2*pause, recordPause) {
			err := b.to.RecordDropped(o.missed)
			if err == nil {
				o.missed = nil
				if err = b.to.ResolveResubmitted(o.handed); err == nil {
					o.handed = nil
				}
			}
			if err == nil {
				err = b.to.Record(o.entries, time.Now().UnixNano())
			}
			if err == nil {
				break
			}
			if !told { // an error that lasts is told once
				warn(err)
				told = true
			}
			t := time.NewTimer(pause)
			select {
			case <-t.C:
			case <-ctx.Done():
				t.Stop()
				return
			}
		}
		kept()
	}
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
	}
	return undelivered.Unknown
}

// wants is whether an end that is about to be written down is to be kept, and books the room for it.
func (s *Sender) wants(m *message, how string) bool {
	b := s.records
	if b == nil { // what went again is the store's still, and it must hear of its end when it is there again
		return m.Life > 0
	}
	if b.cost+m.cost > b.most && m.Life == 0 { // the recorder is too slow, or its disk fails: nothing else is to suffer for that
		rec := *m.stored
		rec.how, rec.at = how, s.clock.now()
		e := s.entry(&rec)
		if len(b.missed) == 0 {
			s.log.Warn("undelivered messages are not kept: too many wait for the store")
		}
		b.missed[[2]string{e.Member, string(e.Reason)}]++
		return false
	}
	b.cost += m.cost
	b.waiting = append(b.waiting, m.stored)
	return true
}

// record offers what waits, if nothing is out.
func (s *Sender) record() {
	b := s.records
	if b == nil || b.busy || len(b.waiting) == 0 && len(b.handed) == 0 {
		return
	}
	b.busy = true
	n := min(len(b.waiting), recordMost)
	b.out, b.waiting = b.waiting[:n:n], b.waiting[n:]
	o := offer{missed: b.missed, handed: b.handed}
	b.handed = nil
	b.missed = map[[2]string]int64{}
	for _, m := range b.out {
		o.entries = append(o.entries, s.entry(m))
	}
	b.offers <- o // there is room: none is out
}

// kept books that the recorder has what was offered.
func (s *Sender) kept() {
	b := s.records
	for _, m := range b.out {
		b.cost -= m.cost
		if s.journal.byID[m.ID] == m {
			s.journal.note(m, record{Op: "kept"})
		}
	}
	b.out, b.busy = nil, false
}

// handedIn notes a hand-in under a key. Where the recorder has failed for so long that there are too many, the oldest go: what is
// kept under them stays, and if it goes again its receiver tells by the key that it has come before, as long as it does.
func (b *recorderBooks) handedIn(member, key string) {
	if b == nil || key == "" {
		return
	}
	if len(b.handed) >= handedMost {
		b.handed = b.handed[1:]
	}
	b.handed = append(b.handed, [2]string{member, key})
}

// entry is a message that has ended, for the recorder.
func (s *Sender) entry(m *stored) undelivered.Entry {
	e := undelivered.Entry{Message: m.ID, Member: m.Tenant, Class: m.Class, Destination: m.Dest, Key: m.Key, Order: m.Order, Body: m.Body,
		Ending: undelivered.GivenUp, EndedInResponse: m.how == answered, Resends: m.Life, EndedAt: int64(m.at), Deadline: int64(m.Deadline), Effect: undelivered.Unsafe}
	switch m.how {
	case handedBack:
		e.Ending = undelivered.HandedBack
	case delivered:
		e.Ending = undelivered.Delivered
	}
	if m.Event != nil {
		e.Event = m.Event.AppendHead(nil)
	}
	if i := place(s.c.Classes, m.Class, -1); i >= 0 {
		c := s.c.Settings.Classes[i]
		e.Ordered = c.Ordered && m.Order != ""
		switch c.Idempotency {
		case brain.Idempotent:
			e.Effect = undelivered.Safe
		case brain.IdempotentByKey:
			e.Effect = undelivered.Keyed
		}
		e.AcceptedAt = int64(m.Deadline - c.Deadline)
	}
	for _, t := range m.Tries {
		a := undelivered.Attempt{At: int64(t.At), Endpoint: t.Endpoint, Outcome: undelivered.Outcome(t.Out)}
		switch {
		case t.Out != "":
		case t.Never:
			a.Outcome = undelivered.NotSent
		default: // out at a kill, or when it was given up
			a.Outcome = undelivered.Unknown
		}
		e.Attempts = append(e.Attempts, a)
	}
	e.Reason = undelivered.ReasonOf(e.History())
	return e
}
