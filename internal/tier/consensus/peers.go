package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// peer is another control-plane process, identified by its address.
type peer struct {
	member            *tierv1.Member // its last description of itself
	firstSeen         time.Duration
	answeredAt        time.Duration // start of the newest call that it replied to
	roundTrip         time.Duration // of that call
	hasReplied        bool
	inContact         bool // it has called or replied
	heartbeatPending  bool
	reportsMembership bool // its last heartbeat reply reported that it is a member of the newest chosen view
}

// peer returns the record of the process at an address, and creates it if it is new.
func (r *replica) peer(address string) *peer {
	known := r.peers[address]
	if known == nil {
		known = &peer{firstSeen: r.now}
		r.peers[address] = known
	}
	return known
}

// recordContact records a node that called. A call in one direction does not prove that calls in the other direction succeed. It returns
// nil for this node itself and for an incomplete description.
func (r *replica) recordContact(member *tierv1.Member) *peer {
	if member == nil || member.Address == "" || member.Folder == "" || member.Address == r.self.Address {
		return nil
	}
	peer := r.peer(member.Address)
	if peer.member == nil || !proto.Equal(peer.member, member) {
		peer.member, r.actions.changed = member, true
	}
	peer.inContact = true
	return peer
}

// recordReply records that a node replied to a call that was sent at began.
func (r *replica) recordReply(member *tierv1.Member, began time.Duration) {
	peer := r.recordContact(member)
	if peer == nil {
		return
	}
	if began >= peer.answeredAt {
		peer.answeredAt, peer.roundTrip = began, r.now-began
	}
	peer.hasReplied = true
}

// unresponsiveFor returns how long a node has not replied.
func (r *replica) unresponsiveFor(address string) time.Duration {
	peer := r.peer(address)
	since := max(peer.answeredAt, peer.firstSeen)
	if r.primary != nil {
		since = max(since, r.primary.since)
	}
	return r.now - since
}

// answeredWithin reports whether the folder of a member, or any at its address if it has none, replied within d.
func (r *replica) answeredWithin(member *tierv1.Member, d time.Duration) bool {
	peer := r.peers[member.Address]
	return peer != nil && peer.hasReplied && (member.Folder == "" || peer.member.Folder == member.Folder) && r.now-peer.answeredAt <= d
}

// isResponsiveMember reports whether a member replied recently and reported that it is a member.
func (r *replica) isResponsiveMember(member *tierv1.Member) bool {
	return r.answeredWithin(member, r.timing.callTimeout) && r.peers[member.Address].reportsMembership
}

// wasReplaced reports whether another folder replies at a member's address.
func (r *replica) wasReplaced(folder string) bool {
	i := slices.IndexFunc(r.primary.view.Members, func(v *tierv1.Member) bool { return v.Folder == folder })
	if i < 0 {
		return false
	}
	peer := r.peers[r.primary.view.Members[i].Address]
	return peer != nil && peer.hasReplied && peer.member.Folder != folder
}

// currentAddress returns the address at which to call a member. It is the address in its view, unless the folder of the member was seen at
// another address after the one in the view became unresponsive, as a machine may come back with its disk at another address. The address
// is only a hint: the folder in the reply decides which member it is.
func (r *replica) currentAddress(member *tierv1.Member) string {
	address, at := member.Address, time.Duration(0)
	if peer := r.peers[address]; peer != nil && peer.member.GetFolder() == member.Folder {
		at = max(peer.answeredAt, peer.firstSeen) + r.timing.callTimeout
	}
	for other, peer := range r.peers {
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

// hasMoved reports whether a member replies at another address than that of the view in force.
func (r *replica) hasMoved(member *tierv1.Member) bool {
	address := r.currentAddress(member)
	if address == member.Address || member.Folder == r.Folder {
		return false
	}
	peer := r.peers[address]
	return peer.hasReplied && r.now-peer.answeredAt <= r.timing.callTimeout
}

// peerAddresses are the addresses of all other known control-plane processes, sorted.
func (r *replica) peerAddresses() (list []string) {
	add := func(address string) {
		if address != "" && address != r.self.Address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	for _, set := range quorumSets(r.newestChosenView()) {
		for _, member := range set {
			add(member.Address)
		}
	}
	for _, address := range r.seeds {
		add(address)
	}
	for address, peer := range r.peers {
		if peer.inContact {
			add(address)
		}
	}
	slices.Sort(list)
	return list
}
