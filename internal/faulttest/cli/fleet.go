package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/policytest"
)

// fleetDays plays days on which a fleet changes its policy while links, processes and folders fail, a seed each, and judges
// from outside that every change took hold everywhere or nowhere.
func fleetDays(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	o := policytest.Options{}
	var program, logs string
	var runs, side int
	f := flags("fleet", errs)
	f.StringVar(&program, "sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	f.StringVar(&logs, "logs", "", "keep the senders' files and logs in this `folder`; by default a new temporary one")
	f.Uint64Var(&o.Seed, "seed", 1, "the first `seed`")
	f.IntVar(&runs, "runs", 1, "so many seeds")
	f.IntVar(&side, "side", 2, "so many days side by side")
	f.IntVar(&o.Senders, "senders", 0, "of each day; by default 3 to 7, by seed")
	f.IntVar(&o.Voters, "voters", 0, "of them; by default 3, or 5 where there are so many senders, by seed")
	f.IntVar(&o.Down, "down", 0, "so many senders stand still from the begin")
	f.Float64Var(&o.Seconds, "seconds", 10, "of faults and changes")
	f.DurationVar(&o.Lease, "lease", time.Second, "`length` of leases")
	f.BoolVar(&o.Quiet, "quiet", false, "no faults")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	if runs < 1 || side < 1 || o.Senders < 0 || o.Senders > 100 || o.Down < 0 || o.Seconds < 2 {
		return 0, fmt.Errorf("%w: runs and side are over 0, senders at most 100, seconds 2 at least", errUsage)
	}
	path, err := sender(ctx, program, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	if logs == "" {
		if logs, err = day.Folder("fleet"); err != nil {
			return 0, err
		}
	}
	o.Command = []string{path}
	var mu sync.Mutex
	var all policytest.Verdict
	failed, played := 0, 0
	overSeeds(ctx, o.Seed, runs, side, func(seed uint64) {
		one := o
		one.Seed = seed
		one.Senders, one.Voters = manySenders(seed, one.Senders, one.Voters, 3, 4, 5, 6, 7)
		one.Folder = filepath.Join(logs, fmt.Sprintf("seed-%d", seed))
		r, err := policytest.Run(ctx, one)
		if ctx.Err() != nil {
			return
		}
		mu.Lock()
		var v policytest.Verdict
		if r != nil && err == nil {
			v = policytest.Check(r)
		} else {
			v.Broken = []string{err.Error()}
		}
		played++
		word := "kept"
		if len(v.Broken) > 0 {
			word, failed = "BROKEN", failed+1
		}
		fmt.Fprintf(out, "seed %d, %d senders, %d voters: %s; %d calls, changes: %d took hold, %d aborted, %d refused, %d unknown\n", seed, one.Senders, one.Voters, word, v.Calls, v.Commits, v.Aborts, v.Refused, v.Unknown)
		for _, b := range v.Broken {
			fmt.Fprintf(out, "  %s\n", b)
		}
		all.Calls, all.Commits, all.Aborts, all.Refused, all.Unknown = all.Calls+v.Calls, all.Commits+v.Commits, all.Aborts+v.Aborts, all.Refused+v.Refused, all.Unknown+v.Unknown
		all.Takes, all.Switches = append(all.Takes, v.Takes...), append(all.Switches, v.Switches...)
		mu.Unlock()
	})
	fmt.Fprintf(out, "%d days, %d broken; %d calls judged; changes: %d took hold, %d aborted, %d refused, %d unknown\n", played, failed, all.Calls, all.Commits, all.Aborts, all.Refused, all.Unknown)
	fmt.Fprintf(out, "from proposal to in force: %s\nfrom the last call under a version to the first under the next: %s\n", spread(all.Takes), spread(all.Switches))
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if failed > 0 {
		return judge.ExitFail, nil
	}
	return 0, nil
}

// overSeeds plays so many seeds, some side by side, until ctx ends.
func overSeeds(ctx context.Context, first uint64, runs, side int, play func(seed uint64)) {
	seeds := make(chan uint64)
	var work sync.WaitGroup
	for range side {
		work.Add(1)
		go func() {
			defer work.Done()
			for seed := range seeds {
				play(seed)
			}
		}()
	}
	for i := range runs {
		select {
		case seeds <- first + uint64(i):
		case <-ctx.Done():
		}
	}
	close(seeds)
	work.Wait()
}

// manySenders are how many senders and voters a seed's day has, unless they are stated.
func manySenders(seed uint64, senders, voters int, sizes ...int) (int, int) {
	if senders == 0 {
		senders = sizes[seed%uint64(len(sizes))]
	}
	if voters == 0 {
		voters = 3
		if senders >= 5 && seed%2 == 0 {
			voters = 5
		}
	}
	return senders, voters
}

// spread is the middle, the 99th of a hundred and the longest of some times.
func spread(all []time.Duration) string {
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	at := func(q float64) time.Duration {
		return all[min(len(all)-1, int(q*float64(len(all))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %v, p99 %v, most %v (%d)", at(0.5), at(0.99), at(1), len(all))
}
