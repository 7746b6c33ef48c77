// Command saffronyard is the real sender: it reads its configuration, listens, and serves until SIGTERM; SIGHUP
// has it read the configuration again. With -features FILE it also does what the operators' own file names, and
// 'saffronyard check FILE' says what that would be.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"saffronyard.example/saffronyard/internal/calls"
	"saffronyard.example/saffronyard/internal/cloudevents"
	"saffronyard.example/saffronyard/internal/features"
	"saffronyard.example/saffronyard/internal/fleet"
	"saffronyard.example/saffronyard/internal/fleetpolicy"
	"saffronyard.example/saffronyard/internal/nameserver"
	"saffronyard.example/saffronyard/internal/peers"
	"saffronyard.example/saffronyard/internal/sender"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// memoryPart of the machine's memory is what the collector aims to stay under; the journal's pages and
// the kernel's buffers count as well.
const memoryPart = 0.6

func main() {
	if len(os.Args) > 1 && isCommand(os.Args[1]) {
		os.Exit(command(os.Args[1:], os.Getenv, os.Stdin, os.Stdout, os.Stderr))
	}
	var level slog.LevelVar
	flags := flag.NewFlagSet("saffronyard", flag.ContinueOnError)
	file := flags.String("features", "", "the operators' `file` of features; without it none is on")
	form := flags.String("log-format", "text", "how the log is written: text, or json, an object a line")
	flags.TextVar(&level, "log", &level, "the least `level` that is logged; debug has a line for each step of each message")
	if err := flags.Parse(os.Args[1:]); err != nil {
		os.Exit(2)
	}
	log, err := logger(*form, &level)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if flags.NArg() > 0 {
		log.Error("saffronyard takes no arguments but -features FILE, -log LEVEL, -log-format FORMAT, and the commands: "+strings.Join(commandNames(), ", "), "argument", flags.Arg(0))
		os.Exit(2)
	}
	if err := run(log, *file); err != nil {
		log.Error("saffronyard", "err", err)
		os.Exit(1)
	}
}

// logger writes the log in a form.
func logger(form string, level slog.Leveler) (*slog.Logger, error) {
	o := &slog.HandlerOptions{Level: level}
	switch form {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, o)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, o)), nil
	}
	return nil, fmt.Errorf("-log-format %q: there are text and json", form)
}

// check says what a file would turn on, or what is wrong with it; and for an event, in a file in the JSON format, which
// rule fits and what it makes of it. 1 is for an event that would be turned away.
func check(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("saffronyard check", flag.ContinueOnError)
	flags.SetOutput(errs)
	event := flags.String("event", "", "a `file` with an event in JSON: say which rule fits it")
	if err := flags.Parse(args); err != nil {
		return 2
	}
	if flags.NArg() != 1 {
		fmt.Fprintln(errs, "saffronyard check [-event EVENT.json] FILE")
		return 2
	}
	f, err := features.Load(flags.Arg(0))
	if err != nil {
		fmt.Fprintln(errs, err)
		return 2
	}
	for _, l := range f.Lines() {
		fmt.Fprintln(out, l)
	}
	if *event == "" {
		return 0
	}
	return explain(f, *event, out, errs)
}

func explain(f *features.Features, path string, out, errs io.Writer) int {
	raw, err := os.ReadFile(path)
	if err != nil {
		fmt.Fprintln(errs, err)
		return 2
	}
	e, err := cloudevents.ReadStructured(raw)
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", path, err)
		return 2
	}
	if f.Events == nil {
		fmt.Fprintln(errs, "events are off: the file has no [events]")
		return 1
	}
	rules := f.Events.Mapping()
	for _, l := range rules.Explain(e) {
		fmt.Fprintln(out, l)
	}
	if _, _, err := rules.Find(e); err != nil {
		return 1
	}
	return 0
}

// apply turns on what the operators' file names.
func apply(f *features.Features, c *sender.Config) error {
	if f.Quiet != nil {
		c.Settings.HibernateAfter = f.Quiet.FoldAfter.D()
	}
	if e := f.Events; e != nil {
		c.Events = &sender.Events{Rules: e.Mapping(), MaxBatchEvents: e.BatchEvents, MaxBatchBytes: e.BatchBytes, Retention: e.Remember.D(), MaxRemembered: e.RememberMost}
	}
	if k := f.Knowledge; k != nil {
		c.Knowledge = &sender.Knowledge{Interval: k.Every.D(), MaxBytes: k.Bytes}
	}
	if d := f.Delivery; d != nil {
		c.Delivery = &calls.Delivery{Source: d.Source, Type: d.Type}
		for _, t := range d.To {
			c.Delivery.To = append(c.Delivery.To, calls.To(t))
		}
	}
	if p := f.Peers; p != nil {
		keys, err := p.Keys()
		if err != nil {
			return err
		}
		host, _, err := net.SplitHostPort(c.Listen)
		if err != nil {
			return fmt.Errorf("peers: where clients connect: %w", err)
		}
		c.Peers = &peers.Config{Name: c.Name, Incarnation: uint64(time.Now().UnixMicro()), Cluster: p.Cluster,
			Listen: peers.WithHost(p.Listen, host), Exchange: peers.WithHost(p.Exchange, host),
			Seeds: p.Seeds, Keys: keys, MaxFollowed: p.Follow, MaxFacts: p.Facts, Routes: p.Reaches()}
	}
	return nil
}

