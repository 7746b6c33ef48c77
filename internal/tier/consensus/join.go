package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// handleJoin records a process that is not a member, or that gets no heartbeats of a primary.
func (r *replica) handleJoin(request *tierv1.JoinRequest) *tierv1.JoinReply {
	if request.From != nil && request.From.Folder != "" {
		if peer := r.recordContact(request.From); peer != nil {
			peer.firstSeen = r.now
			if !peer.hasReplied && r.primary != nil {
				r.primary.heartbeatAt = r.now // send it a heartbeat at once
			}
		}
	}
	return &tierv1.JoinReply{IsPrimary: r.primary != nil, View: r.chosen}
}

// sendJoins announces this process to all known peers, and learns the newest chosen view from their replies.
func (r *replica) sendJoins() {
	for _, address := range r.peerAddresses() {
		began := r.now
		r.call(address, &tierv1.JoinRequest{From: r.self}, false, func(body proto.Message) {
			reply, ok := body.(*tierv1.JoinReply)
			if !ok {
				return
			}
			if peer := r.peers[address]; peer != nil && peer.member != nil {
				r.recordReply(peer.member, began)
			}
			r.learnChosen(reply.View)
		})
	}
}

// liveMembers are this process, the members of the newest chosen view, and other processes that replied recently.
func (r *replica) liveMembers() (list []*tierv1.Member) {
	list = append(list, r.self)
	for _, member := range r.chosenMembers() {
		if member.Folder == "" {
			if peer := r.peers[member.Address]; peer != nil && peer.member != nil {
				member = peer.member
			}
		}
		if member.Address != r.self.Address {
			list = append(list, member)
		}
	}
	for _, address := range r.peerAddresses() {
		if peer := r.peers[address]; peer != nil && peer.member != nil && r.now-peer.answeredAt < 2*r.timing.replaceAfter &&
			!slices.ContainsFunc(list, func(o *tierv1.Member) bool { return o.Address == address }) {
			list = append(list, peer.member)
		}
	}
	return list
}

// joiners returns the processes that reply and are not members. A process that lost its disk is a joiner at the address of its former
// member.
func (r *replica) joiners(members []*tierv1.Member) (list []*tierv1.Member) {
	for _, address := range r.peerAddresses() {
		peer := r.peers[address]
		if peer == nil || !peer.hasReplied || peer.reportsMembership || r.now-peer.answeredAt > r.timing.callTimeout {
			continue
		}
		if !slices.ContainsFunc(members, func(v *tierv1.Member) bool { return v.Folder == peer.member.Folder }) {
			list = append(list, peer.member)
		}
	}
	return list
}
