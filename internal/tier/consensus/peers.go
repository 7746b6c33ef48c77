package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// peer is another control-plane process, known by its address.
type peer struct {
	member           *tierv1.Member // as it last described itself
	firstSeen        time.Duration  // when its address was learnt
	answeredAt       time.Duration  // when the call began that it answered last
	roundTrip        time.Duration  // how long that call took
	hasReplied       bool           // it has answered
	inContact        bool           // it has called or answered
	heartbeatPending bool           // a heartbeat is under way
	knowsMembership  bool           // it says that it is a member of the record in force
}

// peer is what is known of the process at an address, made where it is new.
func (machine *replica) peer(address string) *peer {
	p := machine.peers[address]
	if p == nil {
		p = &peer{firstSeen: machine.now}
		machine.peers[address] = p
	}
	return p
}

// recordContact notes a node that called: one way, so it proves nothing about the way back.
func (machine *replica) recordContact(member *tierv1.Member) *peer {
	if member == nil || member.Address == "" || member.Folder == "" || member.Address == machine.self.Address {
		return nil
	}
	peer := machine.peer(member.Address)
	if peer.member == nil || !proto.Equal(peer.member, member) {
		peer.member, machine.actions.changed = member, true
	}
	peer.inContact = true
	return peer
}

// recordReply notes that a node answered a call that began at that time.
func (machine *replica) recordReply(member *tierv1.Member, began time.Duration) *peer {
	peer := machine.recordContact(member)
	if peer != nil {
		if began >= peer.answeredAt {
			peer.answeredAt, peer.roundTrip = began, machine.now-began
		}
		peer.hasReplied = true
	}
	return peer
}

// unresponsiveFor is how long a node has not answered.
func (machine *replica) unresponsiveFor(address string) time.Duration {
	peer := machine.peer(address)
	since := max(peer.answeredAt, peer.firstSeen)
	if machine.primary != nil {
		since = max(since, machine.primary.since)
	}
	return machine.now - since
}

// answeredWithin tells whether the folder of a member, or the one at its address where it has none, answered within d.
func (machine *replica) answeredWithin(member *tierv1.Member, d time.Duration) bool {
	peer := machine.peers[member.Address]
	return peer != nil && peer.hasReplied && (member.Folder == "" || peer.member.Folder == member.Folder) && machine.now-peer.answeredAt <= d
}

// currentAddress is where a member is to be called: the address of its record, or where its folder was heard of since that one fell
// silent, as a machine may come back with its disk at another address. It is no more than where to ask: what counts is the
// folder that answers.
func (machine *replica) currentAddress(member *tierv1.Member) string {
	address, at := member.Address, time.Duration(0)
	if peer := machine.peers[address]; peer != nil && peer.member.GetFolder() == member.Folder {
		at = max(peer.answeredAt, peer.firstSeen) + machine.timing.callTimeout
	}
	for other, peer := range machine.peers {
		seen := max(peer.answeredAt, peer.firstSeen)
		if member.Folder == "" || peer.member.GetFolder() != member.Folder || other == member.Address {
			continue
		}
		if seen > at || seen == at && other < address {
			address, at = other, seen
		}
	}
	return address
}

// hasMoved tells whether a member answers at another address than that of the record in force.
func (machine *replica) hasMoved(member *tierv1.Member) bool {
	address := machine.currentAddress(member)
	if address == member.Address || member.Folder == machine.Folder {
		return false
	}
	peer := machine.peers[address]
	return peer.hasReplied && machine.now-peer.answeredAt <= machine.timing.callTimeout
}

// peerAddresses are all other control-plane processes that are known.
func (machine *replica) peerAddresses() (list []string) {
	add := func(a string) {
		if a != "" && a != machine.self.Address && !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	for _, set := range quorumSets(machine.newestChosenView()) {
		for _, member := range set {
			add(member.Address)
		}
	}
	for _, a := range machine.seeds {
		add(a)
	}
	for a, peer := range machine.peers {
		if peer.inContact {
			add(a)
		}
	}
	slices.Sort(list)
	return list
}

// chosenMembers are the members of the newest chosen record known.
func (machine *replica) chosenMembers() []*tierv1.Member {
	if r := machine.newestChosenView(); r != nil {
		return r.Members
	}
	return nil
}

// primaryAlive reports whether a heartbeat of the primary came within timing.silence.
func (machine *replica) primaryAlive() bool {
	return machine.primarySeen && machine.now-machine.primarySeenAt < machine.timing.electionTimeout
}

// checkPrimary asks a primary whose heartbeat is late whether it is there. A call that fails at once, as one to a dead port does, ends
// this node's patience with it; that is a guess that decides nothing: the others are asked as ever. One without any
// answer is waited for as before.
func (machine *replica) checkPrimary() {
	machine.checkPrimaryAt = machine.now + machine.timing.heartbeatInterval
	began := machine.now
	machine.call(machine.primaryHint, &tierv1.JoinRequest{From: machine.self}, true, func(body proto.Message) {
		if body != nil || machine.now-began >= machine.timing.callTimeout/2 || machine.primary != nil || !machine.primarySeen || machine.primarySeenAt >= began {
			return
		}
		machine.primarySeen = false
		wait := machine.timing.heartbeatInterval/8 + machine.jitter(machine.timing.heartbeatInterval/8) // the others find out, too
		if r := machine.newestView(); r != nil && !isNamedIn(r, machine.Folder) {
			wait += machine.timing.electionTimeout / 2
		}
		machine.candidacyAt = min(machine.candidacyAt, machine.now+wait)
	})
}
