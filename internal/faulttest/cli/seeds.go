package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
)

// maxSenders bounds the senders of a day.
const maxSenders = 100

// seedFlags are the flags that commands share which play days of many seeds.
type seedFlags struct {
	program, logs string
	seed          uint64 // the first one
	runs, side    int    // days in all, and at a time
}

// register adds the flags to a command's.
func (s *seedFlags) register(f *flag.FlagSet) {
	f.StringVar(&s.program, "sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	f.StringVar(&s.logs, "logs", "", "keep the senders' files and logs in this `folder`; by default a new temporary one")
	f.Uint64Var(&s.seed, "seed", 1, "the first `seed`")
	f.IntVar(&s.runs, "runs", 1, "so many seeds")
	f.IntVar(&s.side, "side", 2, "so many days side by side")
}

// check reports flags out of range. The message is the same for all commands.
func (s *seedFlags) check(sound bool) error {
	if s.runs < 1 || s.side < 1 || !sound {
		return fmt.Errorf("%w: runs and side are over 0, senders at most 100, seconds 2 at least", errUsage)
	}
	return nil
}

// prepare finds or builds the sender's program and makes the folder for logs. An error comes with its exit code.
func (s *seedFlags) prepare(ctx context.Context, name string, errs io.Writer) (command []string, code int, err error) {
	path, err := sender(ctx, s.program, errs)
	if err != nil {
		return nil, judge.ExitScript, err
	}
	if s.logs == "" {
		if s.logs, err = day.Folder(name); err != nil {
			return nil, 0, err
		}
	}
	return []string{path}, 0, nil
}

// folder is where a seed's files go.
func (s *seedFlags) folder(seed uint64) string {
	return filepath.Join(s.logs, fmt.Sprintf("seed-%d", seed))
}

// exit is how a command ends that has counted its failed days.
func exit(ctx context.Context, failed int) (int, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if failed > 0 {
		return judge.ExitFail, nil
	}
	return 0, nil
}

// verdictWord is how a day's line says whether it kept the rules.
func verdictWord(broken []string) string {
	if len(broken) > 0 {
		return "BROKEN"
	}
	return "kept"
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
