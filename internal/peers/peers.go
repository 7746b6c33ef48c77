// Package peers lets the senders of one deployment discover each other and exchange what they have observed of receivers.
// Membership is by gossip (SWIM, hashicorp/memberlist); facts are sent over gRPC streams. Each sender publishes only its own
// observations and never relays those of others.
//
// A sender never waits for its peers: facts are handled as they arrive. A peer that is unresponsive or slow, sends without end or
// sends false facts costs a bounded amount of memory and time (limits.go). Nothing is stored on disk.
package peers

import (
	"cmp"
	"slices"
	"time"
)

// Member is a sender as seen by another sender.
type Member struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"life"`
	Address     string        `json:"address"`  // host:port of its membership
	Exchange    string        `json:"exchange"` // host:port where it serves its facts; "" if it can't be followed
	Since       time.Duration `json:"since"`    // when it entered this state, on this sender's clock
	State       string        `json:"state"`    // here, left, dead
}

// peer is a member with the data by which the peers to follow are chosen.
type peer struct {
	Member
	following bool
	failures  int           // streams that ended in a row
	retryAt   time.Duration // the peer is not followed before this time
}

// Bounds of the backoff before a peer is followed again.
const (
	minBackoff = 200 * time.Millisecond // after the first failure; doubles with each further one
	maxBackoff = 30 * time.Second
)

// choosePeers returns the names of the peers to start following, so that at most maxFollowed are followed. Candidates are alive
// and not in a backoff. Those with the fewest failures come first, then those with the earliest incarnation: they have observed
// the most, while a peer that has just started may have observed no more than this sender.
func choosePeers(all []peer, maxFollowed int, now time.Duration) []string {
	following := 0
	var candidates []peer
	for _, p := range all {
		switch {
		case p.following:
			following++
		case p.State == stateAlive && p.Exchange != "" && now >= p.retryAt:
			candidates = append(candidates, p)
		}
	}
	slices.SortFunc(candidates, func(a, b peer) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, p := range candidates[:min(len(candidates), max(0, maxFollowed-following))] {
		names = append(names, p.Name)
	}
	return names
}

// backoff returns how long a peer is not followed after that many failures in a row.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(max(0, failures-1), 10), maxBackoff)
}

// The states of a member, as shown to operators.
const (
	stateAlive = "here"
	stateLeft  = "left"
	stateDead  = "dead"
)
