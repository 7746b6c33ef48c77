package sender

import (
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

// Fleet is what senders agree on, as far as it concerns messages and calls. None of its methods waits.
type Fleet interface {
	// Admit asks at the moment of writing whether a call may be begun, and takes what it uses of the fleet's limits; left is called when
	// it is written, over when it has ended.
	Admit(fleetpolicy.Call) (left func(), over func(written bool), why string)
	// AddBacklog counts so many messages more, or fewer, that wait; SetBacklog puts all that wait in place of what was counted.
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

// fleetExtension is the fleet's policy as an extension: for the module the endpoints of a closed destination drain, and messages that
// can't go are handed back.
type fleetExtension struct {
	noopExtension
	s         *Sender
	verdictOf map[uint32]health.Kind // verdicts as the module was told
}

// rateLimitChange is that this sender may send more or less where the fleet shares a rate limit out.
type rateLimitChange struct{}

func (rateLimitChange) isExtensionEvent() {}

// policyChange is that the policy is another, or that this sender may begin calls, or may not any more.
type policyChange struct{}

func (policyChange) isExtensionEvent() {}

// newFleetExtension watches the fleet for changes, in a goroutine that ends with shutdown.
func newFleetExtension(s *Sender) *fleetExtension {
	policyChanges, rateLimitChanges := make(chan struct{}, 1), make(chan struct{}, 1)
	s.signalPolicyChange = signalTo(policyChanges)
	s.config.Fleet.OnRateLimits(signalTo(rateLimitChanges))
	s.config.Fleet.OnChange(s.signalPolicyChange)
	s.signalPolicyChange() // it may have changed before
	ctx, stop := context.WithCancel(context.Background())
	s.stopFleetWatch = stop
	go func() {
		for {
			select {
			case <-policyChanges:
				s.post(ctx, extensionMessage{policyChange{}})
			case <-rateLimitChanges:
				s.post(ctx, extensionMessage{rateLimitChange{}})
			case <-ctx.Done():
				return
			}
		}
	}()
	return &fleetExtension{s: s, verdictOf: map[uint32]health.Kind{}}
}

// signalTo signals on a channel with room for one: one signal is enough, however often there is cause. It never waits.
func signalTo(c chan<- struct{}) func() {
	return func() {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// shutdown ends the watch.
func (x *fleetExtension) shutdown() error {
	x.s.stopFleetWatch()
	return nil
}

// handle tells the module of changed rate limits, or of all that a changed policy means.
func (x *fleetExtension) handle(e extensionEvent, _ time.Duration) []brain.Event {
	switch e.(type) {
	case rateLimitChange:
		return x.rateLimits(false)
	case policyChange:
		return x.policyChanged()
	default:
		return nil
	}
}

// policyChanged tells the module which destinations are closed now, their rate limits and verdicts, and ends messages that the policy
// doesn't let go.
func (x *fleetExtension) policyChanged() []brain.Event {
	s := x.s
	var events []brain.Event
	if update := s.endpoints.ApplyPolicy(s.config.endpointNames()); len(update.Endpoints) > 0 {
		events = append(events, update)
	}
	events = append(events, x.rateLimits(true)...)
	events = append(events, x.verdicts()...)
	backlog := map[fleetpolicy.Call]int64{}
	for _, m := range s.messages {
		if m.waiting {
			backlog[limitedCall(m.storedMessage.record)]++
		}
	}
	s.config.Fleet.SetBacklog(backlog)
	return append(events, x.withdrawObjected()...)
}

// withdrawObjected ends the messages that the policy is against, in the order in which they were accepted. One in flight ends as it
// does, and the module looks at it again then.
func (x *fleetExtension) withdrawObjected() (events []brain.Event) {
	s := x.s
	for _, number := range slices.Sorted(maps.Keys(s.messages)) {
		m := s.messages[number]
		if m.ended || len(m.calls) > 0 {
			continue
		}
		why, suspended := s.policyObjection(m.storedMessage.record)
		if why == "" {
			continue
		}
		_, mayHaveRun := m.firstPossibleRun()
		switch {
		case !mayHaveRun:
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

// rateLimits tells the module what it may send where the fleet shares a rate limit out: all of it, or what has changed.
func (x *fleetExtension) rateLimits(all bool) (events []brain.Event) {
	for _, f := range x.s.config.Fleet.RateLimits(all) {
		events = append(events, brain.RateGrant{Destination: brain.DestinationID(f.Destination), Limited: f.Limited, Rate: f.Own, TotalRate: f.Fleet})
	}
	return events
}

// verdicts tells the module the fleet's verdicts on the health of receivers that have changed since it was told.
func (x *fleetExtension) verdicts() (events []brain.Event) {
	v, _ := x.s.config.Fleet.View()
	current := map[uint32]health.Kind{}
	for _, status := range v.HealthStatuses() {
		if kind := health.Kind(status.Kind); kind != health.KindSuspended {
			current[status.Destination] = kind
		}
	}
	brainHealth := map[health.Kind]brain.Health{health.KindEjected: brain.Unhealthy, health.KindWarmingUp: brain.WarmingUp, health.KindNone: brain.Healthy}
	tell := func(d uint32, kind health.Kind) {
		if _, listed := x.s.endpoints.Destinations[d]; listed {
			events = append(events, brain.Observation{Destination: brain.DestinationID(d), Health: brainHealth[kind]})
		}
	}
	for _, d := range slices.Sorted(maps.Keys(current)) {
		if x.verdictOf[d] != current[d] {
			tell(d, current[d])
		}
	}
	for _, d := range slices.Sorted(maps.Keys(x.verdictOf)) {
		if current[d] == health.KindNone {
			tell(d, health.KindNone)
		}
	}
	x.verdictOf = current
	return events
}

// afterTurn reports what has just been observed of receivers.
func (x *fleetExtension) afterTurn(context.Context) { x.report(x.s.changedObservations, false) }

// onTick reports what is known of receivers on which there is a verdict, or which are not healthy.
func (x *fleetExtension) onTick(time.Duration) {
	if v, _ := x.s.config.Fleet.View(); v != nil && v.Policy.HasHealthRules() {
		x.report(x.s.brain.Observations(), true)
	}
}

// report passes observations on to the fleet, of destinations for which the policy has a health rule. changedOnly leaves out those
// that have been healthy for a while and on which there is no verdict.
func (x *fleetExtension) report(known []brain.Observation, changedOnly bool) {
	if len(known) == 0 {
		return
	}
	v, _ := x.s.config.Fleet.View()
	if v == nil || !v.Policy.HasHealthRules() {
		return
	}
	var all []health.Observation
	for _, k := range known {
		d := uint32(k.Destination)
		if _, ruled := v.Policy.HealthRule(d); !ruled || k.Endpoint != 0 || k.Health == brain.HealthUnknown {
			continue
		}
		if changedOnly && k.Health == brain.Healthy && x.verdictOf[d] == health.KindNone && k.HealthAge > time.Second {
			continue
		}
		all = append(all, health.Observation{Destination: d, State: knowledge.State(k.Health), Age: k.HealthAge, Duration: max(0, k.HealthFor-k.HealthAge)})
	}
	if len(all) > 0 {
		x.s.config.Fleet.ReportHealth(all)
	}
}
