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

// skipQuotaGrace injects a fault into the owner of a limit: it grants all units at once, whatever an earlier owner has granted.
func skipQuotaGrace(c *fleet.Config) {
	c.QuotaGrace = func(time.Duration) time.Duration { return -time.Hour }
}

// keepExpiredGrants injects a fault into a holder of grants: its grants last twenty times as long.
func keepExpiredGrants(c *fleet.Config) {
	c.GrantDuration = func(d time.Duration) time.Duration { return 20 * d }
}

// runQuotaTest runs a quota test with processes of this program that share a limit.
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

// A limit is not exceeded at its receiver while links between processes are cut, also in one direction only, and processes are paused,
// killed and restarted with old folders. 'fault-test limits' runs many more such scenarios.
func TestLimits_HoldUnderFaults(t *testing.T) {
	t.Parallel()
	for _, o := range []quotatest.Options{{Seed: 1, Senders: 3, Voters: 3, Seconds: 10}, {Seed: 2, Senders: 5, Voters: 3, Seconds: 10, Units: 20, Span: time.Second, Halve: true},
		{Seed: 4, Senders: 4, Voters: 3, Seconds: 8, Units: 10, Span: time.Second, Quiet: true, KillAll: true}} {
		t.Run(fmt.Sprintf("seed %d", o.Seed), func(t *testing.T) {
			t.Parallel()
			o.Command = senderCommand()
			v := runQuotaTest(t, o)
			if len(v.Broken) > 0 {
				t.Errorf("%s", strings.Join(v.Broken, "\n"))
			}
			if v.Calls == 0 || v.Spans == 0 {
				t.Errorf("the run tests nothing: %d calls, %d full spans", v.Calls, v.Spans)
			}
		})
	}
}

// A receiver hangs and recovers. While it counts as unhealthy all senders together make one call to it per span, and on its recovery the
// fleet ramps up once, even if the owner of the status dies meanwhile. A run in which each sender detects the outage by itself must break
// both rules, judged by the verdicts of the first run.
func TestVerdicts_OutageIsSharedByFleet(t *testing.T) {
	t.Parallel()
	var days [2]*quotatest.Result
	t.Run("days", func(t *testing.T) {
		for i, together := range []bool{true, false} {
			t.Run(fmt.Sprintf("together %v", together), func(t *testing.T) {
				t.Parallel()
				acquireScenarioSlot(t)
				o := quotatest.Options{Seed: 1, Senders: 4, Voters: 3, Rate: 40, Free: true, Verdict: together, Outage: 9 * time.Second, Seconds: 10, Quiet: true, Command: senderCommand(), Folder: t.TempDir()}
				if together {
					o.PartitionLast = true // the last sender is partitioned and must begin no call after its lease has expired
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
		t.Logf("%d calls under a verdict, %d of them during the outage, %d broken; %d calls in the first two seconds, %d in any second, %v until it serves as before", v.Judged, v.Probes, len(v.Broken), v.Early, v.PeakCalls, v.Full)
		if (len(v.Broken) == 0) != (i == 0) || v.Probes == 0 || v.Judged == v.Probes {
			t.Errorf("day %d: %d under a verdict, %d probes, broken: %q", i, v.Judged, v.Probes, v.Broken[:min(3, len(v.Broken))])
		}
	}
}

// Faulty senders are detected by the receiver's count of calls: a sender that uses its grants after they have expired, and owners that
// grant the full limit at their start while a partitioned sender still uses its grants.
func TestLimits_DetectFaultySenders(t *testing.T) {
	t.Parallel()
	var names []*pb.Participant
	for i := range 5 {
		names = append(names, &pb.Participant{Name: fmt.Sprintf("n%d", i)})
	}
	owner := coordinator.NewOwnership(names).Owner("destination 0").Name
	if owner == "n4" {
		t.Fatal("the partitioned sender owns the limit: the run tests nothing")
	}
	for name, o := range map[string]quotatest.Options{
		"keeps its loan": {Seed: 3, Senders: 4, Seconds: 10, Command: senderCommand("SAFFRONYARD_TEST_WRONG=n3 keeps")},
		"from full":      {Seed: 6, Senders: 5, Seconds: 8, Lend: 6 * time.Second, Kill: owner, Command: senderCommand("SAFFRONYARD_TEST_WRONG=full")},
		"none":           {Seed: 6, Senders: 5, Seconds: 8, Lend: 6 * time.Second, Kill: owner, Command: senderCommand()},
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
