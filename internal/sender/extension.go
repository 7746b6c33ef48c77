package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// extension is a feature that takes part in the loop's turns. The loop calls it in its own goroutine, so nothing here waits
// for a network, a slow disk or anyone else. What a method returns is told to the module in the same turn. A feature that
// needs only some of the methods embeds noopExtension.
type extension interface {
	// onResume is called once, before any client is heard, when the endpoint list is known.
	onResume(now time.Duration) []brain.Event
	// onListUpdate is called after an update of the endpoint list; the module is told of the update first.
	onListUpdate(now time.Duration) []brain.Event
	// handle is called with each extension's events, which it had posted to the loop; it passes over those of others.
	handle(e extensionEvent, now time.Duration) []brain.Event
	// beforeFlush is called before the journal is written: what must be on the disk no later than that is written here.
	beforeFlush() error
	// afterTurn is called at the end of each turn, when all of it is in the journal.
	afterTurn(ctx context.Context)
	// onTick is called about once a second, the more rarely the longer the endpoint list, until no more calls are begun.
	onTick(now time.Duration)
	// shutdown is called as the sender ends, when the loop takes no more events.
	shutdown() error
}

// noopExtension takes part in nothing.
type noopExtension struct{}

// The methods of extension, without effect.

func (noopExtension) onResume(time.Duration) []brain.Event               { return nil }
func (noopExtension) onListUpdate(time.Duration) []brain.Event           { return nil }
func (noopExtension) handle(extensionEvent, time.Duration) []brain.Event { return nil }
func (noopExtension) beforeFlush() error                                 { return nil }
func (noopExtension) afterTurn(context.Context)                          {}
func (noopExtension) onTick(time.Duration)                               {}
func (noopExtension) shutdown() error                                    { return nil }

// newExtensions makes the extensions that the configuration turns on, in the order in which they are called.
func (s *Sender) newExtensions() ([]extension, error) {
	var extensions []extension
	if s.eventDedup != nil {
		extensions = append(extensions, eventsExtension{eventDedup: s.eventDedup})
	}
	if s.recorder != nil {
		extensions = append(extensions, recorderExtension{s: s})
	}
	if s.config.Knowledge != nil {
		extensions = append(extensions, newKnowledgeStore(s))
	}
	if s.config.Peers != nil { // the module was made to report changes
		p, err := newPeersExtension(s)
		if err != nil {
			return extensions, err
		}
		extensions = append(extensions, p)
	}
	if s.config.Fleet != nil {
		extensions = append(extensions, newFleetExtension(s))
	}
	if s.config.Background {
		extensions = append(extensions, &backgroundExtension{s: s})
	}
	if s.config.Knowledge != nil || s.config.Peers != nil || s.config.Names != nil || s.config.Background || s.config.Fleet != nil {
		i, err := newAdminServer(s)
		if err != nil { // without it the sender goes on, and the command line gets no answer
			s.log.Error("the admin socket could not be opened", "err", err)
			return extensions, nil
		}
		extensions = append(extensions, i)
	}
	return extensions, nil
}

// extensionOf is the sender's extension of a type; false if it has none.
func extensionOf[T extension](s *Sender) (T, bool) {
	for _, x := range s.extensions {
		if got, ok := x.(T); ok {
			return got, true
		}
	}
	var none T
	return none, false
}
