package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// peer is another control-plane process, known by its address.
type peer struct {
	member   *tierv1.Member // as it last described itself
	first    time.Duration  // when its address was learnt
	answered time.Duration  // when the call began that it answered last
	trip     time.Duration  // how long that call took
	replied  bool           // it has answered
	met      bool           // it has called or answered
	asking   bool           // a heartbeat is under way
	voter    bool           // it says that it is a member of the record in force
}

// peer is what is known of the process at an address, made where it is new.
func (machine *machine) peer(address string) *peer {
	p := machine.peers[address]
	if p == nil {
		p = &peer{first: machine.now}
		machine.peers[address] = p
	}
	return p
}

// met notes a node that called: one way, so it proves nothing about the way back.
func (machine *machine) met(member *tierv1.Member) *peer {
	if member == nil || member.Address == "" || member.Folder == "" || member.Address == machine.self.Address {
		return nil
	}
	peer := machine.peer(member.Address)
	if peer.member == nil || !proto.Equal(peer.member, member) {
		peer.member, machine.out.changed = member, true
	}
	peer.met = true
	return peer
}

// replied notes that a node answered a call that began at that time.
func (machine *machine) replied(member *tierv1.Member, began time.Duration) *peer {
	peer := machine.met(member)
	if peer != nil {
		if began >= peer.answered {
			peer.answered, peer.trip = began, machine.now-began
		}
		peer.replied = true
	}
	return peer
}

// silent is how long a node has not answered.
func (machine *machine) silent(address string) time.Duration {
	peer := machine.peer(address)
	since := max(peer.answered, peer.first)
	if machine.primary != nil {
		since = max(since, machine.primary.began)
	}
	return machine.now - since
}

// alive tells whether the folder of a member, or the one at its address where it has none, answered within d.
func (machine *machine) alive(member *tierv1.Member, d time.Duration) bool {
	peer := machine.peers[member.Address]
	return peer != nil && peer.replied && (member.Folder == "" || peer.member.Folder == member.Folder) && machine.now-peer.answered <= d
}

// addressOf is where a member is to be called: the address of its record, or where its folder was heard of since that one fell
// silent, as a machine may come back with its disk at another address. It is no more than where to ask: what counts is the
// folder that answers.
func (machine *machine) addressOf(member *tierv1.Member) string {
	address, at := member.Address, time.Duration(0)
	if peer := machine.peers[address]; peer != nil && peer.member.GetFolder() == member.Folder {
		at = max(peer.answered, peer.first) + machine.timing.call
	}
	for other, peer := range machine.peers {
		seen := max(peer.answered, peer.first)
		if member.Folder == "" || peer.member.GetFolder() != member.Folder || other == member.Address {
			continue
		}
		if seen > at || seen == at && other < address {
			address, at = other, seen
		}
	}
	return address
}

// moved tells whether a member answers at another address than that of the record in force.
func (machine *machine) moved(member *tierv1.Member) bool {
	address := machine.addressOf(member)
	if address == member.Address || member.Folder == machine.Folder {
		return false
	}
	peer := machine.peers[address]
	return peer.replied && machine.now-peer.answered <= machine.timing.call
}

// addresses are all other control-plane processes that are known.
func (machine *machine) addresses() (list []string) {
	add := func(a string) {
		if a != "" && a != machine.self.Address && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	for _, set := range configurations(machine.known()) {
		for _, member := range set {
			add(member.Address)
		}
	}
	for _, a := range machine.seeds {
		add(a)
	}
	for a, peer := range machine.peers {
		if peer.met {
			add(a)
		}
	}
	slices.Sort(list)
	return list
}

// knownMembers are the members of the newest chosen record known.
func (machine *machine) knownMembers() []*tierv1.Member {
	if r := machine.known(); r != nil {
		return r.Members
	}
	return nil
}

// leaderAlive reports whether a heartbeat of the primary came within timing.silence.
func (machine *machine) leaderAlive() bool {
	return machine.observed && machine.now-machine.observedAt < machine.timing.silence
}

// probe asks a primary whose heartbeat is late whether it is there. A call that fails at once, as one to a dead port does, ends
// this node's patience with it; that is a guess that decides nothing: the others are asked as ever. One without any
// answer is waited for as before.
func (machine *machine) probe() {
	machine.probeAt = machine.now + machine.timing.heartbeat
	began := machine.now
	machine.call(machine.hint, &tierv1.JoinRequest{From: machine.self}, true, func(body proto.Message) {
		if body != nil || machine.now-began >= machine.timing.call/2 || machine.primary != nil || !machine.observed || machine.observedAt >= began {
			return
		}
		machine.observed = false
		wait := machine.timing.heartbeat/8 + machine.jitter(machine.timing.heartbeat/8) // the others find out, too
		if r := machine.base(); r != nil && !named(r, machine.Folder) {
			wait += machine.timing.silence / 2
		}
		machine.tryAt = min(machine.tryAt, machine.now+wait)
	})
}
