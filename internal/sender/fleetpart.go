package sender

import (
	"cmp"
	"context"
	"fmt"
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
	// Enter asks at the moment of writing whether a call may be begun, and takes what it uses of the fleet's limits; left is called when
	// it is written, over when it has ended.
	Enter(fleetpolicy.Call) (left func(), over func(written bool), why string)
	// Waits notes that so many messages more, or fewer, wait; Recount puts what waits in place of all that was noted.
	Waits(c fleetpolicy.Call, messages int64)
	Recount(map[fleetpolicy.Call]int64)
	// Paces are what this sender may send where the fleet shares a limit out: those that have changed, or all.
	Paces(all bool) []fleet.Pace
	// OnPaces has f called, from any goroutine, when some have.
	OnPaces(f func())
	// Testify takes what this sender has seen of receivers itself.
	Testify([]health.Observation)
	// Told is that a receiver has told this sender its limit, in calls a second.
	Told(destination uint32, perSecond float64)
	// View is what calls go by; acts is whether any is begun at all. It is nil while nothing is known.
	View() (v *fleetpolicy.View, acts bool)
	// OnChange has f called, from any goroutine, when either is another.
	OnChange(f func())
	// Register adds what the command line asks of it.
	Register(*http.ServeMux)
}

// fleetPart is the fleet's policy as a participant: to the module what is closed drains, and what can't go is handed back.
type fleetPart struct {
	noPart
	s     *Sender
	stand map[uint32]health.Kind // verdicts as the module was told
}

// paceEvent is that this sender may send more or less where the fleet shares a limit out.
type paceEvent struct{}

func (paceEvent) partEvent() {}

// fleetEvent is that the policy is another, or that this sender may begin calls, or may not any more.
type fleetEvent struct{}

func (fleetEvent) partEvent() {}

func newFleetPart(s *Sender) *fleetPart {
	news := make(chan struct{}, 1) // one word is enough, however often it changes
	s.fleetNews = func() {
		select {
		case news <- struct{}{}:
		default:
		}
	}
	paced := make(chan struct{}, 1)
	s.c.Fleet.OnPaces(func() {
		select {
		case paced <- struct{}{}:
		default:
		}
	})
	s.c.Fleet.OnChange(s.fleetNews)
	s.fleetNews() // it may have changed before
	ctx, stop := context.WithCancel(context.Background())
	s.fleetStop = stop
	go func() {
		for {
			select {
			case <-news:
				s.post(ctx, fleetEvent{})
			case <-paced:
				s.post(ctx, paceEvent{})
			case <-ctx.Done():
				return
			}
		}
	}()
	return &fleetPart{s: s, stand: map[uint32]health.Kind{}}
}

func (p *fleetPart) leaving() error {
	p.s.fleetStop()
	return nil
}

// take tells the module what is closed now, and hands back what can't go.
func (p *fleetPart) take(e any, _ time.Duration) []brain.Event {
	switch e.(type) {
	case paceEvent:
		return p.paces(false)
	case fleetEvent:
	default:
		return nil
	}
	s := p.s
	var events []brain.Event
	if news := s.list.Closings(s.c.names()); len(news.Endpoints) > 0 {
		events = append(events, news)
	}
	events = append(events, p.paces(true)...)
	events = append(events, p.verdicts()...)
	waiting := map[fleetpolicy.Call]int64{}
	for _, m := range s.messages {
		if m.waits {
			waiting[limitedAs(m.stored.record)]++
		}
	}
	s.c.Fleet.Recount(waiting)
	held := make([]*message, 0, len(s.messages))
	for _, m := range s.messages {
		held = append(held, m)
	}
	slices.SortFunc(held, func(a, b *message) int { return cmp.Compare(a.number, b.number) })
	for _, m := range held {
		if m.ended || len(m.calls) > 0 {
			continue // what is out ends as it does, and is looked at again then by the module
		}
		why, suspended := s.standsAgainst(m.stored.record)
		if why == "" {
			continue
		}
		_, mayRun := m.firstRun()
		switch {
		case !mayRun:
			s.close(m.number, handedBack, http.StatusServiceUnavailable, s.c.Settings.MaxRetryAfter)
		case suspended: // another attempt won't come, and whether it ran nobody knows
			s.close(m.number, givenUp, http.StatusInternalServerError, 0)
		default: // it waits for its destination, to its deadline
			continue
		}
		events = append(events, brain.Withdrawn{Message: m.number})
	}
	return events
}

