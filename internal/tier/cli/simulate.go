package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"saffronyard.example/saffronyard/internal/tier/simulation"
)

// progressEvery is how often the simulator prints its progress.
const progressEvery = 2 * time.Second

// workerGracePeriod is how long a worker may take to end after SIGTERM.
const workerGracePeriod = 20 * time.Second

// simulateCmd runs the simulator.
type simulateCmd struct {
	Seeds  int64    `help:"Seeds to play." default:"100" placeholder:"N"`
	From   int64    `help:"First seed." default:"0" placeholder:"S"`
	Fault  []string `help:"Kinds of faults to draw. Default: all." placeholder:"KIND"`
	Ignore []string `help:"Rules that are not checked." placeholder:"RULE"`
	Jobs   int      `help:"Seeds played at the same time." default:"1" placeholder:"J"`
	Shrink int      `help:"Plays for each step of the shrinking of a failing script; 0: it is not shrunk." default:"3" placeholder:"N"`
	Replay string   `help:"Play the script in a file instead." type:"path" placeholder:"FILE"`
	Times  int      `help:"Plays of a script that is replayed, until one fails." default:"20" placeholder:"N"`
	Worker bool     `help:"Play in this process, and tell what comes of it in JSON." hidden:""`
	Out    string   `help:"Folder for failing scripts and their traces." type:"path" placeholder:"DIR"`
}

// check returns all errors in the flags together, or nil.
func (command simulateCmd) check() error {
	var found []error
	requireMin := func(name string, value, minimum int64) {
		if value < minimum {
			found = append(found, flagError{name, fmt.Sprintf(" is %d, below %d", value, minimum)})
		}
	}
	requireMin("seeds", command.Seeds, 1)
	requireMin("from", command.From, 0)
	requireMin("jobs", int64(command.Jobs), 1)
	requireMin("shrink", int64(command.Shrink), 0)
	requireMin("times", int64(command.Times), 1)
	known := simulation.FaultKinds()
	for _, name := range command.Fault {
		if !slices.Contains(known, simulation.FaultKind(name)) {
			found = append(found, flagError{"fault", fmt.Sprintf(": %q is none of %v", name, known)})
		}
	}
	rules := simulation.Rules()
	for _, name := range command.Ignore {
		if !slices.Contains(rules, simulation.Rule(name)) {
			found = append(found, flagError{"ignore", fmt.Sprintf(": %q is none of %v", name, rules)})
		}
	}
	return errors.Join(found...)
}

// options returns the options of a play.
func (command simulateCmd) options() (options simulation.Options) {
	for _, name := range command.Ignore {
		options.Ignore = append(options.Ignore, simulation.Rule(name))
	}
	return options
}

// Run implements the command: it plays seeds, or replays a script.
func (command simulateCmd) Run() error {
	if err := command.check(); err != nil {
		return err
	}
	log.DefaultLogger.Level = log.PanicLevel // the log of disks is left out of the output
	debug.SetGCPercent(simulation.GCPercent)
	if command.Out != "" {
		if err := os.MkdirAll(command.Out, 0o755); err != nil {
			return err
		}
	}
	if command.Replay != "" {
		return command.replay()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	batch := simulation.Batch{From: uint64(command.From), Seeds: uint64(command.Seeds), Jobs: command.Jobs, Options: command.options()}
	for _, name := range command.Fault {
		batch.Kinds = append(batch.Kinds, simulation.FaultKind(name))
	}
	if command.Worker {
		return batch.PlayAsWorker(ctx, os.Stdout)
	}
	return command.play(ctx, batch)
}

// play plays the seeds of a batch in workers and prints failures, progress and the total.
func (command simulateCmd) play(ctx context.Context, batch simulation.Batch) error {
	began, lastProgress := time.Now(), time.Now()
	failed := 0
	batch.Progress = func(played uint64) {
		if time.Since(lastProgress) >= progressEvery {
			lastProgress = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d seeds, %d failed, %.0f seeds a minute\n", played, command.Seeds, failed, float64(played)/time.Since(began).Minutes())
		}
	}
	batch.Failed = func(failure simulation.Failure) {
		failed++
		command.show(failure)
	}
	total, err := batch.PlayInWorkers(ctx, command.worker)
	fmt.Printf("%d seeds played, %d failed, in %.1f s: %.0f seeds a minute, %.0f simulated hours an hour, %d calls, %d orders, %d turns\n",
		total.Played, total.Failed, total.RealTime.Seconds(), float64(total.Played)/total.RealTime.Minutes(), total.VirtualTime.Seconds()/total.RealTime.Seconds(), total.Messages, total.Orders, total.Turns)
	if total.Failed > 0 {
		return seedsFailedError{failed: total.Failed, played: total.Played}
	}
	if ctx.Err() != nil {
		return errInterrupted
	}
	return err
}

// worker returns the command of a worker process of this program that plays a part of the seeds.
func (command simulateCmd) worker(ctx context.Context, from, seeds uint64) *exec.Cmd {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	arguments := []string{"simulate", "--worker", "--from", strconv.FormatUint(from, 10), "--seeds", strconv.FormatUint(seeds, 10)}
	for _, name := range command.Fault {
		arguments = append(arguments, "--fault", name)
	}
	for _, name := range command.Ignore {
		arguments = append(arguments, "--ignore", name)
	}
	worker := exec.CommandContext(ctx, self, arguments...)
	worker.Cancel = func() error { return worker.Process.Signal(syscall.SIGTERM) } // the worker ends the plays under way and reports its total
	worker.WaitDelay = workerGracePeriod
	return worker
}

// show prints a failure, shrinks its script, and writes script and trace to files.
func (command simulateCmd) show(failure simulation.Failure) {
	fmt.Printf("%v%v\n", failure.Script, reason(failure))
	if command.Out == "" {
		return
	}
	name := filepath.Join(command.Out, fmt.Sprintf("seed-%d", failure.Script.Seed))
	err := errors.Join(failure.Script.Write(name+".json"), os.WriteFile(name+".trace", failure.Trace, 0o644))
	if command.Shrink > 0 && failure.Violation != nil {
		shrunk := simulation.Shrink(failure.Script, func(script simulation.Script) bool {
			replayed := simulation.Replay(script, command.options(), command.Shrink)
			return replayed.Violation != nil && replayed.Violation.Rule == failure.Violation.Rule
		})
		fmt.Printf("shrunk: %v", shrunk)
		err = errors.Join(err, shrunk.Write(name+".short.json"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, programName+":", err)
	}
}

// reason returns why a play failed.
func reason(failure simulation.Failure) string {
	if failure.SimulatorError != "" {
		return "the simulator failed: " + strings.TrimSpace(failure.SimulatorError)
	}
	return "broken: " + failure.Violation.String()
}

// replay plays a script from a file.
func (command simulateCmd) replay() error {
	script, err := simulation.Read(command.Replay)
	if err != nil {
		return err
	}
	fmt.Print(script)
	failure := simulation.Replay(script, command.options(), command.Times)
	if command.Out != "" {
		if err := os.WriteFile(filepath.Join(command.Out, "replay.trace"), failure.Trace, 0o644); err != nil {
			return err
		}
	}
	if failure.Violation == nil && failure.SimulatorError == "" {
		fmt.Printf("played %d times, and no promise was broken\n", command.Times)
		return nil
	}
	return replayError{reason(failure)}
}
