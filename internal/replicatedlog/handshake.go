package replicatedlog

import (
	"fmt"
	"hash/fnv"

	"go.etcd.io/raft/v3/raftpb"
)

// A voter that starts does not know whether its folder is the newest: it may be yesterday's, put back by a person or a machine's
// snapshot, and then the voter has forgotten votes it gave and entries it took on. With those a second leader of one term, or
// the loss of what was committed, is possible. The folder can't tell; the others can. So before it takes part it says hello
// to every other voter of its log, and goes by what they answer:
//
//   - They drop what its earlier process said and is still under way: no old promise counts from then on.
//   - Its term becomes the highest of all that it hears, and its vote in it is spent: whatever it voted in any term up to that is
//     not given twice.
//   - A bar: it votes for nobody whose log ends before the furthest end that it heard, nor stands itself, until its own log has
//     come there. An entry that it took on and forgot is held by one of the others if it was committed; so no leader
//     without it gets this vote.
//   - If one of them leads and knows it to hold more than it does, its folder is old for sure: it goes one term further, so
//     that this leader steps down and the next one counts what is there anew. (The library takes a follower that lost
//     entries for damage.)
//
// All others have to answer. While one can't, the voter waits outside, which costs one of the failures that the voters can bear;
// an operator who knows that the folder is the newest vouches for it, once (saffronyard fleet vouch).

// PeerState is the answer of another voter.
type PeerState struct {
	Term, LastTerm, LastIndex uint64
	MatchIndex                uint64 // up to which the asker is known to hold the log, by one who leads
}

// StoredPosition is what the folder has.
type StoredPosition struct {
	Term, Vote, LastTerm, LastIndex uint64
}

// StartState is with what a voter begins.
type StartState struct {
	Term, Vote  uint64 // in place of the folder's
	MinLogTerm  uint64 // it votes for nobody whose log ends before this
	MinLogIndex uint64
	StaleReason string // why the folder is known to be older than what it promised; "" if nothing shows that
}

// reconcile is what a voter takes from the answers of all others.
func reconcile(id uint64, f StoredPosition, all map[string]PeerState) StartState {
	s := StartState{Term: f.Term, Vote: f.Vote, MinLogTerm: f.LastTerm, MinLogIndex: f.LastIndex}
	for name, h := range all {
		s.Term = max(s.Term, h.Term)
		if h.LastTerm > s.MinLogTerm || h.LastTerm == s.MinLogTerm && h.LastIndex > s.MinLogIndex {
			s.MinLogTerm, s.MinLogIndex = h.LastTerm, h.LastIndex
		}
		if h.MatchIndex > f.LastIndex {
			s.StaleReason = fmt.Sprintf("%s leads, and had from it that it holds the log to %d; the folder ends at %d", name, h.MatchIndex, f.LastIndex)
		}
	}
	if len(all) == 0 { // it is alone, or somebody vouched
		return s
	}
	if s.StaleReason != "" {
		s.Term++
	}
	if s.Term > f.Term || s.Vote == 0 && s.Term > 0 {
		s.Vote = id
	}
	return s
}

// upToDate reports whether a log that ends there reaches the bar.
func (s StartState) upToDate(lastTerm, last uint64) bool {
	return lastTerm > s.MinLogTerm || lastTerm == s.MinLogTerm && last >= s.MinLogIndex
}

// VoterID is the number of a voter in the log.
func VoterID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	if id := h.Sum64(); id != 0 {
		return id
	}
	return 1
}

// StoredLog is what a voter's folder holds.
type StoredLog struct {
	HardState *raftpb.HardState
	ConfState *raftpb.ConfState // if there is no snapshot yet: the first voters
	Snapshot  *raftpb.Snapshot  // nil: none
	Entries   []*raftpb.Entry   // behind the snapshot's place in the log, or behind Base
	BaseIndex uint64            // index before the first of Entries
	BaseTerm  uint64
}

// Position is what hello goes by.
func (s *StoredLog) Position() StoredPosition {
	f := StoredPosition{Term: s.HardState.GetTerm(), Vote: s.HardState.GetVote(), LastIndex: s.BaseIndex, LastTerm: s.BaseTerm}
	if n := len(s.Entries); n > 0 {
		f.LastIndex, f.LastTerm = s.Entries[n-1].GetIndex(), s.Entries[n-1].GetTerm()
	}
	return f
}