// paces tells the module what it may send where the fleet shares a limit out.
func (p *fleetPart) paces(all bool) (events []brain.Event) {
	for _, f := range p.s.c.Fleet.Paces(all) {
		events = append(events, brain.RateGrant{Destination: brain.DestinationID(f.Destination), Limited: f.Limited, Rate: f.Mine, TotalRate: f.All})
	}
	return events
}

// verdicts tells the module what the fleet holds of receivers, as far as it was not told.
func (p *fleetPart) verdicts() (events []brain.Event) {
	v, _ := p.s.c.Fleet.View()
	is := map[uint32]health.Kind{}
	for _, one := range v.GetVerdicts() {
		if sort := health.Kind(one.Kind); sort != health.KindSuspended {
			is[one.Destination] = sort
		}
	}
	brainHealth := map[health.Kind]brain.Health{health.KindEjected: brain.Unhealthy, health.KindWarmingUp: brain.WarmingUp, health.KindNone: brain.Healthy}
	tell := func(d uint32, sort health.Kind) {
		if _, listed := p.s.list.Cells[d]; listed {
			events = append(events, brain.Observation{Destination: brain.DestinationID(d), Health: brainHealth[sort]})
		}
	}
	for _, d := range slices.Sorted(maps.Keys(is)) {
		if p.stand[d] != is[d] {
			tell(d, is[d])
		}
	}
	for _, d := range slices.Sorted(maps.Keys(p.stand)) {
		if is[d] == health.KindNone {
			tell(d, health.KindNone)
		}
	}
	p.stand = is
	return events
}

// afterWrite passes on what has just been seen of receivers.
func (p *fleetPart) afterWrite(context.Context) { p.testify(p.s.fresh, false) }

// looked passes on what is known of those on which there is a verdict, or which do not serve.
func (p *fleetPart) looked(time.Duration) {
	if v, _ := p.s.c.Fleet.View(); v != nil && v.Policy.Guards() {
		p.testify(p.s.brain.Observations(), true)
	}
}

func (p *fleetPart) testify(known []brain.Observation, some bool) {
	if len(known) == 0 {
		return
	}
	v, _ := p.s.c.Fleet.View()
	if v == nil || !v.Policy.Guards() {
		return
	}
	var all []health.Observation
	for _, k := range known {
		d := uint32(k.Destination)
		if _, ruled := v.Policy.VerdictRule(d); !ruled || k.Endpoint != 0 || k.Health == brain.HealthUnknown || some && k.Health == brain.Healthy && p.stand[d] == health.KindNone && k.HealthAge > time.Second {
			continue
		}
		all = append(all, health.Observation{Destination: d, State: knowledge.State(k.Health), Age: k.HealthAge, Duration: max(0, k.HealthFor-k.HealthAge)})
	}
	if len(all) > 0 {
		p.s.c.Fleet.Testify(all)
	}
}

// waits notes whether a message waits to be sent, as far as the fleet's limits go by that.
func (s *Sender) waits(m *message, is bool) {
	if s.c.Fleet == nil || m.waits == is {
		return
	}
	m.waits = is
	n := int64(1)
	if !is {
		n = -1
	}
	s.c.Fleet.Waits(limitedAs(m.stored.record), n)
}

// limitedAs is what limits go by of a message that waits.
func limitedAs(r record) fleetpolicy.Call {
	c := callOf(r)
	c.Class, c.Bytes = r.Class, int64(len(r.Body))
	return c
}

