package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// leadership is what a process holds while it is primary, over all records that it had chosen in one go.
type leadership struct {
	began     time.Duration
	first     uint64                   // epoch of its first record: who writes under it or a later one has seen no other primary between
	record    *tierv1.View             // in force
	confirmed map[string]time.Duration // when the newest round trip began that a backup answered under the record
	lost      map[string]bool          // backups that failed a call
	renew     bool                     // a backup has promised a higher epoch
	next      time.Duration            // heartbeat
	retryAt   time.Duration            // of the next proposal
	moreAt    time.Duration            // before which none is made only for more backups or other addresses: the one before gave none
	visible   map[string]*tierv1.Entry // what all copies hold
	queue     []waiter
	round     *round
}

// leadership begins or goes on with a record that was chosen. All its backups hold this copy: what was under way stands.
func (machine *machine) leadership(proposal *proposal) {
	machine.proposal = nil
	machine.chosen = proposal.target
	machine.store(encodeMessage(kindChosen, proposal.target), false)
	primary := machine.primary
	if primary == nil {
		primary = &leadership{first: proposal.epoch, began: machine.now}
		machine.primary = primary
	}
	primary.record, primary.renew, primary.next, primary.retryAt = proposal.target, false, machine.now, 0
	primary.lost, primary.confirmed = make(map[string]bool), make(map[string]time.Duration)
	for _, folder := range proposal.target.Backups {
		primary.confirmed[folder] = proposal.confirmed[folder]
	}
	machine.observed, machine.hint = false, machine.self.Address
	machine.out.changed = true
	machine.out.news = append(machine.out.news, "primary")
	machine.commit()
}

// stepDown ends the leadership. What was on its way to the backups has an unknown outcome; what waited was not written.
func (machine *machine) stepDown(why string) {
	primary := machine.primary
	machine.primary, machine.proposal = nil, nil
	if primary.round != nil {
		for _, waiter := range primary.round.waiters {
			err := ErrUnknown
			if waiter.sets == nil {
				err = ErrNotPrimary
			}
			machine.out.outcomes = append(machine.out.outcomes, outcome{waiter.token, 0, err})
		}
	}
	for _, waiter := range primary.queue {
		machine.out.outcomes = append(machine.out.outcomes, outcome{waiter.token, 0, ErrNotPrimary})
	}
	machine.hint, machine.observed = "", false
	machine.tryAt = machine.now + machine.timing.heartbeat + machine.jitter(machine.timing.heartbeat)
	machine.joinAt = machine.now + machine.jitter(machine.timing.heartbeat)
	machine.out.changed = true
	machine.out.news = append(machine.out.news, "stepped down: "+why)
}

// confirmedAt is when the oldest of the newest round trips to the backups began. Without backups it is now: nobody else
// may take over.
func (machine *machine) confirmedAt() time.Duration {
	at := machine.now
	for _, folder := range machine.primary.record.Backups {
		at = min(at, machine.primary.confirmed[folder])
	}
	return at
}

// confirmedWithin tells whether all backups answered a round trip that began within d.
func (machine *machine) confirmedWithin(d time.Duration) bool {
	return machine.now-machine.confirmedAt() < d
}

// leadershipTimers does what is due of a primary: it ends a leadership that is not confirmed any more, sends heartbeats
// and proposes the record that it wants next.
func (machine *machine) leadershipTimers() {
	primary := machine.primary
	if machine.proposal == nil && !machine.confirmedWithin(machine.timing.fresh) {
		machine.stepDown("backups are silent")
		return
	}
	if machine.now >= primary.next {
		primary.next = machine.now + machine.timing.heartbeat
		for _, address := range machine.addresses() {
			member := slices.ContainsFunc(primary.record.Members, func(v *tierv1.Member) bool { return v.Address == address })
			if member || machine.silent(address) < 5*machine.timing.swap { // others ask to join when they are back
				machine.sendHeartbeat(address)
			}
		}
	}
	if machine.proposal == nil && machine.now >= primary.retryAt {
		if want, ok := machine.maintain(); ok {
			machine.propose(want)
		}
	}
}

// sendHeartbeat sends a node the record in force, unless one is under way; an answer of a backup confirms the record.
func (machine *machine) sendHeartbeat(address string) {
	peer := machine.peer(address)
	if peer.asking {
		return
	}
	peer.asking = true
	began := machine.now
	machine.call(address, &tierv1.HeartbeatRequest{View: machine.primary.record, From: machine.self}, false, func(body proto.Message) {
		peer.asking = false
		reply, _ := body.(*tierv1.HeartbeatReply)
		if reply == nil || reply.Self == nil {
			return
		}
		machine.replied(reply.Self, began)
		peer.voter = reply.IsMember
		machine.highest = max(machine.highest, reply.HighestPromised)
		primary := machine.primary
		if primary == nil || !slices.Contains(primary.record.Backups, reply.Self.Folder) {
			return
		}
		if reply.HighestPromised == primary.record.Epoch || machine.promisedProposal(reply.Self.Folder, reply.HighestPromised) {
			primary.confirmed[reply.Self.Folder] = max(primary.confirmed[reply.Self.Folder], began)
		} else if reply.HighestPromised > primary.record.Epoch {
			primary.renew = true
		}
	})
}

// promisedProposal tells whether a folder has given its promise of an epoch to this node's proposal under way. The epoch alone
// does not tell: two folders may propose the same one, and a heartbeat's reply does not say to whom a promise went.
func (machine *machine) promisedProposal(folder string, epoch uint64) bool {
	proposal := machine.proposal
	return proposal != nil && epoch == proposal.epoch && proposal.replies[folder] != nil
}
