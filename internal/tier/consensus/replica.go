package consensus

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// replica is the deterministic core of one member. It does no I/O and reads no clock: its inputs are the events and the time passed to
// Step, its outputs are actions. It is not safe for concurrent use.
type replica struct {
	durableState
	self            *tierv1.Member
	seeds           []string
	toleratedLosses int // machines or disks that may be lost at the same time
	stateLimit      int // of the control state, in bytes
	timing          timing
	random          *rand.Rand
	now             time.Duration
	actions         *actions // of the step in progress
	lastCallID      uint64
	pendingCalls    map[uint64]func(proto.Message) // by ID: handlers of the reply, which is nil if the call failed

	peers          map[string]*peer // by address
	primarySeenAt  time.Duration    // last heartbeat of the primary of the newest chosen view
	primarySeen    bool
	checkPrimaryAt time.Duration // when the primary is called unless a heartbeat arrives before
	preparedAt     time.Duration // when preparedEpoch was prepared
	primaryHint    string        // address of the primary; empty: unknown
	candidacyAt    time.Duration // next pre-vote
	joinAt         time.Duration // next call to join
	highestEpoch   uint64        // highest epoch seen in any message or record
	proposal       *proposal     // nil: none in progress
	primary        *leadership   // nil: not primary
}

// replicaConfig holds the parameters of newReplica other than the durable state.
type replicaConfig struct {
	self            *tierv1.Member // its folder is that of the durable state
	seeds           []string
	toleratedLosses int
	timing          timing
	jitterSeed      uint64
}

// newReplica returns a replica with the state of its folder. Its clock is at 0 until resume.
func newReplica(state durableState, config replicaConfig) *replica {
	r := &replica{
		durableState:    state,
		self:            proto.CloneOf(config.self),
		seeds:           config.seeds,
		toleratedLosses: config.toleratedLosses,
		stateLimit:      StateLimit,
		timing:          config.timing,
		random:          rand.New(rand.NewPCG(config.jitterSeed, 1)),
		pendingCalls:    make(map[uint64]func(proto.Message)),
		peers:           make(map[string]*peer),
	}
	r.self.Folder = state.Folder
	r.highestEpoch = max(state.preparedEpoch, epochOf(state.accepted), epochOf(state.chosen))
	r.candidacyAt = r.jitter(r.timing.heartbeatInterval)
	if view := r.newestView(); view != nil && view.Primary == state.Folder {
		r.candidacyAt = 0 // it was primary, and a restart is shorter than the others' election time-out
	}
	r.joinAt = r.jitter(r.timing.heartbeatInterval)
	return r
}

// resume sets the clock of a new replica, and the number of the last call that earlier replicas of the process made.
func (r *replica) resume(now time.Duration, lastCall uint64) {
	r.now = now
	r.candidacyAt += now
	r.joinAt += now
	r.lastCallID = lastCall
}

// Step handles events at now, on a monotonic clock, and then all timers that are due. The caller carries out the actions in their
// order: what they persist must be on disk before anything that depends on it leaves the process, and before the next Step.
func (r *replica) Step(now time.Duration, events ...event) *actions {
	r.now, r.actions = now, new(actions)
	for _, e := range events {
		switch e := e.(type) {
		case incomingCall:
			r.actions.replies = append(r.actions.replies, callReply{e.token, r.handle(e.body)})
		case callResult:
			if complete := r.pendingCalls[e.id]; complete != nil {
				delete(r.pendingCalls, e.id)
				complete(e.body)
			}
		case putRequest:
			r.handlePut(e)
		case confirmRequest:
			r.handleConfirm(e)
		case tick:
		}
	}
	r.runTimers()
	return r.actions
}

// handle dispatches a call of another node, and returns its reply; nil for a call of an unknown type.
func (r *replica) handle(body proto.Message) proto.Message {
	switch request := body.(type) {
	case *tierv1.PrepareRequest:
		return r.handlePrepare(request)
	case *tierv1.AcceptRequest:
		return r.handleAccept(request)
	case *tierv1.HeartbeatRequest:
		return r.handleHeartbeat(request)
	case *tierv1.WriteRequest:
		return r.handleWrite(request)
	case *tierv1.JoinRequest:
		return r.handleJoin(request)
	}
	return nil
}

// runTimers runs the timers that are due.
func (r *replica) runTimers() {
	r.advanceProposals()
	if r.primary != nil {
		r.runPrimaryTimers()
	}
	if r.primary == nil && r.proposal == nil && r.now >= r.candidacyAt {
		r.startPreVote()
	}
	r.advanceProposals()
	if r.primary == nil && r.primaryAlive() && r.now >= r.checkPrimaryAt {
		r.checkPrimary()
	}
	if r.primary == nil && r.now >= r.joinAt {
		r.joinAt = r.now + r.timing.joinInterval + r.jitter(r.timing.heartbeatInterval)
		if !r.primaryAlive() { // a primary that sends heartbeats already has this node as a peer
			r.sendJoins()
		}
	}
}

// advanceProposals advances the proposal, and one that follows it, as far as possible without another reply.
func (r *replica) advanceProposals() {
	for r.proposal != nil {
		proposal, phase := r.proposal, r.proposal.phase
		r.advanceProposal()
		if r.proposal == proposal && proposal.phase == phase {
			return
		}
	}
}

// nextStepAt returns the latest time of the next Step.
func (r *replica) nextStepAt() time.Duration {
	var at time.Duration
	if r.primary != nil {
		at = r.primary.heartbeatAt
		if r.primary.proposeAt > r.now {
			at = min(at, r.primary.proposeAt)
		}
	} else {
		at = r.joinAt
		if r.primaryAlive() {
			at = min(at, r.checkPrimaryAt)
		}
		if r.proposal == nil {
			at = min(at, r.candidacyAt)
		}
	}
	if r.proposal != nil {
		at = min(at, r.proposal.nextStepAt())
	}
	return at
}

// persist adds a record to be appended to the file. With sync, the file is synced before replies and calls leave.
func (r *replica) persist(record []byte, sync bool) {
	r.actions.records = append(r.actions.records, record)
	r.actions.sync = r.actions.sync || sync
}

// call sends a request to another node. The function complete is called in a later Step with the reply, or with nil if the call failed. A
// call with beforeSync need not wait for the disk.
func (r *replica) call(address string, body proto.Message, beforeSync bool, complete func(proto.Message)) {
	r.lastCallID++
	r.pendingCalls[r.lastCallID] = complete
	call := outgoingCall{r.lastCallID, address, body, r.timing.callTimeoutFor(body)}
	if beforeSync {
		r.actions.unsyncedCalls = append(r.actions.unsyncedCalls, call)
	} else {
		r.actions.calls = append(r.actions.calls, call)
	}
}

// log adds a transition to the actions.
func (r *replica) log(message, reason string) {
	r.actions.transitions = append(r.actions.transitions, transition{message, reason})
}

// jitter is a random duration of at most d.
func (r *replica) jitter(d time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(d) + 1))
}
