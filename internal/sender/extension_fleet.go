package sender

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"saffronyard.example/saffronyard/brain"
	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/knowledge"
)

// Fleet is what senders agree on, as far as it concerns messages and calls. Nothing of it waits.
type Fleet interface {
	// Admit asks at the moment of writing whether a call may be begun, and takes what it uses of the fleet's limits; left is called when
	// it is written, over when it has ended.
	Admit(fleetpolicy.Call) (left func(), over func(written bool), why string)
	// AddBacklog notes that so many messages more, or fewer, wait; Recount puts what waits in place of all that was noted.
	AddBacklog(c fleetpolicy.Call, messages int64)
	SetBacklog(map[fleetpolicy.Call]int64)
	// RateLimits are what this sender may send where the fleet shares a limit out: those that have changed, or all.
	RateLimits(all bool) []fleet.RateLimit
	// OnRateLimits has f called, from any goroutine, when some have.
	OnRateLimits(f func())
	// ReportHealth takes what this sender has seen of receivers itself.
	ReportHealth([]health.Observation)
	// ObserveLimit is that a receiver has told this sender its limit, in calls a second.
	ObserveLimit(destination uint32, perSecond float64)
	// View is what calls go by; acts is whether any is begun at all. It is nil while nothing is known.
	View() (v *fleetpolicy.View, acts bool)
	// OnChange has f called, from any goroutine, when either is another.
	OnChange(f func())
	// Register adds what the command line asks of it.
	Register(*http.ServeMux)
}

// fleetExtension is the fleet's policy as a participant: to the module what is closed drains, and what can't go is handed back.
type fleetExtension struct {
	noopExtension
	s         *Sender
	verdictOf map[uint32]health.Kind // verdicts as the module was told
}

// rateLimitChange is that this sender may send more or less where the fleet shares a limit out.
type rateLimitChange struct{}

func (rateLimitChange) isExtensionEvent() {}

// policyChange is that the policy is another, or that this sender may begin calls, or may not any more.
type policyChange struct{}

func (policyChange) isExtensionEvent() {}

func newFleetExtension(s *Sender) *fleetExtension {
	news := make(chan struct{}, 1) // one word is enough, however often it changes
	s.signalPolicyChange = func() {
		select {
		case news <- struct{}{}:
		default:
		}
	}
	paced := make(chan struct{}, 1)
	s.config.Fleet.OnRateLimits(func() {
		select {
		case paced <- struct{}{}:
		default:
		}
	})
	s.config.Fleet.OnChange(s.signalPolicyChange)
	s.signalPolicyChange() // it may have changed before
	ctx, stop := context.WithCancel(context.Background())
	s.stopFleetWatch = stop
	go func() {
		for {
			select {
			case <-news:
				s.post(ctx, extensionMessage{policyChange{}})
			case <-paced:
				s.post(ctx, extensionMessage{rateLimitChange{}})
			case <-ctx.Done():
				return
			}
		}
	}()
	return &fleetExtension{s: s, verdictOf: map[uint32]health.Kind{}}
}

func (p *fleetExtension) shutdown() error {
	p.s.stopFleetWatch()
	return nil
}

