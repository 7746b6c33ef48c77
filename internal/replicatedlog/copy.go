package replicatedlog

import (
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Events of a Copy.
type (
	// Told is a part of the committed log.
	Told struct{ Piece *pb.LogChunk }
	// Granted is the answer to a question for a lease.
	Granted struct {
		Asked  time.Duration
		Need   uint64
		Length time.Duration
	}
	// Unanswered is that a question got none.
	Unanswered struct{ Asked time.Duration }
	// Staged is that a proposal stands on the disk, or can't.
	Staged struct {
		Change uint64
		Err    error
	}
	// Drained is that no call that was begun under a view before this one's waits to be written.
	Drained struct{ Index uint64 }
)

// Actions of a Copy.
type (
	// Stage keeps a proposal on the disk; Staged says when it is there.
	Stage struct {
		Change   uint64
		Document []byte
	}
	// Question goes to the one who leads.
	Question struct {
		Asked   time.Duration
		Request *pb.LeaseRequest
	}
	// Publish is what calls go by from now on; Drained is wanted if Drain is set.
	Publish struct {
		View  *fleetpolicy.View
		Until time.Duration // under a lease to here; in the past or 0: under none
		Drain bool
	}
	// Lapsed is that nothing may be begun any more, for want of a lease.
	Lapsed struct{}
	// Join hands in that this sender belongs to the fleet.
	Join struct{ Command *pb.Join }
)

// Copy is a sender's own copy of the state, and what it may do by it. Each sender has one, voters too.
type Copy struct {
	name     string
	life     uint64
	settings fleetpolicy.Settings
	terms    lease.Terms

	state    *State
	policy   *fleetpolicy.Machine
	roster   *coordinator.Machine
	verdicts *health.Machine
	heard    map[uint64]time.Duration // when a verdict was heard, by its entry
	stand    *pb.HealthState          // as published: those that have not lapsed
	from     *pb.HealthState          // of which state that is
	lapses   time.Duration            // when one of them does; 0: none
	holder   *lease.Holder
	view     *fleetpolicy.View // as published
	shows    [3]uint64         // version, open change and freeze that it shows
	address  string            // where others reach this sender; empty: it takes no part in rosters
	until    time.Duration     // as published
	ends     time.Duration     // when it may begin nothing any more; 0: told
	acts     uint64            // no call waits that was begun under an older state
	drains   uint64            // index of the view that is not drained yet; 0: none

	staging uint64 // change that is on its way to the disk
	staged  uint64 // change that is there
	refused string // why change refusal is refused here
	refusal uint64

	asked  time.Duration // when it asked last; -1: never
	told   [4]uint64     // what it told then: acts if a change is open, staged, refusal; acts if a roster comes
	joined time.Duration // when it handed its join in last; -1: never

	actions []any
}

// NewCopy makes the copy of a process that has just begun: it holds no lease, whatever its folder says. life is drawn by it.
func NewCopy(name string, life uint64, settings fleetpolicy.Settings, terms lease.Terms) *Copy {
	c := &Copy{name: name, life: life, settings: settings, terms: terms, policy: fleetpolicy.NewMachine(),
		holder: lease.NewHolder(terms), asked: -1, joined: -1}
	all, r, v := machines(c.policy)
	c.state, c.roster, c.verdicts, c.heard = NewState(all), r, v, map[uint64]time.Duration{}
	return c
}

// TakesPart has this sender be in rosters, reached at an address.
func (c *Copy) TakesPart(address string) { c.address = address }

// State is the agreed state, as far as it is known here. It is read only, between steps.
func (c *Copy) State() *State { return c.state }

// Policy is the part of it that says where calls go.
func (c *Copy) Policy() *fleetpolicy.Machine { return c.policy }

// Step takes events in and gives what is to be done.
func (c *Copy) Step(now time.Duration, events []any) ([]any, time.Duration) {
	for _, e := range events {
		switch e := e.(type) {
		case Told:
			c.follow(e.Piece)
		case Granted:
			c.holder.Granted(e.Asked, e.Need, e.Length, now)
		case Unanswered:
			c.asked = min(c.asked, now-c.renew()+c.renew()/8) // soon again, and not at once
		case Staged:
			c.staging = 0
			if o := c.policy.State().GetOpenChange(); o != nil && o.Id == e.Change {
				if e.Err != nil {
					c.refuse(e.Change, "it can't be kept on the disk: "+e.Err.Error())
				} else {
					c.staged = e.Change
				}
			}
		case Drained:
			if e.Index == c.drains {
				c.drains = 0
			}
		}
	}
	c.stage()
	c.publish(now)
	if c.drains == 0 {
		c.acts = c.state.Index()
	}
	c.join(now)
	alarm := c.ask(now)
	if c.ends > 0 && now >= c.ends {
		c.ends = 0
		c.actions = append(c.actions, Lapsed{})
	} else if c.ends > 0 {
		alarm = min(alarm, c.ends)
	}
	if c.lapses > 0 {
		alarm = min(alarm, c.lapses)
	}
	actions := c.actions
	c.actions = nil
	return actions, alarm
}

// follow applies what is committed. What can't be applied ends the copy with a panic: it stops, and its leases lapse.
func (c *Copy) follow(p *pb.LogChunk) {
	if len(p.Snapshot) > 0 && SnapshotIndex(p.Snapshot) > c.state.Index() {
		must(c.state.Restore(p.Snapshot))
	}
	for _, e := range p.Entries {
		if e.Index <= c.state.Index() { // told twice
			continue
		}
		if e.Index > c.state.Index()+1 {
			return // something is missing: it is told again from where the copy stands
		}
		_, err := c.state.Apply(e.Index, e.Term, e.Command)
		must(err)
	}
}

// stage checks the open change, and has it kept.
func (c *Copy) stage() {
	o := c.policy.State().GetOpenChange()
	if o == nil || c.staged == o.Id || c.staging == o.Id || c.refusal == o.Id {
		return
	}
	if err := c.policy.Next().Fits(c.settings); err != nil {
		c.refuse(o.Id, err.Error())
		return
	}
	c.staging = o.Id
	c.actions = append(c.actions, Stage{o.Id, o.Document})
}

func (c *Copy) refuse(change uint64, why string) { c.refusal, c.refused = change, why }

// publish says what calls go by, if that is another than before.
func (c *Copy) publish(now time.Duration) {
	p := Publish{View: c.view}
	o := c.policy.State().GetOpenChange()
	is := [3]uint64{c.policy.State().GetVersion(), o.GetId(), o.GetFreezeIndex()}
	switch {
	case c.view == nil || is != c.shows:
		p.View = c.policy.View(c.state.Index(), c.settings)
		p.Drain = c.view != nil
	case c.view.Index != c.state.Index():
		moved := *c.view // the same to each call
		moved.Index = c.state.Index()
		p.View = &moved
	}
	if stand := c.standing(now); stand != c.stand {
		if c.stand = stand; p.View == c.view {
			same := *c.view
			p.View = &same
		}
	}
	if p.View != c.view {
		p.View.Verdicts = c.stand
		p.View.Roster, p.View.Rank = c.roster.State(), c.state.Rank(c.name)
	}
	p.Until = c.holder.Until(c.state.Index())
	if p.View == c.view && p.Until == c.until {
		return
	}
	if p.Drain {
		c.drains = p.View.Index
	}
	c.view, c.shows, c.until = p.View, is, p.Until
	if c.until > now {
		c.ends = c.until + p.View.Policy.GoesOn()
	}
	c.actions = append(c.actions, p)
}

// standing are the verdicts that have not lapsed here: one that is not said again is over, also for who hears nothing any more.
func (c *Copy) standing(now time.Duration) *pb.HealthState {
	all := c.verdicts.State()
	if all == c.from && (c.lapses == 0 || now < c.lapses) {
		return c.stand
	}
	c.from, c.lapses = all, 0
	heard, stand := map[uint64]time.Duration{}, &pb.HealthState{}
	for _, v := range all.GetStatuses() {
		at, known := c.heard[v.UpdateIndex]
		if !known {
			at = now
		}
		heard[v.UpdateIndex] = at
		if v.TtlUs > 0 {
			until := at + time.Duration(v.TtlUs)*time.Microsecond
			if now >= until {
				continue
			}
			if c.lapses == 0 || until < c.lapses {
				c.lapses = until
			}
		}
		stand.Statuses = append(stand.Statuses, v)
	}
	c.heard = heard
	return stand
}

// renew is how often a lease is asked for: three times in its length, so that two answers may be lost.
func (c *Copy) renew() time.Duration { return c.terms.Length / 3 }

// ask asks for a lease when it is time, or when there is something that a change waits for.
func (c *Copy) ask(now time.Duration) (next time.Duration) {
	told := [4]uint64{0, c.staged, c.refusal, 0}
	if s := c.roster.State(); s.NextEpoch != 0 && c.acts >= s.FenceIndex {
		told[3] = s.FenceIndex
	}
	if o := c.policy.State().GetOpenChange(); o != nil && o.FreezeIndex != 0 && c.acts >= o.FreezeIndex {
		told[0] = o.FreezeIndex
	} else if o != nil {
		told[0] = 1
	}
	if due := c.asked + c.renew(); c.asked >= 0 && told == c.told && now < due {
		return due
	}
	c.asked, c.told = now, told
	r := &pb.LeaseRequest{Name: c.name, Incarnation: c.life, ActingIndex: c.acts, MaxCommandKind: Speaks, Address: c.address}
	if c.staged != 0 {
		r.Staged = append(r.Staged, &pb.StagedChange{ChangeId: c.staged})
	}
	if c.refusal != 0 {
		r.Staged = append(r.Staged, &pb.StagedChange{ChangeId: c.refusal, Rejection: c.refused})
	}
	c.actions = append(c.actions, Question{c.holder.Ask(now), r})
	return now + c.renew()
}

// join hands in that this sender belongs to the fleet, until the state says so.
func (c *Copy) join(now time.Duration) {
	if m := c.state.Member(c.name); m != nil && (m.MaxCommandKind == Speaks || m.Removed) || c.state.Index() == 0 {
		return
	}
	if c.joined >= 0 && now-c.joined < c.renew() {
		return
	}
	c.joined = now
	c.actions = append(c.actions, Join{&pb.Join{Name: c.name, MaxCommandKind: Speaks}})
}
