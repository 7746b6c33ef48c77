package rpc

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
)

const (
	listenTimeout       = 5 * time.Second // of all attempts
	listenRetryInterval = 50 * time.Millisecond
)

var (
	errorTypes = errorx.NewNamespace("rpc")
	// Bind is the type of the errors of Listen and Serve: the process cannot listen at the address.
	Bind = errorTypes.NewType("bind")
)

// Listen listens at a TCP address. It retries errors that are transient for up to five seconds, or until ctx ends: a former
// process may still hold the port. Its errors are of type Bind.
func Listen(ctx context.Context, config net.ListenConfig, addr string, transient func(error) bool) (net.Listener, error) {
	for start := time.Now(); ; {
		listener, err := config.Listen(ctx, "tcp", addr)
		if err == nil {
			return listener, nil
		}
		if !transient(err) || time.Since(start) >= listenTimeout {
			return nil, Bind.Wrap(err, "listen at %s", addr)
		}
		select {
		case <-ctx.Done():
			return nil, Bind.Wrap(ctx.Err(), "listen at %s", addr)
		case <-time.After(listenRetryInterval):
		}
	}
}

// portInUse reports whether an error of Listen says that the port is in use, as it is while a former process still holds it.
func portInUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }
