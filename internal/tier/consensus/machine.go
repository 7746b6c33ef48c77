package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// machine decides. It does no I/O: all of what it needs comes in by Step, all that it wants done goes out.
type machine struct {
	durable
	self   *tierv1.Member
	seeds  []string
	losses int
	// stateLimit bounds the control state, in bytes.
	stateLimit int
	timing     timing
	random     *rand.Rand
	now        time.Duration
	out        *actions
	nextID     uint64
	pending    map[uint64]func(proto.Message)

	peers      map[string]*peer
	observedAt time.Duration // from the primary of the newest chosen record
	observed   bool
	probeAt    time.Duration // when the primary is asked whether it is there, unless a heartbeat comes before
	granted    time.Duration // when the newest promise was given
	hint       string
	tryAt      time.Duration
	joinAt     time.Duration
	highest    uint64 // highest epoch observed
	proposal   *proposal
	primary    *leadership // nil where this process is not primary
}

// newMachine makes a machine of what its folder holds. Its clock stands at 0 until resume; seed is that of its jitter.
func newMachine(d durable, self *tierv1.Member, seeds []string, losses int, t timing, seed uint64) *machine {
	m := &machine{durable: d, seeds: seeds, losses: losses, stateLimit: StateLimit, timing: t, random: rand.New(rand.NewPCG(seed, 1)),
		pending: make(map[uint64]func(proto.Message)), peers: make(map[string]*peer)}
	m.self = proto.CloneOf(self)
	m.self.Folder = d.Folder
	m.highest = max(d.promised, epochOf(d.accepted), epochOf(d.chosen))
	m.tryAt = m.jitter(t.heartbeat)
	if b := m.base(); b != nil && b.Primary == d.Folder {
		m.tryAt = 0 // it was primary: the others' patience is longer than its start
	}
	m.joinAt = m.jitter(t.heartbeat)
	return m
}

// resume sets a new machine's clock, and the number of the last call that earlier machines of the process made.
func (machine *machine) resume(now time.Duration, lastCall uint64) {
	machine.now = now
	machine.tryAt += now
	machine.joinAt += now
	machine.nextID = lastCall
}

// jitter is a random span of at most d.
func (machine *machine) jitter(d time.Duration) time.Duration {
	return time.Duration(machine.random.Int64N(int64(d) + 1))
}

// Step takes events at now, a steady time, and gives what is to be done. What it says must be written and synced
// before the next step.
func (machine *machine) Step(now time.Duration, events ...event) *actions {
	machine.now, machine.out = now, new(actions)
	for _, e := range events {
		switch e := e.(type) {
		case request:
			machine.out.replies = append(machine.out.replies, reply{e.token, machine.serve(e.body)})
		case answer:
			if f := machine.pending[e.id]; f != nil {
				delete(machine.pending, e.id)
				f(e.body)
			}
		case put:
			machine.put(e)
		case confirm:
			machine.confirm(e)
		case tick:
		}
	}
	machine.timers()
	return machine.out
}

// serve answers a call of another node; nil where it knows no such call.
func (machine *machine) serve(body proto.Message) proto.Message {
	switch q := body.(type) {
	case *tierv1.PrepareRequest:
		return machine.promise(q)
	case *tierv1.AcceptRequest:
		return machine.accept(q)
	case *tierv1.HeartbeatRequest:
		return machine.heartbeat(q)
	case *tierv1.WriteRequest:
		return machine.write(q)
	case *tierv1.JoinRequest:
		return machine.join(q)
	}
	return nil
}

// store has a record appended to the file, and with sync synced before replies and calls leave.
func (machine *machine) store(record []byte, sync bool) {
	machine.out.records = append(machine.out.records, record)
	machine.out.sync = machine.out.sync || sync
}

// call asks another node; then is called with its answer, or nil where there is none.
func (machine *machine) call(address string, body proto.Message, early bool, then func(proto.Message)) {
	machine.nextID++
	machine.pending[machine.nextID] = then
	c := call{machine.nextID, address, body, machine.timing.timeout(body)}
	if early {
		machine.out.early = append(machine.out.early, c)
	} else {
		machine.out.calls = append(machine.out.calls, c)
	}
}

// base is the newest record that this folder accepted or knows to be chosen; the genesis record where there is none
// and the folder was made at the first start; else nil.
func (machine *machine) base() *tierv1.View {
	if r := newest(machine.accepted, machine.chosen); r != nil {
		return r
	}
	return machine.genesis()
}

// known is the newest chosen record known, the genesis record included.
func (machine *machine) known() *tierv1.View {
	if machine.chosen != nil {
		return machine.chosen
	}
	return machine.genesis()
}

// genesis is the record of epoch 0 that names the seeds; nil in a folder that was not made at the first start.
func (machine *machine) genesis() *tierv1.View {
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
func (machine *machine) isVoter(members []*tierv1.Member) bool {
	return slices.ContainsFunc(members, func(v *tierv1.Member) bool {
		return voter(v, machine.Folder, machine.self.Address, machine.Genesis)
	})
}

// learn takes a record that another node knows to be chosen.
func (machine *machine) learn(record *tierv1.View) {
	if record == nil || record.Epoch <= epochOf(machine.chosen) {
		return
	}
	machine.chosen = record
	machine.highest = max(machine.highest, record.Epoch)
	machine.store(encodeMessage(kindChosen, record), false)
	machine.out.changed = true
	if machine.primary != nil && record.Epoch > machine.primary.record.Epoch {
		machine.stepDown("deposed")
	}
	if machine.proposal != nil && record.Epoch >= machine.proposal.epoch && machine.proposal.epoch > 0 {
		machine.abandon("deposed")
	}
}

// timers does what is due.
func (machine *machine) timers() {
	machine.advanceAll()
	if machine.primary != nil {
		machine.leadershipTimers()
	}
	if machine.primary == nil && machine.proposal == nil && machine.now >= machine.tryAt {
		machine.candidate()
	}
	machine.advanceAll()
	if machine.primary == nil && machine.leaderAlive() && machine.now >= machine.probeAt {
		machine.probe()
	}
	if machine.primary == nil && machine.now >= machine.joinAt {
		machine.joinAt = machine.now + machine.timing.join + machine.jitter(machine.timing.heartbeat)
		if !machine.leaderAlive() { // a primary that heartbeats knows this node
			machine.askToJoin()
		}
	}
}

// advanceAll lets the proposal, and one that follows it, go as far as they can without an answer.
func (machine *machine) advanceAll() {
	for machine.proposal != nil {
		proposal, phase := machine.proposal, machine.proposal.phase
		machine.advance()
		if machine.proposal == proposal && proposal.phase == phase {
			return
		}
	}
}

// wake is when the next step is due at the latest.
func (machine *machine) wake() time.Duration {
	var at time.Duration
	if machine.primary != nil {
		at = machine.primary.next
		if machine.primary.retryAt > machine.now {
			at = min(at, machine.primary.retryAt)
		}
	} else {
		at = machine.joinAt
		if machine.leaderAlive() {
			at = min(at, machine.probeAt)
		}
		if machine.proposal == nil {
			at = min(at, machine.tryAt)
		}
	}
	if machine.proposal != nil {
		at = min(at, machine.proposal.wake())
	}
	return at
}
