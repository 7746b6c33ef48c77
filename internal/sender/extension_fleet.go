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

// Fleet is the policy and the limits that the senders of a fleet share, for messages and calls. None of its methods blocks.
type Fleet interface {
	// Admit decides, right before a call is written, whether it may begin, and charges it to the fleet's limits; why is the reason
	// if it may not. The caller calls sent when the call is written, and ended once it has ended.
	Admit(fleetpolicy.Call) (sent func(), ended func(written bool), why string)
	// AddBacklog adds messages, which may be negative, to the count of those that wait; SetBacklog replaces all counts.
	AddBacklog(c fleetpolicy.Call, messages int64)
	SetBacklog(map[fleetpolicy.Call]int64)
	// RateLimits gives this sender's shares of the rate limits that the fleet divides: those that have changed, or all.
	RateLimits(all bool) []fleet.RateLimit
	// OnRateLimits registers f, which is called from any goroutine when such shares have changed.
	OnRateLimits(f func())
	// ReportHealth takes this sender's own observations of receivers.
	ReportHealth([]health.Observation)
	// ObserveLimit takes the limit that a receiver has stated to this sender, in calls a second.
	ObserveLimit(destination uint32, perSecond float64)
	// View is the policy that applies to calls; mayCall reports whether this sender may begin calls at all. The view is nil while none is
	// known.
	View() (v *fleetpolicy.View, mayCall bool)
	// OnChange registers f, which is called from any goroutine when either result of View changes.
	OnChange(f func())
	// Register adds the handlers of the command line's queries on the fleet.
	Register(*http.ServeMux)
}

// fleetExtension applies the fleet's policy: the module gets the endpoints of a closed destination as draining, and messages that are
// no longer allowed are handed back, given up or left waiting (see withdrawDisallowed).
type fleetExtension struct {
	noopExtension
	s         *Sender
	verdictOf map[uint32]health.Kind // verdicts that the module has been given, by destination
}

// rateLimitChange says that this sender's share of a rate limit has changed.
type rateLimitChange struct{}

func (rateLimitChange) isExtensionEvent() {}

// policyChange says that the policy has changed, or whether this sender may begin calls.
type policyChange struct{}

func (policyChange) isExtensionEvent() {}

// newFleetExtension watches the fleet for changes, in a goroutine that ends with shutdown.
func newFleetExtension(s *Sender) *fleetExtension {
	policyChanges, rateLimitChanges := make(chan struct{}, 1), make(chan struct{}, 1)
	s.signalPolicyChange = signalTo(policyChanges)
	s.config.Fleet.OnRateLimits(signalTo(rateLimitChanges))
	s.config.Fleet.OnChange(s.signalPolicyChange)
	s.signalPolicyChange() // the policy may have changed before OnChange was called
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

// signalTo is a function that signals on a channel with room for one signal, without blocking. One pending signal is enough, however
// often the function is called.
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

// handle gives the module the changed rate limits, or all effects of a changed policy.
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

// policyChanged gives the module the destinations that are closed now, the rate limits and the verdicts, and ends messages that the
// policy does not allow.
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
	return append(events, x.withdrawDisallowed()...)
}

// withdrawDisallowed ends the messages that the policy does not allow, in the order in which they were accepted. A message that may have
// run is left waiting, unless its tenant is suspended. It skips messages in flight: recheckPolicy checks them when their calls end.
func (x *fleetExtension) withdrawDisallowed() (events []brain.Event) {
	s := x.s
	for _, number := range slices.Sorted(maps.Keys(s.messages)) {
		m := s.messages[number]
		if m.ended || len(m.calls) > 0 {
			continue
		}
		why, suspended := s.whyDisallowed(m.storedMessage.record)
		if why == "" {
			continue
		}
		_, mayHaveRun := m.firstPossibleRun()
		switch {
		case !mayHaveRun:
			s.finish(m.number, outcomeHandedBack, http.StatusServiceUnavailable, s.config.Settings.MaxRetryAfter)
		case suspended: // there will be no further attempt, and whether it ran is unknown
			s.finish(m.number, outcomeGivenUp, http.StatusInternalServerError, 0)
		default: // the message waits for its destination until its deadline
			continue
		}
		events = append(events, brain.Withdrawn{Message: m.number})
	}
	return events
}

// rateLimits gives the module this sender's shares of the rate limits that the fleet divides: all of them, or those that have changed.
func (x *fleetExtension) rateLimits(all bool) (events []brain.Event) {
	for _, f := range x.s.config.Fleet.RateLimits(all) {
		events = append(events, brain.RateGrant{Destination: brain.DestinationID(f.Destination), Limited: f.Limited, Rate: f.Own, TotalRate: f.Fleet})
	}
	return events
}

// verdicts gives the module the fleet's verdicts on the health of receivers that differ from those that it was given before.
func (x *fleetExtension) verdicts() (events []brain.Event) {
	v, _ := x.s.config.Fleet.View()
	current := map[uint32]health.Kind{}
	for _, status := range v.HealthStatuses() {
		if kind := health.Kind(status.Kind); kind != health.KindSuspended {
			current[status.Destination] = kind
		}
	}
	brainHealth := map[health.Kind]brain.Health{health.KindEjected: brain.Unhealthy, health.KindWarmingUp: brain.WarmingUp, health.KindNone: brain.Healthy}
	addVerdict := func(d uint32, kind health.Kind) {
		if _, listed := x.s.endpoints.Destinations[d]; listed {
			events = append(events, brain.Observation{Destination: brain.DestinationID(d), Health: brainHealth[kind]})
		}
	}
	for _, d := range slices.Sorted(maps.Keys(current)) {
		if x.verdictOf[d] != current[d] {
			addVerdict(d, current[d])
		}
	}
	for _, d := range slices.Sorted(maps.Keys(x.verdictOf)) {
		if current[d] == health.KindNone {
			addVerdict(d, health.KindNone)
		}
	}
	x.verdictOf = current
	return events
}

// afterTurn reports the observations of receivers that have just changed.
func (x *fleetExtension) afterTurn(context.Context) { x.report(x.s.changedObservations, false) }

// onTick reports the observations of receivers on which there is a verdict, or which are not healthy.
func (x *fleetExtension) onTick(time.Duration) {
	if v, _ := x.s.config.Fleet.View(); v != nil && v.Policy.HasHealthRules() {
		x.report(x.s.brain.Observations(), true)
	}
}

// report passes observations of destinations for which the policy has a health rule on to the fleet. changedOnly leaves out
// destinations that have been healthy for a while and on which there is no verdict.
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
