package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// replica decides. It does no I/O: all of what it needs comes in by Step, all that it wants done goes out.
type replica struct {
	durableState
	self            *tierv1.Member
	seeds           []string
	toleratedLosses int
	// stateLimit bounds the control state, in bytes.
	stateLimit   int
	timing       timing
	random       *rand.Rand
	now          time.Duration
	actions      *actions
	lastCallID   uint64
	pendingCalls map[uint64]func(proto.Message)

	peers          map[string]*peer
	primarySeenAt  time.Duration // from the primary of the newest chosen record
	primarySeen    bool
	checkPrimaryAt time.Duration // when the primary is asked whether it is there, unless a heartbeat comes before
	preparedAt     time.Duration // when the newest promise was given
	primaryHint    string
	candidacyAt    time.Duration
	joinAt         time.Duration
	highestEpoch   uint64 // highest epoch observed
	proposal       *proposal
	primary        *leadership // nil where this process is not primary
}

// newReplica makes a machine of what its folder holds. Its clock stands at 0 until resume; seed is that of its jitter.
func newReplica(d durableState, self *tierv1.Member, seeds []string, losses int, t timing, seed uint64) *replica {
	m := &replica{durableState: d, seeds: seeds, toleratedLosses: losses, stateLimit: StateLimit, timing: t, random: rand.New(rand.NewPCG(seed, 1)),
		pendingCalls: make(map[uint64]func(proto.Message)), peers: make(map[string]*peer)}
	m.self = proto.CloneOf(self)
	m.self.Folder = d.Folder
	m.highestEpoch = max(d.preparedEpoch, epochOf(d.accepted), epochOf(d.chosen))
	m.candidacyAt = m.jitter(t.heartbeatInterval)
	if b := m.newestView(); b != nil && b.Primary == d.Folder {
		m.candidacyAt = 0 // it was primary: the others' patience is longer than its start
	}
	m.joinAt = m.jitter(t.heartbeatInterval)
	return m
}

// resume sets a new machine's clock, and the number of the last call that earlier machines of the process made.
func (machine *replica) resume(now time.Duration, lastCall uint64) {
	machine.now = now
	machine.candidacyAt += now
	machine.joinAt += now
	machine.lastCallID = lastCall
}

// jitter is a random span of at most d.
func (machine *replica) jitter(d time.Duration) time.Duration {
	return time.Duration(machine.random.Int64N(int64(d) + 1))
}

// Step takes events at now, a steady time, and gives what is to be done. What it says must be written and synced
// before the next step.
func (machine *replica) Step(now time.Duration, events ...event) *actions {
	machine.now, machine.actions = now, new(actions)
	for _, e := range events {
		switch e := e.(type) {
		case incomingCall:
			machine.actions.replies = append(machine.actions.replies, callReply{e.token, machine.handle(e.body)})
		case callResult:
			if f := machine.pendingCalls[e.id]; f != nil {
				delete(machine.pendingCalls, e.id)
				f(e.body)
			}
		case putRequest:
			machine.handlePut(e)
		case confirmRequest:
			machine.handleConfirm(e)
		case tick:
		}
	}
	machine.runTimers()
	return machine.actions
}

// handle answers a call of another node; nil where it knows no such call.
func (machine *replica) handle(body proto.Message) proto.Message {
	switch q := body.(type) {
	case *tierv1.PrepareRequest:
		return machine.handlePrepare(q)
	case *tierv1.AcceptRequest:
		return machine.handleAccept(q)
	case *tierv1.HeartbeatRequest:
		return machine.handleHeartbeat(q)
	case *tierv1.WriteRequest:
		return machine.handleWrite(q)
	case *tierv1.JoinRequest:
		return machine.handleJoin(q)
	}
	return nil
}

// persist has a record appended to the file, and with sync synced before replies and calls leave.
func (machine *replica) persist(record []byte, sync bool) {
	machine.actions.records = append(machine.actions.records, record)
	machine.actions.sync = machine.actions.sync || sync
}

