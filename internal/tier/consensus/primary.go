package consensus

import (
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// leadership is the state of a primary. It spans all consecutive views that this primary had chosen.
type leadership struct {
	since            time.Duration
	firstEpoch       uint64                   // of its first view; there was no other primary between this epoch and that of view
	view             *tierv1.View             // in force
	confirmedAt      map[string]time.Duration // by backup: start of the newest round trip that confirmed the view
	failedBackups    map[string]bool          // backups that failed a call
	needsHigherEpoch bool                     // a backup has prepared a higher epoch
	heartbeatAt      time.Duration            // next heartbeat
	proposeAt        time.Duration            // earliest time of the next proposal
	growAt           time.Duration            // earliest next proposal that only adds backups or corrects addresses; delays the retry of one that added none
	committed        map[string]*tierv1.Entry // entries that all replicas have
	queue            []pendingOperation
	batch            *writeBatch // in flight; nil: none
}

// becomePrimary begins a leadership with a view that was chosen, or continues one with the next view. All backups of the view have
// this state, so writes in progress are committed.
func (r *replica) becomePrimary(proposal *proposal) {
	r.proposal = nil
	r.chosen = proposal.target
	r.persist(encodeMessage(kindChosen, proposal.target), false)
	primary := r.primary
	if primary == nil {
		primary = &leadership{firstEpoch: proposal.epoch, since: r.now}
		r.primary = primary
	}
	primary.view, primary.needsHigherEpoch, primary.heartbeatAt, primary.proposeAt = proposal.target, false, r.now, 0
	primary.failedBackups, primary.confirmedAt = make(map[string]bool), make(map[string]time.Duration)
	for _, folder := range proposal.target.Backups {
		primary.confirmedAt[folder] = proposal.confirmedAt[folder]
	}
	r.primarySeen, r.primaryHint = false, r.self.Address
	r.actions.changed = true
	r.log("became primary", "")
	r.commit()
}

// stepDown ends the leadership. Writes in progress have an unknown outcome; queued ones were not written.
func (r *replica) stepDown(reason string) {
	primary := r.primary
	r.primary, r.proposal = nil, nil
	if primary.batch != nil {
		for _, operation := range primary.batch.operations {
			err := ErrOutcomeUnknown
			if operation.sets == nil {
				err = ErrNotPrimary
			}
			r.actions.outcomes = append(r.actions.outcomes, outcome{operation.token, 0, err})
		}
	}
	for _, operation := range primary.queue {
		r.actions.outcomes = append(r.actions.outcomes, outcome{operation.token, 0, ErrNotPrimary})
	}
	r.primaryHint, r.primarySeen = "", false
	r.candidacyAt = r.now + r.timing.heartbeatInterval + r.jitter(r.timing.heartbeatInterval)
	r.joinAt = r.now + r.jitter(r.timing.heartbeatInterval)
	r.actions.changed = true
	r.log("stepped down", reason)
}

// runPrimaryTimers runs the timers of a primary that are due: it steps down when its lease has expired, sends heartbeats and proposes the
// next reconfiguration.
func (r *replica) runPrimaryTimers() {
	primary := r.primary
	if r.proposal == nil && !r.confirmedWithin(r.timing.lease) {
		r.stepDown("backups are unresponsive")
		return
	}
	if r.now >= primary.heartbeatAt {
		r.sendHeartbeats()
	}
	if r.proposal == nil && r.now >= primary.proposeAt {
		if change, ok := r.nextReconfiguration(); ok {
			r.propose(change)
		}
	}
}
