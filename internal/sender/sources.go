package sender

import (
	"context"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/membership"
)

// Source says where endpoints are. Discovery is one; all feed one list, and which of them wins for a destination is
// membership.Merge's to say.
type Source interface {
	// Follow passes news on, in order, until ctx ends. It is called once, in a goroutine of its own. Whether news is
	// the whole list stands in it.
	Follow(ctx context.Context, news func(membership.Update))
}

// Names is a second source of endpoints.
type Names struct {
	Source
	First        membership.Update // what it knows at the start already
	Destinations []uint32          // of which it will speak: they exist even while they have no endpoint
	Precedence   map[uint32]membership.Precedence
	Fallback     membership.Precedence // for all others
	Report       func() any            // what the command line is told of it
}

// sources is what feeds the list. With discovery alone there is no merge, and its lines are the list's.
type sources struct {
	all   [2]Source        // by membership.Source; nil: there is none
	told  *membership.Told // by discovery
	merge *membership.Merge
}

// platformList is discovery as a source: the list is asked for when the module wants it.
type platformList struct{ s *Sender }

func (p platformList) Follow(ctx context.Context, news func(membership.Update)) {
	p.s.disc.follow(ctx, p.s.askFrom, p.s.asked, news, func(err error) { p.s.post(ctx, failedEvent{err}) })
}

func newSources(s *Sender) sources {
	all := sources{told: membership.NewTold()}
	all.all[membership.Discovery] = platformList{s}
	if n := s.c.Names; n != nil {
		all.all[membership.Names] = n.Source
		all.merge = membership.NewMerge(n.Precedence, n.Fallback)
		for _, d := range n.Destinations {
			s.list.Cells[d] = struct{}{}
		}
	}
	return all
}

// follow starts all sources; what they tell comes to the loop as events.
func (all *sources) follow(ctx context.Context, post func(context.Context, any) bool) {
	for from, source := range all.all {
		if source != nil {
			go source.Follow(ctx, func(u membership.Update) { post(ctx, listEvent{membership.Source(from), u}) })
		}
	}
}

// listsAtStart is what the sources knew before the sender ran. The names' word is in before any message is resumed: an address
// that an update removed before a restart gets nothing after it.
func (s *Sender) listsAtStart() []brain.Event {
	events := []brain.Event{s.news(listEvent{membership.Discovery, s.first})}
	if n := s.c.Names; n != nil {
		events = append(events, s.news(listEvent{membership.Names, n.First}))
	}
	return events
}

// news books news of a source and translates what that changes in the list for the Brain.
func (s *Sender) news(e listEvent) brain.Event {
	if e.from == membership.Discovery {
		counts, older := s.sources.told.Apply(s.clock.now(), e.Targets)
		if older > 0 {
			s.log.Warn("discovery's list is older than what it has told", "version", e.Version, "endpoints that stay left", older)
		}
		e.Targets = counts
		if e.Heard != "" {
			s.journal.keepList(e.Heard, counts)
		}
	}
	if s.sources.merge == nil {
		return s.list.News(e.Targets, e.Full, s.c.names(), s.pool)
	}
	return s.list.News(membership.Update{Servers: s.sources.merge.Apply(e.from, e.Targets)}, false, s.c.names(), s.pool)
}