// handle tells the module what is closed now, and hands back what can't go.
func (p *fleetExtension) handle(e extensionEvent, _ time.Duration) []brain.Event {
	switch e.(type) {
	case rateLimitChange:
		return p.rateLimits(false)
	case policyChange:
	default:
		return nil
	}
	s := p.s
	var events []brain.Event
	if news := s.endpoints.ApplyPolicy(s.config.endpointNames()); len(news.Endpoints) > 0 {
		events = append(events, news)
	}
	events = append(events, p.rateLimits(true)...)
	events = append(events, p.verdicts()...)
	waiting := map[fleetpolicy.Call]int64{}
	for _, m := range s.messages {
		if m.waiting {
			waiting[limitedCall(m.storedMessage.record)]++
		}
	}
	s.config.Fleet.SetBacklog(waiting)
	held := make([]*message, 0, len(s.messages))
	for _, m := range s.messages {
		held = append(held, m)
	}
	slices.SortFunc(held, func(a, b *message) int { return cmp.Compare(a.number, b.number) })
	for _, m := range held {
		if m.ended || len(m.calls) > 0 {
			continue // what is out ends as it does, and is looked at again then by the module
		}
		why, suspended := s.policyObjection(m.storedMessage.record)
		if why == "" {
			continue
		}
		_, mayRun := m.firstPossibleRun()
		switch {
		case !mayRun:
			s.finish(m.number, outcomeHandedBack, http.StatusServiceUnavailable, s.config.Settings.MaxRetryAfter)
		case suspended: // another attempt won't come, and whether it ran nobody knows
			s.finish(m.number, outcomeGivenUp, http.StatusInternalServerError, 0)
		default: // it waits for its destination, to its deadline
			continue
		}
		events = append(events, brain.Withdrawn{Message: m.number})
	}
	return events
}

// rateLimits tells the module what it may send where the fleet shares a limit out.
func (p *fleetExtension) rateLimits(all bool) (events []brain.Event) {
	for _, f := range p.s.config.Fleet.RateLimits(all) {
		events = append(events, brain.RateGrant{Destination: brain.DestinationID(f.Destination), Limited: f.Limited, Rate: f.Own, TotalRate: f.Fleet})
	}
	return events
}

// verdicts tells the module what the fleet holds of receivers, as far as it was not told.
func (p *fleetExtension) verdicts() (events []brain.Event) {
	v, _ := p.s.config.Fleet.View()
	is := map[uint32]health.Kind{}
	for _, one := range v.HealthStatuses() {
		if sort := health.Kind(one.Kind); sort != health.KindSuspended {
			is[one.Destination] = sort
		}
	}
	brainHealth := map[health.Kind]brain.Health{health.KindEjected: brain.Unhealthy, health.KindWarmingUp: brain.WarmingUp, health.KindNone: brain.Healthy}
	tell := func(d uint32, sort health.Kind) {
		if _, listed := p.s.endpoints.Destinations[d]; listed {
			events = append(events, brain.Observation{Destination: brain.DestinationID(d), Health: brainHealth[sort]})
		}
	}
	for _, d := range slices.Sorted(maps.Keys(is)) {
		if p.verdictOf[d] != is[d] {
			tell(d, is[d])
		}
	}
	for _, d := range slices.Sorted(maps.Keys(p.verdictOf)) {
		if is[d] == health.KindNone {
			tell(d, health.KindNone)
		}
	}
	p.verdictOf = is
	return events
}

// afterTurn passes on what has just been seen of receivers.
func (p *fleetExtension) afterTurn(context.Context) { p.report(p.s.newlyLearnt, false) }

// onTick passes on what is known of those on which there is a verdict, or which do not serve.
func (p *fleetExtension) onTick(time.Duration) {
	if v, _ := p.s.config.Fleet.View(); v != nil && v.Policy.HasHealthRules() {
		p.report(p.s.brain.Observations(), true)
	}
}

func (p *fleetExtension) report(known []brain.Observation, some bool) {
	if len(known) == 0 {
		return
	}
	v, _ := p.s.config.Fleet.View()
	if v == nil || !v.Policy.HasHealthRules() {
		return
	}
	var all []health.Observation
	for _, k := range known {
		d := uint32(k.Destination)
		if _, ruled := v.Policy.HealthRule(d); !ruled || k.Endpoint != 0 || k.Health == brain.HealthUnknown || some && k.Health == brain.Healthy && p.verdictOf[d] == health.KindNone && k.HealthAge > time.Second {
			continue
		}
		all = append(all, health.Observation{Destination: d, State: knowledge.State(k.Health), Age: k.HealthAge, Duration: max(0, k.HealthFor-k.HealthAge)})
	}
	if len(all) > 0 {
		p.s.config.Fleet.ReportHealth(all)
	}
}
