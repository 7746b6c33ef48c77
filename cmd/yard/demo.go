package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"dockshift.example/dockshift/internal/rehearsal/tierdemo"
	"golang.org/x/sys/unix"
)

type demoCmd struct {
	Calm    time.Duration `help:"Time without trouble." default:"20s"`
	Trouble time.Duration `help:"Time with trouble: a turn store and the control plane primary are stopped, endpoints released." default:"20s"`
	Rate    float64       `help:"Programs a second." default:"5"`
	Report  string        `help:"Write a page of HTML, with plots." type:"path" placeholder:"FILE"`
	Log     string        `help:"Write what the processes of the tier log." type:"path" placeholder:"FILE"`
}

func (k demoCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	o := tierdemo.Options{Calm: k.Calm, Trouble: k.Trouble, Rate: k.Rate}
	if k.Log != "" {
		file, err := os.Create(k.Log)
		if err != nil {
			return err
		}
		defer file.Close()
		o.Log = file
	}
	if terminal(os.Stderr) {
		progress(&o, os.Stderr)
	}
	report, err := tierdemo.Run(ctx, o)
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	if k.Report != "" {
		if err := writePage(k.Report, report); err != nil {
			return err
		}
	}
	switch broken := report.Broken(); {
	case broken > 0:
		return fmt.Errorf("%d rules were broken", broken)
	case report.Interrupted:
		return errors.New("interrupted")
	case report.Counts.Whole == 0:
		return errors.New("no program was served whole")
	}
	return nil
}

// progress has one line renewed each second, and each event on a line of its own. Calls come from several goroutines, one write each.
func progress(o *tierdemo.Options, out io.Writer) {
	o.Progress = func(at time.Duration, phase string, c tierdemo.Counts) {
		fmt.Fprintf(out, "\r\x1b[K%3.0f s  %-8s programs %d of %d  failed %d  turns %d  first event p50 %v p99 %v", at.Seconds(), phase,
			c.Whole+c.Spent, c.Asked, c.Failed, c.Turns, c.FirstP50.Round(time.Millisecond), c.FirstP99.Round(time.Millisecond))
		if phase == "end" {
			fmt.Fprintln(out)
		}
	}
	o.Note = func(at time.Duration, what string) { fmt.Fprintf(out, "\r\x1b[K%5.1f s  %s\n", at.Seconds(), what) }
}

func terminal(f *os.File) bool {
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

func writePage(path string, r *tierdemo.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := r.Page(file); err != nil {
		file.Close()
		return err
	}
	return file.Close()
}
