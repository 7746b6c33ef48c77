package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// leadership is what a process holds while it is primary, over all records that it had chosen in one go.
type leadership struct {
	since            time.Duration
	firstEpoch       uint64                   // epoch of its first record: who writes under it or a later one has seen no other primary between
	view             *tierv1.View             // in force
	confirmedAt      map[string]time.Duration // when the newest round trip began that a backup answered under the record
	failedBackups    map[string]bool          // backups that failed a call
	needsHigherEpoch bool                     // a backup has promised a higher epoch
	heartbeatAt      time.Duration            // heartbeat
	proposeAt        time.Duration            // of the next proposal
	growAt           time.Duration            // before which none is made only for more backups or other addresses: the one before gave none
	committed        map[string]*tierv1.Entry // what all copies hold
	queue            []pendingOperation
	batch            *writeBatch
}

// becomePrimary begins or goes on with a record that was chosen. All its backups hold this copy: what was under way stands.
func (machine *replica) becomePrimary(proposal *proposal) {
	machine.proposal = nil
	machine.chosen = proposal.target
	machine.persist(encodeMessage(kindChosen, proposal.target), false)
	primary := machine.primary
	if primary == nil {
		primary = &leadership{firstEpoch: proposal.epoch, since: machine.now}
		machine.primary = primary
	}
	primary.view, primary.needsHigherEpoch, primary.heartbeatAt, primary.proposeAt = proposal.target, false, machine.now, 0
	primary.failedBackups, primary.confirmedAt = make(map[string]bool), make(map[string]time.Duration)
	for _, folder := range proposal.target.Backups {
		primary.confirmedAt[folder] = proposal.confirmedAt[folder]
	}
	machine.primarySeen, machine.primaryHint = false, machine.self.Address
	machine.actions.changed = true
	machine.actions.transitions = append(machine.actions.transitions, "primary")
	machine.commit()
}

// stepDown ends the leadership. What was on its way to the backups has an unknown outcome; what waited was not written.
func (machine *replica) stepDown(why string) {
	primary := machine.primary
	machine.primary, machine.proposal = nil, nil
	if primary.batch != nil {
		for _, waiter := range primary.batch.operations {
			err := ErrOutcomeUnknown
			if waiter.sets == nil {
				err = ErrNotPrimary
			}
			machine.actions.outcomes = append(machine.actions.outcomes, outcome{waiter.token, 0, err})
		}
	}
	for _, waiter := range primary.queue {
		machine.actions.outcomes = append(machine.actions.outcomes, outcome{waiter.token, 0, ErrNotPrimary})
	}
	machine.primaryHint, machine.primarySeen = "", false
	machine.candidacyAt = machine.now + machine.timing.heartbeatInterval + machine.jitter(machine.timing.heartbeatInterval)
	machine.joinAt = machine.now + machine.jitter(machine.timing.heartbeatInterval)
	machine.actions.changed = true
	machine.actions.transitions = append(machine.actions.transitions, "stepped down: "+why)
}

// leaseStart is when the oldest of the newest round trips to the backups began. Without backups it is now: nobody else
// may take over.
func (machine *replica) leaseStart() time.Duration {
	at := machine.now
	for _, folder := range machine.primary.view.Backups {
		at = min(at, machine.primary.confirmedAt[folder])
	}
	return at
}

// confirmedWithin tells whether all backups answered a round trip that began within d.
func (machine *replica) confirmedWithin(d time.Duration) bool {
	return machine.now-machine.leaseStart() < d
}

// runPrimaryTimers does what is due of a primary: it ends a leadership that is not confirmed any more, sends heartbeats
// and proposes the record that it wants next.
func (machine *replica) runPrimaryTimers() {
	primary := machine.primary
	if machine.proposal == nil && !machine.confirmedWithin(machine.timing.lease) {
		machine.stepDown("backups are silent")
		return
	}
	if machine.now >= primary.heartbeatAt {
		primary.heartbeatAt = machine.now + machine.timing.heartbeatInterval
		for _, address := range machine.peerAddresses() {
			member := slices.ContainsFunc(primary.view.Members, func(v *tierv1.Member) bool { return v.Address == address })
			if member || machine.unresponsiveFor(address) < 5*machine.timing.replaceAfter { // others ask to join when they are back
				machine.sendHeartbeat(address)
			}
		}
	}
	if machine.proposal == nil && machine.now >= primary.proposeAt {
		if want, ok := machine.nextReconfiguration(); ok {
			machine.propose(want)
		}
	}
}

// sendHeartbeat sends a node the record in force, unless one is under way; an answer of a backup confirms the record.
func (machine *replica) sendHeartbeat(address string) {
	peer := machine.peer(address)
	if peer.heartbeatPending {
		return
	}
	peer.heartbeatPending = true
	began := machine.now
	machine.call(address, &tierv1.HeartbeatRequest{View: machine.primary.view, From: machine.self}, false, func(body proto.Message) {
		peer.heartbeatPending = false
		reply, _ := body.(*tierv1.HeartbeatReply)
		if reply == nil || reply.Self == nil {
			return
		}
		machine.recordReply(reply.Self, began)
		peer.knowsMembership = reply.IsMember
		machine.highestEpoch = max(machine.highestEpoch, reply.HighestPrepared)
		primary := machine.primary
		if primary == nil || !slices.Contains(primary.view.Backups, reply.Self.Folder) {
			return
		}
		if reply.HighestPrepared == primary.view.Epoch || machine.preparedForProposal(reply.Self.Folder, reply.HighestPrepared) {
			primary.confirmedAt[reply.Self.Folder] = max(primary.confirmedAt[reply.Self.Folder], began)
		} else if reply.HighestPrepared > primary.view.Epoch {
			primary.needsHigherEpoch = true
		}
	})
}

// preparedForProposal tells whether a folder has given its promise of an epoch to this node's proposal under way. The epoch alone
// does not tell: two folders may propose the same one, and a heartbeat's reply does not say to whom a promise went.
func (machine *replica) preparedForProposal(folder string, epoch uint64) bool {
	proposal := machine.proposal
	return proposal != nil && epoch == proposal.epoch && proposal.prepared[folder] != nil
}
