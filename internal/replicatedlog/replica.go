package replicatedlog

import (
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// Replica is a sender's own copy of the state, and what it may do by it. Each sender has one, voters too.
type Replica struct {
	name        string
	incarnation uint64
	settings    fleetpolicy.Settings
	terms       lease.Terms

	state            *State
	policy           *fleetpolicy.Machine
	membership       *coordinator.Machine
	health           *health.Machine
	healthSeenAt     map[uint64]time.Duration // when a verdict was heard, by its entry
	liveHealth       *pb.HealthState          // as published: those that have not lapsed
	liveHealthSource *pb.HealthState          // of which state that is
	nextHealthExpiry time.Duration            // when one of them does; 0: none
	holder           *lease.Holder
	view             *fleetpolicy.View // as published
	shown            [3]uint64         // version, open change and freeze that it shows
	address          string            // where others reach this sender; empty: it takes no part in rosters
	leaseUntil       time.Duration     // as published
	stopsActingAt    time.Duration     // when it may begin nothing any more; 0: told
	actingIndex      uint64            // no call waits that was begun under an older state
	drainingIndex    uint64            // index of the view that is not drained yet; 0: none

	staging        uint64 // change that is on its way to the disk
	staged         uint64 // change that is there
	rejection      string // why change refusal is refused here
	rejectedChange uint64

	requestedAt     time.Duration // when it asked last; -1: never
	reported        [4]uint64     // what it told then: acts if a change is open, staged, refusal; acts if a roster comes
	joinSubmittedAt time.Duration // when it handed its join in last; -1: never

	actions []any
}

// NewReplica makes the copy of a process that has just begun: it holds no lease, whatever its folder says. life is drawn by it.
func NewReplica(name string, life uint64, settings fleetpolicy.Settings, terms lease.Terms) *Replica {
	c := &Replica{name: name, incarnation: life, settings: settings, terms: terms, policy: fleetpolicy.NewMachine(),
		holder: lease.NewHolder(terms), requestedAt: -1, joinSubmittedAt: -1}
	all, r, v := machines(c.policy)
	c.state, c.membership, c.health, c.healthSeenAt = NewState(all), r, v, map[uint64]time.Duration{}
	return c
}

// Participate has this sender be in rosters, reached at an address.
func (c *Replica) Participate(address string) { c.address = address }

// State is the agreed state, as far as it is known here. It is read only, between steps.
func (c *Replica) State() *State { return c.state }

// Policy is the part of it that says where calls go.
func (c *Replica) Policy() *fleetpolicy.Machine { return c.policy }

// Step takes events in and gives what is to be done.
func (c *Replica) Step(now time.Duration, events []any) ([]any, time.Duration) {
	for _, e := range events {
		switch e := e.(type) {
		case LogReceived:
			c.applyChunk(e.Chunk)
		case LeaseGranted:
			c.holder.RecordGrant(e.RequestedAt, e.RequiredIndex, e.Duration, now)
		case LeaseRequestFailed:
			c.requestedAt = min(c.requestedAt, now-c.renewInterval()+c.renewInterval()/8) // soon again, and not at once
		case ChangeStaged:
			c.staging = 0
			if o := c.policy.State().GetOpenChange(); o != nil && o.Id == e.ChangeID {
				if e.Err != nil {
					c.reject(e.ChangeID, "it can't be kept on the disk: "+e.Err.Error())
				} else {
					c.staged = e.ChangeID
				}
			}
		case Drained:
			if e.Index == c.drainingIndex {
				c.drainingIndex = 0
			}
		}
	}
	c.stageOpenChange()
	c.publish(now)
	if c.drainingIndex == 0 {
		c.actingIndex = c.state.Index()
	}
	c.submitJoin(now)
	alarm := c.requestLease(now)
	if c.stopsActingAt > 0 && now >= c.stopsActingAt {
		c.stopsActingAt = 0
		c.actions = append(c.actions, LeaseExpired{})
	} else if c.stopsActingAt > 0 {
		alarm = min(alarm, c.stopsActingAt)
	}
	if c.nextHealthExpiry > 0 {
		alarm = min(alarm, c.nextHealthExpiry)
	}
	actions := c.actions
	c.actions = nil
	return actions, alarm
}

// applyChunk applies what is committed. What can't be applied ends the copy with a panic: it stops, and its leases lapse.
func (c *Replica) applyChunk(p *pb.LogChunk) {
	if len(p.Snapshot) > 0 && SnapshotIndex(p.Snapshot) > c.state.Index() {
		mustSucceed(c.state.Restore(p.Snapshot))
	}
	for _, e := range p.Entries {
		if e.Index <= c.state.Index() { // told twice
			continue
		}
		if e.Index > c.state.Index()+1 {
			return // something is missing: it is told again from where the copy stands
		}
		_, err := c.state.Apply(e.Index, e.Term, e.Command)
		mustSucceed(err)
	}
}

// stageOpenChange checks the open change, and has it kept.
func (c *Replica) stageOpenChange() {
	o := c.policy.State().GetOpenChange()
	if o == nil || c.staged == o.Id || c.staging == o.Id || c.rejectedChange == o.Id {
		return
	}
	if err := c.policy.Next().CheckSettings(c.settings); err != nil {
		c.reject(o.Id, err.Error())
		return
	}
	c.staging = o.Id
	c.actions = append(c.actions, StageChange{o.Id, o.Document})
}

func (c *Replica) reject(change uint64, why string) { c.rejectedChange, c.rejection = change, why }

// publish says what calls go by, if that is another than before.
func (c *Replica) publish(now time.Duration) {
	p := PublishView{View: c.view}
	o := c.policy.State().GetOpenChange()
	is := [3]uint64{c.policy.State().GetVersion(), o.GetId(), o.GetFreezeIndex()}
	switch {
	case c.view == nil || is != c.shown:
		p.View = c.policy.View(c.state.Index(), c.settings)
		p.Drain = c.view != nil
	case c.view.Index != c.state.Index():
		moved := *c.view // the same to each call
		moved.Index = c.state.Index()
		p.View = &moved
	}
	if stand := c.unexpiredHealth(now); stand != c.liveHealth {
		if c.liveHealth = stand; p.View == c.view {
			same := *c.view
			p.View = &same
		}
	}
	if p.View != c.view {
		p.View.Health = c.liveHealth
		p.View.Membership, p.View.Rank = c.membership.State(), c.state.Rank(c.name)
	}
	p.LeaseUntil = c.holder.Until(c.state.Index())
	if p.View == c.view && p.LeaseUntil == c.leaseUntil {
		return
	}
	if p.Drain {
		c.drainingIndex = p.View.Index
	}
	c.view, c.shown, c.leaseUntil = p.View, is, p.LeaseUntil
	if c.leaseUntil > now {
		c.stopsActingAt = c.leaseUntil + p.View.Policy.CutOffGrace()
	}
	c.actions = append(c.actions, p)
}

// unexpiredHealth are the verdicts that have not lapsed here: one that is not said again is over, also for who hears nothing any more.
func (c *Replica) unexpiredHealth(now time.Duration) *pb.HealthState {
	all := c.health.State()
	if all == c.liveHealthSource && (c.nextHealthExpiry == 0 || now < c.nextHealthExpiry) {
		return c.liveHealth
	}
	c.liveHealthSource, c.nextHealthExpiry = all, 0
	heard, stand := map[uint64]time.Duration{}, &pb.HealthState{}
	for _, v := range all.GetStatuses() {
		at, known := c.healthSeenAt[v.UpdateIndex]
		if !known {
			at = now
		}
		heard[v.UpdateIndex] = at
		if v.TtlUs > 0 {
			until := at + time.Duration(v.TtlUs)*time.Microsecond
			if now >= until {
				continue
			}
			if c.nextHealthExpiry == 0 || until < c.nextHealthExpiry {
				c.nextHealthExpiry = until
			}
		}
		stand.Statuses = append(stand.Statuses, v)
	}
	c.healthSeenAt = heard
	return stand
}
