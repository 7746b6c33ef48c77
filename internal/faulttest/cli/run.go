package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/eventlog"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
	"saffronyard.example/saffronyard/internal/faulttest/report"
	"saffronyard.example/saffronyard/internal/faulttest/script"
)

// builtIn is the day that is played if no script is given: one receiver hangs.
const builtIn = `
about = "one receiver hangs for six seconds"
[day]
seconds = 15
[[trouble]]
what = "hang"
at = "3s"
for = "6s"
who = {name = "r1"}
`

// module is the start of the go.mod file in the root of the source tree.
const module = "module saffronyard.example/saffronyard"

// flags makes a flag set that reports to errs.
func flags(name string, errs io.Writer) *flag.FlagSet {
	f := flag.NewFlagSet(programName+" "+name, flag.ContinueOnError)
	f.SetOutput(errs)
	return f
}

func parse(f *flag.FlagSet, args []string) error {
	if err := f.Parse(args); err != nil {
		return errUsage
	}
	return nil
}

// sender finds the sender's program: the one that is named, else the one beside this program, else one that it builds
// from the source tree that contains the current folder.
func sender(ctx context.Context, named string, errs io.Writer) (string, error) {
	if named != "" {
		if _, err := os.Stat(named); err != nil {
			return "", fmt.Errorf("sender program: %w", err)
		}
		return filepath.Abs(named)
	}
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "saffronyard")
		if _, err := os.Stat(beside); err == nil {
			return beside, nil
		}
	}
	root, err := sources()
	if err != nil {
		return "", err
	}
	dir, err := day.Folder("build")
	if err != nil {
		return "", err
	}
	fmt.Fprintln(errs, "building the sender from", root)
	path := filepath.Join(dir, "saffronyard")
	build := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/saffronyard")
	build.Dir, build.Stdout, build.Stderr = root, errs, errs
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("building the sender: %w", err)
	}
	return path, nil
}

// sources finds the root of the source tree: the current folder or one of its parents.
func sources() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		raw, err := os.ReadFile(filepath.Join(dir, "go.mod"))
		if err == nil && strings.HasPrefix(string(raw), module) {
			return dir, nil
		}
		up := filepath.Dir(dir)
		if up == dir {
			return "", errNoSender
		}
		dir = up
	}
}

