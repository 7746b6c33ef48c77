package sender

import (
	"context"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/knowledge"
	"saffronyard.example/saffronyard/internal/peers"
)

// peersExtension exchanges facts with the other senders: their facts go to the module as second-hand observations, and the module's
// own observations go to them. It never waits for a peer.
type peersExtension struct {
	noopExtension
	s        *Sender
	node     *peers.Node
	stop     context.CancelFunc
	view     *knowledge.View // facts from peers, except health
	reports  *knowledge.Reports
	unlisted map[knowledge.Subject]struct{} // subjects of facts from peers that are not on the endpoint list yet
}

// PeerKeys changes the keys of the peers' membership (see peers.Node.SetKeys); without peers it does nothing. Any goroutine
// may call it.
func (s *Sender) PeerKeys(keys [][]byte) error {
	if p, ok := extensionOf[*peersExtension](s); ok {
		return p.node.SetKeys(keys)
	}
	return nil
}

// peerFacts is the facts received from one peer.
type peerFacts struct{ facts []knowledge.Fact }

func (peerFacts) isExtensionEvent() {}

// newPeersExtension joins the peers; their facts are posted to the loop.
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

// handle stores the facts of a peer and gives the module the observations that result.
func (p *peersExtension) handle(e extensionEvent, now time.Duration) []brain.Event {
	h, ok := e.(peerFacts)
	if !ok {
		return nil
	}
	touched := map[knowledge.Subject]struct{}{}
	for _, f := range h.facts {
		if f.Source.Own() { // can't happen: a peer has a name
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

// onListUpdate gives the module the facts that came before their receivers were listed.
func (p *peersExtension) onListUpdate(now time.Duration) []brain.Event {
	return p.observationEvents(p.unlisted, now)
}

// observationEvents gives the module the facts from peers on some subjects, as far as the list names them.
func (p *peersExtension) observationEvents(subjects map[knowledge.Subject]struct{}, now time.Duration) []brain.Event {
	var events []brain.Event
	for subject := range subjects {
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

// afterTurn publishes the most urgent changes at once: an outage, a recovery, a Retry-After.
func (p *peersExtension) afterTurn(context.Context) {
	if len(p.s.changedObservations) > 0 {
		p.node.PublishSome(p.s.factsFrom(p.s.changedObservations, p.s.clock.now()))
	}
}

// onTick drops facts that are no longer trusted and publishes all observations.
func (p *peersExtension) onTick(now time.Duration) {
	p.view.Forget(now)
	for subject := range p.unlisted { // facts on a subject that is never listed are kept as long as they are trusted
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
