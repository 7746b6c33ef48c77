package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"dockshift.example/dockshift/internal/rehearsal/cost"
	"dockshift.example/dockshift/internal/rehearsal/day"
	"dockshift.example/dockshift/internal/rehearsal/form"
	"dockshift.example/dockshift/internal/rehearsal/judge"
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
	pairs := f.Int("fleet", 0, "measure the first case so many `times` in turns without and with what a fleet agrees on")
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
		if n, err := fmt.Sscanf(w, "%d/%d/%d", &c.Listed, &c.Busy, &c.Held); n != 3 || c.Listed < 1 || c.Busy < 1 || c.Busy > c.Listed || c.Listed > 60000 || c.Held < 0 || c.Held > 150000 {
			return judge.ExitScript, fmt.Errorf("cost: %q is not LISTED/BUSY/HELD (1 to 60000, of those, 0 to 150000): %v", w, err)
		}
		cases = append(cases, c)
	}
	if *forms != "" {
		for _, name := range strings.Split(*forms, ",") {
			c := cases[0]
			if c.Form = form.Form(name); !c.Form.Known(false) {
				return judge.ExitScript, fmt.Errorf("cost: there is no form %q; there are plain, binary, structured and batched", name)
			}
			cases, words = append(cases, c), append(words, words[0]+" "+name)
		}
	}
	if *pairs > 0 {
		first := cases[0]
		cases, words = nil, nil
		for i := range *pairs {
			off, on := first, first
			off.Again, on.Again, on.Fleet = i, i, true
			cases, words = append(cases, off, on), append(words, "off", "fleet")
		}
	}
	if *clients < 1 || *body < 0 || *body > 64<<10 || *seconds <= 0 {
		return judge.ExitScript, fmt.Errorf("cost: %d clients, %d bytes, %v s", *clients, *body, *seconds)
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
	var ratios []float64
	var last time.Duration
	for i, c := range cases {
		r, err := cost.Sender(ctx, []string{path}, cost.Folder(folder, c), c)
		if err != nil {
			return judge.ExitInconclusive, err
		}
		row(words[i], r)
		if c.Fleet {
			ratios = append(ratios, float64(r.CPU)/float64(last))
		}
		last = r.CPU
		if ctx.Err() != nil {
			return judge.ExitInconclusive, ctx.Err()
		}
	}
	if len(ratios) > 0 {
		slices.Sort(ratios)
		fmt.Fprintf(out, "with it to without, pair by pair: least %.3f, middle %.3f, most %.3f\n", ratios[0], ratios[len(ratios)/2], ratios[len(ratios)-1])
	}
	return 0, nil
}
