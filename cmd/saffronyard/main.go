// Command saffronyard is the real sender: it reads its configuration, listens, and serves until SIGTERM.
package main

import (
	"context"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"dockshift.example/dockshift/internal/sender"
)

// memoryPart of the machine's memory is what the collector aims to stay under; the journal's pages and
// the kernel's buffers count as well.
const memoryPart = 0.6

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		log.Error("saffronyard", "err", err)
		os.Exit(1)
	}
}

func run(log *slog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := sender.LoadConfig(os.Getenv)
	if err != nil {
		return err
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
	return s.Run(ctx, func() (net.Listener, error) { return net.Listen("tcp", c.Listen) })
}
