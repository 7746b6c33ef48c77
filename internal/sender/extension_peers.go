package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/peers"
)

// peersExtension is the other senders: what they tell goes to the module as hearsay, and what the module has observed goes to
// them. Nothing here waits for any of them.
type peersExtension struct {
	noopExtension
	s        *Sender
	node     *peers.Node
	stop     context.CancelFunc
	view     *knowledge.View // what peers told, but for health
	reports  *knowledge.Reports
	unlisted map[knowledge.Subject]struct{} // of which peers told, and not on the endpoint list yet
}

// PeerKeys changes the keys of the peers' membership (see peers.Node.SetKeys); without peers it does nothing. Any goroutine
// may call it.
func (s *Sender) PeerKeys(keys [][]byte) error {
	if p, ok := extensionOf[*peersExtension](s); ok {
		return p.node.SetKeys(keys)
	}
	return nil
}

// peerFacts is what one peer tells.
type peerFacts struct{ facts []knowledge.Fact }

func (peerFacts) isExtensionEvent() {}

// newPeersExtension joins the peers; their facts come to the loop as events.
func newPeersExtension(s *Sender) (*peersExtension, error) {
	c := *s.config.Peers
	if c.MaxFacts == 0 {
		c.MaxFacts = peers.DefaultMaxFacts
	}
	p := &peersExtension{s: s, view: knowledge.NewView(c.MaxFacts), reports: knowledge.NewReports(c.MaxFacts), unlisted: map[knowledge.Subject]struct{}{}}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	var err error
	p.node, err = peers.Start(c, s.log, s.clock.now, func(facts []knowledge.Fact) bool {
		return len(facts) == 0 || s.post(ctx, extensionMessage{peerFacts{facts}})
	})
	if err != nil {
		stop()
		return nil, err
	}
	s.log.Info("peers: membership started", "membership", p.node.Address(), "cluster", c.Cluster, "seeds", len(c.Seeds))
	return p, nil
}

// handle takes in what a peer tells and gives the module what it comes to.
func (p *peersExtension) handle(e extensionEvent, now time.Duration) []brain.Event {
	h, ok := e.(peerFacts)
	if !ok {
		return nil
	}
	touched := map[knowledge.Subject]struct{}{}
	for _, f := range h.facts {
		if f.Source.Own() { // it can't be: a peer has a name
			continue
		}
		if f.Kind == knowledge.Health {
			p.reports.Add(f, now)
			touched[f.Subject] = struct{}{}
		} else if p.view.Add(f, now) {
			touched[f.Subject] = struct{}{}
		}
	}
	return p.observationEvents(touched, now)
}

// onListUpdate gives the module what was heard of receivers before they were listed.
func (p *peersExtension) onListUpdate(now time.Duration) []brain.Event {
	return p.observationEvents(p.unlisted, now)
}

// observationEvents gives what is heard of some receivers to the module, as far as the list names them.
func (p *peersExtension) observationEvents(some map[knowledge.Subject]struct{}, now time.Duration) []brain.Event {
	var events []brain.Event
	for subject := range some {
		e, listed := p.s.newObservation(subject)
		if !listed {
			if len(p.unlisted) < maxSubjects {
				p.unlisted[subject] = struct{}{}
			}
			continue
		}
		delete(p.unlisted, subject)
		facts := p.view.FactsOf(subject)
		if f, ok := p.reports.Verdict(subject, now); ok {
			facts = append(facts, f)
		}
		if len(facts) == 0 {
			continue
		}
		applyFacts(&e, facts, now)
		e.OtherProbers = p.reports.OutageCount(subject, now)
		events = append(events, e)
	}
	return events
}

// afterTurn publishes at once what matters most to others: an outage, a recovery, a Retry-After.
func (p *peersExtension) afterTurn(context.Context) {
	if len(p.s.changedObservations) > 0 {
		p.node.PublishSome(p.s.factsFrom(p.s.changedObservations, p.s.clock.now()))
	}
}

// onTick drops what is trusted no more and publishes all that is known.
func (p *peersExtension) onTick(now time.Duration) {
	p.view.Forget(now)
	for subject := range p.unlisted { // what is heard of one that no list names is kept as long as it is trusted
		if _, ok := p.reports.Verdict(subject, now); !ok && len(p.view.FactsOf(subject)) == 0 {
			delete(p.unlisted, subject)
		}
	}
	p.node.Publish(p.s.knownFacts(now))
}

// shutdown leaves the peers.
func (p *peersExtension) shutdown() error {
	p.stop()
	p.node.Close()
	return nil
}