// days combines scripts into days: a script with [day] starts a day, and a script without it is an overlay for the day before it.
// With together, all scripts are overlays for the first one.
func days(paths []string, together bool) ([]*script.Script, error) {
	if len(paths) == 0 {
		s, err := script.Parse("built-in.toml", []byte(builtIn))
		return []*script.Script{s}, err
	}
	var all, over []*script.Script
	var out []*script.Script
	for _, p := range paths {
		s, err := script.Load(p)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	if together {
		s, err := all[0].Over(all[1:]...)
		return []*script.Script{s}, err
	}
	flush := func() error {
		if len(over) == 0 {
			return nil
		}
		s, err := over[0].Over(over[1:]...)
		out, over = append(out, s), nil
		return err
	}
	for _, s := range all {
		if s.Day != nil && len(over) > 0 {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		over = append(over, s)
	}
	return out, flush()
}

type runFlags struct {
	sender, log, html, logs string
	seed                    uint64
	together, plan, quiet   bool
	attempts                int
}

// register adds the flags to the command's flag set.
func (o *runFlags) register(f *flag.FlagSet) {
	f.StringVar(&o.sender, "sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	f.StringVar(&o.log, "log", "", "keep the event log in this `file`; by default in a new temporary folder")
	f.StringVar(&o.html, "report", "", "write the report to this `file`, as HTML")
	f.StringVar(&o.logs, "logs", "", "keep the senders' files and logs in this `folder`; by default a new temporary folder")
	f.Uint64Var(&o.seed, "seed", 0, "play with this `seed` instead of the script's")
	f.BoolVar(&o.together, "together", false, "lay all files over the first one, including those that have a [day]")
	f.BoolVar(&o.plan, "plan", false, "print the plan without playing it")
	f.BoolVar(&o.quiet, "quiet", false, "print no progress line")
	f.IntVar(&o.attempts, "tries", 1, "play an inconclusive day again, up to this many `times` in total")
}

// plans makes the plan of each day that the scripts describe.
func (o *runFlags) plans(paths []string) ([]*script.Plan, error) {
	all, err := days(paths, o.together)
	if err != nil {
		return nil, err
	}
	var plans []*script.Plan
	for _, s := range all {
		if o.seed != 0 {
			s.Day.Seed = o.seed
		}
		p, err := s.Make()
		if err != nil {
			return nil, err
		}
		plans = append(plans, p)
	}
	return plans, nil
}

func runDays(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	var o runFlags
	f := flags("run", errs)
	o.register(f)
	if err := parse(f, args); err != nil {
		return 0, err
	}
	plans, err := o.plans(f.Args())
	if err != nil {
		return judge.ExitScript, err
	}
	if o.plan {
		for _, p := range plans {
			printPlan(out, p)
		}
		return 0, nil
	}
	path, err := sender(ctx, o.sender, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	if len(plans) > 1 && (o.log != "" || o.html != "") {
		// Each day gets files of its own, with the day's name before the extension.
		o.log, o.html = numbered(o.log), numbered(o.html)
	}
	var codes []int
	for i, p := range plans {
		if i > 0 {
			fmt.Fprintln(out)
		}
		code := 0
		for try := 1; ; try++ {
			code, err = o.playDay(ctx, p, []string{path}, out, errs)
			if err != nil || code != judge.ExitInconclusive || try >= o.attempts {
				break
			}
			fmt.Fprintln(out, "played again, as it was inconclusive")
		}
		if err != nil {
			return code, err
		}
		codes = append(codes, code)
	}
	return worstCode(codes), nil
}

// worstCode returns the exit code for several days: a failed rule takes precedence over an inconclusive day.
func worstCode(codes []int) int {
	for _, c := range []int{judge.ExitFail, judge.ExitInconclusive} {
		if slices.Contains(codes, c) {
			return c
		}
	}
	return 0
}

func numbered(path string) string {
	if path == "" {
		return ""
	}
	ext := filepath.Ext(path)
	return strings.TrimSuffix(path, ext) + "-%s" + ext
}

func printPlan(out io.Writer, p *script.Plan) {
	fmt.Fprintf(out, "%s: %.0f s, seed %d, %d senders, %d messages\n", p.Name, p.Day.Seconds, p.Day.Seed, p.Senders, len(p.Arrivals))
	for _, r := range p.Receivers {
		limit := "no limit"
		if r.Spec.Limit > 0 {
			limit = fmt.Sprintf("%s limit %.1f/s", r.Spec.LimitKind, r.Spec.Limit)
		}
		fmt.Fprintf(out, "  %-4s %-10s %-10s %4.1f%% of the traffic, %d endpoints, capacity %.1f/s, %s\n", r.Name, r.Kind, r.Member, r.Weight*100, r.Endpoints, r.Spec.Capacity, limit)
	}
	for _, a := range p.Acts {
		who := a.Who()
		for _, d := range a.Dests {
			who = append(who, p.Receivers[d].Name)
		}
		fmt.Fprintf(out, "  %7.3f s  %-16s %s\n", a.At.Seconds(), a, strings.Join(who, " "))
	}
}

// playDay plays a day and prints its verdict.
func (o runFlags) playDay(ctx context.Context, p *script.Plan, command []string, out, errs io.Writer) (int, error) {
	folder := o.logs
	if folder == "" {
		var err error
		if folder, err = day.Folder(p.Name); err != nil {
			return 0, err
		}
	} else {
		folder = filepath.Join(folder, p.Name)
	}
	logPath := o.log
	if strings.Contains(logPath, "%s") {
		logPath = fmt.Sprintf(logPath, p.Name)
	}
	if logPath == "" {
		logPath = filepath.Join(folder, "events.jsonl")
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return 0, err
	}
	file, err := os.Create(logPath)
	if err != nil {
		return judge.ExitScript, fmt.Errorf("create the event log: %w", err)
	}
	defer file.Close()
	bar := &progress{out: errs, length: p.Day.Seconds, on: !o.quiet}
	events, use, err := day.Play(ctx, p, day.Options{Command: command, Folder: folder, Log: file, Watch: bar.watch})
	bar.end()
	if ctx.Err() != nil {
		fmt.Fprintf(out, "%s: broken off; what happened by then is in %s\n", p.Name, logPath)
		return judge.ExitInconclusive, nil
	}
	if err != nil {
		return judge.ExitInconclusive, err
	}
	verdict, err := judge.Judge(events)
	if err != nil {
		return judge.ExitInconclusive, err
	}
	sum := report.Make(events)
	printVerdict(out, verdict, sum)
	fmt.Fprintf(out, "  CPU: senders %.2f s, kit %.2f s in %.1f s; most memory of a sender %.1f MB; events %s\n",
		use.Senders.Seconds(), use.Kit.Seconds(), use.Wall.Seconds(), float64(use.Memory)/1e6, logPath)
	if o.html != "" {
		path := o.html
		if strings.Contains(path, "%s") {
			path = fmt.Sprintf(path, p.Name)
		}
		if err := writeHTML(path, verdict, sum); err != nil {
			return verdict.Exit(), err
		}
		fmt.Fprintln(out, "  report", path)
	}
	return verdict.Exit(), nil
}

func writeHTML(path string, v judge.Report, s report.Summary) error {
	var b strings.Builder
	if err := report.HTML(&b, v, s); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

func printVerdict(out io.Writer, v judge.Report, s report.Summary) {
	fmt.Fprintf(out, "%s: %d messages, %d delivered, %.1f%% of the worth served\n", s.Name, s.Messages, s.Delivered, s.ServedFraction*100)
	for _, r := range v.Results {
		fmt.Fprintf(out, "  %d  %-42s %-9s  %d chances", r.Rule, r.Name, r.Verdict, r.Tried)
		if r.Broken > 0 {
			fmt.Fprintf(out, ", broken %d times; first: %s", r.Broken, r.Evidence)
		}
		fmt.Fprintln(out)
	}
	if v.Late != "" {
		fmt.Fprintln(out, "  INCONCLUSIVE:", v.Late)
	}
	fmt.Fprintf(out, "  worst 10 s %.1f%% (from %.0f s), worst member %s %.1f%%, refused above a limit %d of %d calls, latency p50 %.2f s, p99 %.2f s\n",
		s.Worst*100, s.WorstFrom, s.WorstMember.Name, s.WorstMember.ServedFraction()*100, s.AboveLimit, s.Calls, s.Latency50, s.Lat99)
	if len(s.Woken) > 0 {
		switch w, ok := s.WorstWoken(); {
		case ok:
			fmt.Fprintf(out, "  %d receivers woke with a burst; the last to be served as usual, %s, was after %.2f s\n", len(s.Woken), w.Receiver, w.Usual)
		default:
			fmt.Fprintf(out, "  %d receivers woke with a burst; %s was never served as usual\n", len(s.Woken), w.Receiver)
		}
	}
}

func judgeLog(_ context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("judge LOG", errs)
	if err := parse(f, args); err != nil {
		return 0, err
	}
	events, err := read(f.Args(), 1, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	verdict, err := judge.Judge(events)
	if err != nil {
		return judge.ExitScript, err
	}
	printVerdict(out, verdict, report.Make(events))
	return verdict.Exit(), nil
}

func reportLog(_ context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("report LOG FILE.html", errs)
	if err := parse(f, args); err != nil {
		return 0, err
	}
	events, err := read(f.Args(), 2, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	verdict, err := judge.Judge(events)
	if err != nil {
		return judge.ExitScript, err
	}
	if err := writeHTML(f.Arg(1), verdict, report.Make(events)); err != nil {
		return judge.ExitScript, err
	}
	fmt.Fprintln(out, "report", f.Arg(1))
	return 0, nil
}

// read checks that there are n arguments and reads the event log that the first one names.
func read(args []string, n int, errs io.Writer) ([]eventlog.Event, error) {
	if len(args) != n {
		return nil, badArgument("want %d arguments, got %d", n, len(args))
	}
	file, err := os.Open(args[0])
	if err != nil {
		return nil, err
	}
	defer file.Close()
	events, torn, err := eventlog.Read(file, args[0])
	if torn {
		fmt.Fprintln(errs, "the last line of", args[0], "is incomplete and was skipped")
	}
	return events, err
}

// progress prints a line with the progress of a day.
type progress struct {
	out    io.Writer
	length float64
	on     bool

	mu                                  sync.Mutex
	last                                time.Time
	arrived, delivered, refused, faults int
}

func (p *progress) watch(e eventlog.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case e.Kind == eventlog.HandIn && e.Attempt == 0:
		p.arrived++
	case e.Kind == eventlog.Done && e.Status == 200:
		p.delivered++
	case e.Kind == eventlog.Done && (e.Status == 429 || e.Status == 503):
		p.refused++
	case e.Kind == eventlog.FaultChanged && e.State == "on":
		p.faults++
	case e.Kind == eventlog.FaultChanged:
		p.faults--
	}
	if p.on && time.Since(p.last) >= 200*time.Millisecond {
		p.last = time.Now()
		fmt.Fprintf(p.out, "\r%5.1f of %.0f s: %d asked, %d delivered, %d calls refused, %d troubles   ", float64(e.T)/1e6, p.length, p.arrived, p.delivered, p.refused, p.faults)
	}
}

func (p *progress) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.on {
		fmt.Fprint(p.out, "\r", strings.Repeat(" ", 78), "\r")
	}
}
