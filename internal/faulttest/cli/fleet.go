package cli

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/policytest"
)

// fleetDays plays one day per seed on which a fleet changes its policy while links, processes and folders fail. From what is visible
// outside the senders it checks that every change took effect on all senders or on none.
func fleetDays(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	options := policytest.Options{}
	var seeds seedFlags
	f := flags("fleet", errs)
	seeds.register(f)
	f.IntVar(&options.Senders, "senders", 0, "number of senders; by default 3 to 7, by seed")
	f.IntVar(&options.Voters, "voters", 0, "number of voters among the senders; by default 3, or 5 for some seeds with at least 5 senders")
	f.IntVar(&options.Paused, "down", 0, "number of senders that are stopped from the beginning")
	f.Float64Var(&options.Seconds, "seconds", 10, "duration of the faults and changes")
	f.DurationVar(&options.Lease, "lease", time.Second, "`length` of leases")
	f.BoolVar(&options.Quiet, "quiet", false, "no faults")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	if err := seeds.check(options.Senders >= 0 && options.Senders <= maxSenders && options.Paused >= 0 && options.Seconds >= 2); err != nil {
		return 0, err
	}
	command, code, err := seeds.prepare(ctx, "fleet", errs)
	if err != nil {
		return code, err
	}
	options.Command = command
	tally := policyTally{out: out}
	runSeeds(ctx, seeds.seed, seeds.runs, seeds.parallel, func(seed uint64) {
		dayOptions := options
		dayOptions.Seed, dayOptions.Folder = seed, seeds.folder(seed)
		dayOptions.Senders, dayOptions.Voters = fleetSize(seed, dayOptions.Senders, dayOptions.Voters, 3, 4, 5, 6, 7)
		result, err := policytest.Run(ctx, dayOptions)
		if ctx.Err() == nil {
			tally.add(dayOptions, result, err)
		}
	})
	tally.print()
	return exitCode(ctx, tally.failed)
}

// policyTally prints the result of each day and sums up all days.
type policyTally struct {
	out io.Writer

	mu             sync.Mutex // guards the fields below and the order of the printed lines
	all            policytest.Verdict
	failed, played int
}

// add judges a day, prints its result and adds it to the sums.
func (t *policyTally) add(options policytest.Options, result *policytest.Result, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var v policytest.Verdict
	if result != nil && err == nil {
		v = policytest.Check(result)
	} else {
		v.Broken = []string{err.Error()}
	}
	t.played++
	if len(v.Broken) > 0 {
		t.failed++
	}
	fmt.Fprintf(t.out, "seed %d, %d senders, %d voters: %s; %d calls, changes: %d took hold, %d aborted, %d refused, %d unknown\n", options.Seed, options.Senders, options.Voters, verdictWord(v.Broken), v.Calls, v.Commits, v.Aborts, v.Refused, v.Unknown)
	for _, b := range v.Broken {
		fmt.Fprintf(t.out, "  %s\n", b)
	}
	t.all.Calls += v.Calls
	t.all.Commits += v.Commits
	t.all.Aborts += v.Aborts
	t.all.Refused += v.Refused
	t.all.Unknown += v.Unknown
	t.all.CommitTimes = append(t.all.CommitTimes, v.CommitTimes...)
	t.all.Switches = append(t.all.Switches, v.Switches...)
}

// print prints the sums.
func (t *policyTally) print() {
	all := t.all
	fmt.Fprintf(t.out, "%d days, %d broken; %d calls judged; changes: %d took hold, %d aborted, %d refused, %d unknown\n", t.played, t.failed, all.Calls, all.Commits, all.Aborts, all.Refused, all.Unknown)
	fmt.Fprintf(t.out, "from proposal to in force: %s\nfrom the last call under a version to the first under the next: %s\n", formatDurations(all.CommitTimes), formatDurations(all.Switches))
}
