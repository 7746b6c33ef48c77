package replicatedlog

import (
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/health"
	"saffronyard.example/saffronyard/internal/lease"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// never marks that something has not been done yet.
const never time.Duration = -1

// Replica is a sender's own replica of the state, and decides what the sender may do under it. Each sender has one, voters too. See the
// package comment for its contract.
type Replica struct {
	name        string
	incarnation uint64
	address     string // at which other senders reach this one; "": it is no candidate for memberships
	settings    fleetpolicy.Settings
	terms       lease.Terms

	state      *State
	policy     *fleetpolicy.Machine
	membership *coordinator.Machine

	health           *health.Machine
	healthSeenAt     map[uint64]time.Duration // when a status was first seen, by the index of the entry that set or renewed it
	liveHealth       *pb.HealthState          // as published: statuses that have not expired here
	liveHealthSource *pb.HealthState          // the state that it was made from
	nextHealthExpiry time.Duration            // of liveHealth; 0: none expires

	holder        *lease.Holder
	view          *fleetpolicy.View // as published
	publishedKey  viewKey           // key of that view
	leaseUntil    time.Duration     // as published
	stopsActingAt time.Duration     // end of the lease and the policy's grace; 0: LeaseExpired was emitted, or there was no lease
	actingIndex   uint64            // no call that was begun under the state of a lower index waits to be written
	drainingIndex uint64            // of the published view that waits for its Drained event; 0: none

	staging        uint64 // change that is being stored
	staged         uint64 // change that is stored
	rejectedChange uint64
	rejection      string // reason for rejecting rejectedChange

	requestedAt     time.Duration // of the last lease request; never: none yet
	reported        leaseReport   // what that request reported
	joinSubmittedAt time.Duration // never: not yet

	actions []ReplicaAction
}

// viewKey is the part of the state that views depend on: views with equal keys are the same for each call.
type viewKey struct{ version, openChange, freezeIndex uint64 }

// NewReplica makes the replica of a process that has just started: it holds no lease. The process draws its incarnation at random.
func NewReplica(name string, incarnation uint64, settings fleetpolicy.Settings, terms lease.Terms) *Replica {
	r := &Replica{name: name, incarnation: incarnation, settings: settings, terms: terms, policy: fleetpolicy.NewMachine(),
		healthSeenAt: map[uint64]time.Duration{}, holder: lease.NewHolder(terms), requestedAt: never, joinSubmittedAt: never}
	var machines map[uint32]Machine
	machines, r.membership, r.health = newMachines(r.policy)
	r.state = NewState(machines)
	return r
}

// Participate makes this sender a candidate for memberships, reached at an address. It must be called before the first Step.
func (r *Replica) Participate(address string) { r.address = address }

// State is the replicated state as far as this replica has applied the log. Callers may only read it, and only between steps.
func (r *Replica) State() *State { return r.state }

// Policy is the part of the state that decides which calls may be begun, and where they go. Callers may only read it, and only between
// steps.
func (r *Replica) Policy() *fleetpolicy.Machine { return r.policy }

// Step handles events and returns the actions to carry out, and the latest time of the next call.
func (r *Replica) Step(now time.Duration, events []ReplicaEvent) ([]ReplicaAction, time.Duration) {
	for _, e := range events {
		r.handle(now, e)
	}
	r.stageOpenChange()
	r.publish(now)
	if r.drainingIndex == 0 {
		r.actingIndex = r.state.Index()
	}
	r.submitJoin(now)
	alarm := r.requestLease(now)
	if r.stopsActingAt > 0 && now >= r.stopsActingAt {
		r.stopsActingAt = 0
		r.emit(LeaseExpired{})
	} else if r.stopsActingAt > 0 {
		alarm = min(alarm, r.stopsActingAt)
	}
	if r.nextHealthExpiry > 0 {
		alarm = min(alarm, r.nextHealthExpiry)
	}
	actions := r.actions
	r.actions = nil
	return actions, alarm
}

func (r *Replica) emit(a ReplicaAction) { r.actions = append(r.actions, a) }

func (r *Replica) handle(now time.Duration, event ReplicaEvent) {
	switch e := event.(type) {
	case LogReceived:
		r.applyChunk(e.Chunk)
	case LeaseGranted:
		r.holder.RecordGrant(e.RequestedAt, e.RequiredIndex, e.Duration, now)
	case LeaseRequestFailed:
		r.retryLeaseRequest(now)
	case ChangeStaged:
		r.changeStaged(e)
	case Drained:
		if e.Index == r.drainingIndex {
			r.drainingIndex = 0
		}
	}
}

// applyChunk applies a part of the committed log. It panics on an entry that can't be applied: the replica stops, and its lease expires.
func (r *Replica) applyChunk(p *pb.LogChunk) {
	if len(p.Snapshot) > 0 && SnapshotIndex(p.Snapshot) > r.state.Index() {
		mustSucceed(r.state.Restore(p.Snapshot))
	}
	for _, e := range p.Entries {
		if e.Index <= r.state.Index() { // a duplicate
			continue
		}
		if e.Index > r.state.Index()+1 {
			return // entries are missing: they are sent again from the replica's index on
		}
		_, err := r.state.Apply(e.Index, e.Term, e.Command)
		mustSucceed(err)
	}
}

// stageOpenChange checks the open change against this sender's settings and requests that it be stored.
func (r *Replica) stageOpenChange() {
	open := r.policy.State().GetOpenChange()
	if open == nil || r.staged == open.Id || r.staging == open.Id || r.rejectedChange == open.Id {
		return
	}
	if err := r.policy.Next().CheckSettings(r.settings); err != nil {
		r.reject(open.Id, err.Error())
		return
	}
	r.staging = open.Id
	r.emit(StageChange{ChangeID: open.Id, Document: open.Document})
}

func (r *Replica) changeStaged(e ChangeStaged) {
	r.staging = 0
	if open := r.policy.State().GetOpenChange(); open == nil || open.Id != e.ChangeID {
		return
	}
	if e.Err != nil {
		r.reject(e.ChangeID, "it can't be kept on the disk: "+e.Err.Error())
		return
	}
	r.staged = e.ChangeID
}

func (r *Replica) reject(change uint64, reason string) {
	r.rejectedChange, r.rejection = change, reason
}

// publish emits the view that calls are checked against, if the view or the end of the lease has changed. If only the index has changed,
// the new view is the same for each call, and no calls have to drain.
func (r *Replica) publish(now time.Duration) {
	p := PublishView{View: r.view}
	open := r.policy.State().GetOpenChange()
	key := viewKey{r.policy.State().GetVersion(), open.GetId(), open.GetFreezeIndex()}
	switch {
	case r.view == nil || key != r.publishedKey:
		p.View = r.policy.View(r.state.Index(), r.settings)
		p.Drain = r.view != nil
	case r.view.Index != r.state.Index():
		moved := *r.view
		moved.Index = r.state.Index()
		p.View = &moved
	}
	if live := r.unexpiredHealth(now); live != r.liveHealth {
		if r.liveHealth = live; p.View == r.view {
			same := *r.view
			p.View = &same
		}
	}
	if p.View != r.view {
		p.View.Health = r.liveHealth
		p.View.Membership, p.View.Rank = r.membership.State(), r.state.Rank(r.name)
	}
	p.LeaseUntil = r.holder.Until(r.state.Index())
	if p.View == r.view && p.LeaseUntil == r.leaseUntil {
		return
	}
	if p.Drain {
		r.drainingIndex = p.View.Index
	}
	r.view, r.publishedKey, r.leaseUntil = p.View, key, p.LeaseUntil
	if r.leaseUntil > now {
		r.stopsActingAt = r.leaseUntil + p.View.Policy.PartitionGrace()
	}
	r.emit(p)
}

// unexpiredHealth returns the health statuses that have not expired by this sender's clock: a status that is not renewed expires even at
// a sender that no longer receives the log.
func (r *Replica) unexpiredHealth(now time.Duration) *pb.HealthState {
	all := r.health.State()
	if all == r.liveHealthSource && (r.nextHealthExpiry == 0 || now < r.nextHealthExpiry) {
		return r.liveHealth
	}
	r.liveHealthSource, r.nextHealthExpiry = all, 0
	seenAt, live := map[uint64]time.Duration{}, &pb.HealthState{}
	for _, s := range all.GetStatuses() {
		at, known := r.healthSeenAt[s.UpdateIndex]
		if !known {
			at = now
		}
		seenAt[s.UpdateIndex] = at
		if s.TtlUs > 0 {
			until := at + time.Duration(s.TtlUs)*time.Microsecond
			if now >= until {
				continue
			}
			if r.nextHealthExpiry == 0 || until < r.nextHealthExpiry {
				r.nextHealthExpiry = until
			}
		}
		live.Statuses = append(live.Statuses, s)
	}
	r.healthSeenAt = seenAt
	return live
}
