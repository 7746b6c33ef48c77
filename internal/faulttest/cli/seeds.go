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

// seedFlags are the flags shared by the commands that play one day per seed.
type seedFlags struct {
	program, logs  string
	seed           uint64 // the first seed
	runs, parallel int    // number of days, and how many of them run at the same time
}

// register adds the flags to a command's flag set.
func (s *seedFlags) register(f *flag.FlagSet) {
	f.StringVar(&s.program, "sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	f.StringVar(&s.logs, "logs", "", "keep the senders' files and logs in this `folder`; by default a new temporary folder")
	f.Uint64Var(&s.seed, "seed", 1, "the first `seed`")
	f.IntVar(&s.runs, "runs", 1, "number of seeds")
	f.IntVar(&s.parallel, "side", 2, "number of days that are played at the same time")
}

// check reports flags out of range; sound is whether the command's own flags are in range. The message is the same for all commands.
func (s *seedFlags) check(sound bool) error {
	if s.runs < 1 || s.parallel < 1 || !sound {
		return fmt.Errorf("%w: -runs and -side must be over 0, -senders at most 100, -seconds at least 2", errUsage)
	}
	return nil
}

// prepare finds or builds the sender's program and creates the folder for logs. If it fails, it also returns the exit code.
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

// folder returns the folder for a seed's files.
func (s *seedFlags) folder(seed uint64) string {
	return filepath.Join(s.logs, fmt.Sprintf("seed-%d", seed))
}

// exitCode returns the exit code of a command that counted the given number of failed days.
func exitCode(ctx context.Context, failed int) (int, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if failed > 0 {
		return judge.ExitFail, nil
	}
	return 0, nil
}

// verdictWord returns the word for a day's verdict in the printed result.
func verdictWord(broken []string) string {
	if len(broken) > 0 {
		return "BROKEN"
	}
	return "kept"
}

// runSeeds plays the given number of seeds, as many at the same time as side says, until ctx ends.
func runSeeds(ctx context.Context, first uint64, runs, side int, play func(seed uint64)) {
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

// fleetSize returns the numbers of senders and voters of a seed's day. A number that is not 0 is used as given.
func fleetSize(seed uint64, senders, voters int, sizes ...int) (int, int) {
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

// formatDurations formats the median, the 99th percentile and the maximum of durations, and sorts them.
func formatDurations(all []time.Duration) string {
	if len(all) == 0 {
		return "none"
	}
	slices.Sort(all)
	at := func(q float64) time.Duration {
		return all[min(len(all)-1, int(q*float64(len(all))))].Round(time.Millisecond)
	}
	return fmt.Sprintf("p50 %v, p99 %v, most %v (%d)", at(0.5), at(0.99), at(1), len(all))
}
