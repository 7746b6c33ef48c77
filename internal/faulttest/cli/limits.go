package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/quotatest"
)

// limitDays plays days on which a fleet shares a limit out while links, processes and folders fail, a seed each, and judges by what
// the receiver got that the limit held.
func limitDays(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	o := quotatest.Options{}
	var program, logs string
	var runs, side int
	f := flags("limits", errs)
	f.StringVar(&program, "sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	f.StringVar(&logs, "logs", "", "keep the senders' files and logs in this `folder`; by default a new temporary one")
	f.Uint64Var(&o.Seed, "seed", 1, "the first `seed`")
	f.IntVar(&runs, "runs", 1, "so many seeds")
	f.IntVar(&side, "side", 2, "so many days side by side")
	f.IntVar(&o.Senders, "senders", 0, "of each day; by default 3, 5 or 8, by seed")
	f.IntVar(&o.Voters, "voters", 0, "of them; by default 3, or 5 where there are so many senders, by seed")
	f.Float64Var(&o.Seconds, "seconds", 10, "of faults")
	f.DurationVar(&o.Lease, "lease", time.Second, "`length` of the fleet's leases")
	f.IntVar(&o.Units, "units", 0, "calls in a span; by default by seed")
	f.DurationVar(&o.Span, "span", 0, "in which they are counted; by default by seed")
	f.IntVar(&o.Over, "over", 0, "each sender that is cut off may go so much beyond")
	f.Float64Var(&o.Rate, "rate", 0, "messages a second for the limited receiver; by default twice the limit")
	f.BoolVar(&o.Halve, "halve", false, "halve the limit in the middle")
	f.BoolVar(&o.Quiet, "quiet", false, "no faults")
	f.DurationVar(&o.Outage, "outage", 0, "the receiver hangs for so long")
	f.BoolVar(&o.Verdict, "verdict", false, "with -outage: the fleet holds together whether it is out")
	f.DurationVar(&o.Transit, "transit", 0, "by so much may the ways of two calls differ; default 100ms, as the kit shares the machine with the senders")
	f.BoolVar(&o.Own, "own", false, "the receivers keep the limit themselves, and refuse what is above it")
	f.BoolVar(&o.Free, "free", false, "no limit")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	if runs < 1 || side < 1 || o.Senders < 0 || o.Senders > 100 || o.Seconds < 2 || o.Units < 0 || o.Over < 0 {
		return 0, fmt.Errorf("%w: runs and side are over 0, senders at most 100, seconds 2 at least", errUsage)
	}
	path, err := sender(ctx, program, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	if logs == "" {
		if logs, err = day.Folder("limits"); err != nil {
			return 0, err
		}
	}
	o.Command = []string{path}
	var mu sync.Mutex
	failed, played, calls, full, over := 0, 0, 0, 0, 0
	overSeeds(ctx, o.Seed, runs, side, func(seed uint64) {
		one := o
		one.Seed = seed
		one.Senders, one.Voters = manySenders(seed, one.Senders, one.Voters, 3, 5, 8)
		if !o.Halve && !o.Quiet {
			one.Halve = seed%4 == 3
		}
		one.Folder = filepath.Join(logs, fmt.Sprintf("seed-%d", seed))
		r, err := quotatest.Run(ctx, one)
		if ctx.Err() != nil {
			return
		}
		var v quotatest.Verdict
		if err == nil {
			v, one = quotatest.Check(r), r.Options
			if o.Free {
				v = quotatest.Verdict{Calls: v.Calls, Refused: v.Refused, Served: v.Served}
			}
			if one.Outage > 0 {
				back := quotatest.CheckReturn(r)
				v.Broken = append(v.Broken, back.Broken...)
				mu.Lock()
				fmt.Fprintf(out, "seed %d: %d calls under a verdict, %d of them while it was out; %d in the first two seconds of its return, %d in any second of it at most; %v until it serves four fifths again\n", seed, back.Judged, back.Probes, back.Early, back.PeakCalls, back.Full.Round(time.Millisecond))
				mu.Unlock()
			}
		} else {
			v.Broken = []string{err.Error()}
		}
		mu.Lock()
		played, calls, full = played+1, calls+v.Calls, full+v.Spans
		word := "kept"
		if len(v.Broken) > 0 {
			word, failed = "BROKEN", failed+1
		}
		over += v.Refused
		fmt.Fprintf(out, "seed %d, %d senders, %d in %v: %s; %d calls, %d at most in a span, %d spans full; healed, %.3f of it are used; %d served, %d refused\n", seed, one.Senders, one.Units, one.Span, word, v.Calls, v.MaxUnits, v.Spans, v.Used, v.Served, v.Refused)
		for i, b := range v.Broken {
			if i < 10 {
				fmt.Fprintf(out, "  %s\n", b)
			}
		}
		mu.Unlock()
	})
	fmt.Fprintf(out, "%d days, %d broken; %d calls judged, %d spans were full\n", played, failed, calls, full)
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if failed > 0 {
		return judge.ExitFail, nil
	}
	return 0, nil
}
