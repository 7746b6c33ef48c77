package replicatedlog

import (
	"fmt"
	"hash/fnv"

	"go.etcd.io/raft/v3/raftpb"
)

// A voter that starts can't tell from its folder whether the folder is the newest: it may be a backup or a machine's snapshot, and then
// the voter has forgotten votes that it gave and entries that it acknowledged. Raft assumes that this never happens: otherwise a second
// leader in one term, or the loss of committed entries, would be possible. The other voters have the missing information. So before a
// voter takes part it calls every other voter of its log (the Hello call), and starts from their answers:
//
//   - The peers drop messages of its earlier incarnations that are still in flight: no old vote or acknowledgement counts any more.
//   - Its term becomes the highest term in the answers, and its vote in that term counts as given: it can't vote twice in one term.
//   - It gets a minimum log position, which is the furthest log end in the answers: it votes for no candidate whose log ends before
//     that position, and is not a candidate itself until its own log has reached the position. If an entry that it acknowledged and
//     forgot was committed, one of its peers has that entry, so no leader without the entry gets this vote.
//   - If a leader has a match index for it beyond the end of its log, its folder is certainly stale. Then it increases the term by one,
//     so that this leader steps down and the next one determines the match index anew. (The raft library treats a follower that lost
//     entries as damaged.)
//
// All peers have to answer. While one can't, the voter does not take part, which uses up one of the failures that the voters tolerate.
// An operator who is certain that the folder is the newest may vouch for it, once (saffronyard fleet vouch).

// StoredLog is what a voter has stored.
type StoredLog struct {
	HardState *raftpb.HardState
	ConfState *raftpb.ConfState // the first voters, while there is no snapshot
	Snapshot  *raftpb.Snapshot  // nil: none
	Entries   []*raftpb.Entry   // those after BaseIndex; the snapshot's index is BaseIndex or that of one of them
	BaseIndex uint64            // of the last entry that was compacted
	BaseTerm  uint64            // of that entry
}

// Position returns the stored term and vote, and the end of the stored log.
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
	MatchIndex                uint64 // raft's match index of the caller if the peer leads; 0 if it does not
}

// StartState is what a voter starts with.
type StartState struct {
	Term, Vote  uint64 // replace the stored ones
	MinLogTerm  uint64 // the voter rejects candidates whose log ends before this position
	MinLogIndex uint64
	StaleReason string // evidence that entries acknowledged from the folder are missing in it; "": there is none
}

// reconcile makes the start state of a voter from its stored position and the answers of all its peers. peers is empty if there are no
// other voters, or if an operator vouched for the folder.
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

// upToDate reports whether a log that ends at the given term and index reaches the minimum position; logs are ordered by term first
// (thesis, 3.6.1).
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