func run(log *slog.Logger, file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// SIGHUP means that the configuration was replaced. It would end a process that does not catch it, so
	// it is caught from the first moment on.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	c, err := sender.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	var background *behind
	var again []func(*sender.Sender) error // what else SIGHUP has read again
	if file != "" {
		f, err := features.Load(file)
		if err != nil {
			return err
		}
		if f.Peers != nil && f.Peers.KeysFile != "" {
			again = append(again, func(s *sender.Sender) error {
				keys, err := f.Peers.Keys()
				if err != nil {
					return fmt.Errorf("the peers' keys are kept as they were: %w", err)
				}
				return s.PeerKeys(keys)
			})
		}
		if err := apply(f, c); err != nil {
			return err
		}
		if u := f.Undelivered; u != nil {
			folder := u.Folder
			if folder == "" {
				folder = filepath.Join(c.StateDir, "undelivered")
			}
			k := undelivered.NewLazyStore(folder, undelivered.Limits{MaxBytes: u.Bytes, MaxAge: u.Age.D()})
			defer k.Close()
			c.Recorder = k
			if f.Work != nil {
				background = &behind{features: f, keeper: k}
				k.SetResender(background.engineOf(c))
			}
			go func() { // without it the sender goes on, and the command line gets no answer
				if err := k.Serve(ctx); err != nil {
					log.Error("undelivered messages can't be asked for", "err", err)
				}
			}()
		}
		log.Info("features", "on", f.Lines())
		if f.Work != nil {
			if background == nil {
				background = &behind{features: f}
			}
			c.Background = true
			c.Work = background.report
			c.WorkCommand = background.command
		}
		if f.Fleet != nil {
			node, err := startFleet(f.Fleet, c, log)
			if err != nil {
				return err
			}
			defer func() {
				if err := node.Close(); err != nil {
					log.Error("fleet", "err", err)
				}
			}()
			c.Fleet = node
			if f.Fleet.KeysFile != "" {
				again = append(again, func(*sender.Sender) error {
					keys, err := f.Fleet.Keys()
					if err != nil {
						return fmt.Errorf("the fleet's keys are kept as they were: %w", err)
					}
					node.SetKeys(keys)
					return nil
				})
			}
		}
		if d := f.DNS; d != nil {
			names, err := startNames(d, c, log)
			if err != nil {
				return err
			}
			defer names.Close()
			again = append(again, func(*sender.Sender) error {
				names.Look()
				keys, err := d.Keys()
				if err == nil {
					err = names.SetKeys(keys)
				}
				if err != nil {
					return fmt.Errorf("the keys of zones are kept as they were: %w", err)
				}
				return nil
			})
		}
	}
	if c.Limits.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	}
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.Limits.MemoryMB * 1e6 * memoryPart))
	}
	s, err := sender.New(c, log)
	if err != nil {
		return err
	}
	if background != nil {
		if err := background.start(s, c, log); err != nil {
			return err
		}
		defer background.close(log)
		defer context.AfterFunc(ctx, func() { background.close(log) })()
		again = append(again, func(*sender.Sender) error { return background.reload(file) })
	}
	running := make(chan struct{})
	defer close(running)
	go reload(running, hup, s, again, log)
	return s.Run(ctx, func() (net.Listener, error) { return net.Listen("tcp", c.Listen) })
}

// fleetSeams is what tests put in place of the machine's clock and disk; the program itself puts nothing there.
var fleetSeams func(*fleet.Config)

// startFleet lets this sender take part in what all senders agree on.
func startFleet(f *features.Fleet, c *sender.Config, log *slog.Logger) (*fleet.Node, error) {
	host, _, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: where clients connect: %w", err)
	}
	fc := f.Config(c.Name, host)
	if fc.Folder == "" {
		fc.Folder = filepath.Join(c.StateDir, "fleet")
	}
	if fc.Keys, err = f.Keys(); err != nil {
		return nil, err
	}
	fc.Settings = fleetpolicy.Settings{Classes: c.Classes, Tenants: c.Tenants, Kinds: c.Kinds}
	if err := fc.Check(); err != nil {
		return nil, err
	}
	if fleetSeams != nil {
		fleetSeams(&fc)
	}
	return fleet.Start(fc, log)
}

// startNames holds zones and follows members' names through them.
func startNames(d *features.DNS, c *sender.Config, log *slog.Logger) (*nameserver.Service, error) {
	nc, err := d.Config(filepath.Join(c.StateDir, "zones"))
	if err != nil {
		return nil, err
	}
	if host, _, err := net.SplitHostPort(c.Listen); err == nil && nc.Listen != "" {
		nc.Listen = peers.WithHost(nc.Listen, host)
	}
	names, err := nameserver.Start(nc, log)
	if err != nil {
		return nil, err
	}
	by, fallback := d.Precedences()
	c.Names = &sender.NameSource{Source: names, Initial: names.First(), Destinations: names.Destinations(), Precedence: by, Fallback: fallback,
		Report: func() any { return names.Report() }}
	return names, nil
}

// reload reads the configuration again with each SIGHUP, until the sender has left. What can't be read changes nothing.
func reload(running <-chan struct{}, hup <-chan os.Signal, s *sender.Sender, again []func(*sender.Sender) error, log *slog.Logger) {
	for {
		select {
		case <-running:
			return
		case <-hup:
		}
		if c, err := sender.ReloadConfig(os.Getenv); err != nil {
			log.Error("the configuration is kept as it was", "err", err)
		} else {
			s.Reload(c)
		}
		for _, read := range again {
			if err := read(s); err != nil {
				log.Error("SIGHUP", "err", err)
			}
		}
	}
}
