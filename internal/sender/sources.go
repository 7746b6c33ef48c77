package sender

import (
	"context"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
)

// Source provides endpoints. Discovery is one source; all sources feed one list, and membership.Merger decides which of them takes
// precedence for a destination.
type Source interface {
	// Follow passes updates to onUpdate, in order, until ctx ends. It is called once, in its own goroutine. The field Full of an
	// update marks a complete list.
	Follow(ctx context.Context, onUpdate func(membership.Update))
}

// NameSource is a second source of endpoints, beside discovery: names in the DNS.
type NameSource struct {
	Source
	Initial      membership.Update                // its endpoints at the start
	Destinations []uint32                         // the destinations that it lists: they exist even while they have no endpoint
	Precedence   map[uint32]membership.Precedence // by destination
	Fallback     membership.Precedence            // for all others
	Report       func() any                       // its state as the command line shows it
}

// sources is the sources of the endpoint list. With discovery alone there is no merger, and its list is used as it is.
type sources struct {
	bySource      [2]Source                 // by membership.Source; nil: not configured
	rollbackGuard *membership.RollbackGuard // against older lists from discovery
	merger        *membership.Merger
}

// discoverySource is discovery as a source: the list is requested when the module asks for it.
type discoverySource struct{ s *Sender }

// Follow passes on discovery's updates; its failures go to the loop.
func (p discoverySource) Follow(ctx context.Context, onUpdate func(membership.Update)) {
	p.s.discovery.follow(ctx, p.s.watchFrom, p.s.watchRequests, onUpdate, func(err error) { p.s.post(ctx, listFailure{err}) })
}

// newSources returns the configured sources, and adds the destinations of names to those that exist from the start.
func newSources(s *Sender) sources {
	all := sources{rollbackGuard: membership.NewRollbackGuard()}
	all.bySource[membership.Discovery] = discoverySource{s}
	if n := s.config.Names; n != nil {
		all.bySource[membership.Names] = n.Source
		all.merger = membership.NewMerger(n.Precedence, n.Fallback)
		for _, d := range n.Destinations {
			s.endpoints.Destinations[d] = struct{}{}
		}
	}
	return all
}

// follow starts all sources; their updates are posted to the loop as events.
func (all *sources) follow(ctx context.Context, post func(context.Context, loopEvent) bool) {
	for from, source := range all.bySource {
		if source != nil {
			go source.Follow(ctx, func(u membership.Update) { post(ctx, listUpdate{membership.Source(from), u}) })
		}
	}
}

// initialListEvents applies the lists that the sources have before the sender runs, and returns the module's events. The names' list
// must be applied before any message is resumed: an address that an update removed before a restart gets no call after it.
func (s *Sender) initialListEvents() []brain.Event {
	events := []brain.Event{s.applyListUpdate(listUpdate{membership.Discovery, s.initialList})}
	if n := s.config.Names; n != nil {
		events = append(events, s.applyListUpdate(listUpdate{membership.Names, n.Initial}))
	}
	return events
}

// applyListUpdate applies an update of a source and returns the module's event for what that changes in the list.
func (s *Sender) applyListUpdate(e listUpdate) brain.Event {
	if e.from == membership.Discovery {
		effective, older := s.sources.rollbackGuard.Apply(s.clock.now(), e.Targets)
		if older > 0 {
			s.log.Warn("discovery's list is older than what it has told", "version", e.Version, "endpoints that stay left", older)
		}
		e.Targets = effective
		if e.Origin != "" {
			s.journal.saveList(e.Origin, effective)
		}
	}
	if s.sources.merger == nil {
		return s.endpoints.Apply(e.Targets, e.Full, s.config.endpointNames(), s.pool)
	}
	return s.endpoints.Apply(membership.Update{Servers: s.sources.merger.Apply(e.from, e.Targets)}, false, s.config.endpointNames(), s.pool)
}
