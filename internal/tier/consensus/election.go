package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	tierv1 "saffronyard.example/saffronyard/proto/saffronyard/tier/v1"
)

// primaryAlive reports whether a heartbeat of the primary came within the election time-out.
func (r *replica) primaryAlive() bool {
	return r.primarySeen && r.now-r.primarySeenAt < r.timing.electionTimeout
}

// electionTimeout returns how long the primary may be unresponsive before this replica starts a pre-vote. It is shorter at the primary and
// the backups of the newest view, as only they can win.
func (r *replica) electionTimeout() time.Duration {
	timeout := r.timing.electionTimeout + r.jitter(r.timing.heartbeatInterval/2)
	if view := r.newestView(); view != nil && !isNamedIn(view, r.Folder) && view.Epoch > 0 {
		timeout += r.timing.electionTimeout / 2
	}
	return timeout
}

// checkPrimary calls a primary whose heartbeat is late. If the call fails at once, as a call to a closed port does, the election time-out
// ends early. Such a failure is only a hint and decides nothing: the pre-vote still needs a majority. If there is no reply at all, the
// election time-out is unchanged.
func (r *replica) checkPrimary() {
	r.checkPrimaryAt = r.now + r.timing.heartbeatInterval
	began := r.now
	r.call(r.primaryHint, &tierv1.JoinRequest{From: r.self}, true, func(body proto.Message) {
		if body != nil || r.now-began >= r.timing.callTimeout/2 || r.primary != nil || !r.primarySeen || r.primarySeenAt >= began {
			return
		}
		r.primarySeen = false
		wait := r.timing.heartbeatInterval/8 + r.jitter(r.timing.heartbeatInterval/8) // until the others have detected the failure, too
		if view := r.newestView(); view != nil && !isNamedIn(view, r.Folder) {
			wait += r.timing.electionTimeout / 2
		}
		r.candidacyAt = min(r.candidacyAt, r.now+wait)
	})
}

// startPreVote starts a pre-vote if the primary is unresponsive and this replica is a voter.
func (r *replica) startPreVote() {
	r.candidacyAt = r.now + r.electionTimeout()
	view := r.newestView()
	if view == nil || r.primaryAlive() || !slices.ContainsFunc(quorumSets(view), r.isVoter) {
		return
	}
	r.beginProposal(&proposal{phase: preVoting})
}
