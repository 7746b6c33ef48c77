package consensus

import (
	"maps"
	"slices"
	"time"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// phase is the stage that a proposal has reached.
type phase int

const (
	preVoting    phase = iota // asks, with epoch 0, whether a majority would prepare
	preparing                 // majorities must prepare the epoch
	transferring              // each backup of the target must acknowledge a snapshot of the state
	accepting                 // majorities must accept the target
)

// reconfiguration is the change that a primary makes with its next view. The zero value changes nothing; it is used to take over, to
// complete a change of members and to renew the epoch.
type reconfiguration struct {
	replaceBackups map[string]bool // folders
	add            *tierv1.Member
	remove         *tierv1.Member
}

// proposal is one attempt to have a view chosen.
type proposal struct {
	reconfiguration
	phase           phase
	epoch           uint64
	predecessor     *tierv1.View // newest view seen, which the target succeeds
	target          *tierv1.View
	deadline        time.Duration
	graceUntil      time.Duration                   // end of the wait for replies beyond the majority
	prepareSentTo   map[string]bool                 // addresses
	openCalls       int                             // calls of this phase in flight
	prepared        map[string]*tierv1.PrepareReply // by folder: replies of members that prepared
	transfers       map[string]bool                 // folders to which a snapshot was sent
	failedTransfers map[string]bool                 // folders that acknowledged no snapshot
	acceptedBy      map[string]bool                 // folders
	unanswered      map[string]bool                 // folders that did not reply to their snapshot or accept
	retried         map[phase]bool                  // phases whose unanswered calls were retried

	// confirmedAt has, for each folder that acknowledged the snapshot, the start of the newest round trip by which the folder confirmed
	// the epoch: that of the snapshot or that of the accept.
	confirmedAt map[string]time.Duration
}

// propose starts a proposal under a new epoch of this replica.
func (r *replica) propose(change reconfiguration) {
	epoch := nextEpoch(max(r.highestEpoch, r.preparedEpoch), r.Folder)
	r.prepare(epoch, r.Folder)
	r.beginProposal(&proposal{reconfiguration: change, phase: preparing, epoch: epoch})
}

// beginProposal begins a proposal, which this replica itself has prepared, and sends prepares to the others.
func (r *replica) beginProposal(proposal *proposal) {
	proposal.predecessor = r.newestView()
	proposal.deadline = r.now + 3*r.timing.callTimeout
	proposal.prepareSentTo = make(map[string]bool)
	proposal.prepared = map[string]*tierv1.PrepareReply{r.Folder: {Prepared: true, Self: r.self, Genesis: r.Genesis,
		HighestPrepared: r.preparedEpoch, Accepted: r.accepted, Chosen: r.chosen, Sequence: r.sequence}}
	proposal.confirmedAt, proposal.transfers = make(map[string]time.Duration), make(map[string]bool)
	proposal.failedTransfers, proposal.acceptedBy = make(map[string]bool), make(map[string]bool)
	proposal.unanswered, proposal.retried = make(map[string]bool), make(map[phase]bool)
	r.proposal = proposal
	r.sendPrepares()
}

// advanceProposal advances the proposal as far as the replies allow.
func (r *replica) advanceProposal() {
	proposal := r.proposal
	if proposal.phase > preparing && epochOf(r.newestChosenView()) > proposal.predecessor.Epoch {
		r.failProposal("a newer view was chosen")
		return
	}
	if proposal.phase <= preparing && !r.countPrepared() {
		return
	}
	if r.proposal == proposal && proposal.phase == transferring {
		r.transferState()
	}
	if r.proposal == proposal && proposal.phase == accepting && r.countAccepted() {
		return
	}
	if r.proposal == proposal && r.now >= proposal.deadline {
		r.failProposal("timed out")
	}
}

// nextStepAt returns the latest time at which the proposal must be advanced without another reply.
func (p *proposal) nextStepAt() time.Duration {
	if p.graceUntil > 0 && p.phase <= preparing {
		return min(p.graceUntil, p.deadline)
	}
	return p.deadline
}

// takeUnanswered returns the folders that have not replied in this phase, so that their calls are retried, at most once in each phase. A
// lost call must not end the proposal, as a new proposal would repeat all calls. Transfers and accepts are idempotent.
func (p *proposal) takeUnanswered() (folders []string) {
	if p.retried[p.phase] {
		return nil
	}
	p.retried[p.phase] = true
	folders = slices.Sorted(maps.Keys(p.unanswered))
	clear(p.unanswered)
	return folders
}

// canLead reports whether this replica's state has every write that was acknowledged before and under a view.
func (r *replica) canLead(view *tierv1.View) bool {
	return view != nil && (view.Epoch == 0 || isNamedIn(view, r.Folder) && r.stateEpoch >= view.Epoch)
}

// abandonProposal ends a proposal that another one has superseded.
func (r *replica) abandonProposal(reason string) {
	r.proposal = nil
	r.log("proposal abandoned", reason)
	r.candidacyAt = r.now + r.electionTimeout()
}

// failProposal ends a proposal that cannot be chosen. A primary retries while its lease is valid.
func (r *replica) failProposal(reason string) {
	proposal := r.proposal
	r.proposal = nil
	if proposal.epoch > 0 {
		r.log("proposal failed", reason)
	}
	if r.primary == nil {
		r.candidacyAt = r.now + r.timing.heartbeatInterval/2 + r.jitter(r.timing.heartbeatInterval)
		return
	}
	if !r.canLead(proposal.predecessor) || !r.confirmedWithin(r.timing.lease) {
		r.stepDown(reason)
		return
	}
	r.primary.proposeAt = r.now + r.timing.heartbeatInterval/4 + r.jitter(r.timing.heartbeatInterval/2)
}
