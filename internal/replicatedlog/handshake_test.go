package replicatedlog

import (
	"testing"
)

// Checks the start state of a voter for combinations of stored position and peers' answers.
func TestReconcile(t *testing.T) {
	const id = 42
	for _, c := range []struct {
		what   string
		stored StoredPosition
		peers  map[string]PeerState
		want   StartState
	}{
		{"no peers, or a vouched folder: the stored position", StoredPosition{3, 7, 2, 9}, nil, StartState{Term: 3, Vote: 7, MinLogTerm: 2, MinLogIndex: 9}},
		{"a restart with the newest folder keeps its vote", StoredPosition{3, 7, 3, 9}, map[string]PeerState{"a": {3, 3, 9, 9}, "b": {2, 2, 5, 0}}, StartState{Term: 3, Vote: 7, MinLogTerm: 3, MinLogIndex: 9}},
		{"a vote that may be missing in the folder counts as given", StoredPosition{3, 0, 3, 9}, map[string]PeerState{"a": {3, 3, 9, 0}}, StartState{Term: 3, Vote: id, MinLogTerm: 3, MinLogIndex: 9}},
		{"the vote in a peer's higher term counts as given", StoredPosition{3, 7, 3, 9}, map[string]PeerState{"a": {5, 3, 9, 0}}, StartState{Term: 5, Vote: id, MinLogTerm: 3, MinLogIndex: 9}},
		{"the furthest log is the minimum, compared by term first", StoredPosition{3, 7, 3, 9}, map[string]PeerState{"a": {3, 2, 99, 0}, "b": {3, 3, 12, 0}}, StartState{Term: 3, Vote: 7, MinLogTerm: 3, MinLogIndex: 12}},
		{"an empty folder", StoredPosition{}, map[string]PeerState{"a": {4, 4, 20, 0}, "b": {4, 4, 18, 0}}, StartState{Term: 4, Vote: id, MinLogTerm: 4, MinLogIndex: 20}},
		{"all folders are empty", StoredPosition{}, map[string]PeerState{"a": {}, "b": {}}, StartState{}},
		{"the leader has a higher match index", StoredPosition{4, 7, 4, 9}, map[string]PeerState{"a": {4, 4, 20, 15}},
			StartState{Term: 5, Vote: id, MinLogTerm: 4, MinLogIndex: 20, StaleReason: "a leads, and had from it that it holds the log to 15; the folder ends at 9"}},
	} {
		if got := reconcile(id, c.stored, c.peers); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.what, got, c.want)
		}
	}
	s := StartState{MinLogTerm: 3, MinLogIndex: 10}
	for _, c := range []struct {
		term, last uint64
		upToDate   bool
	}{{3, 9, false}, {3, 10, true}, {2, 99, false}, {4, 1, true}} {
		if got := s.upToDate(c.term, c.last); got != c.upToDate {
			t.Errorf("a log that ends at %d of term %d: up to date %v", c.last, c.term, got)
		}
	}
}
