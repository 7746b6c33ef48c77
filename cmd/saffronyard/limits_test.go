package main

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"saffronyard.example/saffronyard/internal/coordinator"
	"saffronyard.example/saffronyard/internal/faulttest/quotatest"
	"saffronyard.example/saffronyard/internal/fleet"
	pb "saffronyard.example/saffronyard/proto/saffronyard/fleet/v1"
)

// startsWithFullPool makes a wrong authority: it lends all units at once, whatever an earlier one has lent.
func startsWithFullPool(c *fleet.Config) {
	c.QuotaGrace = func(time.Duration) time.Duration { return -time.Hour }
}

// keepsExpiredLoans makes a wrong holder, whose loans last twenty times as long.
func keepsExpiredLoans(c *fleet.Config) {
	c.GrantDuration = func(d time.Duration) time.Duration { return 20 * d }
}

// runQuotaTest plays a day of processes of the program that share a limit out.
func runQuotaTest(t *testing.T, o quotatest.Options) quotatest.Verdict {
	t.Helper()
	acquireScenarioSlot(t)
	o.Folder = t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	r, err := quotatest.Run(ctx, o)
	if err != nil {
		t.Fatalf("seed %d: %v", o.Seed, err)
	}
	v := quotatest.Check(r)
	t.Logf("seed %d: %d in %v; %d calls judged, %d spans full, %d broken; %.3f used; %d faults", o.Seed, r.Options.Units, r.Options.Span, v.Calls, v.Spans, len(v.Broken), v.Used, r.Faults)
	return v
}

// A limit holds at its receiver while links between processes are cut, also one way, and processes are paused, killed and come back
// with old folders. 'rehearse limits' plays many more such days.
func TestLimits_HoldUnderFaults(t *testing.T) {
	t.Parallel()
	for _, o := range []quotatest.Options{{Seed: 1, Senders: 3, Voters: 3, Seconds: 10}, {Seed: 2, Senders: 5, Voters: 3, Seconds: 10, Units: 20, Span: time.Second, Halve: true},
		{Seed: 4, Senders: 4, Voters: 3, Seconds: 8, Units: 10, Span: time.Second, Quiet: true, KillAll: true}} {
		t.Run(fmt.Sprintf("seed %d", o.Seed), func(t *testing.T) {
			t.Parallel()
			o.Command = itself()
			v := runQuotaTest(t, o)
			if len(v.Broken) > 0 {
				t.Errorf("%s", strings.Join(v.Broken, "\n"))
			}
			if v.Calls == 0 || v.Spans == 0 {
				t.Errorf("it shows nothing: %d calls, %d full spans", v.Calls, v.Spans)
			}
		})
	}
}

// A receiver hangs and comes back: while it is held to be out one call of all senders goes there in a span, and its return is one ramp,
// also where the one in charge dies meanwhile. A day on which each finds out by itself is seen to keep neither, judged by the other's verdicts.
func TestVerdicts_OutageIsSharedByFleet(t *testing.T) {
	t.Parallel()
	var days [2]*quotatest.Result
	t.Run("days", func(t *testing.T) {
		for i, together := range []bool{true, false} {
			t.Run(fmt.Sprintf("together %v", together), func(t *testing.T) {
				t.Parallel()
				acquireScenarioSlot(t)
				o := quotatest.Options{Seed: 1, Senders: 4, Voters: 3, Rate: 40, Free: true, Verdict: together, Outage: 9 * time.Second, Seconds: 10, Quiet: true, Command: itself(), Folder: t.TempDir()}
				if together {
					o.PartitionLast = true // and the last one, without the others, begins no call once its lease is over
				}
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
				defer cancel()
				r, err := quotatest.Run(ctx, o)
				if err != nil {
					t.Fatal(err)
				}
				days[i] = r
			})
		}
	})
	if t.Failed() {
		return
	}
	days[1].Verdicts = days[0].Verdicts
	for i, r := range days {
		v := quotatest.CheckReturn(r)
		t.Logf("%d calls under a verdict, %d of them while it was out, %d broken; %d calls in the first two seconds, %d in any second, %v until it serves as before", v.Judged, v.Probes, len(v.Broken), v.Early, v.PeakCalls, v.Full)
		if (len(v.Broken) == 0) != (i == 0) || v.Probes == 0 || v.Judged == v.Probes {
			t.Errorf("day %d: %d under a verdict, %d probes, broken: %q", i, v.Judged, v.Probes, v.Broken[:min(3, len(v.Broken))])
		}
	}
}

// Wrong senders are found out by the receiver's count: one that goes by its loans after they have lapsed, and authorities that start from
// full while one that is cut off still uses what it holds.
func TestLimits_DetectFaultyLenders(t *testing.T) {
	t.Parallel()
	var names []*pb.Participant
	for i := range 5 {
		names = append(names, &pb.Participant{Name: fmt.Sprintf("n%d", i)})
	}
	in := coordinator.NewOwnership(names).Owner("destination 0").Name
	if in == "n4" {
		t.Fatal("the one that is cut off is in charge: the day shows nothing")
	}
	for name, o := range map[string]quotatest.Options{
		"keeps its loan": {Seed: 3, Senders: 4, Seconds: 10, Command: itself("SAFFRONYARD_TEST_WRONG=n3 keeps")},
		"from full":      {Seed: 6, Senders: 5, Seconds: 8, Lend: 6 * time.Second, Kill: in, Command: itself("SAFFRONYARD_TEST_WRONG=full")},
		"none":           {Seed: 6, Senders: 5, Seconds: 8, Lend: 6 * time.Second, Kill: in, Command: itself()},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Voters, o.Units, o.Span, o.TransitJitter, o.Quiet, o.PartitionLast, o.GoOn, o.Rate = 3, 40, time.Second, 20*time.Millisecond, true, true, true, 70
			if v := runQuotaTest(t, o); (len(v.Broken) == 0) != (name == "none") {
				t.Errorf("found: %q", v.Broken)
			}
		})
	}
}
