package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"saffronyard.example/saffronyard/internal/faulttest/tierdemo"
)

// demoCmd plays a small tier on loopback.
type demoCmd struct {
	Calm   time.Duration `help:"Time without trouble." default:"20s"`
	Faults time.Duration `name:"trouble" help:"Time with trouble: a turn store and the control plane primary are stopped, endpoints released." default:"20s"`
	Rate   float64       `help:"Programs a second." default:"5"`
	Report string        `help:"Write a page of HTML, with plots." type:"path" placeholder:"FILE"`
	Log    string        `help:"Write what the processes of the tier log." type:"path" placeholder:"FILE"`
}

// Run implements the command. It returns an error if a rule was broken, the demo was interrupted or no program completed.
func (command demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	options := tierdemo.Options{Calm: command.Calm, Faults: command.Faults, Rate: command.Rate}
	if command.Log != "" {
		file, err := os.Create(command.Log)
		if err != nil {
			return err
		}
		defer file.Close()
		options.Log = file
	}
	if isTerminal(os.Stderr) {
		progress(&options, os.Stderr)
	}
	report, err := tierdemo.Run(ctx, options)
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if command.Report != "" {
		if err := writePage(command.Report, report); err != nil {
			return err
		}
	}
	switch broken := report.Broken(); {
	case broken > 0:
		return rulesBrokenError(broken)
	case report.Interrupted:
		return errInterrupted
	case report.Counts.Completed == 0:
		return errNoProgramServed
	}
	return nil
}

// progress makes the demo print one line of progress that is rewritten each second, and each event on a line of its own. The functions
// that it sets are called from several goroutines and make one write per call.
func progress(options *tierdemo.Options, out io.Writer) {
	options.Progress = func(at time.Duration, phase string, counts tierdemo.Counts) {
		fmt.Fprintf(out, "\r\x1b[K%3.0f s  %-8s programs %d of %d  failed %d  turns %d  first event p50 %v p99 %v", at.Seconds(), phase,
			counts.Completed+counts.BudgetExhausted, counts.Started, counts.Failed, counts.Turns, counts.FirstP50.Round(time.Millisecond), counts.FirstP99.Round(time.Millisecond))
		if phase == "end" {
			fmt.Fprintln(out)
		}
	}
	options.OnEvent = func(at time.Duration, what string) { fmt.Fprintf(out, "\r\x1b[K%5.1f s  %s\n", at.Seconds(), what) }
}

// isTerminal reports whether a file is a terminal.
func isTerminal(file *os.File) bool {
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

// writePage writes a report as a page of HTML.
func writePage(path string, report *tierdemo.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.Page(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
