package cli

import (
	"testing"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
)

// measureJoin counts the calls that the joined sender itself makes in its first 30 s as a ready sender; a call without an answer
// counts as failed.
func TestNewcomer(t *testing.T) {
	const s = 1_000_000
	events := []eventlog.Event{
		{T: -5, Kind: eventlog.Ready, Sender: "n0", Run: 1},
		{T: 1 * s, Kind: eventlog.Call, Sender: "n1", Call: 1}, // before it is ready
		{T: 2 * s, Kind: eventlog.Ready, Sender: "n1", Run: 1},
		{T: 3 * s, Kind: eventlog.Call, Sender: "n1", Call: 2},
		{T: 3 * s, Kind: eventlog.Call, Sender: "n0", Call: 3},
		{T: 4 * s, Kind: eventlog.Done, Call: 2, Status: 200},
		{T: 4 * s, Kind: eventlog.Done, Call: 3, Status: 503},
		{T: 5 * s, Kind: eventlog.Call, Sender: "n1", Call: 4},
		{T: 6 * s, Kind: eventlog.Done, Call: 4, Status: 429},
		{T: 7 * s, Kind: eventlog.Call, Sender: "n1", Call: 5}, // never answered
		{T: 32 * s, Kind: eventlog.Call, Sender: "n1", Call: 6},
	}
	n, err := measureJoin(events, judge.Report{})
	if err != nil || n.calls != 3 || n.failed != 2 {
		t.Errorf("measureJoin: %+v, %v; want 3 calls, 2 failed", n, err)
	}
	if _, err := measureJoin(events[:1], judge.Report{}); err == nil {
		t.Error("no error for a day on which no sender joins")
	}
}

func TestRatios(t *testing.T) {
	pair := func(cold, taught int) [2]joinResult {
		return [2]joinResult{{calls: 100, failed: cold}, {calls: 100, failed: taught}}
	}
	pairs := [][2]joinResult{pair(40, 10), pair(40, 20), pair(40, 40)}
	if m, all := medianRatio(pairs), ratioOf(pairs); m != 0.5 || all < 0.58 || all > 0.59 {
		t.Errorf("median ratio %v, ratio of all calls %v", m, all)
	}
	if low, high := interval(pairs); low != 0.25 || high != 1 {
		t.Errorf("interval from %v to %v, want 0.25 to 1", low, high)
	}
	if r := ratioOf([][2]joinResult{pair(0, 0)}); r != 1 {
		t.Errorf("ratio without failures is %v, want 1", r)
	}
}
