package cli

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/report"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// firstSpan is the period after a sender joins in which its calls are counted.
const firstSpan = 30 * time.Second

// joinResult is the result of a sender that joined, over its first 30 s.
type joinResult struct {
	calls, failed int // failed calls ended with an error, a refusal or no answer
	delivered     float64
	broken        []int // numbers of the rules that were broken
	late          string
}

// measureJoin counts the calls of the last sender whose first process became ready during the day.
func measureJoin(events []eventlog.Event, verdict judge.Report) (joinResult, error) {
	n := joinResult{late: verdict.Late, delivered: report.Make(events).ServedFraction}
	for _, r := range verdict.Results {
		if r.Verdict == judge.Fail {
			n.broken = append(n.broken, r.Rule)
		}
	}
	joined, since := "", int64(-1)
	for _, e := range events {
		if e.Kind == eventlog.Ready && e.T > 0 && e.Run == 1 && e.Detail == "" {
			joined, since = e.Sender, e.T
		}
	}
	if since < 0 {
		return n, errNoJoin
	}
	until := since + firstSpan.Microseconds()
	mine := map[int64]bool{}
	for _, e := range events {
		switch {
		case e.Kind == eventlog.Call && e.Sender == joined && e.T >= since && e.T < until:
			n.calls++
			n.failed++
			mine[e.Call] = true
		case e.Kind == eventlog.Done && mine[e.Call] && e.Status == 200:
			n.failed--
			delete(mine, e.Call)
		}
	}
	return n, nil
}

// teach plays a day on which a sender joins, for each seed once with and once without the day's features by which its peers teach it.
// It prints the ratio of failed calls in the sender's first 30 s with a bootstrap confidence interval.
func teach(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("teach [DAY.toml]", errs)
	program := f.String("sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	seeds := f.Int("seeds", 20, "number of pairs, each with the next seed")
	from := f.Int("from", 1, "the first seed")
	jobs := f.Int("jobs", 1, "number of pairs that are played at the same time")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	names := f.Args()
	if len(names) == 0 {
		names = []string{"rehearsals/join.toml"}
	}
	if len(names) > 1 || *seeds < 1 || *jobs < 1 || *from < 1 {
		return judge.ExitScript, badArgument("teach: want at most one day, and -seeds, -from and -jobs of at least 1")
	}
	all, err := days(names, false)
	if err != nil {
		return judge.ExitScript, err
	}
	if all[0].Day.Features == "" {
		return judge.ExitScript, badArgument("teach: %s sets no features by which the peers could teach a sender", names[0])
	}
	path, err := sender(ctx, *program, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	pairs := make([][2]joinResult, *seeds)
	failures := make([]error, *seeds)
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, *jobs)
	for i := range pairs {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore; wg.Done() }()
			for k, taught := range []bool{false, true} {
				if pairs[i][k], failures[i] = playTaught(ctx, *all[0], uint64(*from+i), taught, path); failures[i] != nil {
					return
				}
			}
		}()
	}
	wg.Wait()
	return printPairs(out, *from, pairs, failures)
}

// printPairs prints a row for each pair and the ratios over all pairs in which the kit did not run late.
func printPairs(out io.Writer, from int, pairs [][2]joinResult, failures []error) (int, error) {
	code := judge.ExitPass
	fmt.Fprintf(out, "%-5s %18s %18s %8s %17s  %s\n", "seed", "cold failed/calls", "taught failed/calls", "ratio", "worth cold/taught", "rules broken")
	var valid [][2]joinResult
	for i, p := range pairs {
		if failures[i] != nil {
			return judge.ExitInconclusive, failures[i]
		}
		remark := ""
		for k, n := range p {
			if len(n.broken) > 0 {
				remark += fmt.Sprint(" ", [2]string{"cold", "taught"}[k], n.broken)
				code = judge.ExitFail
			}
		}
		if p[0].late+p[1].late != "" {
			remark += " left out: the kit ran late"
		} else {
			valid = append(valid, p)
		}
		fmt.Fprintf(out, "%-5d %18s %18s %8.2f %8.4f %8.4f %s\n", from+i, fmt.Sprintf("%d/%d", p[0].failed, p[0].calls), fmt.Sprintf("%d/%d", p[1].failed, p[1].calls),
			ratioOf([][2]joinResult{p}), p[0].delivered, p[1].delivered, remark)
	}
	if len(valid) == 0 {
		return judge.ExitInconclusive, nil
	}
	low, high := interval(valid)
	fmt.Fprintf(out, "failed calls taught to cold over %d pairs: median of the pairs' ratios %.2f (95%% of resamples %.2f to %.2f), of all calls together %.2f\n",
		len(valid), medianRatio(valid), low, high, ratioOf(valid))
	return code, nil
}

func playTaught(ctx context.Context, s script.Script, seed uint64, taught bool, path string) (joinResult, error) {
	d := *s.Day
	d.Seed = seed
	name := "taught"
	if !taught {
		d.Features, name = "", "cold"
	}
	s.Day = &d
	events, verdict, _, err := playUntilConclusive(ctx, &s, name+"-"+strconv.FormatUint(seed, 10), path, 2)
	if err != nil {
		return joinResult{}, err
	}
	return measureJoin(events, verdict)
}

// ratioOf returns the fraction of calls that failed for the taught senders, divided by that for the cold ones. It returns 1 if no
// call of a cold sender failed or the taught senders made no calls.
func ratioOf(pairs [][2]joinResult) float64 {
	var failed, calls [2]float64
	for _, p := range pairs {
		for k := range p {
			failed[k] += float64(p[k].failed)
			calls[k] += float64(p[k].calls)
		}
	}
	if failed[0] == 0 || calls[1] == 0 {
		return 1
	}
	return failed[1] / calls[1] / (failed[0] / calls[0])
}

func medianRatio(pairs [][2]joinResult) float64 {
	var all []float64
	for _, p := range pairs {
		all = append(all, ratioOf([][2]joinResult{p}))
	}
	slices.Sort(all)
	n := len(all)
	return (all[(n-1)/2] + all[n/2]) / 2
}

// interval returns the bounds within which the median ratio lies in 95% of the bootstrap resamples of the pairs.
func interval(pairs [][2]joinResult) (low, high float64) {
	const samples = 2000
	rng := rand.New(rand.NewPCG(1, 2))
	medians := make([]float64, samples)
	for i := range medians {
		sample := make([][2]joinResult, len(pairs))
		for k := range sample {
			sample[k] = pairs[rng.IntN(len(pairs))]
		}
		medians[i] = medianRatio(sample)
	}
	slices.Sort(medians)
	return medians[samples/40], medians[samples-1-samples/40]
}
