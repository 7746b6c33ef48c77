package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/quotatest"
)

// maxBrokenLines is the maximum number of violations that are printed for a day.
const maxBrokenLines = 10

// limitDays plays one day per seed on which a fleet divides a rate limit among its senders while links, processes and folders fail.
// From the calls that the receiver got it checks that the limit was never exceeded.
func limitDays(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	options := quotatest.Options{}
	var seeds seedFlags
	f := flags("limits", errs)
	seeds.register(f)
	registerLimitFlags(f, &options)
	if err := parse(f, args); err != nil {
		return 0, err
	}
	if err := seeds.check(options.Senders >= 0 && options.Senders <= maxSenders && options.Seconds >= 2 && options.Units >= 0 && options.PartitionExtra >= 0); err != nil {
		return 0, err
	}
	command, code, err := seeds.prepare(ctx, "limits", errs)
	if err != nil {
		return code, err
	}
	options.Command = command
	tally := limitTally{out: out}
	runSeeds(ctx, seeds.seed, seeds.runs, seeds.parallel, func(seed uint64) {
		dayOptions := options
		dayOptions.Seed, dayOptions.Folder = seed, seeds.folder(seed)
		dayOptions.Senders, dayOptions.Voters = fleetSize(seed, dayOptions.Senders, dayOptions.Voters, 3, 5, 8)
		if !options.Halve && !options.Quiet {
			dayOptions.Halve = seed%4 == 3
		}
		result, err := quotatest.Run(ctx, dayOptions)
		if ctx.Err() == nil {
			tally.add(dayOptions, result, err)
		}
	})
	tally.print()
	return exitCode(ctx, tally.failed)
}

// registerLimitFlags adds the flags of the limits command.
func registerLimitFlags(f *flag.FlagSet, o *quotatest.Options) {
	f.IntVar(&o.Senders, "senders", 0, "number of senders; by default 3, 5 or 8, by seed")
	f.IntVar(&o.Voters, "voters", 0, "number of voters among the senders; by default 3, or 5 for some seeds with at least 5 senders")
	f.Float64Var(&o.Seconds, "seconds", 10, "duration of the faults")
	f.DurationVar(&o.Lease, "lease", time.Second, "`length` of the fleet's leases")
	f.IntVar(&o.Units, "units", 0, "limit, in calls per span; by default by seed")
	f.DurationVar(&o.Span, "span", 0, "span over which calls are counted; by default by seed")
	f.IntVar(&o.PartitionExtra, "over", 0, "calls by which each sender that is cut off may exceed the limit")
	f.Float64Var(&o.Rate, "rate", 0, "messages a second to the limited receiver; by default twice the limit")
	f.BoolVar(&o.Halve, "halve", false, "halve the limit in the middle of the day")
	f.BoolVar(&o.Quiet, "quiet", false, "no faults")
	f.DurationVar(&o.Outage, "outage", 0, "duration for which the receiver hangs")
	f.BoolVar(&o.Verdict, "verdict", false, "with -outage: the fleet agrees on whether the receiver is out")
	f.DurationVar(&o.TransitJitter, "transit", 0, "maximum difference between the transit times of two calls; default 100ms, as the kit shares the machine with the senders")
	f.BoolVar(&o.Own, "own", false, "the receivers enforce the limit themselves and refuse calls above it")
	f.BoolVar(&o.Free, "free", false, "no limit")
}

// limitTally prints the result of each day and sums up all days.
type limitTally struct {
	out io.Writer

	mu                          sync.Mutex // guards the fields below and the order of the printed lines
	failed, played, calls, full int
}

// add judges a day, prints its result and adds it to the sums.
func (t *limitTally) add(options quotatest.Options, result *quotatest.Result, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var v quotatest.Verdict
	if err == nil {
		free := options.Free
		options = result.Options
		v = t.judge(result, free)
	} else {
		v.Broken = []string{err.Error()}
	}
	t.played, t.calls, t.full = t.played+1, t.calls+v.Calls, t.full+v.Spans
	if len(v.Broken) > 0 {
		t.failed++
	}
	fmt.Fprintf(t.out, "seed %d, %d senders, %d in %v: %s; %d calls, %d at most in a span, %d spans full; healed, %.3f of it are used; %d served, %d refused\n", options.Seed, options.Senders, options.Units, options.Span, verdictWord(v.Broken), v.Calls, v.MaxUnits, v.Spans, v.Used, v.Served, v.Refused)
	for _, b := range v.Broken[:min(len(v.Broken), maxBrokenLines)] {
		fmt.Fprintf(t.out, "  %s\n", b)
	}
}

// judge checks a day's limit unless free is set, and the return from its outage if it has one.
func (t *limitTally) judge(result *quotatest.Result, free bool) quotatest.Verdict {
	v := quotatest.Check(result)
	if free {
		v = quotatest.Verdict{Calls: v.Calls, Refused: v.Refused, Served: v.Served}
	}
	if result.Options.Outage > 0 {
		back := quotatest.CheckReturn(result)
		v.Broken = append(v.Broken, back.Broken...)
		fmt.Fprintf(t.out, "seed %d: %d calls under a verdict, %d of them while it was out; %d in the first two seconds of its return, %d in any second of it at most; %v until it serves four fifths again\n", result.Options.Seed, back.Judged, back.Probes, back.Early, back.PeakCalls, back.Full.Round(time.Millisecond))
	}
	return v
}

// print prints the sums.
func (t *limitTally) print() {
	fmt.Fprintf(t.out, "%d days, %d broken; %d calls judged, %d spans were full\n", t.played, t.failed, t.calls, t.full)
}
