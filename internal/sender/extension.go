package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// extension is a feature that takes part in the loop's turns. The loop calls it in its own goroutine: nothing here
// waits for a network, a slow disk or anyone else. A feature that only hears of some of it embeds noPart.
type extension interface {
	// onResume is called once, before any client is heard, when the list is known; what it gives the module is told.
	onResume(now time.Duration) []brain.Event
	// onListUpdate is called after news of the list; what it gives the module is told in the same step, after the news.
	onListUpdate(now time.Duration) []brain.Event
	// handle is called with an event of the feature's own, which it had posted to the loop; others it passes over.
	handle(e extensionEvent, now time.Duration) []brain.Event
	// beforeFlush is called before the journal is written: what must stand on the disk no later than that is written here.
	beforeFlush() error
	// afterTurn is called at the end of each turn, when all of it stands in the journal.
	afterTurn(ctx context.Context)
	// onTick is called about once a second, the more rarely the longer the list is, until no more calls are begun.
	onTick(now time.Duration)
	// shutdown is called as the sender ends, when all that it began has ended.
	shutdown() error
}

// noopExtension takes no part.
type noopExtension struct{}

func (noopExtension) onResume(time.Duration) []brain.Event               { return nil }
func (noopExtension) onListUpdate(time.Duration) []brain.Event           { return nil }
func (noopExtension) handle(extensionEvent, time.Duration) []brain.Event { return nil }
func (noopExtension) beforeFlush() error                                 { return nil }
func (noopExtension) afterTurn(context.Context)                          {}
func (noopExtension) onTick(time.Duration)                               {}
func (noopExtension) shutdown() error                                    { return nil }

// newExtensions gives the features that this sender has, in the order in which they are called.
func (s *Sender) newExtensions() ([]extension, error) {
	var parts []extension
	if s.eventDedup != nil {
		parts = append(parts, eventsExtension{eventDedup: s.eventDedup})
	}
	if s.recorder != nil {
		parts = append(parts, recorderExtension{s: s})
	}
	if s.config.Knowledge != nil {
		parts = append(parts, newKnowledgeStore(s))
	}
	if s.config.Peers != nil { // the module was made to give news
		p, err := newPeersExtension(s)
		if err != nil {
			return parts, err
		}
		parts = append(parts, p)
	}
	if s.config.Fleet != nil {
		parts = append(parts, newFleetExtension(s))
	}
	if s.config.Background {
		parts = append(parts, &backgroundExtension{s: s})
	}
	if s.config.Knowledge != nil || s.config.Peers != nil || s.config.Names != nil || s.config.Background || s.config.Fleet != nil {
		i, err := newInspection(s)
		if err != nil { // without it the sender goes on, and the command line gets no answer
			s.log.Error("the admin socket could not be opened", "err", err)
			return parts, nil
		}
		parts = append(parts, i)
	}
	return parts, nil
}

func extensionOf[T extension](s *Sender) (T, bool) {
	for _, p := range s.extensions {
		if got, ok := p.(T); ok {
			return got, true
		}
	}
	var none T
	return none, false
}