// kindByFleet is the kind of a destination that is listed as of another.
func (s *Sender) kindByFleet(destination uint32, listed string) string {
	if v, _ := s.c.Fleet.View(); v != nil {
		return v.Policy.Kind(destination, listed)
	}
	return listed
}

// lookAgain has a message looked at whose call has ended while a word against it came: it was passed over then, and would be
// sent again and again if the fleet was against it as it was about to be written.
func (s *Sender) lookAgain(m *message, e callEnd) {
	if s.c.Fleet == nil || m.ended || e.Outcome == brain.Served || e.Final {
		return
	}
	if why, _ := s.standsAgainst(m.stored.record); why != "" {
		s.fleetNews()
	}
}

// callOf is what the policy judges of a message.
func callOf(r record) fleetpolicy.Call {
	return fleetpolicy.Call{Destination: r.Dest, Tenant: r.Tenant}
}

// standsAgainst says why a message can't go for longer than a change takes to take hold; "" if nothing stands against it.
func (s *Sender) standsAgainst(r record) (why string, suspended bool) {
	v, acts := s.c.Fleet.View()
	if !acts {
		return "this sender is cut off from the fleet", false
	}
	if ok, why := v.Policy.May(callOf(r)); !ok {
		return why, v.Policy.Open(r.Dest)
	}
	if !v.Open(r.Dest) {
		return "its destination is suspended", false
	}
	return "", false
}

// shutByFleet reports whether nothing is sent to a destination just now.
func (s *Sender) shutByFleet(destination uint32) bool {
	v, acts := s.c.Fleet.View()
	return !acts || !v.Open(destination) || v.Frozen.Destination(destination)
}

// byPolicy applies the policy to a message that is handed in: it may go to another destination, or be given up sooner. why is
// why it is turned away; its client may come again, as it was not sent.
func (s *Sender) byPolicy(r *record) (why string) {
	if s.c.Fleet == nil {
		return ""
	}
	v, acts := s.c.Fleet.View()
	if !acts {
		return "this sender is cut off from the fleet"
	}
	if to := v.Policy.Moved(r.Dest); to != r.Dest {
		if _, known := s.list.Cells[to]; !known {
			return fmt.Sprintf("the fleet's policy has moved its destination to %d, which no list names", to)
		}
		r.Dest = to
	}
	if ok, why := v.Policy.May(callOf(*r)); !ok {
		return why
	}
	if !v.Open(r.Dest) {
		return "its destination is suspended"
	}
	if most := v.Policy.DeadlineMost(r.Class); most > 0 {
		r.Deadline = min(r.Deadline, s.clock.now()+most)
	}
	return ""
}

// enter is what a call asks of the fleet before its first byte; nil where there is none.
func (s *Sender) enter(m *message, endpoint string) func() (func(), func(bool), bool) {
	if s.c.Fleet == nil {
		return nil
	}
	c := limitedAs(m.stored.record) // the loop may drop the message meanwhile
	c.Endpoint = endpoint
	return func() (func(), func(bool), bool) {
		left, over, why := s.c.Fleet.Enter(c)
		return left, over, why == ""
	}
}

// HeldBy is how many messages of a tenant for a destination are held.
type HeldBy struct {
	Destination uint32 `json:"destination"`
	Tenant      string `json:"tenant"`
	Messages    int    `json:"messages"`
}

// heldBy counts what is held, as far as a policy tells messages apart.
func (s *Sender) heldBy() []HeldBy {
	counts := map[fleetpolicy.Call]int{}
	for _, m := range s.messages {
		if !m.ended {
			counts[callOf(m.stored.record)]++
		}
	}
	all := make([]HeldBy, 0, len(counts))
	for c, n := range counts {
		all = append(all, HeldBy{c.Destination, c.Tenant, n})
	}
	slices.SortFunc(all, func(a, b HeldBy) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Tenant, b.Tenant))
	})
	return all
}
