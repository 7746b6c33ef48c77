package replicatedlog

import (
	"fmt"
	"hash/fnv"

	"go.etcd.io/raft/v3/raftpb"
)

// A voter that starts does not know whether its folder is the newest: it may be a backup or a machine's snapshot, and then the voter
// has forgotten votes that it gave and entries that it acknowledged. Raft assumes that it never does: a second leader of one term, or
// the loss of committed entries, would be possible. The folder can't tell; the peers can. So before it takes part it asks every other
// voter of its log (the Hello call), and starts from what they answer:
//
//   - They drop messages of its earlier incarnations that are still under way: no old vote or acknowledgement counts any more.
//   - Its term becomes the highest that it hears of, and its vote in that term counts as given: no vote is given twice.
//   - A minimum log position: it votes for nobody whose log ends before the furthest end that it heard of, nor is a candidate
//     itself, until its own log has come there. An entry that it acknowledged and forgot is held by one of its peers if it was
//     committed, so no leader without that entry gets this vote.
//   - If a leader knows it to hold more than it does, its folder is surely stale: it goes one term further, so that this leader steps
//     down and the next one learns anew what it holds. (The raft library takes a follower that lost entries for damage.)
//
// All peers have to answer. While one can't, the voter waits outside, which costs one of the failures that the voters tolerate. An
// operator who knows that the folder is the newest may vouch for it, once (saffronyard fleet vouch).

// StoredLog is what a voter has stored.
type StoredLog struct {
	HardState *raftpb.HardState
	ConfState *raftpb.ConfState // the first voters, while there is no snapshot
	Snapshot  *raftpb.Snapshot  // nil: none
	Entries   []*raftpb.Entry   // those behind BaseIndex; the snapshot lies among them or at their begin
	BaseIndex uint64            // of the last entry that was compacted
	BaseTerm  uint64            // of that entry
}

// Position is where the stored log stands.
func (s *StoredLog) Position() StoredPosition {
	p := StoredPosition{Term: s.HardState.GetTerm(), Vote: s.HardState.GetVote(), LastIndex: s.BaseIndex, LastTerm: s.BaseTerm}
	if n := len(s.Entries); n > 0 {
		p.LastIndex, p.LastTerm = s.Entries[n-1].GetIndex(), s.Entries[n-1].GetTerm()
	}
	return p
}

// StoredPosition is raft's term and vote and the end of the log, as stored.
type StoredPosition struct {
	Term, Vote, LastTerm, LastIndex uint64
}

// PeerState is a peer's answer to the handshake.
type PeerState struct {
	Term, LastTerm, LastIndex uint64 // of the peer's own log
	MatchIndex                uint64 // up to which the peer, as leader, knows the caller to hold the log; 0 if it does not lead
}

// StartState is what a voter starts with.
type StartState struct {
	Term, Vote  uint64 // in place of the stored ones
	MinLogTerm  uint64 // it votes for nobody whose log ends before this position
	MinLogIndex uint64
	StaleReason string // why the folder is known to be older than what was acknowledged from it; "" if nothing shows that
}

// reconcile makes the start state of a voter from what it has stored and the answers of all its peers; without answers it has no peers, or
// an operator vouched for the folder.
func reconcile(id uint64, stored StoredPosition, peers map[string]PeerState) StartState {
	s := StartState{Term: stored.Term, Vote: stored.Vote, MinLogTerm: stored.LastTerm, MinLogIndex: stored.LastIndex}
	for name, p := range peers {
		s.Term = max(s.Term, p.Term)
		if p.LastTerm > s.MinLogTerm || p.LastTerm == s.MinLogTerm && p.LastIndex > s.MinLogIndex {
			s.MinLogTerm, s.MinLogIndex = p.LastTerm, p.LastIndex
		}
		if p.MatchIndex > stored.LastIndex {
			s.StaleReason = fmt.Sprintf("%s leads, and had from it that it holds the log to %d; the folder ends at %d", name, p.MatchIndex, stored.LastIndex)
		}
	}
	if len(peers) == 0 {
		return s
	}
	if s.StaleReason != "" {
		s.Term++
	}
	if s.Term > stored.Term || s.Vote == 0 && s.Term > 0 {
		s.Vote = id
	}
	return s
}

// upToDate reports whether a log that ends there reaches the minimum position; logs are ordered by term first (thesis, 3.6.1).
func (s StartState) upToDate(lastTerm, lastIndex uint64) bool {
	return lastTerm > s.MinLogTerm || lastTerm == s.MinLogTerm && lastIndex >= s.MinLogIndex
}

// VoterID is the raft id of a voter of that name, never 0: FNV-1a, 64 bits.
func VoterID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	if id := h.Sum64(); id != 0 {
		return id
	}
	return 1
}
