package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
)

// extension is a feature that takes part in the loop's turns. The loop calls it in its own goroutine, so no method may wait for a
// network, a slow disk or another goroutine. The events that a method returns go to the module in the same turn. A feature that needs
// only some of the methods embeds noopExtension.
type extension interface {
	// onResume is called once, when the endpoint list is known and before any client can connect.
	onResume(now time.Duration) []brain.Event
	// onListUpdate is called after an update of the endpoint list; the module gets the update first.
	onListUpdate(now time.Duration) []brain.Event
	// handle is called with the events that extensions post to the loop; an extension ignores those of others.
	handle(e extensionEvent, now time.Duration) []brain.Event
	// beforeFlush is called before the journal is written. It writes what must be on the disk no later than the journal's records.
	beforeFlush() error
	// afterTurn is called at the end of each turn, after the journal was written.
	afterTurn(ctx context.Context)
	// onTick is called about once a second, less often the longer the endpoint list is, until the sender is stopping.
	onTick(now time.Duration)
	// shutdown is called as the sender ends, when the loop takes no more events.
	shutdown() error
}

// noopExtension implements extension without any effect.
type noopExtension struct{}

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
	if s.config.Peers != nil { // New has set Settings.ReportsChanges, so the module reports changes
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
		if err != nil { // the sender runs without it; only the command line gets no answers
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
