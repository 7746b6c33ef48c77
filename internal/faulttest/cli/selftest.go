package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/mutant"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// mutantCommand is the subcommand that runs a sender with a deliberate fault. The self-test starts this program again with it.
const mutantCommand = "wrong-sender"

// selfDay has a situation in which each rule can be broken, on separate receivers, so that a fault breaks one rule only.
const selfDay = `
about = "the self-test's day: a chance to break each rule"
[day]
seconds = 11
seed = 5
rate = 30
receivers = 5
endpoints = [2, 2]
zipf = 0.2
load = 0.6
settle = "600ms"
[[kind]]
name = "receiver"
headroom = [1.2, 1.3]
[[class]]
name = "card-event"
share = 2
[[class]]
name = "redemption"
effect = "unsafe"
[[class]]
name = "balance"
ordered = true
keys = 2
# Rule 4: a receiver that is out, with many messages for it.
[[trouble]]
what = "refuse"
at = "1s"
for = "4500ms"
who = {name = "r0"}
# Rules 2 and 5: calls that may have been executed, and slow calls that later calls overtake.
[[trouble]]
what = "reset"
share = 0.35
at = "0s"
for = "9s"
who = {name = "r1"}
[[trouble]]
what = "slow"
factor = 2
at = "0s"
for = "9s"
who = {name = "r4"}
# Rule 3.
[[trouble]]
what = "drain"
at = "1s"
for = "9s"
only = 1
who = {name = "r2"}
# Rule 6.
[[trouble]]
what = "wait"
wait = "700ms"
at = "2s"
for = "4s"
who = {name = "r3"}
# Rule 1: each sender is killed or restarted while it holds many messages.
[[sender]]
do = "kill"
which = "n0"
at = "3500ms"
[[sender]]
do = "restart"
which = "n1"
at = "8s"
`

func runMutant(ctx context.Context, args []string, _, _ io.Writer) (int, error) {
	if len(args) != 1 {
		return judge.ExitScript, badArgument("%s: want one argument FAULT, one of %v", mutantCommand, mutant.Faults())
	}
	if err := mutant.Run(ctx, mutant.Fault(args[0]), os.Getenv); err != nil {
		return judge.ExitScript, err
	}
	return 0, nil
}

// trial is the result of the self-test's day with one sender.
type trial struct {
	fault   mutant.Fault
	rule    int // the rule that the sender breaks; 0 for none
	verdict judge.Report
	folder  string
	err     error
}

// unexpectedVerdict describes the first unexpected verdict: a rule that was not tried, an undetected violation or a false one. It
// returns "" if there is none.
func (t trial) unexpectedVerdict() string {
	for _, r := range t.verdict.Results {
		switch {
		case r.Verdict == judge.NotTried:
			return fmt.Sprintf("rule %d had no chance", r.Rule)
		case r.Rule == t.rule && r.Verdict != judge.Fail:
			return fmt.Sprintf("rule %d was broken and not found out", r.Rule)
		case r.Rule != t.rule && r.Verdict == judge.Fail:
			return fmt.Sprintf("rule %d was kept and found broken: %s", r.Rule, r.Evidence)
		}
	}
	return ""
}

// play plays the self-test's day with one sender, and repeats an inconclusive day up to tries times in total.
func (t *trial) play(ctx context.Context, self, folder string, tries int, grace time.Duration) {
	s, err := script.Parse("selftest.toml", []byte(selfDay))
	if err != nil {
		t.err = err
		return
	}
	s.Day.Grace = script.Span(grace)
	for try := range tries {
		plan, err := s.Make()
		if err != nil {
			t.err = err
			return
		}
		t.folder = filepath.Join(folder, fmt.Sprintf("%s-%d", t.fault, try))
		if t.err = os.MkdirAll(t.folder, 0o755); t.err != nil {
			return
		}
		file, err := os.Create(filepath.Join(t.folder, "events.jsonl"))
		if err != nil {
			t.err = err
			return
		}
		events, _, err := day.Play(ctx, plan, day.Options{Command: []string{self, mutantCommand, string(t.fault)}, Folder: t.folder, Log: file})
		file.Close()
		if err != nil {
			t.err = err
			return
		}
		if t.verdict, t.err = judge.Judge(events); t.err != nil || t.verdict.Late == "" {
			return
		}
	}
}

func selftest(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("selftest", errs)
	atOnce := f.Int("at-once", 4, "number of `days` that are played at the same time")
	tries := f.Int("tries", 3, "play an inconclusive day again, up to this many `times` in total")
	grace := f.Duration("grace", 50*time.Millisecond, "tolerance added to each time limit, and the `lateness` allowed for the kit; up to 400ms on slow machines")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	if *grace < 50*time.Millisecond || *grace > 400*time.Millisecond {
		return judge.ExitScript, badArgument("selftest: -grace %v is outside 50ms to 400ms", *grace)
	}
	self, err := os.Executable()
	if err != nil {
		return judge.ExitScript, err
	}
	return selftestWith(ctx, self, max(1, *atOnce), max(1, *tries), *grace, out)
}

// selftestWith plays the day with the right sender and each wrong one, all of them run by the program self, and prints the table.
func selftestWith(ctx context.Context, self string, atOnce, tries int, grace time.Duration, out io.Writer) (int, error) {
	folder, err := day.Folder("selftest")
	if err != nil {
		return judge.ExitScript, err
	}
	trials := make([]trial, len(mutant.Faults()))
	semaphore := make(chan struct{}, atOnce)
	var wg sync.WaitGroup
	for i, fault := range mutant.Faults() {
		trials[i] = trial{fault: fault, rule: i}
		wg.Add(1)
		go func() {
			defer wg.Done()
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			trials[i].play(ctx, self, folder, tries, grace)
		}()
	}
	wg.Wait()
	fmt.Fprintf(out, "%-9s %-7s", "sender", "breaks")
	for r := range trials[0].verdict.Results {
		fmt.Fprintf(out, " %-9s", fmt.Sprint("rule ", r+1))
	}
	fmt.Fprintln(out)
	code := judge.ExitPass
	for _, t := range trials {
		if t.err != nil {
			return judge.ExitInconclusive, fmt.Errorf("selftest, sender %s: %w", t.fault, t.err)
		}
		breaks := "none"
		if t.rule > 0 {
			breaks = fmt.Sprint("rule ", t.rule)
		}
		fmt.Fprintf(out, "%-9s %-7s", t.fault, breaks)
		for _, r := range t.verdict.Results {
			fmt.Fprintf(out, " %-9s", r.Verdict)
		}
		switch problem := t.unexpectedVerdict(); {
		case t.verdict.Late != "":
			fmt.Fprintf(out, " INCONCLUSIVE: %s", t.verdict.Late)
			if code == judge.ExitPass {
				code = judge.ExitInconclusive
			}
		case problem != "":
			fmt.Fprintf(out, " MISSED: %s; events in %s", problem, t.folder)
			code = judge.ExitFail
		case t.rule == 0:
			fmt.Fprint(out, " green")
		default:
			fmt.Fprint(out, " found out")
		}
		fmt.Fprintln(out)
	}
	return code, nil
}
