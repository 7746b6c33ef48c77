package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// participant is a feature that takes part in the loop's turns. The loop calls it in its own goroutine: nothing here
// waits for a network, a slow disk or anyone else. A feature that only hears of some of it embeds noPart.
type participant interface {
	// resumed is called once, before any client is heard, when the list is known; what it gives the module is told.
	resumed(now time.Duration) []brain.Event
	// listed is called after news of the list; what it gives the module is told in the same step, after the news.
	listed(now time.Duration) []brain.Event
	// take is called with an event of the feature's own, which it had posted to the loop; others it passes over.
	take(e any, now time.Duration) []brain.Event
	// beforeWrite is called before the journal is written: what must stand on the disk no later than that is written here.
	beforeWrite() error
	// afterWrite is called at the end of each turn, when all of it stands in the journal.
	afterWrite(ctx context.Context)
	// looked is called about once a second, the more rarely the longer the list is, until no more calls are begun.
	looked(now time.Duration)
	// leaving is called as the sender ends, when all that it began has ended.
	leaving() error
}

// noPart takes no part.
type noPart struct{}

func (noPart) resumed(time.Duration) []brain.Event   { return nil }
func (noPart) listed(time.Duration) []brain.Event    { return nil }
func (noPart) take(any, time.Duration) []brain.Event { return nil }
func (noPart) beforeWrite() error                    { return nil }
func (noPart) afterWrite(context.Context)            {}
func (noPart) looked(time.Duration)                  {}
func (noPart) leaving() error                        { return nil }

// eventsPart is the events' books as a participant.
type eventsPart struct {
	noPart
	*eventBooks
}

func (p eventsPart) beforeWrite() error { return p.flush() }
func (p eventsPart) leaving() error     { return p.close() }

// resumed of the books is asked for each message that is held, and has another meaning.
func (p eventsPart) resumed(time.Duration) []brain.Event { return nil }

// recorderPart is the recorder's books as a participant.
type recorderPart struct {
	noPart
	s *Sender
}

func (p recorderPart) afterWrite(context.Context) { p.s.record() }

// takeParts gives the features that this sender has, in the order in which they are called.
func (s *Sender) takeParts() ([]participant, error) {
	var parts []participant
	if s.ends != nil {
		parts = append(parts, eventsPart{eventBooks: s.ends})
	}
	if s.records != nil {
		parts = append(parts, recorderPart{s: s})
	}
	if s.c.Knowledge != nil {
		parts = append(parts, newPast(s))
	}
	if s.c.Peers != nil { // the module was made to give news
		p, err := newPeers(s)
		if err != nil {
			return parts, err
		}
		parts = append(parts, p)
	}
	if s.c.Fleet != nil {
		parts = append(parts, newFleetPart(s))
	}
	if s.c.Background {
		parts = append(parts, &backgroundPart{s: s})
	}
	if s.c.Knowledge != nil || s.c.Peers != nil || s.c.Names != nil || s.c.Background || s.c.Fleet != nil {
		i, err := newInspection(s)
		if err != nil { // without it the sender goes on, and the command line gets no answer
			s.log.Error("what is known can't be asked for", "err", err)
			return parts, nil
		}
		parts = append(parts, i)
	}
	return parts, nil
}
