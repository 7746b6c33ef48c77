package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"syscall"

	"saffronyard.example/saffronyard/internal/features"
	"saffronyard.example/saffronyard/internal/sender"
	"saffronyard.example/saffronyard/internal/undelivered"
)

// memoryFraction is the part of the memory limit that the garbage collector aims to stay under. The rest is for the journal's pages and
// the kernel's buffers, which count against the limit as well.
const memoryFraction = 0.6

// daemon is a sender with the features that the operators' file enables, from the start of the first feature until all are closed.
type daemon struct {
	log        *slog.Logger
	config     *sender.Config
	background *backgroundWork // nil without [work]

	reloaders []func(*sender.Sender) error // run on SIGHUP after the configuration was read again
	closers   []func()                     // run in reverse order, as deferred calls are
}

// runDaemon runs the sender until SIGTERM or an interrupt.
func runDaemon(log *slog.Logger, file string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// SIGHUP means that the configuration was replaced. It ends a process that does not catch it, so it must be caught from the start.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	c, err := sender.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	d := &daemon{log: log, config: c}
	defer d.close()
	if file != "" {
		if err := d.startFeatures(ctx, file); err != nil {
			return err
		}
	}
	limitProcess(c.Limits.Cores, c.Limits.MemoryMB)
	s, err := sender.New(c, log)
	if err != nil {
		return err
	}
	if d.background != nil {
		if err := d.startBackground(ctx, s, file); err != nil {
			return err
		}
	}
	running := make(chan struct{})
	defer close(running)
	go d.reloadOnHangup(running, hup, s)
	return s.Run(ctx, func() (net.Listener, error) { return net.Listen("tcp", c.Listen) })
}

// close runs the closers of all that was started, newest first.
func (d *daemon) close() {
	for _, c := range slices.Backward(d.closers) {
		c()
	}
}

// limitProcess limits the runtime to the cores and the memory, in megabytes, of the configuration; 0 means no limit.
func limitProcess(cores, memoryMB float64) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB * 1e6 * memoryFraction))
	}
}

// startFeatures reads the operators' file and starts those of its features that start before the sender.
func (d *daemon) startFeatures(ctx context.Context, file string) error {
	f, err := features.Load(file)
	if err != nil {
		return err
	}
	if f.Peers != nil && f.Peers.KeysFile != "" {
		d.reloaders = append(d.reloaders, func(s *sender.Sender) error {
			keys, err := f.Peers.Keys()
			if err != nil {
				return fmt.Errorf("peers: keys not reloaded, the current keys stay in use: %w", err)
			}
			return s.PeerKeys(keys)
		})
	}
	if err := applyFeatures(f, d.config); err != nil {
		return err
	}
	if f.Undelivered != nil {
		d.startUndelivered(ctx, f)
	}
	d.log.Info("features", "on", f.Lines())
	if f.Work != nil {
		d.configureBackground(f)
	}
	if f.Fleet != nil {
		if err := d.startFleet(f.Fleet); err != nil {
			return err
		}
	}
	if f.DNS != nil {
		return d.startNameServer(f.DNS)
	}
	return nil
}

// startUndelivered sets up the store that records undelivered messages and serves the requests of the command line.
func (d *daemon) startUndelivered(ctx context.Context, f *features.Features) {
	u := f.Undelivered
	folder := u.Folder
	if folder == "" {
		folder = filepath.Join(d.config.StateDir, "undelivered")
	}
	store := undelivered.NewLazyStore(folder, undelivered.Limits{MaxBytes: u.Bytes, MaxAge: u.Age.D()})
	d.closers = append(d.closers, func() { store.Close() })
	d.config.Recorder = store
	if f.Work != nil {
		d.background = &backgroundWork{features: f, store: store}
		store.SetResender(d.background.newEngine(d.config))
	}
	go func() { // if it fails, the sender goes on and the command line gets no answer
		if err := store.Serve(ctx); err != nil {
			d.log.Error("serving the store of undelivered messages failed; the command line gets no answer", "err", err)
		}
	}()
}

// configureBackground makes the sender answer requests about background work, which starts after the sender.
func (d *daemon) configureBackground(f *features.Features) {
	if d.background == nil {
		d.background = &backgroundWork{features: f}
	}
	d.config.Background = true
	d.config.Work = d.background.report
	d.config.WorkCommand = d.background.command
}

// startBackground starts background work beside a sender that is about to run.
func (d *daemon) startBackground(ctx context.Context, s *sender.Sender, file string) error {
	if err := d.background.start(s, d.config, d.log); err != nil {
		return err
	}
	end := func() { d.background.close(d.log) }
	d.closers = append(d.closers, end)
	stop := context.AfterFunc(ctx, end)
	d.closers = append(d.closers, func() { stop() })
	d.reloaders = append(d.reloaders, func(*sender.Sender) error { return d.background.reload(file) })
	return nil
}

// reloadOnHangup reads the configuration again at each SIGHUP until the sender has ended. A file that can't be read changes nothing.
func (d *daemon) reloadOnHangup(running <-chan struct{}, hup <-chan os.Signal, s *sender.Sender) {
	for {
		select {
		case <-running:
			return
		case <-hup:
		}
		if c, err := sender.ReloadConfig(os.Getenv); err != nil {
			d.log.Error("configuration not reloaded; the current configuration stays in use", "err", err)
		} else {
			s.Reload(c)
		}
		for _, reload := range d.reloaders {
			if err := reload(s); err != nil {
				d.log.Error("SIGHUP", "err", err)
			}
		}
	}
}
