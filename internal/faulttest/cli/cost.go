package cli

import (
	"context"
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

// proxyCommand starts a plain reverse proxy, against which costs are measured.
const proxyCommand = "plain-proxy"

func plainProxy(ctx context.Context, _ []string, _, _ io.Writer) (int, error) {
	if err := cost.RunProxy(ctx); err != nil {
		return judge.ExitScript, err
	}
	return 0, nil
}

// usualCases is what is measured unless cases are named: listed/busy/held.
const usualCases = "20/20/100 20000/20/0 5000/20/0 5000/5000/0 20/20/50000"

// costs measures what a message costs the sender's process, as a ratio to a plain proxy in the same run.
func costs(ctx context.Context, args []string, out, errs io.Writer) (int, error) {
	f := flags("cost [LISTED/BUSY/HELD ...]", errs)
	program := f.String("sender", "", "the sender's `program`; by default the one beside this program, or built from the sources")
	seconds := f.Float64("seconds", 6, "length of each measurement")
	clients := f.Int("clients", 64, "closed-loop `clients`")
	body := f.Int("body", 400, "bytes of a message")
	memory := f.Int("memory", 2048, "`MB` that the sender is told it has")
	churn := f.Int("churn", 0, "endpoints replaced each second")
	forms := f.String("forms", "", "measure the first case in these `forms`, too: binary,structured,batched")
	pairs := f.Int("fleet", 0, "measure the first case so many `times` without and, beside it, with what a fleet agrees on")
	limits := f.Int("limits", 0, "with -fleet: so many of the first destinations are limited by the fleet")
	if err := parse(f, args); err != nil {
		return 0, err
	}
	words := f.Args()
	if len(words) == 0 {
		words = strings.Fields(usualCases)
	}
	var cases []cost.Case
	for _, w := range words {
		c := cost.Case{Clients: *clients, Body: *body, Churn: *churn, Memory: *memory, For: time.Duration(*seconds * float64(time.Second)), Warm: 2 * time.Second}
		if n, err := fmt.Sscanf(w, "%d/%d/%d", &c.Listed, &c.Busy, &c.Backlog); n != 3 || c.Listed < 1 || c.Busy < 1 || c.Busy > c.Listed || c.Listed > 60000 || c.Backlog < 0 || c.Backlog > 150000 {
			return judge.ExitScript, badArgument("cost: %q is not LISTED/BUSY/HELD (1 to 60000, of those, 0 to 150000): %v", w, err)
		}
		cases = append(cases, c)
	}
	if *forms != "" {
		for _, name := range strings.Split(*forms, ",") {
			c := cases[0]
			if c.Format = encoding.Format(name); !c.Format.Known(false) {
				return judge.ExitScript, badArgument("cost: there is no form %q; there are plain, binary, structured and batched", name)
			}
			cases, words = append(cases, c), append(words, words[0]+" "+name)
		}
	}
	if *clients < 1 || *body < 0 || *body > 64<<10 || *seconds <= 0 {
		return judge.ExitScript, badArgument("cost: %d clients, %d bytes, %v s", *clients, *body, *seconds)
	}
	path, err := sender(ctx, *program, errs)
	if err != nil {
		return judge.ExitScript, err
	}
	self, err := os.Executable()
	if err != nil {
		return judge.ExitScript, err
	}
	folder, err := day.Folder("cost")
	if err != nil {
		return judge.ExitInconclusive, err
	}
	defer os.RemoveAll(folder)
	fmt.Fprintln(out, day.Machine())
	if *pairs > 0 {
		off := cases[0]
		on := off
		on.Fleet, on.Limits = true, *limits
		return beside(ctx, out, []string{path}, folder, *pairs, off, on)
	}
	fmt.Fprintf(out, "%-22s %9s %8s %8s %9s %9s %9s %8s %8s %8s %8s %8s\n", "listed/busy/held", "CPU/msg", "x proxy", "x first", "msg/s", "p50", "p99", "most MB", "1st half", "2nd half", "bytes in", "out")
	measure := cases[0]
	measure.For = min(measure.For, 6*time.Second)
	proxy, err := cost.Proxy(ctx, []string{self, proxyCommand}, measure)
	if err != nil {
		return judge.ExitInconclusive, err
	}
	var first float64
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
		r, err := cost.Sender(ctx, []string{path}, cost.Folder(folder, c), c)
		if err != nil {
			return judge.ExitInconclusive, err
		}
		row(words[i], r)
		if ctx.Err() != nil {
			return judge.ExitInconclusive, ctx.Err()
		}
	}
	return 0, nil
}

// beside measures one case against another at the same time, some times: each begins new processes, and they change places.
func beside(ctx context.Context, out io.Writer, command []string, folder string, times int, off, on cost.Case) (int, error) {
	var all []float64
	for i := range times {
		below := filepath.Join(folder, fmt.Sprint(i))
		one, other := off, on
		if i%2 == 1 {
			one, other = on, off
		}
		ratios, err := cost.Beside(ctx, command, below, one, other, 500*time.Millisecond)
		if err != nil {
			return judge.ExitInconclusive, err
		}
		for j := range ratios {
			if i%2 == 1 {
				ratios[j] = 1 / ratios[j]
			}
		}
		least, middle, most := cost.Middle(ratios)
		fmt.Fprintf(out, "with it to without, CPU for each message, run %d: %.3f (%.3f to %.3f, %d slices)\n", i+1, middle, least, most, len(ratios))
		all = append(all, ratios...)
	}
	least, middle, most := cost.Middle(all)
	fmt.Fprintf(out, "all runs: %.3f (%.3f to %.3f, %d slices)\n", middle, least, most, len(all))
	return 0, nil
}