// call asks another node; then is called with its answer, or nil where there is none.
func (machine *replica) call(address string, body proto.Message, early bool, then func(proto.Message)) {
	machine.lastCallID++
	machine.pendingCalls[machine.lastCallID] = then
	c := outgoingCall{machine.lastCallID, address, body, machine.timing.callTimeoutFor(body)}
	if early {
		machine.actions.unsyncedCalls = append(machine.actions.unsyncedCalls, c)
	} else {
		machine.actions.calls = append(machine.actions.calls, c)
	}
}

// newestView is the newest record that this folder accepted or knows to be chosen; the genesis record where there is none
// and the folder was made at the first start; else nil.
func (machine *replica) newestView() *tierv1.View {
	if r := newestOf(machine.accepted, machine.chosen); r != nil {
		return r
	}
	return machine.genesisView()
}

// newestChosenView is the newest chosen record known, the genesis record included.
func (machine *replica) newestChosenView() *tierv1.View {
	if machine.chosen != nil {
		return machine.chosen
	}
	return machine.genesisView()
}

// genesisView is the record of epoch 0 that names the seeds; nil in a folder that was not made at the first start.
func (machine *replica) genesisView() *tierv1.View {
	if !machine.Genesis {
		return nil
	}
	r := &tierv1.View{}
	for _, a := range machine.Seeds {
		r.Members = append(r.Members, &tierv1.Member{Address: a})
	}
	return r
}

// isVoter tells whether this folder is among members.
func (machine *replica) isVoter(members []*tierv1.Member) bool {
	return slices.ContainsFunc(members, func(v *tierv1.Member) bool {
		return isMember(v, machine.Folder, machine.self.Address, machine.Genesis)
	})
}

// learnChosen takes a record that another node knows to be chosen.
func (machine *replica) learnChosen(record *tierv1.View) {
	if record == nil || record.Epoch <= epochOf(machine.chosen) {
		return
	}
	machine.chosen = record
	machine.highestEpoch = max(machine.highestEpoch, record.Epoch)
	machine.persist(encodeMessage(kindChosen, record), false)
	machine.actions.changed = true
	if machine.primary != nil && record.Epoch > machine.primary.view.Epoch {
		machine.stepDown("deposed")
	}
	if machine.proposal != nil && record.Epoch >= machine.proposal.epoch && machine.proposal.epoch > 0 {
		machine.abandonProposal("deposed")
	}
}

// runTimers does what is due.
func (machine *replica) runTimers() {
	machine.advanceProposals()
	if machine.primary != nil {
		machine.runPrimaryTimers()
	}
	if machine.primary == nil && machine.proposal == nil && machine.now >= machine.candidacyAt {
		machine.startPreVote()
	}
	machine.advanceProposals()
	if machine.primary == nil && machine.primaryAlive() && machine.now >= machine.checkPrimaryAt {
		machine.checkPrimary()
	}
	if machine.primary == nil && machine.now >= machine.joinAt {
		machine.joinAt = machine.now + machine.timing.joinInterval + machine.jitter(machine.timing.heartbeatInterval)
		if !machine.primaryAlive() { // a primary that heartbeats knows this node
			machine.sendJoins()
		}
	}
}

// advanceProposals lets the proposal, and one that follows it, go as far as they can without an answer.
func (machine *replica) advanceProposals() {
	for machine.proposal != nil {
		proposal, phase := machine.proposal, machine.proposal.phase
		machine.advanceProposal()
		if machine.proposal == proposal && proposal.phase == phase {
			return
		}
	}
}

// nextStepAt is when the next step is due at the latest.
func (machine *replica) nextStepAt() time.Duration {
	var at time.Duration
	if machine.primary != nil {
		at = machine.primary.heartbeatAt
		if machine.primary.proposeAt > machine.now {
			at = min(at, machine.primary.proposeAt)
		}
	} else {
		at = machine.joinAt
		if machine.primaryAlive() {
			at = min(at, machine.checkPrimaryAt)
		}
		if machine.proposal == nil {
			at = min(at, machine.candidacyAt)
		}
	}
	if machine.proposal != nil {
		at = min(at, machine.proposal.nextStepAt())
	}
	return at
}
