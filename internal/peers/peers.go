// Package peers is how senders of one deployment know of each other and tell each other what they have observed of receivers.
// Membership is by gossip (SWIM, hashicorp/memberlist); facts go over gRPC streams, and each sender tells what it has observed
// itself and nothing that it has heard.
//
// A sender never waits for its peers: what they tell comes when it comes, and one that is unresponsive, slow, endless or lies costs
// a bounded amount of memory and time (limits.go). Nothing is kept on disk.
package peers

import (
	"cmp"
	"slices"
	"time"
)

// Member is a sender as another knows it.
type Member struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"life"`
	Address     string        `json:"address"`  // host:port of its membership
	Exchange    string        `json:"exchange"` // host:port where it tells its facts; "" if it can't be followed
	Since       time.Duration `json:"since"`    // when it came into this state, on this sender's clock
	State       string        `json:"state"`    // here, left, dead
}

// peer is a member and what the choice of those to follow goes by.
type peer struct {
	Member
	following bool
	failures  int           // in a row
	retryAt   time.Duration // it is not followed before
}

// The pauses before a peer is followed again: after a first failure, doubled with each, and at most.
const (
	minBackoff = 200 * time.Millisecond // after a stream that failed; doubles
	maxBackoff = 30 * time.Second
)

// choosePeers gives the names of those to begin to follow, so that maxFollowed are: those that are alive and are not in a
// backoff, first those that failed least, then those of the earliest incarnation: they have seen most, while one that has just
// come is as new as this sender may be.
func choosePeers(all []peer, maxFollowed int, now time.Duration) []string {
	following := 0
	var candidates []peer
	for _, f := range all {
		switch {
		case f.following:
			following++
		case f.State == stateAlive && f.Exchange != "" && now >= f.retryAt:
			candidates = append(candidates, f)
		}
	}
	slices.SortFunc(candidates, func(a, b peer) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Name, b.Name))
	})
	var names []string
	for _, f := range candidates[:min(len(candidates), max(0, maxFollowed-following))] {
		names = append(names, f.Name)
	}
	return names
}

// backoff is how long a peer is left alone after so many failures in a row.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(max(0, failures-1), 10), maxBackoff)
}

// The states of a member, as operators are shown them.
const (
	stateAlive = "here"
	stateLeft  = "left"
	stateDead  = "dead"
)
