package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"saffronyard.example/saffronyard/internal/faulttest/cost"
	"saffronyard.example/saffronyard/internal/faulttest/day"
	"saffronyard.example/saffronyard/internal/faulttest/encoding"
	"saffronyard.example/saffronyard/internal/faulttest/judge"
)

// proxyCommand is the subcommand that runs a plain reverse proxy as the baseline for costs.
const proxyCommand = "plain-proxy"

func plainProxy(ctx context.Context, _ []string, _, _ io.Writer) (int, error) {
	if err := cost.RunProxy(ctx); err != nil {
		return judge.ExitScript, err
	}
	return 0, nil
}

// usualCases are the cases that are measured by default, as listed/busy/held: endpoints listed, endpoints with traffic, messages held.
const usualCases = "20/20/100 20000/20/0 5000/20/0 5000/5000/0 20/20/50000"

// costFlags are the flags of the cost command.
type costFlags struct {
	program, forms                              string
	seconds                                     float64
	clients, body, memory, churn, pairs, limits int
}

// register adds the flags to the command's flag set.
func (c *costFlags) register(f *flag.FlagSet) {
	f.StringVar(&c.program, "sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	f.Float64Var(&c.seconds, "seconds", 6, "length of each measurement")
	f.IntVar(&c.clients, "clients", 64, "closed-loop `clients`")
	f.IntVar(&c.body, "body", 400, "bytes of a message")
	f.IntVar(&c.memory, "memory", 2048, "memory limit of the sender, in `MB`")
	f.IntVar(&c.churn, "churn", 0, "endpoints replaced each second")
	f.StringVar(&c.forms, "forms", "", "also measure the first case in these `forms`: binary,structured,batched")
	f.IntVar(&c.pairs, "fleet", 0, "measure the first case this many `times`, without and at the same time with the fleet's consensus")
	f.IntVar(&c.limits, "limits", 0, "with -fleet: number of destinations, from the first on, that the fleet limits")
}

// cases parses the cases in the arguments and adds the first case in each of the given forms. It also returns the name of each case's row.
func (c *costFlags) cases(names []string) ([]cost.Case, []string, error) {
	if len(names) == 0 {
		names = strings.Fields(usualCases)
	}
	var cases []cost.Case
	for _, name := range names {
		parsed := cost.Case{Clients: c.clients, Body: c.body, Churn: c.churn, Memory: c.memory, For: time.Duration(c.seconds * float64(time.Second)), Warm: 2 * time.Second}
		if n, err := fmt.Sscanf(name, "%d/%d/%d", &parsed.Listed, &parsed.Busy, &parsed.Backlog); n != 3 || parsed.Listed < 1 || parsed.Busy < 1 || parsed.Busy > parsed.Listed || parsed.Listed > 60000 || parsed.Backlog < 0 || parsed.Backlog > 150000 {
			return nil, nil, badArgument("cost: %q is not LISTED/BUSY/HELD (LISTED 1 to 60000, BUSY 1 to LISTED, HELD 0 to 150000): %v", name, err)
		}
		cases = append(cases, parsed)
	}
	if c.forms != "" {
		for _, form := range strings.Split(c.forms, ",") {
			formCase := cases[0]
			if formCase.Format = encoding.Format(form); !formCase.Format.Known(false) {
				return nil, nil, badArgument("cost: unknown form %q; the forms are plain, binary, structured and batched", form)
			}
			cases, names = append(cases, formCase), append(names, names[0]+" "+form)
		}
	}
	if c.clients < 1 || c.body < 0 || c.body > 64<<10 || c.seconds <= 0 {
		return nil, nil, badArgument("cost: %d clients, %d bytes, %v s: want at least 1 client, 0 to 65536 bytes and more than 0 s", c.clients, c.body, c.seconds)
	}
	return cases, names, nil
}

// costs measures what a message costs the sender's process, as a ratio to a plain proxy in the same run.
func costs(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	var options costFlags
	f := flags("cost [LISTED/BUSY/HELD ...]", errs)
	options.register(f)
	if err := parse(f, args); err != nil {
		return 0, err
	}
	cases, names, err := options.cases(f.Args())
	if err != nil {
		return judge.ExitScript, err
	}
	path, err := sender(ctx, options.program, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	folder, err := day.Folder("cost")
	if err != nil {
		return judge.ExitInconclusive, err
	}
	defer os.RemoveAll(folder)
	fmt.Fprintln(out, day.Machine())
	if options.pairs > 0 {
		off := cases[0]
		on := off
		on.Fleet, on.Limits = true, options.limits
		return compareCases(ctx, out, []string{path}, folder, options.pairs, off, on)
	}
	return costTable(ctx, out, []string{path}, folder, cases, names)
}

// costTable measures the plain proxy and then each case, and prints a row for each.
func costTable(ctx context.Context, out io.Writer, command []string, folder string, cases []cost.Case, names []string) (int, error) {
	self, err := os.Executable()
	if err != nil {
		return judge.ExitScript, err
	}
	fmt.Fprintf(out, "%-22s %9s %8s %8s %9s %9s %9s %8s %8s %8s %8s %8s\n", "listed/busy/held", "CPU/msg", "x proxy", "x first", "msg/s", "p50", "p99", "most MB", "1st half", "2nd half", "bytes in", "out")
	measure := cases[0]
	measure.For = min(measure.For, 6*time.Second)
	proxy, err := cost.Proxy(ctx, []string{self, proxyCommand}, measure)
	if err != nil {
		return judge.ExitInconclusive, err
	}
	var first float64 // CPU for each message of the first case, in microseconds
	row := func(name string, r cost.Result) {
		us := float64(r.CPU.Nanoseconds()) / 1000
		if first == 0 && name != "plain proxy" {
			first = us
		}
		x := "-"
		if first > 0 {
			x = fmt.Sprintf("%.2f", us/first)
		}
		fmt.Fprintf(out, "%-22s %7.1fus %8.2f %8s %9.0f %7.1fms %7.1fms %8.1f %8.1f %8.1f %8d %8d\n", name, us, us*1000/float64(proxy.CPU.Nanoseconds()), x, r.Rate,
			float64(r.P50.Microseconds())/1000, float64(r.P99.Microseconds())/1000, float64(r.Memory)/1e6, float64(r.First)/1e6, float64(r.Second)/1e6, r.In, r.Out)
	}
	row("plain proxy", proxy)
	for i, c := range cases {
		r, err := cost.Sender(ctx, command, cost.Folder(folder, c), c)
		if err != nil {
			return judge.ExitInconclusive, err
		}
		row(names[i], r)
		if ctx.Err() != nil {
			return judge.ExitInconclusive, ctx.Err()
		}
	}
	return 0, nil
}

// compareCases measures two cases against each other at the same time, several times. Each run starts new processes, and the order of the
// two cases alternates.
func compareCases(ctx context.Context, out io.Writer, command []string, folder string, times int, off, on cost.Case) (int, error) {
	var all []float64
	for i := range times {
		below := filepath.Join(folder, fmt.Sprint(i))
		one, other := off, on
		if i%2 == 1 {
			one, other = on, off
		}
		ratios, err := cost.SideBySide(ctx, command, below, one, other, 500*time.Millisecond)
		if err != nil {
			return judge.ExitInconclusive, err
		}
		for j := range ratios {
			if i%2 == 1 {
				ratios[j] = 1 / ratios[j]
			}
		}
		least, middle, most := cost.MedianInterval(ratios)
		fmt.Fprintf(out, "with it to without, CPU for each message, run %d: %.3f (%.3f to %.3f, %d slices)\n", i+1, middle, least, most, len(ratios))
		all = append(all, ratios...)
	}
	least, middle, most := cost.MedianInterval(all)
	fmt.Fprintf(out, "all runs: %.3f (%.3f to %.3f, %d slices)\n", middle, least, most, len(all))
	return 0, nil
}
