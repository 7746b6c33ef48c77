package replicatedlog

import (
	"testing"
)

// What a voter starts with after its peers' answers.
func TestReconcile(t *testing.T) {
	const id = 42
	for _, c := range []struct {
		what   string
		folder StoredPosition
		heard  map[string]PeerState
		want   StartState
	}{
		{"alone, or vouched for, it goes by its folder", StoredPosition{3, 7, 2, 9}, nil, StartState{Term: 3, Vote: 7, MinLogTerm: 2, MinLogIndex: 9}},
		{"an honest restart keeps its vote", StoredPosition{3, 7, 3, 9}, map[string]PeerState{"a": {3, 3, 9, 9}, "b": {2, 2, 5, 0}}, StartState{Term: 3, Vote: 7, MinLogTerm: 3, MinLogIndex: 9}},
		{"a vote that it may have forgotten is spent", StoredPosition{3, 0, 3, 9}, map[string]PeerState{"a": {3, 3, 9, 0}}, StartState{Term: 3, Vote: id, MinLogTerm: 3, MinLogIndex: 9}},
		{"terms that it does not know of are spent", StoredPosition{3, 7, 3, 9}, map[string]PeerState{"a": {5, 3, 9, 0}}, StartState{Term: 5, Vote: id, MinLogTerm: 3, MinLogIndex: 9}},
		{"the furthest log is the bar, by term first", StoredPosition{3, 7, 3, 9}, map[string]PeerState{"a": {3, 2, 99, 0}, "b": {3, 3, 12, 0}}, StartState{Term: 3, Vote: 7, MinLogTerm: 3, MinLogIndex: 12}},
		{"an empty folder", StoredPosition{}, map[string]PeerState{"a": {4, 4, 20, 0}, "b": {4, 4, 18, 0}}, StartState{Term: 4, Vote: id, MinLogTerm: 4, MinLogIndex: 20}},
		{"all are new", StoredPosition{}, map[string]PeerState{"a": {}, "b": {}}, StartState{}},
		{"the one that leads knows more", StoredPosition{4, 7, 4, 9}, map[string]PeerState{"a": {4, 4, 20, 15}},
			StartState{Term: 5, Vote: id, MinLogTerm: 4, MinLogIndex: 20, StaleReason: "a leads, and had from it that it holds the log to 15; the folder ends at 9"}},
	} {
		if got := reconcile(id, c.folder, c.heard); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.what, got, c.want)
		}
	}
	s := StartState{MinLogTerm: 3, MinLogIndex: 10}
	for _, c := range []struct {
		term, last uint64
		over       bool
	}{{3, 9, false}, {3, 10, true}, {2, 99, false}, {4, 1, true}} {
		if got := s.upToDate(c.term, c.last); got != c.over {
			t.Errorf("a log to %d of term %d: over the bar %v", c.last, c.term, got)
		}
	}
}
