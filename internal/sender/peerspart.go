package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/peers"
)

// peersPart is the other senders: what they tell goes to the module as hearsay, and what the module has seen goes to
// them. Nothing here waits for any of them.
type peersPart struct {
	noPart
	s       *Sender
	node    *peers.Node
	stop    context.CancelFunc
	view    *knowledge.View // what was heard, but for health
	reports *knowledge.Reports
	later   map[knowledge.Subject]struct{} // heard of, and not on the list yet
}

// PeerKeys changes the keys of the peers' membership; the first is what is sent with. It may be called from any
// goroutine.
func (s *Sender) PeerKeys(keys [][]byte) error {
	if p, ok := partOf[*peersPart](s); ok {
		return p.node.Keys(keys)
	}
	return nil
}

// heardEvent is what one peer tells.
type heardEvent struct{ facts []knowledge.Fact }

func (heardEvent) partEvent() {}

func newPeers(s *Sender) (*peersPart, error) {
	c := *s.c.Peers
	if c.Facts == 0 {
		c.Facts = peers.DefaultFacts
	}
	p := &peersPart{s: s, view: knowledge.NewView(c.Facts), reports: knowledge.NewReports(c.Facts), later: map[knowledge.Subject]struct{}{}}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	var err error
	p.node, err = peers.Start(c, s.log, s.clock.now, func(facts []knowledge.Fact) bool {
		return len(facts) == 0 || s.post(ctx, heardEvent{facts})
	})
	if err != nil {
		stop()
		return nil, err
	}
	s.log.Info("peers", "membership", p.node.Address(), "cluster", c.Cluster, "seeds", len(c.Seeds))
	return p, nil
}

// take books what was heard and tells the module what it comes to.
func (p *peersPart) take(e any, now time.Duration) []brain.Event {
	h, ok := e.(heardEvent)
	if !ok {
		return nil
	}
	touched := map[knowledge.Subject]struct{}{}
	for _, f := range h.facts {
		if f.Source.Own() { // it can't be: a peer has a name
			continue
		}
		if f.Sort == knowledge.Health {
			p.reports.Add(f, now)
			touched[f.Subject] = struct{}{}
		} else if p.view.Add(f, now) {
			touched[f.Subject] = struct{}{}
		}
	}
	return p.tell(touched, now)
}

func (p *peersPart) listed(now time.Duration) []brain.Event { return p.tell(p.later, now) }

// tell gives what is heard of some to the module, of those that the list names.
func (p *peersPart) tell(some map[knowledge.Subject]struct{}, now time.Duration) []brain.Event {
	var events []brain.Event
	for subject := range some {
		e, listed := p.s.learntOf(subject)
		if !listed {
			if len(p.later) < maxSubjects {
				p.later[subject] = struct{}{}
			}
			continue
		}
		delete(p.later, subject)
		facts := p.view.Of(subject)
		if f, ok := p.reports.Verdict(subject, now); ok {
			facts = append(facts, f)
		}
		if len(facts) == 0 {
			continue
		}
		learn(&e, facts, now)
		e.OtherProbers = p.reports.Outs(subject, now)
		events = append(events, e)
	}
	return events
}

// afterWrite tells at once what matters most to others: an outage, a return, a wait.
func (p *peersPart) afterWrite(context.Context) {
	if len(p.s.fresh) > 0 {
		p.node.TellNews(p.s.factsOf(p.s.fresh, p.s.clock.now()))
	}
}

func (p *peersPart) looked(now time.Duration) {
	p.view.Forget(now)
	for subject := range p.later { // what is heard of one that no list names is kept as long as it is trusted
		if _, ok := p.reports.Verdict(subject, now); !ok && len(p.view.Of(subject)) == 0 {
			delete(p.later, subject)
		}
	}
	p.node.Tell(p.s.knownNow(now))
}

func (p *peersPart) leaving() error {
	p.stop()
	p.node.Close()
	return nil
}
