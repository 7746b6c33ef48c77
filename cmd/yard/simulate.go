package main

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

	"dockshift.example/dockshift/internal/tier/simulation"
)

// progressEvery is how often the simulator tells how far it is.
const progressEvery = 2 * time.Second

// workerEnd is how long a worker that is to end may take.
const workerEnd = 20 * time.Second

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

// check gives all that is wrong with the flags.
func (s simulateCmd) check() error {
	var found []error
	below := func(name string, value, least int64) {
		if value < least {
			found = append(found, fmt.Errorf("--%s is %d, below %d", name, value, least))
		}
	}
	below("seeds", s.Seeds, 1)
	below("from", s.From, 0)
	below("jobs", int64(s.Jobs), 1)
	below("shrink", int64(s.Shrink), 0)
	below("times", int64(s.Times), 1)
	known := simulation.Kinds()
	for _, name := range s.Fault {
		if !slices.Contains(known, simulation.Kind(name)) {
			found = append(found, fmt.Errorf("--fault: %q is none of %v", name, known))
		}
	}
	rules := simulation.Rules()
	for _, name := range s.Ignore {
		if !slices.Contains(rules, simulation.Rule(name)) {
			found = append(found, fmt.Errorf("--ignore: %q is none of %v", name, rules))
		}
	}
	return errors.Join(found...)
}

func (s simulateCmd) options() (o simulation.Options) {
	for _, name := range s.Ignore {
		o.Ignore = append(o.Ignore, simulation.Rule(name))
	}
	return o
}

// Run plays seeds, or a script again.
func (s simulateCmd) Run() error {
	if err := s.check(); err != nil {
		return err
	}
	log.DefaultLogger.Level = log.PanicLevel // what disks tell has no place in the output
	debug.SetGCPercent(simulation.GCPercent)
	if s.Out != "" {
		if err := os.MkdirAll(s.Out, 0o755); err != nil {
			return err
		}
	}
	if s.Replay != "" {
		return s.replay()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	batch := simulation.Batch{From: uint64(s.From), Seeds: uint64(s.Seeds), Jobs: s.Jobs, Options: s.options()}
	for _, name := range s.Fault {
		batch.Kinds = append(batch.Kinds, simulation.Kind(name))
	}
	if s.Worker {
		return batch.Work(ctx, os.Stdout)
	}
	began, told := time.Now(), time.Now()
	failed := 0
	batch.Progress = func(played uint64) {
		if time.Since(told) >= progressEvery {
			told = time.Now()
			fmt.Fprintf(os.Stderr, "%d of %d seeds, %d failed, %.0f seeds a minute\n", played, s.Seeds, failed, float64(played)/time.Since(began).Minutes())
		}
	}
	batch.Failed = func(f simulation.Failure) {
		failed++
		s.show(f)
	}
	t, err := batch.PlayInWorkers(ctx, s.worker)
	fmt.Printf("%d seeds played, %d failed, in %.1f s: %.0f seeds a minute, %.0f simulated hours an hour, %d calls, %d orders, %d turns\n",
		t.Played, t.Failed, t.Real.Seconds(), float64(t.Played)/t.Real.Minutes(), t.Virtual.Seconds()/t.Real.Seconds(), t.Messages, t.Orders, t.Turns)
	if t.Failed > 0 {
		return fmt.Errorf("%d of %d seeds failed", t.Failed, t.Played)
	}
	if ctx.Err() != nil {
		return errors.New("interrupted")
	}
	return err
}

// worker is this program as it plays a part of the seeds.
func (s simulateCmd) worker(ctx context.Context, from, seeds uint64) *exec.Cmd {
	self, err := os.Executable()
	if err != nil {
		self = os.Args[0]
	}
	arguments := []string{"simulate", "--worker", "--from", strconv.FormatUint(from, 10), "--seeds", strconv.FormatUint(seeds, 10)}
	for _, name := range s.Fault {
		arguments = append(arguments, "--fault", name)
	}
	for _, name := range s.Ignore {
		arguments = append(arguments, "--ignore", name)
	}
	c := exec.CommandContext(ctx, self, arguments...)
	c.Cancel = func() error { return c.Process.Signal(syscall.SIGTERM) } // it ends the plays under way, and tells its total
	c.WaitDelay = workerEnd
	return c
}

// show prints a failure, shrinks its script and writes both to files.
func (s simulateCmd) show(f simulation.Failure) {
	fmt.Printf("%v%v\n", f.Script, reason(f))
	if s.Out == "" {
		return
	}
	name := filepath.Join(s.Out, fmt.Sprintf("seed-%d", f.Script.Seed))
	err := errors.Join(f.Script.Write(name+".json"), os.WriteFile(name+".trace", f.Trace, 0o644))
	if s.Shrink > 0 && f.Broken != nil {
		short := simulation.Shrink(f.Script, func(script simulation.Script) bool {
			again := simulation.Replay(script, s.options(), s.Shrink)
			return again.Broken != nil && again.Broken.Rule == f.Broken.Rule
		})
		fmt.Printf("shrunk: %v", short)
		err = errors.Join(err, short.Write(name+".short.json"))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "yard:", err)
	}
}

func reason(f simulation.Failure) string {
	if f.Err != "" {
		return "the simulator failed: " + strings.TrimSpace(f.Err)
	}
	return "broken: " + f.Broken.String()
}

// replay plays a script from a file again.
func (s simulateCmd) replay() error {
	script, err := simulation.Read(s.Replay)
	if err != nil {
		return err
	}
	fmt.Print(script)
	f := simulation.Replay(script, s.options(), s.Times)
	if s.Out != "" {
		if err := os.WriteFile(filepath.Join(s.Out, "replay.trace"), f.Trace, 0o644); err != nil {
			return err
		}
	}
	if f.Broken == nil && f.Err == "" {
		fmt.Printf("played %d times, and no promise was broken\n", s.Times)
		return nil
	}
	return errors.New(reason(f))
}
