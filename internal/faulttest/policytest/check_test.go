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

// sound is a day on which two changes took hold: under version 1 receiver 0 is called, under version 2 receiver 1.
func sound() *Result {
	return &Result{
		Events: []eventlog.Event{call(1*second, 0), call(1*second, 1), call(11*second, 0), call(12*second, 0), call(21*second, 1), call(22*second, 1)},
		Changes: []Change{{Base: 0, Asked: 9 * second, Version: 1, Known: true, Acknowledged: 10 * second}, {Base: 1, Asked: 19 * second, Version: 2, Known: true, Acknowledged: 20 * second},
			{Base: 0, Asked: 11 * second, Known: true, Refused: "it was made from version 0; version 1 is in force", InForce: 1, Acknowledged: 12 * second}},
		Seen:           map[uint64]time.Duration{1: 10 * second, 2: 20 * second},
		FinalHistories: []string{"a", "a", "a"},
	}
}

// Each thing that a wrong fleet does from outside is found, and nothing on a day on which nothing is wrong.
func TestCheckFinds(t *testing.T) {
	for name, c := range map[string]struct {
		spoil func(r *Result)
		says  string // "": nothing is wrong
	}{
		"nothing":                             {func(*Result) {}, ""},
		"a call that the kit wrote down late": {func(r *Result) { r.Events = append(r.Events, call(20*second+Grace/2, 0)) }, ""},
		"an end that nobody heard":            {func(r *Result) { r.Changes[1] = Change{Base: 1, Asked: 19 * second} }, ""},
		"a call under the version before":     {func(r *Result) { r.Events = append(r.Events, call(21500*time.Millisecond, 0)) }, "n1 called receiver 0"},
		"one sender still, much later":        {func(r *Result) { r.Events = append(r.Events, call(23*second, 0)) }, "n1 called receiver 0"},
		"a call under a version not proposed": {func(r *Result) { r.Events = append(r.Events, call(15*second, 1)) }, "n1 called receiver 1"},
		"senders of two minds":                {func(r *Result) { r.FinalHistories[1] = "b" }, "different pasts"},
		"a version that nobody made":          {func(r *Result) { r.Seen[3] = 21 * second }, "nobody has proposed it"},
		"one that was aborted is in force":    {func(r *Result) { r.Changes[1].Aborted, r.Changes[1].Version = true, 0 }, "nobody has proposed it"},
		"two changes made one version": {func(r *Result) {
			r.Changes = append(r.Changes, Change{Base: 1, Asked: 21 * second, Version: 2, Known: true, Acknowledged: 22 * second})
		}, "no order of the commands"},
		"refused by a version that came later": {func(r *Result) { r.Changes[2].InForce = 2 }, "no order of the commands"},
		"a version skipped":                    {func(r *Result) { r.Changes[1].Version = 3 }, "made version 3"},
	} {
		r := sound()
		c.spoil(r)
		got := strings.Join(Check(r).Broken, "\n")
		if (c.says == "") != (got == "") || !strings.Contains(got, c.says) {
			t.Errorf("%s: %q, want %q", name, got, c.says)
		}
	}
}

// One seed gives one day, each can be played, and faults of each sort come up.
func TestDaysBySeed(t *testing.T) {
	all := ""
	for seed := range uint64(40) {
		o := Options{Seed: seed, Senders: 3 + int(seed%5), Voters: 3, Seconds: 10, Lease: time.Second}
		text := o.Script()
		if text != o.Script() {
			t.Fatalf("seed %d: two days", seed)
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
