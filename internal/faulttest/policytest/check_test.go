package policytest

import (
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

const second = time.Second

func call(at time.Duration, dest int) eventlog.Event {
	return eventlog.Event{Kind: eventlog.Call, First: at.Microseconds(), T: at.Microseconds(), Dest: dest, Sender: "n1"}
}

// correctDay returns a day without violations on which two changes are committed: under version 1 receiver 0 is called, under version 2
// receiver 1.
func correctDay() *Result {
	return &Result{
		Events: []eventlog.Event{call(1*second, 0), call(1*second, 1), call(11*second, 0), call(12*second, 0), call(21*second, 1), call(22*second, 1)},
		Changes: []Change{{Base: 0, Asked: 9 * second, Version: 1, Known: true, Acknowledged: 10 * second}, {Base: 1, Asked: 19 * second, Version: 2, Known: true, Acknowledged: 20 * second},
			{Base: 0, Asked: 11 * second, Known: true, Refused: "it was made from version 0; version 1 is in force", InForce: 1, Acknowledged: 12 * second}},
		Seen:           map[uint64]time.Duration{1: 10 * second, 2: 20 * second},
		FinalHistories: []string{"a", "a", "a"},
	}
}

// Check must report each externally visible fault of a fleet, and nothing on a day without faults.
func TestCheckFinds(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(r *Result)
		says  string // part of the expected violations; "": none
	}{
		"no fault":                            {func(*Result) {}, ""},
		"a call that the kit recorded late":   {func(r *Result) { r.Events = append(r.Events, call(20*second+Grace/2, 0)) }, ""},
		"an unknown outcome":                  {func(r *Result) { r.Changes[1] = Change{Base: 1, Asked: 19 * second} }, ""},
		"a call under the previous version":   {func(r *Result) { r.Events = append(r.Events, call(21500*time.Millisecond, 0)) }, "n1 called receiver 0"},
		"a call long after the switch":        {func(r *Result) { r.Events = append(r.Events, call(23*second, 0)) }, "n1 called receiver 0"},
		"a call under a version not proposed": {func(r *Result) { r.Events = append(r.Events, call(15*second, 1)) }, "n1 called receiver 1"},
		"diverged senders":                    {func(r *Result) { r.FinalHistories[1] = "b" }, "different policy histories"},
		"a version never proposed":            {func(r *Result) { r.Seen[3] = 21 * second }, "version 3 is in force, but was never proposed"},
		"an aborted change in force":          {func(r *Result) { r.Changes[1].Aborted, r.Changes[1].Version = true, 0 }, "version 2 is in force, but was never proposed"},
		"two changes committed as one version": {func(r *Result) {
			r.Changes = append(r.Changes, Change{Base: 1, Asked: 21 * second, Version: 2, Known: true, Acknowledged: 22 * second})
		}, "not linearizable"},
		"refused by a version that came later": {func(r *Result) { r.Changes[2].InForce = 2 }, "not linearizable"},
		"a version skipped":                    {func(r *Result) { r.Changes[1].Version = 3 }, "committed as version 3"},
	} {
		r := correctDay()
		c.spoil(r)
		got := strings.Join(Check(r).Broken, "\n")
		if (c.says == "") != (got == "") || !strings.Contains(got, c.says) {
			t.Errorf("%s: %q, want %q", name, got, c.says)
		}
	}
}

// The same seed gives the same day, each day is a valid script, and each kind of fault is drawn.
func TestDaysBySeed(t *testing.T) {
	all := ""
	for seed := range uint64(40) {
		o := Options{Seed: seed, Senders: 3 + int(seed%5), Voters: 3, Seconds: 10, Lease: time.Second}
		text := o.Script()
		if text != o.Script() {
			t.Fatalf("seed %d gives two different days", seed)
		}
		s, err := script.Parse("x.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Make(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		all += text
	}
	for _, do := range []string{"cut", "refuse", "slow", "freeze", "reset", "pause", "keep", "old", "kill"} {
		if !strings.Contains(all, "do = \""+do+"\"") {
			t.Errorf("no day has %s", do)
		}
	}
}
