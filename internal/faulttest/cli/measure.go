package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/report"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// measureDay is a day without faults whose receivers have enough capacity never to be the bottleneck.
const measureDay = `
[day]
seconds = %d
rate = %d
senders = 2
receivers = 20
endpoints = [2, 2]
load = 0.5
sockets = 4096
memory_mb = 512
disk_mb = 64
slots_room = 8
[[kind]]
name = "fast"
service = "5ms"
headroom = [3.0, 3.0]
`

// maxSlip is the maximum lateness at p99 with which the kit counts as keeping its schedule.
const maxSlip = 5 * time.Millisecond

// measure plays days without faults at rising rates, until the kit no longer keeps its schedule or a rule fails, and prints
// what each rate costs.
func measure(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("measure", errs)
	program := f.String("sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	first := f.Int("from", 100, "first `rate`, messages a second")
	last := f.Int("to", 6400, "last `rate`; each rate is twice the one before")
	seconds := f.Int("seconds", 8, "duration of the arrivals of each day")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	if *first < 1 || *last < *first || *seconds < 2 {
		return judge.ExitScript, badArgument("measure: from %d to %d, %d seconds: -from must be at least 1, -to at least -from, -seconds at least 2", *first, *last, *seconds)
	}
	path, err := sender(ctx, *program, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	folder, err := day.Folder("measure")
	if err != nil {
		return judge.ExitInconclusive, err
	}
	fmt.Fprintln(out, day.Machine())
	fmt.Fprintf(out, "%9s %9s %10s %10s %12s %12s %12s %10s\n", "asked/s", "served/s", "slip p99", "slip most", "kit CPU/msg", "sender/msg", "judge/msg", "verdict")
	for rate := *first; rate <= *last; rate *= 2 {
		measured, err := measureRate(ctx, []string{path}, filepath.Join(folder, fmt.Sprint(rate)), *seconds, rate)
		if err != nil {
			return measured.code, err
		}
		measured.print(out)
		if measured.word() != rateKept {
			return 0, nil
		}
	}
	return 0, nil
}

// rateKept is the verdict on a rate at which the kit kept its schedule and the sender kept the rules.
const rateKept = "kept"

// measuredRate is the result of a day at one rate.
type measuredRate struct {
	code    int // exit code; set only with an error
	seconds int // of arrivals
	summary report.Summary
	use     day.Usage
	judged  time.Duration // time that the judge took
	failed  bool          // a rule failed
	p99     int64         // the kit's lateness, in microseconds
	most    int64         // the kit's maximum lateness, in microseconds
}

// measureRate plays a day without faults at a rate, in messages a second, and judges it.
func measureRate(ctx context.Context, command []string, folder string, seconds, rate int) (measuredRate, error) {
	s, err := script.Parse("measure.toml", []byte(fmt.Sprintf(measureDay, seconds, rate)))
	if err != nil {
		return measuredRate{code: judge.ExitScript}, err
	}
	plan, err := s.Make()
	if err != nil {
		return measuredRate{code: judge.ExitScript}, err
	}
	inconclusive := measuredRate{code: judge.ExitInconclusive}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return inconclusive, err
	}
	file, err := os.Create(filepath.Join(folder, "events.jsonl"))
	if err != nil {
		return inconclusive, err
	}
	events, use, err := day.Play(ctx, plan, day.Options{Command: command, Folder: folder, Log: file})
	file.Close()
	if err != nil {
		return inconclusive, err
	}
	began := time.Now()
	verdict, err := judge.Judge(events)
	if err != nil {
		return inconclusive, err
	}
	m := measuredRate{seconds: seconds, use: use, judged: time.Since(began), failed: verdict.Exit() == judge.ExitFail, summary: report.Make(events)}
	for _, e := range events {
		if e.Kind == eventlog.Slip {
			m.most = max(m.most, e.MaxUS)
			if e.Count >= 100 {
				m.p99 = max(m.p99, e.P99US)
			}
		}
	}
	return m, nil
}

// word returns the verdict on a rate.
func (m measuredRate) word() string {
	switch {
	case time.Duration(m.p99)*time.Microsecond > maxSlip:
		return "slips"
	case m.failed:
		return "FAIL"
	}
	return rateKept
}

// print prints the rate's row.
func (m measuredRate) print(out io.Writer) {
	each := func(d time.Duration) string {
		return (d / time.Duration(max(1, m.summary.Messages))).Round(100 * time.Nanosecond).String()
	}
	fmt.Fprintf(out, "%9.0f %9.0f %9.2fms %9.2fms %12s %12s %12s %10s\n", float64(m.summary.Messages)/float64(m.seconds), float64(m.summary.Delivered)/float64(m.seconds),
		float64(m.p99)/1000, float64(m.most)/1000, each(m.use.Kit), each(m.use.Senders), each(m.judged), m.word())
}
